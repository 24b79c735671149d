//! Starts a store, a backend server and daemons as processes on loopback, for measurements.

use std::env;
use std::fs;
use std::io;
use std::net;
use std::path;
use std::process;
use std::thread;
use std::time;

use serde_json::json;
use sha2::Digest;

use crate::bench_relay;
use crate::demo_plan;
use crate::demo_processes;
use crate::load_mix;
use crate::load_run;
use crate::load_summary;
use crate::process_usage;

/// Maximum number of seeds of each daemon; gossip supplies all other daemons.
const MAX_SEEDS: usize = 3;
/// Bound on each wait for the processes, and on retries of a change; many processes start slowly beside a running
/// build.
const READY_TIMEOUT: time::Duration = time::Duration::from_mins(1);
/// Bound on the time between SIGTERM and the exit of a process.
const STOP_TIMEOUT: time::Duration = time::Duration::from_secs(15);
/// Time between two checks of an awaited condition.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);
/// Maximum number of attempts to start all processes.
const MAX_ATTEMPTS: usize = 5;
/// Delay before a change is retried after status 503.
const APPLY_RETRY_DELAY: time::Duration = time::Duration::from_secs(1);
/// API key of the operator. A constant suffices: the daemons listen on loopback only, and only during a measurement.
const OPERATOR_KEY: &str = "bench";
/// Name of the service that the backend server belongs to.
pub const SERVICE: &str = "bench";
/// Service time of calls with the path prefix `/slow`, which stay in flight while memory per call is measured.
pub const SLOW_SERVICE_MS: u64 = 8_000;

/// Options of the processes to start.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Directory with the built programs.
    pub programs: path::PathBuf,
    /// Number of daemons. The first has no backend server and serves as entry; all others share one backend server,
    /// which saves processes.
    pub daemons: usize,
    /// Whether connections of the first daemon with the store, and with seeds in both directions, go through relays
    /// that count bytes of control traffic.
    pub count_control_bytes: bool,
    /// Log level of the daemons.
    pub log_level: &'static str,
}

/// Running processes of one measurement; their directory is removed on drop.
#[derive(Debug)]
pub struct BenchFleet {
    options: FleetOptions,
    processes: demo_processes::DemoProcesses,
    directory: path::PathBuf,
    addresses: Vec<demo_plan::DemoAddresses>,
    backend: net::SocketAddr,
    store: net::SocketAddr,
    relays: Vec<bench_relay::BenchRelay>,
    /// Sockets that reserve the ports of daemons that have not started yet.
    reserved: Vec<Vec<socket2::Socket>>,
    agent: ureq::Agent,
}

/// Commands.
impl BenchFleet {
    /// Starts the processes, waits until all are ready and applies the declarations of the service.
    ///
    /// # Errors
    /// Returns an error if a process can't be started, the daemons aren't ready in time, or the declarations are
    /// rejected.
    pub fn start(options: &FleetOptions) -> Result<Self, String> {
        let mut attempts = 1;
        loop {
            match Self::start_once(options) {
                // A port that was free when chosen may since have become the local port of an outgoing connection.
                Err(error) if error.contains("Address already in use") && attempts < MAX_ATTEMPTS => attempts += 1,
                result => return result,
            }
        }
    }

    fn start_once(options: &FleetOptions) -> Result<Self, String> {
        let directory = env::temp_dir().join(format!("damasktrack-bench-{}-{}", process::id(), options.daemons));
        fs::create_dir_all(&directory).map_err(|error| format!("{}: {error}", directory.display()))?;
        let config = ureq::Agent::config_builder()
            .proxy(None)
            .http_status_as_error(false)
            .timeout_global(Some(time::Duration::from_secs(5)))
            .build();
        let mut reserved = Vec::new();
        let mut addresses = Vec::new();
        for _ in 0..=options.daemons {
            let (found, sockets) = reserve_addresses().map_err(error_text)?;
            addresses.push(found);
            reserved.push(sockets);
        }
        let last = addresses.pop().ok_or("no address")?;
        // Releases the ports of the store and the backend server before the first process starts.
        reserved.truncate(options.daemons);
        let mut fleet = Self {
            options: options.clone(),
            processes: demo_processes::DemoProcesses::new(options.programs.clone(), directory.clone()),
            directory,
            addresses,
            backend: last.backend,
            store: last.api,
            relays: Vec::new(),
            reserved,
            agent: ureq::Agent::new_with_config(config),
        };
        fleet.start_processes()?;
        let (revision, _) = fleet.apply(&declarations())?;
        fleet.wait_for_revision(revision)?;
        Ok(fleet)
    }

