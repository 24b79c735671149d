//! Account of the bytes and connections that callers occupy in a process, and what is given up at its bounds.
//!
//! Load pattern: hundreds of connections send bodies of a few MiB each, stop just short of the end and stay open, or
//! send nothing at all. Each is within the limits of the configuration, and together they exceed the memory or the
//! descriptors of the process. Callers that don't read their responses hold the bytes of these. At a bound, connections
//! whose output is stalled are closed first, since their requests were answered. Then requests that have not arrived
//! completely are refused, since none of them has run: the one whose bytes have waited longest for progress first.
//! Requests that were forwarded are never given up.

use std::collections;
use std::time;

/// Id of a connection in an account.
pub type HoldId = u64;

/// Bytes counted for each connection besides its buffers: state of its task, timers, and the kernel's socket.
pub const CONNECTION_BYTES: usize = 16 * 1024;
/// Largest number of bytes of a connection that may use the reserved part of the account.
pub const SMALL_BYTES: usize = 64 * 1024;
/// Bytes of a body whose arrival counts as progress. Fewer ones would let a caller that sends single bytes hold a large
/// body as if it were arriving.
const PROGRESS_BYTES: usize = 16 * 1024;
/// Time without progress after which output is stalled. A caller that reads 16 KiB in this time keeps its connection.
const STALL_TIME: time::Duration = time::Duration::from_secs(1);
/// Added to the time without progress, so that the sizes decide between requests that all make progress.
const PROGRESS_TIME: time::Duration = time::Duration::from_millis(50);
/// The reserved part is this fraction of the account, and at most [`MAX_RESERVED_BYTES`].
const RESERVED_FRACTION: usize = 8;
/// See [`RESERVED_FRACTION`]; enough for 128 connections with [`SMALL_BYTES`].
const MAX_RESERVED_BYTES: usize = 8 << 20;

/// Largest part of the account that is kept for the control listeners; enough for 16 connections with
/// [`SMALL_BYTES`]. It is also at most the fraction [`RESERVED_FRACTION`] of the account.
const MAX_CONTROL_BYTES: usize = 1 << 20;

/// Bounds of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountBounds {
    /// Bytes that all connections may hold.
    pub bytes: usize,
    /// Connections of callers that may be open.
    pub caller_connections: usize,
    /// Connections to the internal listeners that may be open.
    pub internal_connections: usize,
    /// Connections to the control listeners that may be open.
    pub control_connections: usize,
}

/// Listener that a connection belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerKind {
    /// Listener for callers.
    Caller,
    /// Listener for other daemons or for metrics.
    Internal,
    /// Listener for heartbeats of the backend server or for readiness checks. Without them the daemon gets no more
    /// work, so it has a part of the account and of the connections that the others can't use.
    Control,
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldStage {
    /// It waits for a request, or for the end of one that has not arrived completely.
    Incomplete,
    /// At least one of its requests is being served.
    Serving,
    /// All requests that it started are answered, and output waits to be written.
    Sending,
}

/// When a connection may read on after it has reported its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadPace {
    /// At once.
    Continue,
    /// In the next turn of the event loop.
    NextTurn,
}

/// State of a connection, as it reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldState {
    /// What the connection does.
    pub stage: HoldStage,
    /// Capacity of its buffers, in bytes.
    pub bytes: usize,
    /// Bytes of bodies that arrived, or of output that was written, since the last report.
    pub progressed: usize,
}

/// A connection in an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldEntry {
    listener: ListenerKind,
    stage: HoldStage,
    bytes: usize,
    /// Start of the stage.
    since: time::Instant,
    /// Start of the stage, or the last progress of [`PROGRESS_BYTES`].
    progress_at: time::Instant,
    /// Bytes of progress since `progress_at`; less than [`PROGRESS_BYTES`].
    progressed: usize,
    /// Whether the connection was selected and has not closed yet.
    given_up: bool,
}

