//! What is known of one daemon, and which of two records wins.

use std::cmp;
use std::hash;
use std::net;

use damasktrack_entity::ids;
use damasktrack_entity::server_location;
use xxhash_rust::xxh3;

/// State of a member. Of two records with one version the one with the greater state wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum MemberState {
    /// Starts and takes no calls yet.
    #[serde(rename = "J")]
    Joining,
    /// Takes calls.
    #[serde(rename = "U")]
    Up,
    /// Finishes running calls and takes no new ones.
    #[serde(rename = "R")]
    Draining,
    /// Did not answer probes; it is dead after the suspicion time unless it raises its version.
    #[serde(rename = "S")]
    Suspect,
    /// Did not refute the suspicion.
    #[serde(rename = "D")]
    Dead,
    /// Has left by itself. Final for the incarnation.
    #[serde(rename = "L")]
    Left,
}

impl MemberState {
    /// Returns whether the member is part of the running system, as far as known.
    #[must_use]
    pub fn is_live(self) -> bool {
        !matches!(self, Self::Dead | Self::Left)
    }
}

/// What is known of one daemon.
///
/// Records order by start and incarnation, then by version, then by state. Only the member itself raises its version.
/// `leaving` never returns to false within an incarnation, so a suspicion can't hide that the server is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct MemberRecord {
    /// The daemon.
    pub daemon_id: ids::DaemonId,
    /// Wall-clock start of the process in milliseconds since 1970; orders the incarnations of one daemon.
    pub started_ms: u64,
    /// Random number drawn at process start; separates two incarnations with one start.
    pub incarnation: ids::Incarnation,
    /// Raised by the member with each change and each refutation.
    pub version: u64,
    /// State of the member.
    pub state: MemberState,
    /// Whether this incarnation drains or has left.
    pub leaving: bool,
    /// TCP address for peers and UDP address for gossip.
    pub address: net::SocketAddr,
    /// Service of the backend server beside the daemon.
    pub service: ids::ServiceName,
    /// Where the server runs.
    pub location: server_location::ServerLocation,
    /// Concurrent calls that the backend server is declared to handle.
    pub slots: u32,
}

/// What a merge did to a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeResult {
    /// The other record had nothing new.
    Unchanged,
    /// The record changed.
    Changed,
}

impl MemberRecord {
    /// Takes over what `other` has newer. The result doesn't depend on the order or number of merges.
    pub fn merge(&mut self, other: &Self) -> MergeResult {
        let leaving = self.leaving || other.leaving;
        match self.compare_incarnation(other) {
            cmp::Ordering::Greater => MergeResult::Unchanged,
            cmp::Ordering::Less => {
                *self = other.clone();
                MergeResult::Changed
            }
            cmp::Ordering::Equal => {
                let newer = self.compare_content(other) == cmp::Ordering::Less;
                let changed = newer || leaving != self.leaving;
                if newer {
                    *self = other.clone();
                }
                self.leaving = leaving;
                if changed {
                    MergeResult::Changed
                } else {
                    MergeResult::Unchanged
                }
            }
        }
    }
}

impl MemberRecord {
    /// Orders two records of one daemon by incarnation.
    #[must_use]
    pub fn compare_incarnation(&self, other: &Self) -> cmp::Ordering {
        (self.started_ms, self.incarnation).cmp(&(other.started_ms, other.incarnation))
    }

    /// Returns whether the member may get calls as far as gossip knows.
    #[must_use]
    pub fn is_candidate(&self) -> bool {
        !self.leaving && matches!(self.state, MemberState::Up | MemberState::Suspect)
    }

    /// Returns the part of the record in the table's digest; 0 for members that are not live.
    ///
    /// Suspicion is left out: it passes within seconds, and exchanges for it would cost more than they bring.
    #[must_use]
    pub fn digest(&self) -> u64 {
        if !self.state.is_live() {
            return 0;
        }
        let mut hasher = xxh3::Xxh3Default::new();
        hash::Hash::hash(&self.daemon_id, &mut hasher);
        let numbers = (self.started_ms, self.incarnation, self.version, self.leaving);
        hash::Hash::hash(&numbers, &mut hasher);
        hasher.digest()
    }

    fn compare_content(&self, other: &Self) -> cmp::Ordering {
        let key = |record: &Self| (record.version, record.state, record.address, record.slots);
        let order = key(self).cmp(&key(other));
        // The rest decides only between records that a faulty sender made under one version.
        order
            .then_with(|| self.service.cmp(&other.service))
            .then_with(|| self.location.cmp(&other.location))
    }
}
