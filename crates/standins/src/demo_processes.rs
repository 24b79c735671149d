//! Processes of a demonstration.

use std::fs;
use std::io;
use std::path;
use std::process;
use std::thread;
use std::time;

/// Interval at which the state of a process is checked.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

#[derive(Debug)]
struct NamedProcess {
    name: String,
    child: process::Child,
}

/// Started processes. Those that still run when the value is dropped are killed.
#[derive(Debug)]
pub struct DemoProcesses {
    programs: path::PathBuf,
    logs: path::PathBuf,
    running: Vec<NamedProcess>,
}

impl DemoProcesses {
    /// Returns an empty group for programs in one directory and logs in another.
    #[must_use]
    pub fn new(programs: path::PathBuf, logs: path::PathBuf) -> Self {
        Self {
            programs,
            logs,
            running: Vec::new(),
        }
    }

    /// Starts a program with its output in log files.
    ///
    /// # Errors
    /// Returns what failed.
    pub fn start(&mut self, name: &str, program: &str, arguments: &[String]) -> Result<(), String> {
        let log = |suffix: &str| fs::File::create(self.logs.join(format!("{name}.{suffix}")));
        let started = log("out").and_then(|out| {
            process::Command::new(self.programs.join(program))
                .args(arguments)
                .stdin(process::Stdio::null())
                .stdout(out)
                .stderr(log("err")?)
                .spawn()
        });
        let child = started.map_err(|error| format!("{name}: {program} can't be started: {error}"))?;
        self.running.push(NamedProcess {
            name: name.to_owned(),
            child,
        });
        Ok(())
    }

    /// Runs a program to its end and returns its output.
    ///
    /// # Errors
    /// Returns what failed.
    pub fn run(&self, program: &str, arguments: &[String]) -> Result<process::Output, String> {
        let output = process::Command::new(self.programs.join(program))
            .args(arguments)
            .output();
        output.map_err(|error| format!("{program} can't be started: {error}"))
    }

    /// Returns the process id of a running program.
    #[must_use]
    pub fn id(&self, name: &str) -> Option<u32> {
        let process = self.running.iter().find(|process| process.name == name)?;
        Some(process.child.id())
    }

    /// Returns the names of the processes that ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let mut names = Vec::new();
        for process in &mut self.running {
            if !matches!(process.child.try_wait(), Ok(None)) {
                names.push(process.name.clone());
            }
        }
        names
    }

    /// Ends the processes whose name passes, by SIGTERM, and returns a finding for each that did not end cleanly.
    pub fn stop(&mut self, timeout: time::Duration, passes: impl Fn(&str) -> bool) -> Vec<String> {
        let (mut stopping, running) = self.running.drain(..).partition(|process| passes(&process.name));
        self.running = running;
        let mut findings = Vec::new();
        for process in &mut stopping {
            if let Err(error) = terminate(process) {
                findings.push(format!("{}: SIGTERM: {error}", process.name));
            }
        }
        let end = time::Instant::now() + timeout;
        for process in &mut stopping {
            match wait(&mut process.child, end) {
                Some(status) if status.success() => {}
                Some(status) => findings.push(format!("{}: ended with {status}", process.name)),
                None => {
                    findings.push(format!("{}: still ran after {timeout:?} and was killed", process.name));
                    kill(&mut process.child);
                }
            }
        }
        findings
    }

    /// Returns the last `lines` lines of each log of standard error, without lines of level info.
    #[must_use]
    pub fn log_ends(&self, lines: usize) -> Vec<String> {
        let Ok(entries) = fs::read_dir(&self.logs) else {
            return Vec::new();
        };
        let mut ends = Vec::new();
        for entry in entries.flatten() {
            let path = entry.path();
            let text = fs::read_to_string(&path).unwrap_or_default();
            let all: Vec<&str> = text
                .lines()
                .filter(|line| !line.contains(r#""level":"INFO""#))
                .collect();
            if path.extension().is_some_and(|extension| extension == "err") && !all.is_empty() {
                let last = &all[all.len().saturating_sub(lines)..];
                ends.push(format!("--- {}\n{}", path.display(), last.join("\n")));
            }
        }
        ends.sort();
        ends
    }
}

impl Drop for DemoProcesses {
    fn drop(&mut self) {
        for process in &mut self.running {
            kill(&mut process.child);
        }
    }
}

/// Sends SIGTERM through the `kill` program, since the standard library can only send SIGKILL.
fn terminate(process: &mut NamedProcess) -> io::Result<()> {
    if process.child.try_wait()?.is_some() {
        return Ok(());
    }
    let id = process.child.id().to_string();
    let status = process::Command::new("kill").args(["-TERM", &id]).status()?;
    if status.success() {
        return Ok(());
    }
    Err(io::Error::other(format!("kill ended with {status}")))
}

fn wait(child: &mut process::Child, end: time::Instant) -> Option<process::ExitStatus> {
    loop {
        if let Ok(Some(status)) = child.try_wait() {
            return Some(status);
        }
        if time::Instant::now() >= end {
            return None;
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn kill(child: &mut process::Child) {
    // The process may have exited by itself in the meantime; waiting for it removes its entry in the process table.
    drop(child.kill());
    drop(child.wait());
}
