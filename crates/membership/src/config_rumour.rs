//! Spreading of a new configuration revision.

use std::time;

use damasktrack_entity::ids;

/// Peers to which each daemon pushes a change once. With 4, about 98% of the members get it by pushes alone.
pub const PUSH_FANOUT: usize = 4;
/// Time between two fetches, so that a peer that can't deliver its revision isn't asked with each probe.
const FETCH_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// What to do about a revision that a peer pushed or that this daemon accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RumourStep {
    /// Known already.
    Known,
    /// The next revision: apply it, then push it to [`PUSH_FANOUT`] random peers.
    ApplyAndPush,
    /// Changes before it are missing: fetch them from the pushing peer.
    Fetch,
}

/// What to do about a peer's revision in a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchDecision {
    /// Nothing.
    Skip,
    /// Fetch the missing changes from the peer.
    Fetch,
}

/// Revision in force and the spreading of the next ones. The revision never falls.
#[derive(Debug, Default)]
pub struct ConfigRumour {
    revision: ids::Revision,
    fetched: Option<time::Instant>,
}

/// Commands.
impl ConfigRumour {
    /// Starts at a revision.
    #[must_use]
    pub fn new(revision: ids::Revision) -> Self {
        Self {
            revision,
            fetched: None,
        }
    }

    /// Handles a change with this revision, pushed by a peer or accepted here.
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

    /// Handles a peer's revision.
    pub fn observed(&mut self, revision: ids::Revision, now: time::Instant) -> FetchDecision {
        let recent = self
            .fetched
            .is_some_and(|fetched| now.saturating_duration_since(fetched) < FETCH_INTERVAL);
        if revision <= self.revision || recent {
            return FetchDecision::Skip;
        }
        self.fetched = Some(now);
        FetchDecision::Fetch
    }

    /// Notes that fetched changes or a snapshot were applied. They are not pushed on: their sender had them already, so
    /// they have spread.
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
