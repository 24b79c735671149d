//! A small deployment of the platform on loopback: one store, and VMs with a daemon and a backend server each.

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

// The ports are the same on every VM; the VMs differ in their loopback address.
const ENTRY_PORT: u16 = 18_304;
const BACKEND_SERVER_PORT: u16 = 18_301;
const METRICS_PORT: u16 = 9_464;
const READY_PORT: u16 = 18_302;
const CONTROL_PORT: u16 = 18_306;
const FIRST_INTERNAL_PORT: u16 = 17_620;
const STORE_PORT: u16 = 18_309;
/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(300);
/// Bound on the wait in [`PlatformSite::wait_for`].
const STATE_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Bound on a caller's request.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Default capacity of a pipe on Linux.
const PIPE_CAPACITY_BYTES: usize = 65_536;

/// Number of the next site of this process; part of the addresses and of the folder's name.
static NEXT_SITE_NUMBER: atomic::AtomicU8 = atomic::AtomicU8::new(1);

/// Description of a VM to start.
#[derive(Clone)]
pub struct VmPlan {
    /// Service that the backend server belongs to.
    pub service: &'static str,
    /// Region of the VM; its data centre is `{region}-a`.
    pub region: &'static str,
    /// Slots that the backend server reports.
    pub slots: u32,
    /// What the backend server does with each request.
    pub script: sync::Arc<platform_backend::BackendScript>,
    /// Text that is appended to the settings file, such as a section `[Limits]`.
    pub settings: &'static str,
}

/// A VM with a daemon and a backend server.
pub struct SiteVm {
    /// Backend server; it runs until the process ends.
    pub backend: platform_backend::PlatformBackend,
    address: net::Ipv4Addr,
    settings: path::PathBuf,
    /// `None` while no daemon runs.
    daemon: Option<process::Child>,
    /// State that the heartbeats report; no heartbeats are sent while it is empty.
    state: sync::Arc<sync::Mutex<String>>,
}

/// A running deployment. Dropping it stops the heartbeats and kills the daemons.
pub struct PlatformSite {
    /// Store that all daemons use.
    pub store: platform_store::PlatformStore,
    /// VMs in the order of their plans; the methods take an index into this list.
    pub vms: Vec<SiteVm>,
    program: path::PathBuf,
    /// Folder of the settings and logs; it is kept after the end.
    folder: path::PathBuf,
}

impl std::fmt::Debug for PlatformSite {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PlatformSite")
            .field("folder", &self.folder)
            .finish_non_exhaustive()
    }
}

impl std::fmt::Debug for VmPlan {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("VmPlan")
            .field("service", &self.service)
            .finish_non_exhaustive()
    }
}

impl std::fmt::Debug for SiteVm {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("SiteVm")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

/// A caller that sends requests to the entries of all daemons.
#[derive(Clone, Debug)]
pub struct SiteCaller {
    entries: Vec<net::SocketAddr>,
    /// Keeps connections open between requests; if `None`, each request has a connection of its own.
    agent: Option<ureq::Agent>,
}

/// Response of a daemon to a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteAnswer {
    /// Status code.
    pub status: u16,
    /// Body as UTF-8 text.
    pub body: String,
    /// Whether the response has the seal of the backend server.
    pub sealed: bool,
    /// Value of `Retry-After` in seconds; `None` if it is missing or malformed.
    pub retry_after: Option<f64>,
}

/// Commands.
impl PlatformSite {
    /// Starts the store and all VMs with the daemon `program`; `config` is the operator's configuration.
    ///
    /// # Errors
    /// Returns an error if a socket, file or process can't be opened.
    pub fn start(program: &path::Path, config: &str, plans: &[VmPlan]) -> io::Result<Self> {
        Self::start_with_bounds(program, config, plans, "")
    }

