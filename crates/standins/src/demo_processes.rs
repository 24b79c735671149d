//! Child processes of a demonstration or a measurement, with their logs.

use std::fs;
use std::io;
use std::path;
use std::process;
use std::thread;
use std::time;

/// Interval at which the state of a process is polled.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

#[derive(Debug)]
struct NamedProcess {
    name: String,
    child: process::Child,
}

/// Group of child processes. Those still running when the group is dropped are killed.
#[derive(Debug)]
pub struct DemoProcesses {
    programs: path::PathBuf,
    logs: path::PathBuf,
    running: Vec<NamedProcess>,
}

impl DemoProcesses {
    /// Returns an empty group that runs programs of the directory `programs` and logs to the directory `logs`.
    #[must_use]
    pub fn new(programs: path::PathBuf, logs: path::PathBuf) -> Self {
        Self {
            programs,
            logs,
            running: Vec::new(),
        }
    }

    /// Starts a program. Standard output is written to `NAME.out` and standard error to `NAME.err` in the directory of
    /// the logs.
    ///
    /// # Errors
    /// Returns an error if a log file can't be created or the program can't be started.
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

    /// Runs a program until it exits and returns its output and status.
    ///
    /// # Errors
    /// Returns an error if the program can't be started or its output can't be read.
    pub fn run(&self, program: &str, arguments: &[String]) -> Result<process::Output, String> {
        let output = process::Command::new(self.programs.join(program))
            .args(arguments)
            .output();
        output.map_err(|error| format!("{program} can't be started: {error}"))
    }

    /// Returns the process id of the process with this name; `None` if it was not started or has been stopped.
    #[must_use]
    pub fn id(&self, name: &str) -> Option<u32> {
        let process = self.running.iter().find(|process| process.name == name)?;
        Some(process.child.id())
    }

    /// Returns the names of the processes that have exited without [`stop`](Self::stop).
    pub fn ended(&mut self) -> Vec<String> {
        let mut names = Vec::new();
        for process in &mut self.running {
            if !matches!(process.child.try_wait(), Ok(None)) {
                names.push(process.name.clone());
            }
        }
        names
    }

    /// Sends SIGTERM to the processes whose name is `selected`, kills those still running after the timeout, and
    /// returns a finding for each that did not exit with status 0.
    pub fn stop(&mut self, timeout: time::Duration, selected: impl Fn(&str) -> bool) -> Vec<String> {
        let (mut stopping, running) = self.running.drain(..).partition(|process| selected(&process.name));
        self.running = running;
        let mut findings = Vec::new();
        for process in &mut stopping {
            if let Err(error) = terminate(process) {
                findings.push(format!("{}: SIGTERM: {error}", process.name));
            }
        }
        let deadline = time::Instant::now() + timeout;
        for process in &mut stopping {
            match wait(&mut process.child, deadline) {
                Some(status) if status.success() => {}
                Some(status) => findings.push(format!("{}: exited with {status}", process.name)),
                None => {
                    findings.push(format!(
                        "{}: still running {timeout:?} after SIGTERM; killed",
                        process.name
                    ));
                    kill(&mut process.child);
                }
            }
        }
        findings
    }

    /// Returns the last `lines` lines of each log of standard error, without lines of level info. Logs without other
    /// lines are left out.
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
    Err(io::Error::other(format!("kill exited with {status}")))
}

/// Waits until a process exits; returns `None` if it still runs at the deadline.
fn wait(child: &mut process::Child, deadline: time::Instant) -> Option<process::ExitStatus> {
    loop {
        if let Ok(Some(status)) = child.try_wait() {
            return Some(status);
        }
        if time::Instant::now() >= deadline {
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
