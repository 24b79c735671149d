//! Configuration in force at a daemon, and the latest changes that led to it.

use std::collections;
use std::sync;

use damasktrack_entity::ids;

use crate::change_log;
use crate::resource_set;

/// Number of changes kept for peers that lag behind: about 3.2 hours at 3,800 changes a day. A peer that lags further
/// behind installs a snapshot.
pub const DEFAULT_MAX_CHANGES: usize = 512;
/// Number of revisions between snapshots in the object store.
pub const SNAPSHOT_INTERVAL: ids::Revision = 256;

/// Result of applying a change or installing a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyStep {
    /// The change or snapshot is now in force.
    Applied,
    /// It was in force or superseded before; nothing changed.
    Known,
    /// Earlier changes are missing, and those after the given revision must be fetched. Nothing changed.
    Behind {
        /// Revision in force.
        after: ids::Revision,
    },
}

/// Reply to a peer that requests the changes after a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeFeed {
    /// This daemon has no later changes.
    UpToDate,
    /// All changes after the revision, in order.
    Changes(Vec<sync::Arc<change_log::ConfigChange>>),
    /// The first of the changes are no longer kept; the peer installs the snapshot instead.
    Snapshot(change_log::ConfigSnapshot),
}

/// Configuration in force and the latest changes.
#[derive(Debug)]
pub struct ConfigLog {
    /// Set in force. Its revision never decreases, and each set is the result of applying all changes up to its
    /// revision.
    set: sync::Arc<resource_set::ResourceSet>,
    /// Latest changes without a gap; the newest one has the revision of `set`. At most `max_changes`.
    changes: collections::VecDeque<sync::Arc<change_log::ConfigChange>>,
    max_changes: usize,
}

// Commands.
impl ConfigLog {
    /// Creates a log at revision 0, without resources.
    #[must_use]
    pub fn new(max_changes: usize) -> Self {
        Self {
            set: sync::Arc::new(resource_set::ResourceSet::default()),
            changes: collections::VecDeque::new(),
            max_changes,
        }
    }

    /// Applies a change if its revision follows the revision in force.
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

    /// Puts a snapshot in force if it is newer than the set in force.
    pub fn install(&mut self, snapshot: &change_log::ConfigSnapshot) -> ApplyStep {
        if snapshot.revision <= self.set.revision() {
            return ApplyStep::Known;
        }
        self.set = sync::Arc::new(resource_set::ResourceSet::from_snapshot(snapshot));
        // The changes between the two revisions are unknown, and a feed must have no gap.
        self.changes.clear();
        ApplyStep::Applied
    }
}

// Queries.
impl ConfigLog {
    /// Returns the set in force. Later changes do not affect clones of the returned pointer.
    #[must_use]
    pub fn set(&self) -> &sync::Arc<resource_set::ResourceSet> {
        &self.set
    }

    /// Returns the revision in force.
    #[must_use]
    pub fn revision(&self) -> ids::Revision {
        self.set.revision()
    }

    /// Returns the changes or the snapshot that a peer at revision `after` needs.
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

    /// Returns whether the daemon that committed the revision in force must write a snapshot to the object store.
    #[must_use]
    pub fn is_snapshot_due(&self) -> bool {
        self.revision() > 0 && self.revision().is_multiple_of(SNAPSHOT_INTERVAL)
    }
}