    /// Starts a deployment like [`Self::start`]. `bounds` has further lines of the section `Bounds` of all settings.
    ///
    /// # Errors
    /// Returns an error if a socket, file or process can't be opened.
    pub fn start_with_bounds(program: &path::Path, config: &str, plans: &[VmPlan], bounds: &str) -> io::Result<Self> {
        let number = NEXT_SITE_NUMBER.fetch_add(1, atomic::Ordering::SeqCst);
        // Test processes run concurrently; the block taken from the process id separates their addresses.
        let block = u8::try_from(process::id() % 120).unwrap_or(0) + 2;
        let folder = std::env::temp_dir().join(format!("damasktrack-site-{}-{number}", process::id()));
        fs::create_dir_all(&folder)?;
        let store_address = net::SocketAddr::new(net::Ipv4Addr::new(127, block, number, 250).into(), STORE_PORT);
        let store = platform_store::PlatformStore::start(store_address)?;
        store.put("op", "config", config);
        let mut site = Self {
            store,
            vms: Vec::new(),
            program: program.to_owned(),
            folder,
        };
        for (index, plan) in (1..).zip(plans) {
            let address = net::Ipv4Addr::new(127, block, number, index);
            let vm = SiteVm::start(&site, address, usize::from(index), plan, bounds)?;
            site.vms.push(vm);
            let last = site.vms.len() - 1;
            site.start_daemon(last)?;
        }
        Ok(site)
    }

    /// Starts the daemon of a VM and appends its standard output to the VM's log file.
    ///
    /// # Errors
    /// Returns an error if the process can't be started.
    pub fn start_daemon(&mut self, vm: usize) -> io::Result<()> {
        let vm = &mut self.vms[vm];
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(vm.settings.with_extension("log"))?;
        let child = process::Command::new(&self.program)
            .env("DAMASKTRACK_CONFIG", &vm.settings)
            .stdin(process::Stdio::null())
            .stdout(log)
            .stderr(process::Stdio::null())
            .spawn()?;
        vm.daemon = Some(child);
        Ok(())
    }

    /// Starts the daemon of a VM with a full pipe as standard output. Writes to it block while the returned end of the
    /// pipe is neither read nor dropped.
    ///
    /// # Errors
    /// Returns an error if the pipe or the process can't be created.
    pub fn start_daemon_with_full_stdout(&mut self, vm: usize) -> io::Result<io::PipeReader> {
        let (reader, mut writer) = io::pipe()?;
        writer.write_all(&vec![b'\n'; PIPE_CAPACITY_BYTES])?;
        let vm = &mut self.vms[vm];
        let child = process::Command::new(&self.program)
            .env("DAMASKTRACK_CONFIG", &vm.settings)
            .stdin(process::Stdio::null())
            .stdout(writer)
            .stderr(process::Stdio::null())
            .spawn()?;
        vm.daemon = Some(child);
        Ok(reader)
    }

    /// Kills the daemon of a VM and waits until it has exited; has no effect if none runs.
    pub fn kill_daemon(&mut self, vm: usize) {
        if let Some(mut daemon) = self.vms[vm].daemon.take() {
            // An error means that the process has already exited.
            let _killed = daemon.kill();
            let _status = daemon.wait();
        }
    }

    /// Sends SIGTERM to the daemon of a VM.
    ///
    /// # Errors
    /// Returns an error if the signal can't be sent.
    pub fn terminate_daemon(&self, vm: usize) -> io::Result<()> {
        self.signal_daemon(vm, "TERM")
    }

    /// Sends a signal, by its name without `SIG`, to the daemon of a VM.
    ///
    /// # Errors
    /// Returns an error if no daemon runs there or the signal can't be sent.
    pub fn signal_daemon(&self, vm: usize, signal: &str) -> io::Result<()> {
        let daemon = self.vms[vm].daemon.as_ref();
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
            Err(io::Error::other("kill exited with an error"))
        }
    }

    /// Waits until the daemon of a VM exits, and returns whether its exit status is 0; true if none runs.
    ///
    /// # Errors
    /// Returns the error of the wait for the process.
    pub fn await_end(&mut self, vm: usize) -> io::Result<bool> {
        let Some(mut daemon) = self.vms[vm].daemon.take() else {
            return Ok(true);
        };
        Ok(daemon.wait()?.success())
    }

    /// Waits until `probe` returns true; `what` describes that state.
    ///
    /// # Panics
    /// Panics with the folder of the logs if the state is not reached within 20 s.
    pub fn wait_for(&self, what: &str, probe: impl Fn(&Self) -> bool) {
        let deadline = time::Instant::now() + STATE_TIMEOUT;
        while !probe(self) {
            assert!(
                time::Instant::now() < deadline,
                "state not reached within {STATE_TIMEOUT:?}: {what}; logs in {}",
                self.folder.display()
            );
            thread::sleep(time::Duration::from_millis(50));
        }
    }
}

