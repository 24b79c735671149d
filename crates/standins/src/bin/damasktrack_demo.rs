//! Demonstration: runs a store, daemons and backend servers as processes on loopback and checks the results of real
//! calls.

use std::collections;
use std::env;
use std::fs;
use std::hash;
use std::hash::{BuildHasher, Hasher};
use std::net;
use std::path;
use std::process;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use damasktrack_standins::{demo_check, demo_plan, demo_processes, load_mix, load_run, load_summary};
use sha2::Digest;

/// Bound on the wait for the store's listen address, and on that for all daemons to be ready. Joins are spread over
/// 10 s when the store is slow.
const READY_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Bound on the time until an accepted configuration is in force at all daemons.
const CONFIG_TIMEOUT: time::Duration = time::Duration::from_secs(13);
/// Bound on the time until a process exits after SIGTERM; after that it is killed.
const STOP_TIMEOUT: time::Duration = time::Duration::from_secs(15);
/// The same bound after a failure of the demonstration.
const FAILED_STOP_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Maximum number of findings printed.
const MAX_FINDINGS: usize = 20;

fn main() -> process::ExitCode {
    let matches = clap::Command::new("damasktrack-demo")
        .about("Starts a store, daemons and backend servers on loopback, sends calls and checks their results")
        .arg(argument("programs", "DIRECTORY").help("Directory with the built programs"))
        .arg(argument("resources", "FILE").help("JSON file with the resources to apply"))
        .arg(argument("plan", "FILE").help("JSON file with the servers and the load"))
        .arg(
            clap::Arg::new("keep")
                .long("keep")
                .action(clap::ArgAction::SetTrue)
                .help("Keep the directory with settings and logs"),
        )
        .get_matches();
    let directory = env::temp_dir().join(format!("damasktrack-demo-{}", process::id()));
    let result = run(&matches, &directory);
    if matches.get_flag("keep") {
        println!("settings and logs: {}", directory.display());
    } else if let Err(error) = fs::remove_dir_all(&directory) {
        eprintln!("damasktrack-demo: {}: {error}", directory.display());
    }
    match result {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("damasktrack-demo: {error}");
            process::ExitCode::FAILURE
        }
    }
}

fn argument(name: &'static str, value: &'static str) -> clap::Arg {
    clap::Arg::new(name).long(name).value_name(value).required(true)
}

/// A running demonstration.
struct Demo {
    plan: demo_plan::DemoPlan,
    addresses: Vec<demo_plan::DemoAddresses>,
    processes: demo_processes::DemoProcesses,
    directory: path::PathBuf,
    resources: String,
    agent: ureq::Agent,
    /// Set by SIGINT and SIGTERM.
    interrupted: sync::Arc<atomic::AtomicBool>,
}

fn run(matches: &clap::ArgMatches, directory: &path::Path) -> Result<(), String> {
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let plan_file = text("plan");
    let plan = fs::read_to_string(&plan_file).map_err(|error| format!("{plan_file}: {error}"))?;
    let plan: demo_plan::DemoPlan = serde_json::from_str(&plan).map_err(|error| format!("{plan_file}: {error}"))?;
    fs::create_dir_all(directory).map_err(|error| format!("{}: {error}", directory.display()))?;
    let interrupted = sync::Arc::new(atomic::AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        let flag = sync::Arc::clone(&interrupted);
        signal_hook::flag::register(signal, flag).map_err(|error| error.to_string())?;
    }
    let config = ureq::Agent::config_builder()
        .proxy(None)
        .http_status_as_error(false)
        .timeout_global(Some(time::Duration::from_secs(2)))
        .build();
    let mut demo = Demo {
        addresses: demo_plan::find_addresses(plan.servers.len()).map_err(|error| error.to_string())?,
        processes: demo_processes::DemoProcesses::new(path::PathBuf::from(text("programs")), directory.to_owned()),
        directory: directory.to_owned(),
        resources: text("resources"),
        agent: ureq::Agent::new_with_config(config),
        interrupted,
        plan,
    };
    let result = demo.run();
    if result.is_err() {
        for log_end in demo.processes.log_ends(15) {
            eprintln!("{log_end}");
        }
        // The failure is reported; findings about the exit of processes after it are discarded.
        demo.processes.stop(FAILED_STOP_TIMEOUT, |_| true);
    }
    result
}

