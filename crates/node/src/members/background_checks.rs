//! Periodic background threads: health checks of the backend server and clean-up of unused peer connections.

use std::io;
use std::sync;
use std::thread;
use std::time;

use crate::core::core_command;
use crate::shared::node_shared;

/// Consecutive failed health checks after which the backend server counts as down. A single slow response under load
/// must not suffice.
const FAILURES_UNTIL_DOWN: u32 = 3;

/// Interval at which unused connection pools of peers are dropped.
const POOL_CLEANUP_INTERVAL: time::Duration = time::Duration::from_secs(15);

/// Starts the health check thread, if a backend server is set, and the thread that drops unused pools.
///
/// # Errors
/// Returns an error if the system can't start a thread.
pub fn start(shared: &sync::Arc<node_shared::NodeShared>) -> io::Result<()> {
    if shared.backend.is_some() {
        let shared = sync::Arc::clone(shared);
        thread::Builder::new()
            .name("health".to_owned())
            .spawn(move || check_backend_server(&shared))?;
    }
    let peers = sync::Arc::clone(&shared.peers);
    thread::Builder::new().name("pools".to_owned()).spawn(move || {
        loop {
            thread::sleep(POOL_CLEANUP_INTERVAL);
            peers.drop_unused();
        }
    })?;
    Ok(())
}

fn check_backend_server(shared: &node_shared::NodeShared) {
    let (Some(backend), Some(settings)) = (&shared.backend, &shared.settings.backend_server) else {
        return;
    };
    let mut failures = 0;
    loop {
        if backend.is_healthy() {
            failures = 0;
            shared.core.send(core_command::CoreCommand::BackendServerChecked(true));
        } else {
            failures += 1;
            if failures >= FAILURES_UNTIL_DOWN {
                shared.core.send(core_command::CoreCommand::BackendServerChecked(false));
            }
        }
        thread::sleep(settings.health_interval);
    }
}
