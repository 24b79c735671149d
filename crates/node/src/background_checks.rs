//! Threads that look around at intervals: the health of the backend server, and the identity of peers.

use std::io;
use std::sync;
use std::thread;
use std::time;

use crate::core_command;
use crate::node_shared;
use crate::peer_directory;

/// Failed health checks in a row before the backend server counts as down; one slow answer under load is not enough.
const FAILURES_UNTIL_DOWN: u32 = 3;
/// Interval of the questions to seeds, while one of them has not answered and afterwards.
const SEED_INTERVAL: time::Duration = time::Duration::from_millis(200);
const SEED_INTERVAL_SETTLED: time::Duration = time::Duration::from_secs(1);

/// Starts the threads.
///
/// # Errors
/// Returns an error if a thread can't be started.
pub fn start(shared: &sync::Arc<node_shared::NodeShared>) -> io::Result<()> {
    if shared.backend.is_some() {
        let shared = sync::Arc::clone(shared);
        thread::Builder::new()
            .name("health".to_owned())
            .spawn(move || check_backend_server(&shared))?;
    }
    if !shared.settings.seeds.is_empty() {
        let shared = sync::Arc::clone(shared);
        thread::Builder::new()
            .name("seeds".to_owned())
            .spawn(move || ask_seeds(&shared))?;
    }
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

fn ask_seeds(shared: &node_shared::NodeShared) {
    loop {
        let mut missing = false;
        for seed in &shared.settings.seeds {
            let answer = shared
                .peers
                .message::<_, Vec<peer_directory::PeerIdentity>>(*seed, "/peer/members", &());
            match answer {
                Ok(peers) => shared.core.send(core_command::CoreCommand::PeersLearned(peers)),
                Err(error) => {
                    log::debug!(seed:% = seed, error:% = error; "seed did not answer");
                    missing = true;
                }
            }
        }
        thread::sleep(if missing { SEED_INTERVAL } else { SEED_INTERVAL_SETTLED });
    }
}
