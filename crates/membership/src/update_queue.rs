//! Changed members that still have to be told to others.

use std::collections;

use crate::member_table;

/// Transmissions per doubling of the member count. SWIM needs a small multiple of the logarithm for an update to reach
/// all members with high probability; 3 leaves room for one datagram in ten being lost.
const TRANSMISSION_FACTOR: u32 = 3;

/// Members whose change is piggybacked on further messages, each a bounded number of times.
#[derive(Debug, Default)]
pub struct UpdateQueue {
    /// Transmissions so far.
    sent: collections::HashMap<member_table::MemberKey, u32>,
}

/// Returns how often a change is transmitted by each member.
#[must_use]
pub fn transmission_limit(members: usize) -> u32 {
    TRANSMISSION_FACTOR * (usize::BITS - members.leading_zeros()).max(1)
}

impl UpdateQueue {
    /// Adds a member, or starts its transmissions anew.
    pub fn push(&mut self, key: member_table::MemberKey) {
        self.sent.insert(key, 0);
    }

    /// Drops a member.
    pub fn remove(&mut self, key: member_table::MemberKey) {
        self.sent.remove(&key);
    }

    /// Counts a transmission and drops the member after the last one.
    pub fn transmitted(&mut self, key: member_table::MemberKey, limit: u32) {
        if let Some(count) = self.sent.get_mut(&key) {
            *count += 1;
            if *count >= limit {
                self.sent.remove(&key);
            }
        }
    }
}

impl UpdateQueue {
    /// Writes the queued members to `keys`, those with the fewest transmissions first.
    pub fn order_into(&self, keys: &mut Vec<member_table::MemberKey>) {
        keys.clear();
        keys.extend(self.sent.keys());
        keys.sort_unstable_by_key(|key| (self.sent[key], *key));
    }

    /// Returns the number of queued members.
    #[must_use]
    pub fn len(&self) -> usize {
        self.sent.len()
    }

    /// Returns whether nothing is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }
}
