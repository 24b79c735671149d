//! A small deployment of the platform on loopback: one store, and machines with a daemon and a backend server each.

use std::fs;
use std::io;
use std::io::Write;
use std::net;
use std::path;
use std::process;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use crate::platform_backend;
use crate::platform_store;

/// Ports, the same on every machine; machines differ in their loopback address.
const ENTRY_PORT: u16 = 18_304;
const SERVER_PORT: u16 = 18_301;
const READY_PORT: u16 = 18_302;
const CONTROL_PORT: u16 = 18_306;
const FIRST_INTERNAL_PORT: u16 = 17_620;
const STORE_PORT: u16 = 18_309;
/// Time between two heartbeats.
const BEAT_INTERVAL: time::Duration = time::Duration::from_millis(300);
/// Longest wait for a state that a test needs.
const STATE_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Bytes that a pipe holds on Linux unless it was told otherwise.
const PIPE_BYTES: usize = 65_536;

/// Distinguishes the sites of one process.
static NEXT_SITE: atomic::AtomicU8 = atomic::AtomicU8::new(1);

/// A machine to start.
#[derive(Clone)]
pub struct MachinePlan {
    /// Service of its backend server.
    pub service: &'static str,
    /// Region.
    pub region: &'static str,
    /// Slots that the backend server reports.
    pub slots: u32,
    /// What the backend server does.
    pub script: sync::Arc<platform_backend::BackendScript>,
}

/// A machine that runs.
pub struct SiteMachine {
    /// Its backend server.
    pub backend: platform_backend::PlatformBackend,
    address: net::Ipv4Addr,
    settings: path::PathBuf,
    daemon: Option<process::Child>,
    /// State that the heartbeats report; empty stops them.
    state: sync::Arc<sync::Mutex<String>>,
}

/// A running deployment. Its drop ends the daemons.
pub struct PlatformSite {
    /// The store.
    pub store: platform_store::PlatformStore,
    /// The machines, in the order of their plans.
    pub machines: Vec<SiteMachine>,
    program: path::PathBuf,
    folder: path::PathBuf,
}

impl std::fmt::Debug for PlatformSite {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PlatformSite")
            .field("folder", &self.folder)
            .finish_non_exhaustive()
    }
}

impl std::fmt::Debug for MachinePlan {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("MachinePlan")
            .field("service", &self.service)
            .finish_non_exhaustive()
    }
}

impl std::fmt::Debug for SiteMachine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("SiteMachine")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

/// Addresses at which the daemons take requests of callers.
#[derive(Clone, Debug)]
pub struct SiteCaller {
    entries: Vec<net::SocketAddr>,
}

/// Answer of a daemon to a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteAnswer {
    /// Status.
    pub status: u16,
    /// Body.
    pub body: String,
    /// Whether the backend server's signature is present.
    pub sealed: bool,
    /// Seconds after which the caller is asked to come back.
    pub retry_after: Option<f64>,
}

/// Commands.
impl PlatformSite {
    /// Starts the store and all machines, with `config` as the operator's configuration.
    ///
    /// # Errors
    /// Returns an error if a socket, file or process can't be opened.
    pub fn start(program: &path::Path, config: &str, plans: &[MachinePlan]) -> io::Result<Self> {
        let number = NEXT_SITE.fetch_add(1, atomic::Ordering::SeqCst);
        // Tests of several processes run at once; the process id keeps their addresses apart.
        let block = u8::try_from(process::id() % 120).unwrap_or(0) + 2;
        let folder = std::env::temp_dir().join(format!("damasktrack-site-{}-{number}", process::id()));
        fs::create_dir_all(&folder)?;
        let store_address = net::SocketAddr::new(net::Ipv4Addr::new(127, block, number, 250).into(), STORE_PORT);
        let store = platform_store::PlatformStore::start(store_address)?;
        store.put("op", "config", config);
        let mut site = Self {
            store,
            machines: Vec::new(),
            program: program.to_owned(),
            folder,
        };
        for (index, plan) in (1..).zip(plans) {
            let address = net::Ipv4Addr::new(127, block, number, index);
            let machine = SiteMachine::start(&site, address, usize::from(index), plan)?;
            site.machines.push(machine);
            let last = site.machines.len() - 1;
            site.start_daemon(last)?;
        }
        Ok(site)
    }

    /// Starts the daemon of a machine again.
    ///
    /// # Errors
    /// Returns an error if the process can't be started.
    pub fn start_daemon(&mut self, machine: usize) -> io::Result<()> {
        let machine = &mut self.machines[machine];
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(machine.settings.with_extension("log"))?;
        let child = process::Command::new(&self.program)
            .env("DAMASKTRACK_CONFIG", &machine.settings)
            .stdin(process::Stdio::null())
            .stdout(log)
            .stderr(process::Stdio::null())
            .spawn()?;
        machine.daemon = Some(child);
        Ok(())
    }

