//! Configuration in force at a daemon, and the changes that led to it.

use std::collections;
use std::sync;

use damasktrack_entity::ids;

use crate::change_log;
use crate::resource_set;

/// Changes kept for peers that are behind: about 3.2 hours at 3,800 changes a day. A peer further behind takes a
/// snapshot.
pub const DEFAULT_MAX_CHANGES: usize = 512;
/// A snapshot goes to the object store every so many revisions.
pub const SNAPSHOT_INTERVAL: ids::Revision = 256;

/// What became of a change or a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyStep {
    /// It is in force.
    Applied,
    /// It is in force or overtaken already; nothing changed.
    Known,
    /// Changes before it are missing; fetch those after the given revision. Nothing changed.
    Behind {
        /// Revision in force.
        after: ids::Revision,
    },
}

/// Answer to a peer that asks for the changes after a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeFeed {
    /// The peer has all of them.
    UpToDate,
    /// All changes after the revision, in order.
    Changes(Vec<sync::Arc<change_log::ConfigChange>>),
    /// Changes are no longer kept; the peer takes the snapshot.
    Snapshot(change_log::ConfigSnapshot),
}

/// Configuration in force and its last changes.
#[derive(Debug)]
pub struct ConfigLog {
    /// Set in force. Its revision never falls, and each set is the result of applying all changes up to its revision.
    set: sync::Arc<resource_set::ResourceSet>,
    /// Last changes without a gap; the newest one has the revision of `set`. At most `max_changes`.
    changes: collections::VecDeque<sync::Arc<change_log::ConfigChange>>,
    max_changes: usize,
}

// Commands.
impl ConfigLog {
    /// Makes a log at revision 0, with nothing declared.
    #[must_use]
    pub fn new(max_changes: usize) -> Self {
        Self {
            set: sync::Arc::new(resource_set::ResourceSet::default()),
            changes: collections::VecDeque::new(),
            max_changes,
        }
    }

    /// Applies a change if it is the next one.
    pub fn apply(&mut self, change: sync::Arc<change_log::ConfigChange>) -> ApplyStep {
        let current = self.set.revision();
        if change.revision <= current {
            return ApplyStep::Known;
        }
        if change.revision != current + 1 {
            return ApplyStep::Behind { after: current };
        }
        sync::Arc::make_mut(&mut self.set).edit(change.revision, &change.edits);
        self.changes.push_back(change);
        while self.changes.len() > self.max_changes {
            self.changes.pop_front();
        }
        ApplyStep::Applied
    }

    /// Puts a snapshot in force if it is newer.
    pub fn install(&mut self, snapshot: &change_log::ConfigSnapshot) -> ApplyStep {
        if snapshot.revision <= self.set.revision() {
            return ApplyStep::Known;
        }
        self.set = sync::Arc::new(resource_set::ResourceSet::from_snapshot(snapshot));
        // The changes between are not known, and a feed must have no gap.
        self.changes.clear();
        ApplyStep::Applied
    }
}

// Queries.
impl ConfigLog {
    /// Returns the set in force; it stays as it is while later changes are applied.
    #[must_use]
    pub fn set(&self) -> &sync::Arc<resource_set::ResourceSet> {
        &self.set
    }

    /// Returns the revision in force.
    #[must_use]
    pub fn revision(&self) -> ids::Revision {
        self.set.revision()
    }

    /// Returns what a peer at revision `after` needs.
    #[must_use]
    pub fn changes_after(&self, after: ids::Revision) -> ChangeFeed {
        if after >= self.revision() {
            return ChangeFeed::UpToDate;
        }
        match self.changes.front() {
            Some(first) if first.revision <= after + 1 => {
                let missing = self.changes.iter().filter(|change| change.revision > after);
                ChangeFeed::Changes(missing.cloned().collect())
            }
            _ => ChangeFeed::Snapshot(self.set.snapshot()),
        }
    }

    /// Returns whether the daemon that made the revision in force writes a snapshot to the object store.
    #[must_use]
    pub fn is_snapshot_due(&self) -> bool {
        self.revision() > 0 && self.revision().is_multiple_of(SNAPSHOT_INTERVAL)
    }
}
