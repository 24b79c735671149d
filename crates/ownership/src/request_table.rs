//! Requests of the action ledger, indexed by id, order of arrival and wake time.

use std::collections;
use std::time;

use bytes::Bytes;

use crate::action_entry;
use crate::action_key;
use crate::action_step;

slotmap::new_key_type! {
    /// Key of a request in the table; not reused after the request is removed.
    pub(crate) struct RequestKey;
}

/// Waiting or driving call, ordered by its wake time.
pub(crate) type WaiterWake = (
    time::Instant,
    action_step::WaiterId,
    RequestKey,
    action_key::Sha256Digest,
);

/// Requests with their indexes.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    requests: slotmap::SlotMap<RequestKey, action_entry::RequestEntry>,
    /// Contains exactly the ids of `requests`.
    by_id: collections::HashMap<Bytes, RequestKey>,
    /// Contains exactly the settled requests that are not pinned, oldest first.
    settled: collections::BTreeSet<(u64, RequestKey)>,
    /// Contains exactly the waiters and drivers of all actions.
    wakes: collections::BTreeSet<WaiterWake>,
    /// Number of actions of all requests.
    actions: usize,
    next_arrival_number: u64,
}

impl RequestTable {
    /// Adds a request without actions. The caller ensures that the id is not in the table.
    pub(crate) fn insert(&mut self, request_id: &Bytes, origin: action_entry::RequestOrigin) -> RequestKey {
        // The copy avoids keeping the larger buffer of the request head alive.
        let request_id = Bytes::copy_from_slice(request_id);
        self.next_arrival_number += 1;
        let key = self.requests.insert(action_entry::RequestEntry {
            request_id: request_id.clone(),
            origin,
            actions: Vec::new(),
            arrival_number: self.next_arrival_number,
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

    /// Removes a request, with the wake times of its waiting calls. No dispatch of the request may be open.
    pub(crate) fn remove(&mut self, key: RequestKey) -> Option<action_entry::RequestEntry> {
        let request = self.requests.remove(key)?;
        self.by_id.remove(&request.request_id);
        self.settled.remove(&(request.arrival_number, key));
        self.actions -= request.actions.len();
        for action in &request.actions {
            for waiter in &action.waiters {
                self.wakes
                    .remove(&(waiter.wake, waiter.waiter, key, action.call_digest));
            }
        }
        Some(request)
    }

    /// Updates the index of settled requests. Must be called after each change of a request.
    pub(crate) fn reindex(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        if request.is_settled() {
            self.settled.insert((request.arrival_number, key));
        } else {
            self.settled.remove(&(request.arrival_number, key));
        }
    }

    /// Protects a request from eviction until the next `reindex`.
    pub(crate) fn pin(&mut self, key: RequestKey) {
        if let Some(request) = self.requests.get(key) {
            self.settled.remove(&(request.arrival_number, key));
        }
    }

    /// Adds the wake time of a call.
    pub(crate) fn schedule_wake(
        &mut self,
        key: RequestKey,
        call_digest: action_key::Sha256Digest,
        waiter: &action_entry::ActionWaiter,
    ) {
        self.wakes.insert((waiter.wake, waiter.waiter, key, call_digest));
    }

    /// Removes the wake time of a call that no longer waits.
    pub(crate) fn cancel_wake(
        &mut self,
        key: RequestKey,
        call_digest: action_key::Sha256Digest,
        waiter: &action_entry::ActionWaiter,
    ) {
        self.wakes.remove(&(waiter.wake, waiter.waiter, key, call_digest));
    }

    /// Removes and returns the earliest wake time that has been reached.
    pub(crate) fn pop_wake(&mut self, now: time::Instant) -> Option<WaiterWake> {
        if self.wakes.first()?.0 > now {
            return None;
        }
        self.wakes.pop_first()
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
        self.wakes.first().map(|wake| wake.0)
    }

    /// Returns the number of requests, of actions, and of waiting and driving calls.
    pub(crate) fn sizes(&self) -> (usize, usize, usize) {
        (self.requests.len(), self.actions, self.wakes.len())
    }
}