    /// Starts the daemon of a machine with a standard output that is full already; nobody reads it while the returned
    /// end is kept.
    ///
    /// # Errors
    /// Returns an error if the pipe or the process can't be created.
    pub fn start_daemon_unread(&mut self, machine: usize) -> io::Result<io::PipeReader> {
        let (reader, mut writer) = io::pipe()?;
        writer.write_all(&vec![b'\n'; PIPE_BYTES])?;
        let machine = &mut self.machines[machine];
        let child = process::Command::new(&self.program)
            .env("DAMASKTRACK_CONFIG", &machine.settings)
            .stdin(process::Stdio::null())
            .stdout(writer)
            .stderr(process::Stdio::null())
            .spawn()?;
        machine.daemon = Some(child);
        Ok(reader)
    }

    /// Kills the daemon of a machine.
    pub fn kill_daemon(&mut self, machine: usize) {
        if let Some(mut daemon) = self.machines[machine].daemon.take() {
            // A daemon that has ended already is what is wanted.
            let _ended = daemon.kill();
            let _status = daemon.wait();
        }
    }

    /// Sends SIGTERM to the daemon of a machine.
    ///
    /// # Errors
    /// Returns an error if the signal can't be sent.
    pub fn terminate_daemon(&self, machine: usize) -> io::Result<()> {
        self.signal_daemon(machine, "TERM")
    }

    /// Sends a signal, by its name without `SIG`, to the daemon of a machine.
    ///
    /// # Errors
    /// Returns an error if no daemon runs there or the signal can't be sent.
    pub fn signal_daemon(&self, machine: usize, signal: &str) -> io::Result<()> {
        let daemon = self.machines[machine].daemon.as_ref();
        let id = daemon
            .map(process::Child::id)
            .ok_or_else(|| io::Error::other("no daemon runs"))?;
        let status = process::Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(id.to_string())
            .status()?;
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other("kill failed"))
        }
    }

    /// Waits until the daemon of a machine has ended, and returns whether it ended well.
    ///
    /// # Errors
    /// Returns an error if the process can't be awaited.
    pub fn await_end(&mut self, machine: usize) -> io::Result<bool> {
        let Some(mut daemon) = self.machines[machine].daemon.take() else {
            return Ok(true);
        };
        Ok(daemon.wait()?.success())
    }

    /// Waits until every machine is ready and `probe` holds; panics after a long time.
    ///
    /// # Panics
    /// Panics if the state is not reached, with the folder of the logs.
    pub fn settle(&self, what: &str, probe: impl Fn(&Self) -> bool) {
        let end = time::Instant::now() + STATE_TIMEOUT;
        while !probe(self) {
            assert!(
                time::Instant::now() < end,
                "not reached: {what}; logs in {}",
                self.folder.display()
            );
            thread::sleep(time::Duration::from_millis(50));
        }
    }
}

/// Queries.
impl PlatformSite {
    /// Returns whether a daemon reports ready.
    #[must_use]
    pub fn is_ready(&self, machine: usize) -> bool {
        let address = self.machines[machine].socket(READY_PORT);
        agent(time::Duration::from_secs(1))
            .get(format!("http://{address}/ready"))
            .call()
            .is_ok_and(|answer| answer.status() == 200)
    }

    /// Sends a request to the daemon of a machine; `None` if there is no answer.
    #[must_use]
    pub fn call(&self, machine: usize, method: &str, host: &str, path: &str, id: &str) -> Option<SiteAnswer> {
        self.caller().call(machine, method, host, path, id)
    }

    /// Returns a caller that lives on while machines are stopped and started.
    #[must_use]
    pub fn caller(&self) -> SiteCaller {
        SiteCaller {
            entries: self.machines.iter().map(SiteMachine::entry).collect(),
        }
    }

    /// Returns the log of a machine's daemon.
    ///
    /// # Errors
    /// Returns an error if the file can't be read.
    pub fn log(&self, machine: usize) -> io::Result<String> {
        fs::read_to_string(self.machines[machine].settings.with_extension("log"))
    }

