//! Table of all known members, with indexes by daemon id and service.

use std::collections;
use std::mem;
use std::time;

use damasktrack_entity::ids;
use xxhash_rust::xxh3;

use crate::member_record;

slotmap::new_key_type! {
    /// Key of a member in the table.
    pub struct MemberKey;
}

/// Number of buckets of the digest; an exchange sends only the members of buckets that differ.
pub const BUCKET_COUNT: usize = 64;
/// Largest number of members kept; it is far above the expected 760 and bounds memory if invented ids are received.
pub const MAX_MEMBERS: usize = 8192;

/// A member's replicated record together with state local to this daemon.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// Merge of all records received of the member.
    pub record: member_record::MemberRecord,
    /// When the state last changed in this table, or [`MemberTable::restart_state`] was called.
    pub since: time::Instant,
}

/// Effect of a merge on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableMerge {
    /// The table is unchanged: the record held nothing newer, the member is unknown and dead, left or suspect, or the
    /// table is full.
    Ignored,
    /// A member was added.
    Added(MemberKey),
    /// A member's record changed; holds the state before the merge.
    Changed(MemberKey, member_record::MemberState),
}

/// Table of all known members.
///
/// Invariants: one entry per daemon id; `by_service` holds each entry's key under its record's service exactly once;
/// each of `buckets` is the exclusive or of the digests of its records, so it doesn't depend on their order; `live` is
/// the number of live members.
#[derive(Debug)]
pub struct MemberTable {
    members: slotmap::SlotMap<MemberKey, MemberEntry>,
    by_id: collections::HashMap<ids::DaemonId, MemberKey>,
    by_service: collections::HashMap<ids::ServiceName, Vec<MemberKey>>,
    buckets: [u64; BUCKET_COUNT],
    live: usize,
}

impl Default for MemberTable {
    fn default() -> Self {
        Self::new()
    }
}

/// Commands.
impl MemberTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self {
            members: slotmap::SlotMap::with_key(),
            by_id: collections::HashMap::new(),
            by_service: collections::HashMap::new(),
            buckets: [0; BUCKET_COUNT],
            live: 0,
        }
    }

    /// Merges a record into the table.
    ///
    /// Records of unknown members that are dead, left or suspect are ignored; otherwise daemons that have already
    /// forgotten a member would get it back from those that have not. A live suspect is added when it refutes.
    pub fn merge(&mut self, record: &member_record::MemberRecord, now: time::Instant) -> TableMerge {
        let Some(key) = self.key_of(&record.daemon_id) else {
            let unresponsive = !record.state.is_live() || record.state == member_record::MemberState::Suspect;
            if unresponsive || self.members.len() >= MAX_MEMBERS {
                return TableMerge::Ignored;
            }
            return TableMerge::Added(self.insert(record.clone(), now));
        };
        let mut merged = self.members[key].record.clone();
        if merged.merge(record) == member_record::MergeResult::Unchanged {
            return TableMerge::Ignored;
        }
        let before = self.members[key].record.state;
        self.replace(key, merged, now);
        TableMerge::Changed(key, before)
    }

    /// Replaces the record of a member, for state transitions made by this daemon.
    pub fn replace(&mut self, key: MemberKey, record: member_record::MemberRecord, now: time::Instant) {
        let Some(entry) = self.members.get_mut(key) else {
            return;
        };
        if entry.record.state != record.state {
            entry.since = now;
        }
        let old = mem::replace(&mut entry.record, record);
        let new = entry.record.clone();
        if old.service != new.service {
            self.remove_from_service(&old.service, key);
            self.by_service.entry(new.service.clone()).or_default().push(key);
        }
        self.update_totals(&old, false);
        self.update_totals(&new, true);
    }

    /// Resets [`MemberEntry::since`] of a member to `now`.
    pub fn restart_state(&mut self, key: MemberKey, now: time::Instant) {
        if let Some(entry) = self.members.get_mut(key) {
            entry.since = now;
        }
    }

    /// Removes members that have been dead or left for at least `age`.
    pub fn forget(&mut self, age: time::Duration, now: time::Instant) {
        let old: Vec<MemberKey> = self
            .members
            .iter()
            .filter(|(_key, entry)| !entry.record.state.is_live())
            .filter(|(_key, entry)| now.saturating_duration_since(entry.since) >= age)
            .map(|(key, _entry)| key)
            .collect();
        for key in old {
            if let Some(entry) = self.members.remove(key) {
                self.by_id.remove(&entry.record.daemon_id);
                self.remove_from_service(&entry.record.service, key);
                self.update_totals(&entry.record, false);
            }
        }
    }

    fn insert(&mut self, record: member_record::MemberRecord, now: time::Instant) -> MemberKey {
        self.update_totals(&record, true);
        let daemon_id = record.daemon_id.clone();
        let service = record.service.clone();
        let key = self.members.insert(MemberEntry { record, since: now });
        self.by_id.insert(daemon_id, key);
        self.by_service.entry(service).or_default().push(key);
        key
    }

    fn remove_from_service(&mut self, service: &ids::ServiceName, key: MemberKey) {
        if let Some(keys) = self.by_service.get_mut(service) {
            keys.retain(|other| *other != key);
            if keys.is_empty() {
                self.by_service.remove(service);
            }
        }
    }

    fn update_totals(&mut self, record: &member_record::MemberRecord, add: bool) {
        self.buckets[bucket_of(&record.daemon_id)] ^= record.digest();
        if record.state.is_live() {
            self.live = if add { self.live + 1 } else { self.live - 1 };
        }
    }
}