    fn start_processes(&mut self) -> Result<(), String> {
        let store = format!("--listen={}", self.store);
        self.processes.start("store", "standin-store", &[store])?;
        self.start_backend()?;
        for index in 0..self.options.daemons {
            let settings = self.settings(index).map_err(error_text)?;
            let path = self.directory.join(format!("{index}.json"));
            fs::write(&path, settings.to_string()).map_err(error_text)?;
            self.start_daemon(index)?;
        }
        self.wait_until("all daemons to be ready and to list each other as up", |fleet| {
            (0..fleet.options.daemons).all(|index| fleet.has_converged(index))
        })
        .map(|_elapsed| ())
    }

    fn start_backend(&mut self) -> Result<(), String> {
        let arguments = [
            format!("--listen={}", self.backend),
            "--slots=1000".to_owned(),
            "--service-ms=0".to_owned(),
            format!("--class-ms=slow={SLOW_SERVICE_MS}"),
        ];
        self.processes.start("backend", "standin-backend", &arguments)
    }

    fn start_daemon(&mut self, index: usize) -> Result<(), String> {
        if let Some(sockets) = self.reserved.get_mut(index) {
            sockets.clear();
        }
        let path = self.directory.join(format!("{index}.json"));
        let arguments = ["--settings".to_owned(), path.display().to_string()];
        self.processes
            .start(&format!("daemon-{index}"), "damasktrackd", &arguments)
    }

    fn settings(&mut self, index: usize) -> io::Result<serde_json::Value> {
        let own = self.addresses[index];
        let mut store = self.store;
        if self.options.count_control_bytes && index == 0 {
            store = self.relay(store)?;
        }
        let mut seeds = Vec::new();
        for other in (0..self.options.daemons)
            .filter(|other| *other != index)
            .take(MAX_SEEDS)
        {
            let mut address = self.addresses[other].peer;
            if self.options.count_control_bytes && (index == 0 || other == 0) {
                address = self.relay(address)?;
            }
            seeds.push(address);
        }
        let digest = sha2::Sha256::digest(OPERATOR_KEY.as_bytes());
        let key = format!("{:x}", bytes::Bytes::copy_from_slice(&digest));
        let mut settings = json!({
            "daemon_id": format!("bench-{index}"),
            // The first two daemons share a region, since calls across regions are subject to a byte budget.
            "region": format!("region-{}", index / 2 % 2),
            "data_centre": format!("dc-{}", index % 6 / 2),
            "entry_listen": own.entry,
            "peer_listen": own.peer,
            "api_listen": own.api,
            "store_address": store,
            "seeds": seeds,
            "operators": [{"name": "bench", "role": "admin", "key_sha256": key}],
            "log_level": self.options.log_level,
            "max_calls": 2000,
        });
        if index > 0 {
            settings["service"] = json!(SERVICE);
            settings["backend_server"] = json!({"address": self.backend, "slots": 1000});
        }
        Ok(settings)
    }

    fn relay(&mut self, target: net::SocketAddr) -> io::Result<net::SocketAddr> {
        let relay = bench_relay::BenchRelay::start(target)?;
        let address = relay.address();
        self.relays.push(relay);
        Ok(address)
    }