    /// Returns the resident memory of a machine's daemon in KB.
    ///
    /// # Errors
    /// Returns an error if no daemon runs there or its state can't be read.
    pub fn resident_kb(&self, machine: usize) -> io::Result<u64> {
        let daemon = self.machines[machine].daemon.as_ref();
        let id = daemon
            .map(process::Child::id)
            .ok_or_else(|| io::Error::other("no daemon runs"))?;
        let status = fs::read_to_string(format!("/proc/{id}/status"))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|text| text.split_whitespace().next()?.parse().ok());
        number.ok_or_else(|| io::Error::other("no VmRSS"))
    }

    /// Returns where settings and logs lie.
    #[must_use]
    pub fn folder(&self) -> &path::Path {
        &self.folder
    }
}

impl SiteCaller {
    /// Sends a request to the daemon of a machine; `None` if there is no answer.
    #[must_use]
    pub fn call(&self, machine: usize, method: &str, host: &str, path: &str, id: &str) -> Option<SiteAnswer> {
        let address = self.entries[machine];
        let request = ureq::http::Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("Host", host)
            .header(platform_backend::ATTEMPT_ID, id)
            .header(platform_backend::DEADLINE_MS, "5000")
            .body("body")
            .ok()?;
        let mut answer = agent(time::Duration::from_secs(10)).run(request).ok()?;
        let header = |name: &str| answer.headers().get(name).and_then(|value| value.to_str().ok());
        let sealed = header(platform_backend::RESPONSE_SEAL).is_some();
        let retry_after = header("Retry-After").and_then(|text| text.parse().ok());
        let status = answer.status().as_u16();
        Some(SiteAnswer {
            status,
            sealed,
            retry_after,
            body: answer.body_mut().read_to_string().ok()?,
        })
    }
}

impl Drop for PlatformSite {
    fn drop(&mut self) {
        for machine in 0..self.machines.len() {
            self.machines[machine].report("");
            self.kill_daemon(machine);
        }
    }
}

impl SiteMachine {
    fn start(site: &PlatformSite, address: net::Ipv4Addr, index: usize, plan: &MachinePlan) -> io::Result<Self> {
        let server = net::SocketAddr::new(address.into(), SERVER_PORT);
        let instance = format!("i-{index}");
        let script = sync::Arc::clone(&plan.script);
        let backend = platform_backend::PlatformBackend::start(server, plan.service, &instance, script)?;
        let settings = site.folder.join(format!("machine-{index}.toml"));
        fs::write(&settings, settings_text(site.store.address(), address, index, plan))?;
        let machine = Self {
            backend,
            address,
            settings,
            daemon: None,
            state: sync::Arc::new(sync::Mutex::new("ready".to_owned())),
        };
        let (beater, state) = (machine.backend.clone(), sync::Arc::clone(&machine.state));
        let (control, slots) = (machine.socket(CONTROL_PORT), plan.slots);
        thread::spawn(move || {
            for sequence in 1.. {
                let reported = state.lock().unwrap_or_else(sync::PoisonError::into_inner).clone();
                if !reported.is_empty() {
                    // The next heartbeat follows soon.
                    let _status = beater.beat(control, &reported, sequence, slots);
                }
                thread::sleep(BEAT_INTERVAL);
            }
        });
        Ok(machine)
    }

    /// Sets the state that the heartbeats report; an empty text stops them.
    pub fn report(&self, state: &str) {
        let mut reported = self.state.lock().unwrap_or_else(sync::PoisonError::into_inner);
        state.clone_into(&mut reported);
    }

    /// Returns the address for heartbeats.
    #[must_use]
    pub fn control(&self) -> net::SocketAddr {
        self.socket(CONTROL_PORT)
    }

    /// Returns the address for callers.
    #[must_use]
    pub fn entry(&self) -> net::SocketAddr {
        self.socket(ENTRY_PORT)
    }

    fn socket(&self, port: u16) -> net::SocketAddr {
        net::SocketAddr::new(self.address.into(), port)
    }
}

fn agent(timeout: time::Duration) -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(false)
        .allow_non_standard_methods(true)
        .build()
        .into()
}

fn settings_text(store: net::SocketAddr, address: net::Ipv4Addr, index: usize, plan: &MachinePlan) -> String {
    let (service, region) = (plan.service, plan.region);
    format!(
        r#"Node = "machine-{index}"
Ip = "{address}"
Zone = "{region}-a"
Region = "{region}"
InternalPorts = [{FIRST_INTERNAL_PORT}, 17635]
Seeds = []
AppAddr = "{address}:{SERVER_PORT}"
Service = "{service}"
FutureField = "ignored"

[Listen]
Outbound = "{address}:{ENTRY_PORT}"
Ready = "{address}:{READY_PORT}"
Control = "{address}:{CONTROL_PORT}"

[Bounds]
Grace = "6s"
BudgetRatio = 0.2
BudgetWindow = "10s"
BudgetExtraTries = 50

[Platform]
Address = "{store}"
"#
    )
}