/// Bytes and connections of a process.
#[derive(Debug, Default)]
pub struct ByteAccount {
    bounds: Option<AccountBounds>,
    connections: collections::BTreeMap<HoldId, HoldEntry>,
    next_id: HoldId,
    /// Sum over the connections that were not given up, without the control connections.
    connection_bytes: usize,
    /// As `connection_bytes`, for the control connections.
    control_bytes: usize,
    /// As `connection_bytes`, for those with more than [`SMALL_BYTES`].
    large_bytes: usize,
    /// Number of connections in `large_bytes`.
    large_connections: usize,
    /// Sum over the connections that were given up and have not released their bytes yet.
    given_up_bytes: usize,
    /// Bytes of complete requests that are being forwarded, and of buffered responses.
    forwarded_bytes: usize,
    /// Numbers of connections that were not given up, by listener.
    caller_connections: usize,
    internal_connections: usize,
    control_connections: usize,
    refused: u64,
    closed: u64,
}

/// Commands.
impl ByteAccount {
    /// Creates an account; without bounds it only counts.
    #[must_use]
    pub fn new(bounds: Option<AccountBounds>) -> Self {
        Self {
            bounds,
            ..Self::default()
        }
    }

    /// Adds a connection. Returns its id, and a connection that has to be closed for it: one of the same listener, or
    /// the new one itself.
    pub fn open(&mut self, listener: ListenerKind, now: time::Instant) -> (HoldId, Option<HoldId>) {
        let victim = self
            .is_full(listener)
            .then(|| select_connection(&self.connections, listener))
            .map(|idle| idle.or_else(|| select_stalled(&self.connections, listener, now)))
            .map(|victim| victim.unwrap_or(self.next_id));
        let id = self.next_id;
        self.next_id += 1;
        let entry = HoldEntry {
            listener,
            stage: HoldStage::Incomplete,
            bytes: CONNECTION_BYTES,
            since: now,
            progress_at: now,
            progressed: 0,
            given_up: false,
        };
        self.add(&entry);
        self.connections.insert(id, entry);
        if let Some(victim) = victim {
            self.give_up(victim);
            self.closed += 1;
        }
        (id, victim)
    }

    /// Removes a connection.
    pub fn close(&mut self, id: HoldId) {
        if let Some(entry) = self.connections.remove(&id) {
            self.subtract(&entry);
        }
    }

    /// Records the state of a connection, and returns the connection that has to be given up to keep the bound: one
    /// whose output is stalled is closed, and the request of another one is refused. The caller repeats the call with
    /// the same state and no progress until it returns `None`.
    pub fn update(&mut self, id: HoldId, state: HoldState, now: time::Instant) -> Option<HoldId> {
        let slot = self.connections.get_mut(&id)?;
        let before = *slot;
        let mut entry = before;
        entry.bytes = CONNECTION_BYTES + state.bytes;
        entry.progressed += state.progressed;
        if entry.stage != state.stage {
            entry.stage = state.stage;
            entry.since = now;
            entry.progress_at = now;
            entry.progressed = 0;
        }
        if entry.progressed >= PROGRESS_BYTES {
            entry.progress_at = now;
            entry.progressed = 0;
        }
        *slot = entry;
        if entry.bytes != before.bytes {
            self.subtract(&before);
            self.add(&entry);
        }
        if entry.bytes <= before.bytes {
            return None;
        }
        let victim = if entry.listener == ListenerKind::Control {
            self.select_control(now)
        } else {
            self.select_other(now)
        };
        let victim = victim?;
        if self.is_sending(victim) {
            self.closed += 1;
        } else {
            self.refused += 1;
        }
        self.give_up(victim);
        Some(victim)
    }

    /// Selects the connection of a caller with the most stalled output, to free what its responses occupy elsewhere.
    pub fn close_stalled(&mut self, now: time::Instant) -> Option<HoldId> {
        let victim = select_stalled(&self.connections, ListenerKind::Caller, now)?;
        self.give_up(victim);
        self.closed += 1;
        Some(victim)
    }

    /// Returns a connection that was given up and goes on, such as one whose refused request was discarded.
    pub fn readmit(&mut self, id: HoldId) {
        if let Some(mut entry) = self.connections.get(&id).copied()
            && entry.given_up
        {
            self.subtract(&entry);
            entry.given_up = false;
            self.add(&entry);
            self.connections.insert(id, entry);
        }
    }

    /// Adds bytes of complete requests or responses.
    pub fn hold_forwarded(&mut self, bytes: usize) {
        self.forwarded_bytes += bytes;
    }

    /// Removes bytes that [`Self::hold_forwarded`] added.
    pub fn release_forwarded(&mut self, bytes: usize) {
        self.forwarded_bytes -= bytes;
    }

