//! A small deployment: a store, and machines with a daemon and a backend server each.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;

use crate::clock;
use crate::daemon;
use crate::daemon::Daemon;
use crate::daemon::DaemonPlan;
use crate::record::Record;
use crate::server::Server;
use crate::store::Store;

pub struct Site {
    pub store: Store,
    pub daemons: Vec<Daemon>,
    pub servers: Vec<Arc<Server>>,
    pub folder: PathBuf,
    pub record: Record,
}

/// First three bytes of addresses that no other run uses.
fn free_block() -> Option<[u8; 3]> {
    let seed = std::process::id() as u128 + clock::unix_ms();
    (0..50)
        .map(|index| seed.wrapping_mul(31).wrapping_add(index * 7919))
        .find_map(|number| {
            let block = [127, (number % 200 + 20) as u8, (number / 200 % 250 + 1) as u8];
            let ports = [daemon::STORE_PORT, daemon::OUTBOUND_PORT, daemon::INTERNAL_PORT];
            let free = |port| TcpListener::bind((Ipv4Addr::new(block[0], block[1], block[2], 1), port)).is_ok();
            ports.into_iter().all(free).then_some(block)
        })
}

impl Site {
    /// Starts a machine for each service, and waits until all daemons are ready.
    pub fn start(case: &str, record: &Record, config: &str, services: &[&str], memory_mb: u32) -> Result<Self, String> {
        Self::start_with_bounds(case, record, config, services, memory_mb, "")
    }

    /// Starts a deployment as [`Self::start`] does; `bounds` has further lines of the section `Bounds` of the settings.
    pub fn start_with_bounds(
        case: &str,
        record: &Record,
        config: &str,
        services: &[&str],
        memory_mb: u32,
        bounds: &str,
    ) -> Result<Self, String> {
        let block = free_block().ok_or("no free loopback addresses")?;
        let ip = |last: u8| Ipv4Addr::new(block[0], block[1], block[2], last);
        let folder = std::env::temp_dir().join(format!("damasktrack-review-{case}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let store = Store::start(SocketAddr::new(ip(250).into(), daemon::STORE_PORT), record);
        let store = store.map_err(|error| format!("store: {error}"))?;
        store.configure(config);
        let mut site = Self {
            store,
            daemons: Vec::new(),
            servers: Vec::new(),
            folder,
            record: record.clone(),
        };
        for (index, service) in (1_u8..).zip(services) {
            site.add(index, ip(index), service, memory_mb, bounds)
                .map_err(|error| error.to_string())?;
        }
        for index in 0..services.len() {
            if !clock::wait_for(15_000, || site.daemons[index].is_ready()) {
                return Err(format!("daemon {index} is not ready; {}", site.folder.display()));
            }
        }
        Ok(site)
    }

    fn add(&mut self, index: u8, ip: Ipv4Addr, service: &str, memory_mb: u32, bounds: &str) -> std::io::Result<()> {
        let name = format!("sidecar-{index}");
        let plan = DaemonPlan {
            name: &name,
            ip,
            store: self.store.address,
            zone: "east-a",
            region: "dk-east",
            service,
            memory_mb,
            bounds,
            folder: &self.folder,
        };
        let mut daemon = Daemon::new(&plan)?;
        let server = Server {
            service: service.to_owned(),
            instance: format!("i-{index}"),
            address: daemon.socket(daemon::APP_PORT),
            control: daemon.socket(daemon::CONTROL_PORT),
            zone: "east-a".to_owned(),
            slots: 42,
            born: clock::unix_ms(),
            work_ms: AtomicU64::new(5),
            body_pause_ms: AtomicU64::new(0),
            heartbeats: AtomicBool::new(true),
            state: Mutex::new("ready"),
            sequence: AtomicU64::new(0),
            runs: Mutex::default(),
            heads: Mutex::default(),
            record: self.record.clone(),
        };
        daemon.start()?;
        self.servers.push(server.start()?);
        self.daemons.push(daemon);
        Ok(())
    }

    /// Removes the folder of the settings and logs.
    pub fn remove_folder(&self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }

    pub fn folder(&self) -> &Path {
        &self.folder
    }
}
