//! Slots of the backend server stand-in: a queue in order of arrival, work that can be cancelled, and draining.

use std::collections;
use std::sync;
use std::time;

/// Number of a call within the server, in order of arrival.
pub type CallTicket = u64;

/// Result of [`SlotTable::acquire`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcquireResult {
    /// The call holds a slot until [`SlotTable::release`].
    Acquired(CallTicket),
    /// All slots are taken, and the server does not queue.
    Full,
    /// The server is draining.
    Draining,
    /// The deadline passed in the queue.
    DeadlinePassed,
    /// The call was cancelled in the queue.
    Cancelled,
}

/// Result of [`SlotTable::work`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkResult {
    /// The whole service time elapsed.
    Finished,
    /// The call was cancelled while it ran.
    Cancelled,
    /// The deadline passed while the call ran.
    DeadlinePassed,
}

/// Arguments of [`SlotTable::acquire`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// Id of the call at the daemon, 0 for none.
    pub call_id: u64,
    /// Instant at which the caller stops waiting; `None` for no bound.
    pub deadline: Option<time::Instant>,
    /// Refuse instead of queueing.
    pub refuse_when_full: bool,
}

#[derive(Debug)]
struct SlotCall {
    call_id: u64,
    /// Whether the call holds a slot.
    running: bool,
    cancelled: bool,
    /// Notified when `running` or `cancelled` changes.
    changed: sync::Arc<sync::Condvar>,
}

#[derive(Debug, Default)]
struct SlotState {
    calls: collections::HashMap<CallTicket, SlotCall>,
    /// Tickets in order of arrival.
    queue: collections::BTreeSet<CallTicket>,
    /// Number of `calls` that hold a slot; at most the number of slots.
    running: usize,
    next_ticket: CallTicket,
    draining: bool,
}

/// Numbers of running and queued calls at one instant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotCounts {
    /// Calls that hold a slot.
    pub running: usize,
    /// Calls that wait for one.
    pub queued: usize,
    /// Whether new calls are refused.
    pub draining: bool,
}

/// Slots of a server.
#[derive(Debug)]
pub struct SlotTable {
    slots: usize,
    state: sync::Mutex<SlotState>,
}

/// Commands.
impl SlotTable {
    /// Returns a table of free slots.
    #[must_use]
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            state: sync::Mutex::new(SlotState::default()),
        }
    }

    /// Waits for a slot until the deadline, unless the request is to be refused when all slots are taken.
    pub fn acquire(&self, request: SlotRequest) -> AcquireResult {
        let mut state = self.lock();
        if state.draining {
            return AcquireResult::Draining;
        }
        let full = state.running >= self.slots || !state.queue.is_empty();
        if full && request.refuse_when_full {
            return AcquireResult::Full;
        }
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        let changed = sync::Arc::new(sync::Condvar::new());
        let call = SlotCall {
            call_id: request.call_id,
            running: !full,
            cancelled: false,
            changed: sync::Arc::clone(&changed),
        };
        state.calls.insert(ticket, call);
        if !full {
            state.running += 1;
            return AcquireResult::Acquired(ticket);
        }
        state.queue.insert(ticket);
        loop {
            let call = state.calls.get(&ticket);
            let (running, cancelled) = call.map_or((false, true), |call| (call.running, call.cancelled));
            if running {
                return AcquireResult::Acquired(ticket);
            }
            let passed = request
                .deadline
                .is_some_and(|deadline| deadline <= time::Instant::now());
            if cancelled || passed {
                state.queue.remove(&ticket);
                state.calls.remove(&ticket);
                return if cancelled {
                    AcquireResult::Cancelled
                } else {
                    AcquireResult::DeadlinePassed
                };
            }
            state = wait_until(&changed, state, request.deadline);
        }
    }

    /// Waits for the service time of a call that holds a slot, until it is cancelled or its deadline passes.
    pub fn work(
        &self,
        ticket: CallTicket,
        service_time: time::Duration,
        deadline: Option<time::Instant>,
    ) -> WorkResult {
        let end = time::Instant::now() + service_time;
        let mut state = self.lock();
        loop {
            let Some(call) = state.calls.get(&ticket) else {
                return WorkResult::Cancelled;
            };
            let now = time::Instant::now();
            if call.cancelled {
                return WorkResult::Cancelled;
            }
            if deadline.is_some_and(|deadline| deadline <= now) {
                return WorkResult::DeadlinePassed;
            }
            if end <= now {
                return WorkResult::Finished;
            }
            let changed = sync::Arc::clone(&call.changed);
            let until = deadline.map_or(end, |deadline| deadline.min(end));
            state = wait_until(&changed, state, Some(until));
        }
    }

    /// Releases the slot of a call and assigns it to the first queued call; has no effect if the ticket is unknown.
    pub fn release(&self, ticket: CallTicket) {
        let mut state = self.lock();
        if state.calls.remove(&ticket).is_none() {
            return;
        }
        state.running -= 1;
        while state.running < self.slots {
            let Some(next) = state.queue.pop_first() else {
                return;
            };
            if let Some(call) = state.calls.get_mut(&next) {
                call.running = true;
                call.changed.notify_all();
                state.running += 1;
            }
        }
    }

    /// Cancels the queued and running calls with an id, and returns their number.
    pub fn cancel(&self, call_id: u64) -> usize {
        let mut state = self.lock();
        let mut count = 0;
        for call in state.calls.values_mut().filter(|call| call.call_id == call_id) {
            call.cancelled = true;
            call.changed.notify_all();
            count += 1;
        }
        count
    }

    /// Refuses new calls from now on; queued and running ones continue.
    pub fn drain(&self) {
        self.lock().draining = true;
    }
}

/// Queries.
impl SlotTable {
    /// Returns the number of slots.
    #[must_use]
    pub fn slots(&self) -> usize {
        self.slots
    }

    /// Returns the counts of calls.
    #[must_use]
    pub fn counts(&self) -> SlotCounts {
        let state = self.lock();
        SlotCounts {
            running: state.running,
            queued: state.queue.len(),
            draining: state.draining,
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, SlotState> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

fn wait_until<'a>(
    changed: &sync::Condvar,
    state: sync::MutexGuard<'a, SlotState>,
    until: Option<time::Instant>,
) -> sync::MutexGuard<'a, SlotState> {
    let Some(until) = until else {
        return changed.wait(state).unwrap_or_else(sync::PoisonError::into_inner);
    };
    let left = until.saturating_duration_since(time::Instant::now());
    let waited = changed.wait_timeout(state, left);
    waited.unwrap_or_else(sync::PoisonError::into_inner).0
}