impl Demo {
    fn run(&mut self) -> Result<(), String> {
        self.start()?;
        self.apply_resources()?;
        self.send_samples()?;
        let records = self.run_load()?;
        let executions = self.fetch_executions()?;
        let mut findings = demo_check::check(&self.plan, &records, &executions);
        println!(
            "\nexecutions: {} of {} requests",
            executions.values().sum::<u64>(),
            executions.len()
        );
        findings.extend(
            self.processes
                .ended()
                .iter()
                .map(|name| format!("{name}: exited unexpectedly")),
        );
        findings.extend(self.stop());
        for finding in findings.iter().take(MAX_FINDINGS) {
            println!("finding: {finding}");
        }
        if findings.is_empty() {
            println!("no request was lost, no action ran twice, all processes exited cleanly");
            return Ok(());
        }
        Err(format!("{} findings", findings.len()))
    }

    /// Starts the processes and waits until all daemons are ready and list each other as up.
    fn start(&mut self) -> Result<(), String> {
        self.processes.start("store", "standin-store", &[])?;
        let store = self.listen_address("store")?;
        let key = format!("{:016x}", hash::RandomState::new().build_hasher().finish());
        self.write("key", &key)?;
        let digest = format!(
            "{:x}",
            bytes::Bytes::copy_from_slice(&sha2::Sha256::digest(key.as_bytes()))
        );
        for index in 0..self.plan.servers.len() {
            let name = demo_plan::name(&self.plan, index);
            let arguments = demo_plan::backend_arguments(&self.plan, &self.addresses, index);
            self.processes
                .start(&format!("backend-{name}"), "standin-backend", &arguments)?;
            let settings = demo_plan::settings(&self.plan, &self.addresses, index, store, &digest);
            let path = self.write(&format!("{name}.json"), &format!("{settings:#}"))?;
            self.processes.start(
                &format!("daemon-{name}"),
                "damasktrackd",
                &["--settings".to_owned(), path],
            )?;
        }
        let begin = time::Instant::now();
        self.wait_for(
            READY_TIMEOUT,
            "all daemons to be ready and to list each other as up",
            |demo| demo.all_ready(0) && demo.all_listed(),
        )?;
        let count = self.plan.servers.len();
        println!(
            "{count} daemons and {count} backend servers ready after {:.1} s",
            begin.elapsed().as_secs_f64()
        );
        Ok(())
    }

    /// Applies the resources and waits until they are in force at all daemons.
    fn apply_resources(&mut self) -> Result<(), String> {
        let begin = time::Instant::now();
        let resources = self.resources.clone();
        let output = self.run_cli(&["apply", &resources])?;
        print!("{output}");
        let revision = output.lines().last().and_then(|line| line.strip_prefix("revision "));
        let revision = revision
            .and_then(|rest| rest.split(',').next())
            .and_then(|number| number.parse().ok());
        let revision: u64 = revision.ok_or("the output of `damasktrack apply` has no revision")?;
        self.wait_for(CONFIG_TIMEOUT, "the configuration to be in force everywhere", |demo| {
            demo.all_ready(revision)
        })?;
        println!(
            "revision {revision} in force at all daemons after {:.2} s",
            begin.elapsed().as_secs_f64()
        );
        print!("{}", self.run_cli(&["status"])?);
        Ok(())
    }

