//! Requests of the action ledger with their order and deadlines.

use std::collections;
use std::time;

use bytes::Bytes;

use crate::action_entry;
use crate::action_key;
use crate::action_step;

slotmap::new_key_type! {
    /// Key of a request in the table.
    pub(crate) struct RequestKey;
}

/// Waiting call in order of its wake time.
pub(crate) type WaiterDeadline = (
    time::Instant,
    action_step::WaiterId,
    RequestKey,
    action_key::Sha256Digest,
);

/// Requests, found by id, age or deadline.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    requests: slotmap::SlotMap<RequestKey, action_entry::RequestEntry>,
    /// Exactly the ids of `requests`.
    by_id: collections::HashMap<Bytes, RequestKey>,
    /// Exactly the requests that are settled, oldest first.
    settled: collections::BTreeSet<(u64, RequestKey)>,
    /// Exactly the waiters and drivers of all actions.
    deadlines: collections::BTreeSet<WaiterDeadline>,
    /// Number of actions of all requests.
    actions: usize,
    next_age: u64,
}

impl RequestTable {
    /// Adds a request without actions.
    pub(crate) fn insert(&mut self, request_id: &Bytes, origin: action_entry::RequestOrigin) -> RequestKey {
        // The copy does not keep the larger buffer of the request's head alive.
        let request_id = Bytes::copy_from_slice(request_id);
        self.next_age += 1;
        let key = self.requests.insert(action_entry::RequestEntry {
            request_id: request_id.clone(),
            origin,
            actions: Vec::new(),
            age: self.next_age,
        });
        self.by_id.insert(request_id, key);
        key
    }

    /// Adds an action to a request.
    pub(crate) fn add_action(&mut self, key: RequestKey, action: action_entry::ActionEntry) {
        if let Some(request) = self.requests.get_mut(key) {
            request.actions.push(action);
            self.actions += 1;
        }
    }

    /// Removes a request with the deadlines of its calls.
    pub(crate) fn remove(&mut self, key: RequestKey) -> Option<action_entry::RequestEntry> {
        let request = self.requests.remove(key)?;
        self.by_id.remove(&request.request_id);
        self.settled.remove(&(request.age, key));
        self.actions -= request.actions.len();
        for action in &request.actions {
            for waiter in &action.waiters {
                self.deadlines.remove(&(waiter.wake, waiter.waiter, key, action.call));
            }
        }
        Some(request)
    }

    /// Records whether the request is settled. Called after each change of a request.
    pub(crate) fn reindex(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        if request.is_settled() {
            self.settled.insert((request.age, key));
        } else {
            self.settled.remove(&(request.age, key));
        }
    }

    /// Keeps a request from being forgotten until the next `reindex`.
    pub(crate) fn pin(&mut self, key: RequestKey) {
        if let Some(request) = self.requests.get(key) {
            self.settled.remove(&(request.age, key));
        }
    }

    /// Records the wake time of a call.
    pub(crate) fn watch(
        &mut self,
        key: RequestKey,
        call: action_key::Sha256Digest,
        waiter: &action_entry::ActionWaiter,
    ) {
        self.deadlines.insert((waiter.wake, waiter.waiter, key, call));
    }

    /// Removes the wake time of a call that no longer waits.
    pub(crate) fn unwatch(
        &mut self,
        key: RequestKey,
        call: action_key::Sha256Digest,
        waiter: &action_entry::ActionWaiter,
    ) {
        self.deadlines.remove(&(waiter.wake, waiter.waiter, key, call));
    }

    /// Takes the first wake time that has come.
    pub(crate) fn pop_deadline(&mut self, now: time::Instant) -> Option<WaiterDeadline> {
        if self.deadlines.first()?.0 > now {
            return None;
        }
        self.deadlines.pop_first()
    }

    pub(crate) fn get_mut(&mut self, key: RequestKey) -> Option<&mut action_entry::RequestEntry> {
        self.requests.get_mut(key)
    }
}

impl RequestTable {
    pub(crate) fn find(&self, request_id: &Bytes) -> Option<RequestKey> {
        self.by_id.get(request_id).copied()
    }

    pub(crate) fn get(&self, key: RequestKey) -> Option<&action_entry::RequestEntry> {
        self.requests.get(key)
    }

    pub(crate) fn oldest_settled(&self) -> Option<RequestKey> {
        self.settled.first().map(|entry| entry.1)
    }

    pub(crate) fn next_wake(&self) -> Option<time::Instant> {
        self.deadlines.first().map(|deadline| deadline.0)
    }

    /// Returns the number of requests, of actions, and of waiting and driving calls.
    pub(crate) fn sizes(&self) -> (usize, usize, usize) {
        (self.requests.len(), self.actions, self.deadlines.len())
    }
}
