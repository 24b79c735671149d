//! Record of one daemon, and the rules by which two records merge.

use std::cmp;
use std::hash;
use std::net;

use damasktrack_entity::ids;
use damasktrack_entity::server_location;
use xxhash_rust::xxh3;

use crate::server_departure;

/// Largest start time that counts, in milliseconds since the Unix epoch: in the year 2248. It doesn't depend on the
/// clock of the reader, which may be wrong at its start.
const MAX_STARTED_MS: u64 = 1 << 43;
/// Largest version that counts. Members raise their version by a few a minute.
const MAX_VERSION: u64 = 1 << 32;

/// Distance of the values of a row from the largest ones. A daemon overrides a row of another writer by a later start
/// or version, which the other daemons have to accept.
const ROW_MARGIN: u64 = 1 << 20;

/// State of a member. Of two records with the same version, the one with the greater state takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum MemberState {
    /// Accepts no calls yet, because it is starting or its backend server is unavailable.
    #[serde(rename = "J")]
    Joining,
    /// Accepts calls.
    #[serde(rename = "U")]
    Up,
    /// Finishes running calls and accepts no new ones.
    #[serde(rename = "R")]
    Draining,
    /// Did not answer a probe. It becomes dead after the suspicion time unless it refutes by raising its version.
    #[serde(rename = "S")]
    Suspect,
    /// Did not refute the suspicion in time.
    #[serde(rename = "D")]
    Dead,
    /// Left voluntarily. Final for the incarnation.
    #[serde(rename = "L")]
    Left,
}

impl MemberState {
    /// Returns whether the member counts as part of the running system: all states but dead and left.
    #[must_use]
    pub fn is_live(self) -> bool {
        !matches!(self, Self::Dead | Self::Left)
    }
}

/// Replicated record of one daemon.
///
/// Records are ordered by start and incarnation, then by version, then by state. Only the member itself raises its
/// version. `leaving` never returns to false within an incarnation, so that a suspicion, which replaces the state,
/// can't hide that the server is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct MemberRecord {
    /// Id of the daemon, stable across restarts.
    pub daemon_id: ids::DaemonId,
    /// Wall-clock start of the process in milliseconds since the Unix epoch; orders the incarnations of one daemon.
    pub started_ms: u64,
    /// Random number drawn at process start; distinguishes two incarnations with the same start.
    pub incarnation: ids::Incarnation,
    /// Incremented by the member with each change and each refutation.
    pub version: u64,
    /// State of the member. Other daemons set it to suspect and dead without raising the version.
    pub state: MemberState,
    /// Whether this incarnation is draining or has left.
    pub leaving: bool,
    /// TCP address for peers and UDP address for gossip.
    pub address: net::SocketAddr,
    /// Service of the backend server beside the daemon.
    pub service: ids::ServiceName,
    /// Region and data centre of the backend server.
    pub location: server_location::ServerLocation,
    /// Number of concurrent calls that the backend server is declared to handle.
    pub slots: u32,
    /// Latest departure of a backend server beside the daemon. It outlasts the incarnation: a merge keeps the later
    /// departure of both records, whichever is newer. Last, and left out of the encoding if there is none, so that
    /// records without a departure are those of daemons that know no such field.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub departure: Option<server_departure::ServerDeparture>,
}

/// Effect of a merge on a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeResult {
    /// The other record held nothing newer.
    Unchanged,
    /// The record changed.
    Changed,
}

impl MemberRecord {
    /// Merges another record of the same daemon into this one. The result doesn't depend on the order or number of
    /// merges.
    pub fn merge(&mut self, other: &Self) -> MergeResult {
        let leaving = self.leaving || other.leaving;
        let departure = server_departure::later(self.departure.as_ref(), other.departure.as_ref());
        let departed = departure != self.departure;
        let changed = match self.compare_incarnation(other) {
            cmp::Ordering::Greater => departed,
            cmp::Ordering::Less => {
                *self = other.clone();
                true
            }
            cmp::Ordering::Equal => {
                let newer = self.compare_content(other) == cmp::Ordering::Less;
                let changed = newer || departed || leaving != self.leaving;
                if newer {
                    *self = other.clone();
                }
                self.leaving = leaving;
                changed
            }
        };
        self.departure = departure;
        if changed {
            MergeResult::Changed
        } else {
            MergeResult::Unchanged
        }
    }
}

impl MemberRecord {
    /// Orders two records of one daemon by incarnation.
    #[must_use]
    pub fn compare_incarnation(&self, other: &Self) -> cmp::Ordering {
        (self.started_ms, self.incarnation).cmp(&(other.started_ms, other.incarnation))
    }

    /// Returns whether a daemon can have written this record. One with a greater start time or version would replace
    /// that of its daemon for good, since nothing that the daemon writes is newer.
    #[must_use]
    pub fn is_plausible(&self) -> bool {
        let departed_ms = self.departure.as_ref().map_or(0, |departure| departure.started_ms);
        self.started_ms.max(departed_ms) <= MAX_STARTED_MS && self.version <= MAX_VERSION && self.address.port() != 0
    }

    /// Returns whether a daemon can have written this record into its row, and can override it if another writer has.
    #[must_use]
    pub fn is_plausible_row(&self) -> bool {
        let departed_ms = self.departure.as_ref().map_or(0, |departure| departure.started_ms);
        let started = self.started_ms.max(departed_ms) <= MAX_STARTED_MS - ROW_MARGIN;
        started && self.version <= MAX_VERSION - ROW_MARGIN && self.is_plausible()
    }

    /// Returns whether the member may get calls according to its record.
    #[must_use]
    pub fn is_candidate(&self) -> bool {
        !self.leaving && matches!(self.state, MemberState::Up | MemberState::Suspect)
    }

    /// Returns the contribution of the record to the table's digest; 0 for members that are not live.
    ///
    /// The digest doesn't cover suspicion, which is resolved within seconds: exchanges on its account would cost more
    /// than they save.
    #[must_use]
    pub fn digest(&self) -> u64 {
        if !self.state.is_live() {
            return 0;
        }
        let mut hasher = xxh3::Xxh3Default::new();
        hash::Hash::hash(&self.daemon_id, &mut hasher);
        let numbers = (self.started_ms, self.incarnation, self.version, self.leaving);
        hash::Hash::hash(&numbers, &mut hasher);
        if let Some(departure) = &self.departure {
            hash::Hash::hash(departure, &mut hasher);
        }
        hasher.digest()
    }

    fn compare_content(&self, other: &Self) -> cmp::Ordering {
        let key = |record: &Self| (record.version, record.state, record.address, record.slots);
        let order = key(self).cmp(&key(other));
        // Service and location differ only between records that a faulty sender made under the same version.
        order
            .then_with(|| self.service.cmp(&other.service))
            .then_with(|| self.location.cmp(&other.location))
    }
}