    fn select_control(&self, now: time::Instant) -> Option<HoldId> {
        let bounds = self.bounds?;
        let is_control = |entry: &HoldEntry| entry.listener == ListenerKind::Control;
        (self.control_bytes > control_part(bounds))
            .then(|| select_request(&self.connections, 0, now, is_control))
            .flatten()
    }

    fn select_other(&self, now: time::Instant) -> Option<HoldId> {
        let least = self.over_bound()?;
        let is_other = |entry: &HoldEntry| entry.listener != ListenerKind::Control;
        let stalled = select_stalled(&self.connections, ListenerKind::Caller, now);
        stalled
            .or_else(|| select_request(&self.connections, least, now, is_other))
            .or_else(|| select_request(&self.connections, 0, now, is_other))
    }

    fn give_up(&mut self, id: HoldId) {
        if let Some(mut entry) = self.connections.get(&id).copied() {
            self.subtract(&entry);
            entry.given_up = true;
            self.add(&entry);
            self.connections.insert(id, entry);
        }
    }

    fn add(&mut self, entry: &HoldEntry) {
        if entry.given_up {
            self.given_up_bytes += entry.bytes;
            return;
        }
        *self.count_mut(entry.listener) += 1;
        if entry.listener == ListenerKind::Control {
            self.control_bytes += entry.bytes;
            return;
        }
        self.connection_bytes += entry.bytes;
        if entry.bytes > SMALL_BYTES {
            self.large_bytes += entry.bytes;
            self.large_connections += 1;
        }
    }

    fn subtract(&mut self, entry: &HoldEntry) {
        if entry.given_up {
            self.given_up_bytes -= entry.bytes;
            return;
        }
        *self.count_mut(entry.listener) -= 1;
        if entry.listener == ListenerKind::Control {
            self.control_bytes -= entry.bytes;
            return;
        }
        self.connection_bytes -= entry.bytes;
        if entry.bytes > SMALL_BYTES {
            self.large_bytes -= entry.bytes;
            self.large_connections -= 1;
        }
    }

    fn count_mut(&mut self, listener: ListenerKind) -> &mut usize {
        match listener {
            ListenerKind::Caller => &mut self.caller_connections,
            ListenerKind::Internal => &mut self.internal_connections,
            ListenerKind::Control => &mut self.control_connections,
        }
    }
}

/// Queries.
impl ByteAccount {
    /// Returns the bytes held by connections, and those of complete requests and responses.
    #[must_use]
    pub fn held_bytes(&self) -> (usize, usize) {
        (self.connection_bytes + self.control_bytes, self.forwarded_bytes)
    }

    /// Returns the number of open connections of a listener, without those that were given up.
    #[must_use]
    pub fn open_connections(&self, listener: ListenerKind) -> usize {
        match listener {
            ListenerKind::Caller => self.caller_connections,
            ListenerKind::Internal => self.internal_connections,
            ListenerKind::Control => self.control_connections,
        }
    }

    /// Returns how many requests were refused and how many connections were closed at a bound.
    #[must_use]
    pub fn given_up(&self) -> (u64, u64) {
        (self.refused, self.closed)
    }

    /// Returns whether a connection has answered its requests and waits to write the responses.
    #[must_use]
    pub fn is_sending(&self, id: HoldId) -> bool {
        let entry = self.connections.get(&id);
        entry.is_some_and(|entry| entry.stage == HoldStage::Sending)
    }

    /// Returns whether anything is bounded.
    #[must_use]
    pub fn is_bounded(&self) -> bool {
        self.bounds.is_some()
    }

    /// Returns whether a connection may read on. While those that were given up still hold bytes beyond the bound, each
    /// other one has to let them run first: a connection can read a MiB in one turn of the event loop.
    #[must_use]
    pub fn read_pace(&self) -> ReadPace {
        let used = self.connection_bytes + self.forwarded_bytes + self.given_up_bytes;
        if self.given_up_bytes > 0 && self.bounds.is_some_and(|bounds| used > shared_part(bounds)) {
            ReadPace::NextTurn
        } else {
            ReadPace::Continue
        }
    }

    /// Returns whether further bytes fit beside the reserved part.
    #[must_use]
    pub fn has_room(&self, bytes: usize) -> bool {
        self.bounds.is_none_or(|bounds| {
            let used = self.connection_bytes + self.forwarded_bytes;
            used + bytes + reserved(bounds) <= shared_part(bounds)
        })
    }

