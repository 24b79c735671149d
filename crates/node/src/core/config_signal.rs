//! Wake-ups around the configuration: for watches of operators, and for the thread that fetches changes.

use std::net;
use std::sync;
use std::time;

use damasktrack_entity::ids;

/// Peers that are remembered as being ahead; one is enough to catch up.
const MAX_AHEAD: usize = 8;

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
    /// Tells the revision in force.
    pub fn set_revision(&self, revision: ids::Revision) {
        self.lock().revision = revision;
        self.state.1.notify_all();
    }

    /// Tells that a peer has changes that this daemon lacks.
    pub fn report_ahead(&self, peer: net::SocketAddr) {
        let mut state = self.lock();
        if state.ahead.len() < MAX_AHEAD && !state.ahead.contains(&peer) {
            state.ahead.push(peer);
        }
        drop(state);
        self.state.1.notify_all();
    }

    /// Waits until the revision is above `after`; returns the revision in force then or at `end`.
    #[must_use]
    pub fn wait_revision(&self, after: ids::Revision, end: time::Instant) -> ids::Revision {
        self.wait(end, |state| state.revision > after).revision
    }

    /// Waits for peers that are ahead and takes them; none at `end`.
    #[must_use]
    pub fn wait_ahead(&self, end: time::Instant) -> Vec<net::SocketAddr> {
        std::mem::take(&mut self.wait(end, |state| !state.ahead.is_empty()).ahead)
    }

    fn wait(
        &self,
        end: time::Instant,
        mut done: impl FnMut(&SignalState) -> bool,
    ) -> sync::MutexGuard<'_, SignalState> {
        let left = end.saturating_duration_since(time::Instant::now());
        let waited = self.state.1.wait_timeout_while(self.lock(), left, |state| !done(state));
        waited.unwrap_or_else(sync::PoisonError::into_inner).0
    }

    fn lock(&self) -> sync::MutexGuard<'_, SignalState> {
        // No code that can panic runs while the lock is held.
        self.state.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