/// Queries.
impl PlatformSite {
    /// Returns whether the daemon of a VM reports that it is ready.
    #[must_use]
    pub fn is_ready(&self, vm: usize) -> bool {
        let address = self.vms[vm].socket(READY_PORT);
        agent(time::Duration::from_secs(1))
            .get(format!("http://{address}/ready"))
            .call()
            .is_ok_and(|response| response.status() == 200)
    }

    /// Sends a request to the daemon of a VM; `None` if there is no response.
    #[must_use]
    pub fn call(&self, vm: usize, method: &str, host: &str, path: &str, id: &str) -> Option<SiteAnswer> {
        self.caller().call(vm, method, host, path, id)
    }

    /// Returns a caller that does not borrow the site, so that it can send requests while daemons are stopped and
    /// started.
    #[must_use]
    pub fn caller(&self) -> SiteCaller {
        SiteCaller {
            entries: self.vms.iter().map(SiteVm::entry).collect(),
            agent: None,
        }
    }

    /// Returns the log of a VM's daemon over all its starts, without those of [`Self::start_daemon_with_full_stdout`].
    ///
    /// # Errors
    /// Returns an error if the file can't be read.
    pub fn log(&self, vm: usize) -> io::Result<String> {
        fs::read_to_string(self.vms[vm].settings.with_extension("log"))
    }

    /// Returns the metrics of a VM's daemon; `None` if there is no response.
    #[must_use]
    pub fn metrics(&self, vm: usize) -> Option<String> {
        let address = self.vms[vm].socket(METRICS_PORT);
        let response = agent(CALL_TIMEOUT).get(format!("http://{address}/metrics")).call();
        response.ok()?.body_mut().read_to_string().ok()
    }

    /// Returns the quotas of the tenants, or of one, at a VM's daemon; `None` if there is no such document.
    #[must_use]
    pub fn quotas(&self, vm: usize, tenant: Option<&str>) -> Option<serde_json::Value> {
        let address = self.vms[vm].socket(METRICS_PORT);
        let mut request = agent(CALL_TIMEOUT).get(format!("http://{address}/tenants"));
        if let Some(tenant) = tenant {
            request = request.header("damasktrack-tenant", tenant);
        }
        let text = request.call().ok()?.body_mut().read_to_string().ok()?;
        serde_json::from_str(&text).ok()
    }

    /// Returns the resident memory of a VM's daemon in KiB.
    ///
    /// # Errors
    /// Returns an error if no daemon runs there or its state can't be read.
    pub fn resident_kb(&self, vm: usize) -> io::Result<u64> {
        self.memory_kb(vm, "VmRSS:")
    }

    /// Returns the largest resident memory of a VM's daemon since its start, in KiB.
    ///
    /// # Errors
    /// Returns an error if no daemon runs there or its state can't be read.
    pub fn peak_resident_kb(&self, vm: usize) -> io::Result<u64> {
        self.memory_kb(vm, "VmHWM:")
    }

    /// Returns the process id of a VM's daemon.
    ///
    /// # Errors
    /// Returns an error if no daemon was started there.
    pub fn daemon_pid(&self, vm: usize) -> io::Result<u32> {
        let daemon = self.vms[vm].daemon.as_ref();
        daemon
            .map(process::Child::id)
            .ok_or_else(|| io::Error::other("no daemon runs"))
    }

    fn memory_kb(&self, vm: usize, field: &str) -> io::Result<u64> {
        let id = self.daemon_pid(vm)?;
        let status = fs::read_to_string(format!("/proc/{id}/status"))?;
        let line = status.lines().find_map(|line| line.strip_prefix(field));
        let number = line.and_then(|text| text.split_whitespace().next()?.parse().ok());
        number.ok_or_else(|| io::Error::other(format!("{field} is missing or malformed")))
    }

    /// Returns the folder of the settings and logs.
    #[must_use]
    pub fn folder(&self) -> &path::Path {
        &self.folder
    }
}

impl SiteCaller {
    /// Returns a caller with connections of its own, which stay open between its requests until the daemon closes them.
    #[must_use]
    pub fn keeping_connections(&self) -> Self {
        Self {
            entries: self.entries.clone(),
            agent: Some(agent(CALL_TIMEOUT)),
        }
    }

    /// Sends a request to the daemon of a VM; `None` if there is no response.
    #[must_use]
    pub fn call(&self, vm: usize, method: &str, host: &str, path: &str, id: &str) -> Option<SiteAnswer> {
        self.call_with(vm, method, host, path, id, &[])
    }