    /// Sends one request of each kind and prints the response.
    fn send_samples(&self) -> Result<(), String> {
        println!("\none request of each kind:");
        for (index, entry) in self.plan.mix.entries.iter().enumerate() {
            let options = load_run::LoadOptions {
                addresses: vec![self.addresses[index % self.addresses.len()].entry],
                mix: load_mix::LoadMix {
                    entries: vec![entry.clone()],
                },
                arrivals: vec![load_mix::Arrival {
                    at: time::Duration::ZERO,
                    entry: 0,
                }],
                concurrency: 1,
                run_id: format!("demo-{}-{index}", process::id()),
                window: time::Duration::from_secs(1),
            };
            let summary = load_run::run(&options, |record| {
                println!(
                    "  {} {}\n    status {}, outcome {}, {} bytes, {:.1} ms, id {} {}",
                    entry.method,
                    entry.path,
                    record.status,
                    record.outcome,
                    record.bytes,
                    record.latency_us as f64 / 1_000.0,
                    record.request_id,
                    record.error,
                );
            });
            if summary.count(None, load_summary::RequestEnd::Whole) != 1 {
                return Err(format!("the request '{}' did not end as whole", entry.name));
            }
        }
        Ok(())
    }

    /// Runs the load generator and returns the records of its requests.
    fn run_load(&mut self) -> Result<Vec<load_summary::RequestRecord>, String> {
        let mix = serde_json::json!(self.plan.mix);
        let mix = self.write("mix.json", &mix.to_string())?;
        let lines = self.directory.join("requests.jsonl");
        let mut arguments = vec![
            format!("--mix={mix}"),
            format!("--rate={}", self.plan.load.rate),
            format!("--duration-s={}", self.plan.load.seconds),
            format!("--json-lines={}", lines.display()),
        ];
        arguments.extend(
            self.addresses
                .iter()
                .map(|addresses| format!("--address={}", addresses.entry)),
        );
        let output = self.processes.run("standin-load", &arguments)?;
        if self.interrupted.load(atomic::Ordering::SeqCst) {
            return Err("interrupted".to_owned());
        }
        let text = String::from_utf8_lossy(&output.stdout);
        let summary: serde_json::Value = serde_json::from_str(&text)
            .map_err(|error| format!("load: {error}: {}", String::from_utf8_lossy(&output.stderr)))?;
        print_table(&summary);
        let lines = fs::read_to_string(&lines).map_err(|error| format!("{}: {error}", lines.display()))?;
        let records: Result<Vec<load_summary::RequestRecord>, _> = lines.lines().map(serde_json::from_str).collect();
        records.map_err(|error| format!("load: {error}"))
    }

    /// Returns the executions that all backend servers report.
    fn fetch_executions(&self) -> Result<demo_check::ExecutionTable, String> {
        let mut table = demo_check::ExecutionTable::new();
        for addresses in &self.addresses {
            let url = format!("http://{}/control/execution-list", addresses.backend);
            let (_, text) = self
                .get(&url)
                .ok_or_else(|| format!("{url}: no response with a readable body"))?;
            demo_check::add_executions(
                &mut table,
                serde_json::from_str(&text).map_err(|error| format!("{url}: {error}"))?,
            );
        }
        Ok(table)
    }

    /// Stops the daemons before their backend servers, so that running calls can complete.
    fn stop(&mut self) -> Vec<String> {
        let mut findings = Vec::new();
        for prefix in ["daemon-", "backend-", ""] {
            findings.extend(self.processes.stop(STOP_TIMEOUT, |name| name.starts_with(prefix)));
        }
        findings
    }

    /// Runs the operators' command line against the first daemon and returns its output.
    fn run_cli(&self, arguments: &[&str]) -> Result<String, String> {
        let mut all = vec![
            format!("--api={}", self.addresses[0].api),
            format!("--key-file={}", self.directory.join("key").display()),
        ];
        all.extend(arguments.iter().map(|argument| (*argument).to_owned()));
        let output = self.processes.run("damasktrack", &all)?;
        if output.status.success() {
            return Ok(String::from_utf8_lossy(&output.stdout).into_owned());
        }
        let (out, error) = (
            String::from_utf8_lossy(&output.stdout),
            String::from_utf8_lossy(&output.stderr),
        );
        Err(format!("damasktrack {} failed:\n{out}{error}", arguments.join(" ")))
    }

    /// Returns whether all daemons are ready and have at least this revision in force.
    fn all_ready(&self, revision: u64) -> bool {
        self.addresses.iter().all(|addresses| {
            let response = self.get(&format!("http://{}/ready", addresses.api));
            let Some((200, text)) = response else {
                return false;
            };
            let body: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
            body["revision"].as_u64().unwrap_or(0) >= revision
        })
    }