    /// Applies resources at the first daemon; returns the revision and the duration of the accepted request. Retries on
    /// status 503: the store refuses writes above its rate, which changes of 256 rows soon exceed.
    ///
    /// # Errors
    /// Returns the failure of the request, or the daemon's response if it rejects the change.
    pub fn apply(&self, resources: &[serde_json::Value]) -> Result<(u64, time::Duration), String> {
        let begin = time::Instant::now();
        loop {
            match self.apply_once(resources) {
                Err(error) if error.contains("status 503") && begin.elapsed() < READY_TIMEOUT => {
                    thread::sleep(APPLY_RETRY_DELAY);
                }
                result => return result,
            }
        }
    }

    fn apply_once(&self, resources: &[serde_json::Value]) -> Result<(u64, time::Duration), String> {
        let begin = time::Instant::now();
        let url = format!("http://{}/v1/apply", self.addresses[0].api);
        let request = self
            .agent
            .post(url)
            .header("Authorization", format!("Bearer {OPERATOR_KEY}"));
        let mut response = request
            .send(json!({ "resources": resources }).to_string())
            .map_err(error_text)?;
        let status = response.status().as_u16();
        let body = response.body_mut().read_to_string().map_err(error_text)?;
        let body: serde_json::Value = serde_json::from_str(&body).map_err(error_text)?;
        match body["revision"].as_u64() {
            Some(revision) if status == 200 => Ok((revision, begin.elapsed())),
            _ => Err(format!("apply: status {status}: {body}")),
        }
    }

    /// Waits until a revision is in force at all daemons; returns the time waited.
    ///
    /// # Errors
    /// Returns an error if it isn't in force in time, or if a process exits meanwhile.
    pub fn wait_for_revision(&mut self, revision: u64) -> Result<time::Duration, String> {
        self.wait_until("the revision to be in force at all daemons", |fleet| {
            (0..fleet.options.daemons).all(|index| fleet.revision(index).is_some_and(|found| found >= revision))
        })
    }

    /// Restarts a daemon by a planned stop, which drains the backend server for good, and then the backend server as
    /// well. Waits until the daemon is ready.
    ///
    /// # Errors
    /// Returns an error if a process doesn't stop cleanly or can't be started, or the daemon isn't ready in time.
    pub fn restart(&mut self, index: usize) -> Result<(), String> {
        let daemon = format!("daemon-{index}");
        for name in [daemon.as_str(), "backend"] {
            let findings = self.processes.stop(STOP_TIMEOUT, |other| other == name);
            if !findings.is_empty() {
                return Err(findings.join("; "));
            }
        }
        self.start_backend()?;
        self.start_daemon(index)?;
        self.wait_until("the restarted daemon to be ready", |fleet| fleet.has_converged(index))
            .map(|_elapsed| ())
    }

    /// Sends evenly spaced requests and returns their results.
    #[must_use]
    pub fn load(&self, load: &FleetLoad) -> LoadResult {
        let entry = load_mix::MixEntry {
            name: "bench".to_owned(),
            method: load.method.to_owned(),
            path: load.path.clone(),
            headers: std::collections::BTreeMap::new(),
            weight: 1.0,
            body: String::new(),
            key: load.key,
            retries: 0,
            retry_delay_ms: 0,
            timeout_ms: 60_000,
            check: load_mix::BodyCheck::Length,
        };
        let mix = load_mix::LoadMix { entries: vec![entry] };
        let step = load_mix::RateStep {
            rate: load.rate,
            length: load.length,
        };
        let options = load_run::LoadOptions {
            addresses: vec![load.address],
            arrivals: load_mix::schedule(&mix, &[step], 0).unwrap_or_default(),
            mix,
            concurrency: load.concurrency,
            run_id: format!("bench-{}", process::id()),
            window: time::Duration::from_secs(1),
        };
        let result = std::sync::Mutex::new(LoadResult::default());
        let begin = time::Instant::now();
        load_run::run(&options, |record| {
            let mut result = result.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            if record.end == load_summary::RequestEnd::Whole {
                result.latencies.push(record.latency_us as f64 / 1_000.0);
            } else {
                result.incomplete += 1;
            }
        });
        let mut result = result.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
        result.latencies.sort_by(f64::total_cmp);
        result.rate = result.latencies.len() as f64 / begin.elapsed().as_secs_f64();
        result
    }