    /// Sends a request with further headers to the daemon of a VM; `None` if there is no response.
    #[must_use]
    pub fn call_with(
        &self,
        vm: usize,
        method: &str,
        host: &str,
        path: &str,
        id: &str,
        headers: &[(&str, &str)],
    ) -> Option<SiteAnswer> {
        let address = self.entries[vm];
        let mut request = ureq::http::Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("Host", host)
            .header(platform_backend::ATTEMPT_ID, id)
            .header(platform_backend::DEADLINE_MS, "5000");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body("body").ok()?;
        let agent = self.agent.clone().unwrap_or_else(|| agent(CALL_TIMEOUT));
        let mut response = agent.run(request).ok()?;
        let header = |name: &str| response.headers().get(name).and_then(|value| value.to_str().ok());
        let sealed = header(platform_backend::RESPONSE_SEAL).is_some();
        let retry_after = header("Retry-After").and_then(|text| text.parse().ok());
        let status = response.status().as_u16();
        Some(SiteAnswer {
            status,
            sealed,
            retry_after,
            body: response.body_mut().read_to_string().ok()?,
        })
    }
}

impl Drop for PlatformSite {
    fn drop(&mut self) {
        for vm in 0..self.vms.len() {
            self.vms[vm].set_reported_state("");
            self.kill_daemon(vm);
        }
    }
}

impl SiteVm {
    fn start(
        site: &PlatformSite,
        address: net::Ipv4Addr,
        index: usize,
        plan: &VmPlan,
        bounds: &str,
    ) -> io::Result<Self> {
        let server = net::SocketAddr::new(address.into(), BACKEND_SERVER_PORT);
        let instance = format!("i-{index}");
        let script = sync::Arc::clone(&plan.script);
        let data_centre = format!("{}-a", plan.region);
        let backend = platform_backend::PlatformBackend::start(server, plan.service, &data_centre, &instance, script)?;
        let settings = site.folder.join(format!("machine-{index}.toml"));
        fs::write(
            &settings,
            settings_text(site.store.address(), address, index, plan, bounds),
        )?;
        let vm = Self {
            backend,
            address,
            settings,
            daemon: None,
            state: sync::Arc::new(sync::Mutex::new("ready".to_owned())),
        };
        let (sender, state) = (vm.backend.clone(), sync::Arc::clone(&vm.state));
        let (control, slots) = (vm.socket(CONTROL_PORT), plan.slots);
        thread::spawn(move || {
            for sequence in 1.. {
                let reported = state.lock().unwrap_or_else(sync::PoisonError::into_inner).clone();
                if !reported.is_empty() && !sender.is_down() {
                    // A failed heartbeat is not repeated, since the next one follows after `HEARTBEAT_INTERVAL`.
                    let _status = sender.send_heartbeat(control, &reported, sequence, slots);
                }
                thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
        Ok(vm)
    }

    /// Sets the state that the heartbeats report; an empty text stops the heartbeats.
    pub fn set_reported_state(&self, state: &str) {
        let mut reported = self.state.lock().unwrap_or_else(sync::PoisonError::into_inner);
        state.clone_into(&mut reported);
    }

    /// Returns the control address of the daemon, which takes heartbeats and deregistrations.
    #[must_use]
    pub fn control(&self) -> net::SocketAddr {
        self.socket(CONTROL_PORT)
    }

    /// Returns the entry address of the daemon, which takes requests of callers.
    #[must_use]
    pub fn entry(&self) -> net::SocketAddr {
        self.socket(ENTRY_PORT)
    }

    /// Returns the peer address of the daemon, which takes requests of other daemons.
    #[must_use]
    pub fn peer(&self) -> net::SocketAddr {
        self.socket(FIRST_INTERNAL_PORT)
    }

    /// Returns the address of the backend server.
    #[must_use]
    pub fn server(&self) -> net::SocketAddr {
        self.socket(BACKEND_SERVER_PORT)
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

fn settings_text(store: net::SocketAddr, address: net::Ipv4Addr, index: usize, plan: &VmPlan, bounds: &str) -> String {
    let (service, region, appended) = (plan.service, plan.region, plan.settings);
    format!(
        r#"Node = "machine-{index}"
Ip = "{address}"
Zone = "{region}-a"
Region = "{region}"
InternalPorts = [{FIRST_INTERNAL_PORT}, 17635]
Seeds = []
AppAddr = "{address}:{BACKEND_SERVER_PORT}"
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
{bounds}

[Platform]
Address = "{store}"

{appended}
"#
    )
}