    fn is_full(&self, listener: ListenerKind) -> bool {
        self.bounds.is_some_and(|bounds| match listener {
            ListenerKind::Caller => self.caller_connections >= bounds.caller_connections,
            ListenerKind::Internal => self.internal_connections >= bounds.internal_connections,
            ListenerKind::Control => self.control_connections >= bounds.control_connections,
        })
    }

    /// Returns the least size of the request to refuse if a bound is exceeded.
    fn over_bound(&self) -> Option<usize> {
        let bounds = self.bounds?;
        let shared = shared_part(bounds);
        if self.connection_bytes + self.forwarded_bytes > shared {
            return Some(0);
        }
        // The largest body of the limits needs most of the account of the smallest VM, and how much its buffers take
        // beside its bytes depends on how it arrives. Alone it may use the reserved part; small requests are still
        // preferred to it at the bound of all bytes.
        let alone = self.large_connections == 1 && self.forwarded_bytes == 0;
        let large = self.large_bytes + self.forwarded_bytes;
        (!alone && large > shared - reserved(bounds)).then_some(SMALL_BYTES + 1)
    }
}

/// Returns the part of the account for control connections.
fn control_part(bounds: AccountBounds) -> usize {
    (bounds.bytes / RESERVED_FRACTION).min(MAX_CONTROL_BYTES)
}

/// Returns the part of the account for all others.
fn shared_part(bounds: AccountBounds) -> usize {
    bounds.bytes - control_part(bounds)
}

fn reserved(bounds: AccountBounds) -> usize {
    (bounds.bytes / RESERVED_FRACTION).min(MAX_RESERVED_BYTES)
}

/// Selects the request to refuse: of the incomplete ones of a group with at least `least` bytes, the one with the
/// largest product of its bytes and the time without progress. A body that stopped just short of its end is refused
/// before one of the same size that is still arriving, and a small request last.
#[must_use]
pub fn select_request(
    connections: &collections::BTreeMap<HoldId, HoldEntry>,
    least: usize,
    now: time::Instant,
    is_in_group: impl Fn(&HoldEntry) -> bool,
) -> Option<HoldId> {
    let candidates = connections.iter().filter(|(_id, entry)| {
        let large = entry.bytes >= least.max(CONNECTION_BYTES + 1);
        entry.stage == HoldStage::Incomplete && !entry.given_up && large && is_in_group(entry)
    });
    let weight = |entry: &HoldEntry| {
        let waited = now.saturating_duration_since(entry.progress_at) + PROGRESS_TIME;
        entry.bytes as u128 * waited.as_millis()
    };
    let selected = candidates.max_by_key(|(_id, entry)| weight(entry));
    selected.map(|(id, _entry)| *id)
}

/// Selects the connection to close for a new one: of those of the listener that wait for a request or its end, the one
/// that has done so for longest. Bytes that arrive don't extend its time, since a caller can send single ones.
#[must_use]
pub fn select_connection(
    connections: &collections::BTreeMap<HoldId, HoldEntry>,
    listener: ListenerKind,
) -> Option<HoldId> {
    let candidates = connections
        .iter()
        .filter(|(_id, entry)| entry.listener == listener && entry.stage == HoldStage::Incomplete && !entry.given_up);
    let selected = candidates.min_by_key(|(_id, entry)| entry.since);
    selected.map(|(id, _entry)| *id)
}

/// Selects the connection of the listener with stalled output to close: the one with the largest product of its bytes
/// and the time without progress. Output that makes progress is never selected.
#[must_use]
pub fn select_stalled(
    connections: &collections::BTreeMap<HoldId, HoldEntry>,
    listener: ListenerKind,
    now: time::Instant,
) -> Option<HoldId> {
    let waited = |entry: &HoldEntry| now.saturating_duration_since(entry.progress_at);
    let candidates = connections.iter().filter(|(_id, entry)| {
        let sending = entry.listener == listener && entry.stage == HoldStage::Sending;
        sending && !entry.given_up && waited(entry) >= STALL_TIME
    });
    let selected = candidates.max_by_key(|(_id, entry)| entry.bytes as u128 * waited(entry).as_millis());
    selected.map(|(id, _entry)| *id)
}