    /// Stops the daemons, then all other processes; returns a finding for each that did not end cleanly.
    pub fn stop(&mut self) -> Vec<String> {
        let mut findings = Vec::new();
        for prefix in ["daemon-", ""] {
            findings.extend(self.processes.stop(STOP_TIMEOUT, |name| name.starts_with(prefix)));
        }
        findings
    }

    fn wait_until(&mut self, what: &str, condition: impl Fn(&Self) -> bool) -> Result<time::Duration, String> {
        let begin = time::Instant::now();
        while !condition(self) {
            if let Some(name) = self.processes.ended().first() {
                let logs = self.processes.log_ends(5).join("\n");
                return Err(format!("{name} exited unexpectedly\n{logs}"));
            }
            if begin.elapsed() > READY_TIMEOUT {
                return Err(format!("timed out after {READY_TIMEOUT:?} waiting for {what}"));
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(begin.elapsed())
    }
}

/// Queries.
impl BenchFleet {
    /// Returns the addresses of a daemon.
    #[must_use]
    pub fn addresses(&self, index: usize) -> demo_plan::DemoAddresses {
        self.addresses[index]
    }

    /// Returns the address of the backend server.
    #[must_use]
    pub fn backend(&self) -> net::SocketAddr {
        self.backend
    }

    /// Returns the process id of a daemon, or 0 if it has not been started.
    #[must_use]
    pub fn process_id(&self, index: usize) -> u32 {
        self.processes.id(&format!("daemon-{index}")).unwrap_or_default()
    }

    /// Returns the resource usage of a daemon.
    ///
    /// # Errors
    /// Returns an error if the daemon has ended or a value is missing in `/proc`.
    pub fn usage(&self, index: usize) -> Result<process_usage::ProcessUsage, String> {
        process_usage::read(self.process_id(index)).map_err(|error| format!("daemon-{index}: {error}"))
    }

    /// Returns the processor time of a daemon's running threads with one of these names.
    #[must_use]
    pub fn thread_processor_time(&self, index: usize, names: &[&str]) -> time::Duration {
        process_usage::thread_processor_time(self.process_id(index), names)
    }

    /// Returns the bytes of the first daemon's control traffic in both directions and the source of the count: the
    /// daemon's metrics if it exports them, else the relays, which miss UDP and pushed configuration.
    #[must_use]
    pub fn control_bytes(&self) -> (f64, &'static str) {
        let metrics = self.get(&format!("http://{}/metrics", self.addresses[0].api));
        let lines = metrics.iter().flat_map(|text| text.lines());
        let counted: Vec<f64> = lines
            .filter(|line| line.starts_with("damasktrack_control_bytes"))
            .filter_map(|line| line.rsplit(' ').next()?.parse().ok())
            .collect();
        if counted.is_empty() {
            let bytes: u64 = self.relays.iter().map(bench_relay::BenchRelay::bytes).sum();
            (bytes as f64, "relays")
        } else {
            (counted.iter().sum(), "metrics")
        }
    }

    /// Returns the store's counts of reads and writes, in this order; zero if they can't be fetched.
    #[must_use]
    pub fn store_stats(&self) -> (f64, f64) {
        let stats = self.get(&format!("http://{}/control/stats", self.store));
        let stats: serde_json::Value = serde_json::from_str(&stats.unwrap_or_default()).unwrap_or_default();
        let count = |name: &str| stats[name].as_f64().unwrap_or_default();
        (count("reads"), count("writes"))
    }

    fn revision(&self, index: usize) -> Option<u64> {
        let text = self.get(&format!("http://{}/ready", self.addresses[index].api))?;
        let body: serde_json::Value = serde_json::from_str(&text).ok()?;
        body["revision"].as_u64()
    }

    fn has_converged(&self, index: usize) -> bool {
        let api = self.addresses[index].api;
        let ready = self.get(&format!("http://{api}/ready"));
        let daemons = self.get(&format!("http://{api}/v1/daemons"));
        let daemons: serde_json::Value = serde_json::from_str(&daemons.unwrap_or_default()).unwrap_or_default();
        let items = daemons["items"].as_array().into_iter().flatten();
        let up = items.filter(|item| item["status"]["state"] == "up").count();
        ready.is_some_and(|text| text.contains("\"ready\":true")) && up >= self.options.daemons
    }

    fn get(&self, url: &str) -> Option<String> {
        let request = self.agent.get(url);
        let mut response = request
            .header("Authorization", format!("Bearer {OPERATOR_KEY}"))
            .call()
            .ok()?;
        response.body_mut().read_to_string().ok()
    }
}

impl Drop for BenchFleet {
    fn drop(&mut self) {
        // Settings and logs aren't needed after a measurement; a directory that can't be removed does no harm.
        drop(fs::remove_dir_all(&self.directory));
    }
}

/// Identical requests to send at an even rate.
#[derive(Clone, Debug)]
pub struct FleetLoad {
    /// Address of a daemon's entry or of the backend server.
    pub address: net::SocketAddr,
    /// HTTP method.
    pub method: &'static str,
    /// URL path with query.
    pub path: String,
    /// Source of request ids.
    pub key: load_mix::KeyMode,
    /// Requests per second.
    pub rate: f64,
    /// Time during which requests are sent.
    pub length: time::Duration,
    /// Maximum number of concurrent requests, and of connections.
    pub concurrency: usize,
}

/// Results of requests.
#[derive(Clone, Debug, Default)]
pub struct LoadResult {
    /// Latencies of complete responses in ms, in ascending order.
    pub latencies: Vec<f64>,
    /// Number of requests without a complete response.
    pub incomplete: u64,
    /// Complete responses per second, up to the end of the last request.
    pub rate: f64,
}

impl LoadResult {
    /// Returns the latency at a quantile between 0 and 1, by the nearest rank; NaN without complete responses.
    #[must_use]
    pub fn percentile(&self, quantile: f64) -> f64 {
        let last = self.latencies.len().saturating_sub(1);
        let index = round_to_index(last as f64 * quantile, last);
        self.latencies.get(index).copied().unwrap_or(f64::NAN)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value lies between 0 and the greatest index"
)]
fn round_to_index(value: f64, last: usize) -> usize {
    (value.round().max(0.0) as usize).min(last)
}

fn declarations() -> Vec<serde_json::Value> {
    let class = |name: &str, method: &str, path: &str, idempotent: bool| {
        json!({"kind": "Class", "name": name, "spec": {
            "importance": 8, "critical": false, "idempotent": idempotent, "lane": "short", "chain": "bench",
            "cross_region": true, "routes": [{"service": SERVICE, "method": method, "path_prefix": path}]}})
    };
    vec![
        json!({"kind": "Service", "name": SERVICE, "spec": {"slots": 1000}}),
        json!({"kind": "Chain", "name": "bench",
            "spec": {"max_depth": 4, "deadline_ms": 60_000, "retry_allowance": 2}}),
        class("quick", "GET", "/", true),
        class("slow", "GET", "/slow", true),
        class("action", "POST", "/", false),
        json!({"kind": "Tenant", "name": "default", "spec": {"weight": 1}}),
    ]
}

/// Finds free ports and reserves them with sockets that are bound but don't listen. 64 daemons hold some 4,000
/// connections, whose local ports would otherwise soon collide with those of daemons that start later.
fn reserve_addresses() -> io::Result<(demo_plan::DemoAddresses, Vec<socket2::Socket>)> {
    let mut sockets = Vec::new();
    let mut found = Vec::new();
    while found.len() < 4 {
        let tcp = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        tcp.bind(&net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)).into())?;
        let address = tcp.local_addr()?;
        // The peer port must be free for both TCP and UDP.
        let udp = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::DGRAM, None)?;
        if udp.bind(&address).is_ok() {
            found.extend(address.as_socket());
            sockets.extend([tcp, udp]);
        }
    }
    let addresses = demo_plan::DemoAddresses {
        entry: found[0],
        peer: found[1],
        api: found[2],
        backend: found[3],
    };
    Ok((addresses, sockets))
}

fn error_text(error: impl std::fmt::Display) -> String {
    error.to_string()
}
