//! Notifications about the configuration, for watches of operators and for the thread that fetches changes.

use std::net;
use std::sync;
use std::time;

use damasktrack_entity::ids;

/// Maximum number of recorded peers that are ahead; one is enough to catch up.
const MAX_PEERS_AHEAD: usize = 8;

#[derive(Debug, Default)]
struct SignalState {
    revision: ids::Revision,
    ahead: Vec<net::SocketAddr>,
}

/// Revision in force and peers that are ahead; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct ConfigSignal {
    state: sync::Arc<(sync::Mutex<SignalState>, sync::Condvar)>,
}

/// Commands.
impl ConfigSignal {
    /// Sets the revision in force and wakes the waiting threads.
    pub fn set_revision(&self, revision: ids::Revision) {
        self.lock().revision = revision;
        self.state.1.notify_all();
    }

    /// Records that a peer has changes that this daemon lacks, and wakes the waiting threads. Ignores the peer if the
    /// maximum number of peers is already recorded.
    pub fn report_ahead(&self, peer: net::SocketAddr) {
        let mut state = self.lock();
        if state.ahead.len() < MAX_PEERS_AHEAD && !state.ahead.contains(&peer) {
            state.ahead.push(peer);
        }
        drop(state);
        self.state.1.notify_all();
    }

    /// Waits until the revision in force is above `after` or `deadline` has passed; returns the revision in force then.
    #[must_use]
    pub fn wait_revision(&self, after: ids::Revision, deadline: time::Instant) -> ids::Revision {
        self.wait(deadline, |state| state.revision > after).revision
    }

    /// Waits until a peer is recorded as ahead or `deadline` has passed; removes and returns the recorded peers.
    #[must_use]
    pub fn wait_ahead(&self, deadline: time::Instant) -> Vec<net::SocketAddr> {
        std::mem::take(&mut self.wait(deadline, |state| !state.ahead.is_empty()).ahead)
    }

    fn wait(
        &self,
        deadline: time::Instant,
        mut done: impl FnMut(&SignalState) -> bool,
    ) -> sync::MutexGuard<'_, SignalState> {
        let remaining = deadline.saturating_duration_since(time::Instant::now());
        let waited = self
            .state
            .1
            .wait_timeout_while(self.lock(), remaining, |state| !done(state));
        waited.unwrap_or_else(sync::PoisonError::into_inner).0
    }

    fn lock(&self) -> sync::MutexGuard<'_, SignalState> {
        // No code that can panic runs while the lock is held.
        self.state.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