    /// Returns whether each daemon lists all daemons as up.
    fn all_listed(&self) -> bool {
        let expected: collections::HashSet<String> = (0..self.addresses.len())
            .map(|index| demo_plan::name(&self.plan, index))
            .collect();
        self.addresses.iter().all(|addresses| {
            let key = fs::read_to_string(self.directory.join("key")).unwrap_or_default();
            let url = format!("http://{}/v1/daemons", addresses.api);
            let request = self.agent.get(url).header("Authorization", format!("Bearer {key}"));
            let text = request
                .call()
                .ok()
                .and_then(|mut response| response.body_mut().read_to_string().ok());
            let body: serde_json::Value = serde_json::from_str(&text.unwrap_or_default()).unwrap_or_default();
            let items = body["items"].as_array().into_iter().flatten();
            let up = items.filter(|item| item["status"]["state"] == "up");
            let names: collections::HashSet<&str> = up.filter_map(|item| item["name"].as_str()).collect();
            expected.iter().all(|name| names.contains(name.as_str()))
        })
    }

    /// Returns status and body of a GET request; `None` if there is no response or its body can't be read.
    fn get(&self, url: &str) -> Option<(u16, String)> {
        let mut response = self.agent.get(url).call().ok()?;
        let status = response.status().as_u16();
        let text = response
            .body_mut()
            .with_config()
            .limit(256 << 20)
            .read_to_string()
            .ok()?;
        Some((status, text))
    }

    /// Waits for a condition. Fails on the timeout, on a signal and if a process exits.
    fn wait_for(&mut self, timeout: time::Duration, what: &str, holds: impl Fn(&Self) -> bool) -> Result<(), String> {
        let deadline = time::Instant::now() + timeout;
        loop {
            if let Some(name) = self.processes.ended().first() {
                return Err(format!("{name} exited unexpectedly"));
            }
            if self.interrupted.load(atomic::Ordering::SeqCst) {
                return Err("interrupted".to_owned());
            }
            if holds(self) {
                return Ok(());
            }
            if time::Instant::now() >= deadline {
                return Err(format!("timed out after {timeout:?} waiting for {what}"));
            }
            thread::sleep(time::Duration::from_millis(20));
        }
    }

    /// Waits until a program has printed its listen address, and returns the address.
    fn listen_address(&mut self, name: &str) -> Result<net::SocketAddr, String> {
        let path = self.directory.join(format!("{name}.out"));
        let read = move || {
            let text = fs::read_to_string(&path).ok()?;
            text.lines().next()?.strip_prefix("listening ")?.parse().ok()
        };
        self.wait_for(READY_TIMEOUT, name, |_| read().is_some())?;
        read().ok_or_else(|| format!("{name} printed no listen address"))
    }

    /// Writes a file in the demonstration's directory and returns its path.
    fn write(&self, name: &str, content: &str) -> Result<String, String> {
        let path = self.directory.join(name);
        fs::write(&path, content).map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(path.display().to_string())
    }
}

/// Prints the summary of the load generator as a table.
fn print_table(summary: &serde_json::Value) {
    println!(
        "\n{} requests, {} whole, {} attempts per request",
        summary["requests"], summary["whole"], summary["attempts_per_request"]
    );
    println!(
        "  {:<26} {:>8} {:>8} {:>9} {:>9}  responses",
        "kind", "requests", "whole", "p50 ms", "p99 ms"
    );
    let count = |value: &serde_json::Value| value.as_u64().unwrap_or(0);
    for (name, entry) in summary["entries"].as_object().into_iter().flatten() {
        println!(
            "  {name:<26} {:>8} {:>8} {:>9.2} {:>9.2}  {}",
            count(&entry["requests"]),
            count(&entry["ends"]["whole"]),
            entry["p50_ms"].as_f64().unwrap_or(0.0),
            entry["p99_ms"].as_f64().unwrap_or(0.0),
            entry["answers"],
        );
    }
}
