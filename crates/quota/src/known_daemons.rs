//! Number of daemons among which every limit is divided.

use std::collections;
use std::time;

use damasktrack_entity::ids;

use crate::credit_message;

/// Time after which an id that is neither live nor listed is forgotten. Regions may be partitioned from each other for
/// an hour.
const FORGET_AGE: time::Duration = time::Duration::from_hours(2);
/// Time from the first list with the own row until the share is above 0. A previous process of this daemon may have
/// delegated the same share for a lease, and other daemons learn of a new id meanwhile.
const SETTLE_TIME: time::Duration = credit_message::SHARE_LEASE;

/// Ids of the daemons that are live or listed in the member table of the store, or were until recently.
#[derive(Debug, Default)]
pub struct KnownDaemons {
    /// When each id was last live or listed.
    last_seen: collections::HashMap<ids::DaemonId, time::Duration>,
    /// When the list of members, with the own row, was first known.
    listed: Option<time::Duration>,
}

/// Commands.
impl KnownDaemons {
    /// Records ids that are live or listed now, and forgets those that have been neither for two hours.
    pub fn note<'a>(&mut self, daemons: impl Iterator<Item = &'a ids::DaemonId>, now: time::Duration) {
        for id in daemons {
            if let Some(seen) = self.last_seen.get_mut(id) {
                *seen = now;
            } else {
                self.last_seen.insert(id.clone(), now);
            }
        }
        self.last_seen
            .retain(|_id, seen| now.saturating_sub(*seen) < FORGET_AGE);
    }

    /// Sets the share to 0 until a delegation of it that may be in use has ended.
    pub fn withhold(&mut self, now: time::Duration) {
        self.listed = self.listed.map(|_listed| now);
    }

    /// Records that the list of members contains the own row.
    pub fn note_list(&mut self, now: time::Duration) {
        self.listed.get_or_insert(now);
    }
}

/// Queries.
impl KnownDaemons {
    /// Returns the number of known ids.
    #[must_use]
    pub fn count(&self) -> usize {
        self.last_seen.len()
    }

    /// Returns when this daemon owns its part of every limit; `None` without the list of members.
    #[must_use]
    pub fn settled_at(&self) -> Option<time::Duration> {
        Some(self.listed? + SETTLE_TIME)
    }

    /// Returns the part of every limit that this daemon owns.
    #[must_use]
    pub fn share(&self, now: time::Duration) -> f64 {
        match self.listed {
            Some(listed) if now.saturating_sub(listed) >= SETTLE_TIME => 1.0 / self.count().max(1) as f64,
            _ => 0.0,
        }
    }
}
