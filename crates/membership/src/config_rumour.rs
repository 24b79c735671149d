//! Rumour mongering of new configuration revisions: pushes to random peers, and fetches of missing changes.

use std::time;

use damasktrack_entity::ids;

/// Number of random peers to which each daemon pushes a change once. With 4, about 98% of the members receive it by
/// pushes alone.
pub const PUSH_FANOUT: usize = 4;
/// Shortest time between two fetches, so that a peer that can't deliver its revision doesn't cause a fetch with each
/// probe.
const FETCH_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Action on a change that a peer pushed or that this daemon accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RumourStep {
    /// None: the revision is in force already.
    Known,
    /// The change is the next revision: apply it, then push it to [`PUSH_FANOUT`] random peers.
    ApplyAndPush,
    /// Earlier changes are missing: fetch them from the pushing peer.
    Fetch,
}

/// Action on the revision that a peer's gossip message carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchDecision {
    /// None: the peer has no higher revision, or a fetch was started recently.
    Skip,
    /// Fetch the missing changes from the peer.
    Fetch,
}

/// Revision in force, and the rules for spreading the next ones. The revision never falls.
#[derive(Debug, Default)]
pub struct ConfigRumour {
    revision: ids::Revision,
    last_fetch: Option<time::Instant>,
}

/// Commands.
impl ConfigRumour {
    /// Creates the state of a daemon at which `revision` is in force.
    #[must_use]
    pub fn new(revision: ids::Revision) -> Self {
        Self {
            revision,
            last_fetch: None,
        }
    }

    /// Handles a change with this revision, pushed by a peer or accepted by this daemon.
    pub fn pushed(&mut self, revision: ids::Revision) -> RumourStep {
        if revision <= self.revision {
            return RumourStep::Known;
        }
        if revision != self.revision + 1 {
            return RumourStep::Fetch;
        }
        self.revision = revision;
        RumourStep::ApplyAndPush
    }

    /// Handles the revision that a peer's gossip message carries.
    pub fn observed(&mut self, revision: ids::Revision, now: time::Instant) -> FetchDecision {
        let recent = self
            .last_fetch
            .is_some_and(|last_fetch| now.saturating_duration_since(last_fetch) < FETCH_INTERVAL);
        if revision <= self.revision || recent {
            return FetchDecision::Skip;
        }
        self.last_fetch = Some(now);
        FetchDecision::Fetch
    }

    /// Records that fetched changes or a snapshot were applied. They are not pushed on: their sender had them
    /// already, so they have spread.
    pub fn applied(&mut self, revision: ids::Revision) {
        self.revision = self.revision.max(revision);
    }
}

/// Queries.
impl ConfigRumour {
    /// Returns the revision in force.
    #[must_use]
    pub fn revision(&self) -> ids::Revision {
        self.revision
    }
}