/// Queries.
impl MemberTable {
    /// Returns the key of a daemon.
    #[must_use]
    pub fn key_of(&self, daemon_id: &ids::DaemonId) -> Option<MemberKey> {
        self.by_id.get(daemon_id).copied()
    }

    /// Returns a member by key; `None` once it has been removed.
    #[must_use]
    pub fn get(&self, key: MemberKey) -> Option<&MemberEntry> {
        self.members.get(key)
    }

    /// Returns the member of a daemon.
    #[must_use]
    pub fn find(&self, daemon_id: &ids::DaemonId) -> Option<&MemberEntry> {
        self.get(self.key_of(daemon_id)?)
    }

    /// Returns all members.
    pub fn iter(&self) -> impl Iterator<Item = (MemberKey, &MemberEntry)> {
        self.members.iter()
    }

    /// Returns the members that may get calls for a service. They include suspects, since most suspicions are refuted,
    /// and never leaving members.
    pub fn candidates(&self, service: &ids::ServiceName) -> impl Iterator<Item = (MemberKey, &MemberEntry)> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let entries = keys.iter().map(|key| (*key, &self.members[*key]));
        entries.filter(|(_key, entry)| entry.record.is_candidate())
    }

    /// Returns the number of members in any state, including dead and left ones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether the table holds no member.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the number of members that are neither dead nor left.
    #[must_use]
    pub fn live_count(&self) -> usize {
        self.live
    }

    /// Returns the digest of the live members. Tables with equal live members, suspicion aside, have equal digests.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut bytes = [0; BUCKET_COUNT * 8];
        for (chunk, bucket) in bytes.chunks_exact_mut(8).zip(&self.buckets) {
            chunk.copy_from_slice(&bucket.to_le_bytes());
        }
        xxh3::xxh3_64(&bytes)
    }

    /// Returns the buckets from which the digest is computed.
    #[must_use]
    pub fn buckets(&self) -> &[u64; BUCKET_COUNT] {
        &self.buckets
    }

    /// Returns an estimate of the table's heap memory in bytes.
    #[must_use]
    pub fn heap_bytes(&self) -> usize {
        let names: usize = self
            .members
            .values()
            .map(|entry| {
                let record = &entry.record;
                let place = record.location.region.len() + record.location.data_centre.len();
                record.daemon_id.len() + record.service.len() + place
            })
            .sum();
        let slot = mem::size_of::<MemberEntry>() + 8;
        let id = mem::size_of::<ids::DaemonId>() + mem::size_of::<MemberKey>() + 1;
        let listed = mem::size_of::<MemberKey>() * 2;
        let service = mem::size_of::<ids::ServiceName>() + mem::size_of::<Vec<MemberKey>>() + 1;
        names
            + self.members.capacity() * slot
            + self.by_id.capacity() * id
            + self.members.len() * listed
            + self.by_service.capacity() * service
    }
}

/// Returns the index of the digest bucket of a daemon.
#[must_use]
pub fn bucket_of(daemon_id: &ids::DaemonId) -> usize {
    usize::try_from(xxh3::xxh3_64(daemon_id) % BUCKET_COUNT as u64).unwrap_or(0)
}
