//! Queue of member changes to be piggybacked on gossip messages.

use std::collections;

use crate::member_table;

/// Transmissions per doubling of the member count. In SWIM an update reaches all members with high probability if each
/// member transmits it a small multiple of the logarithm of the member count; 3 allows for a loss of one datagram in
/// ten.
const TRANSMISSION_FACTOR: u32 = 3;

/// Members whose changed records are piggybacked on messages, each a bounded number of times.
#[derive(Debug, Default)]
pub struct UpdateQueue {
    /// Number of transmissions so far.
    transmissions: collections::HashMap<member_table::MemberKey, u32>,
}

/// Returns the number of times that each member transmits a change, given the number of live members.
#[must_use]
pub fn transmission_limit(members: usize) -> u32 {
    TRANSMISSION_FACTOR * (usize::BITS - members.leading_zeros()).max(1)
}

impl UpdateQueue {
    /// Adds a member, or resets its transmission count.
    pub fn push(&mut self, key: member_table::MemberKey) {
        self.transmissions.insert(key, 0);
    }

    /// Removes a member.
    pub fn remove(&mut self, key: member_table::MemberKey) {
        self.transmissions.remove(&key);
    }

    /// Counts a transmission and removes the member once `limit` is reached.
    pub fn transmitted(&mut self, key: member_table::MemberKey, limit: u32) {
        if let Some(count) = self.transmissions.get_mut(&key) {
            *count += 1;
            if *count >= limit {
                self.transmissions.remove(&key);
            }
        }
    }
}

impl UpdateQueue {
    /// Replaces the content of `keys` by the queued members, those with the fewest transmissions first.
    pub fn order_into(&self, keys: &mut Vec<member_table::MemberKey>) {
        keys.clear();
        keys.extend(self.transmissions.keys());
        keys.sort_unstable_by_key(|key| (self.transmissions[key], *key));
    }

    /// Returns the number of queued members.
    #[must_use]
    pub fn len(&self) -> usize {
        self.transmissions.len()
    }

    /// Returns whether nothing is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.transmissions.is_empty()
    }
}
