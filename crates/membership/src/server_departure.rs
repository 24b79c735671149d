//! Departure of a backend server, kept beyond the process that acknowledged it.

use std::cmp;

use bytes::Bytes;

/// A start of a backend server that has announced its departure.
///
/// A backend server counts on the acknowledgement of its departure and a delayed heartbeat of it may still arrive, so
/// the departure outlives the daemon process that received it: in the store, and in the tables of the other daemons.
/// Departures are ordered by start time: only one backend server at a time runs beside a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ServerDeparture {
    /// Start time of the instance, in milliseconds since 1970.
    pub started_ms: u64,
    /// Id of the instance.
    pub instance: Bytes,
}

/// Returns the later of two departures.
#[must_use]
pub fn later(one: Option<&ServerDeparture>, other: Option<&ServerDeparture>) -> Option<ServerDeparture> {
    cmp::max(one, other).cloned()
}
