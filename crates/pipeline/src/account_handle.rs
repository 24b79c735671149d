//! Shared handles to the account of a process. They wake the connections that have to be given up.

use std::collections;
use std::future;
use std::sync;
use std::sync::atomic;
use std::time;

use futures_util::task;

use crate::byte_account;

/// Handle to the account of a process; clones share it.
#[derive(Clone, Debug, Default)]
pub struct AccountHandle(sync::Arc<sync::Mutex<SharedAccount>>);

#[derive(Debug, Default)]
struct SharedAccount {
    account: byte_account::ByteAccount,
    /// Wakes the tasks of the connections.
    wakers: collections::HashMap<byte_account::HoldId, sync::Arc<HoldWaker>>,
}

/// A connection in the account until it is dropped.
#[derive(Debug)]
pub struct ConnectionHold {
    handle: AccountHandle,
    id: byte_account::HoldId,
    waker: sync::Arc<HoldWaker>,
}

/// What is asked of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldDemand {
    /// Refuse the request that has not arrived completely.
    RefuseRequest,
    /// Close the connection without a response, since its descriptor is needed.
    Close,
    /// Close the connection, whose responses are not read.
    CloseStalled,
}

/// Wakes the task of a connection.
#[derive(Debug, Default)]
struct HoldWaker {
    /// Whether something is asked of the connection.
    demands: atomic::AtomicBool,
    closes: atomic::AtomicBool,
    closes_stalled: atomic::AtomicBool,
    /// The only task that waits. It is polled on each event of the connection, which a list of waiters makes expensive.
    task: task::AtomicWaker,
}

impl HoldWaker {
    fn poll_demand(&self, cx: &mut std::task::Context<'_>) -> std::task::Poll<()> {
        if !self.demands.load(atomic::Ordering::Acquire) {
            self.task.register(cx.waker());
        }
        if self.demands.swap(false, atomic::Ordering::AcqRel) {
            std::task::Poll::Ready(())
        } else {
            std::task::Poll::Pending
        }
    }
}

/// Bytes of a complete request or of a response, counted until they are dropped.
#[derive(Debug)]
pub struct ForwardedHold {
    handle: AccountHandle,
    bytes: usize,
}

impl AccountHandle {
    /// Creates an account; without bounds it only counts.
    #[must_use]
    pub fn new(bounds: Option<byte_account::AccountBounds>) -> Self {
        Self(sync::Arc::new(sync::Mutex::new(SharedAccount {
            account: byte_account::ByteAccount::new(bounds),
            wakers: collections::HashMap::new(),
        })))
    }

    /// Adds a connection.
    #[must_use]
    pub fn open(&self, listener: byte_account::ListenerKind) -> ConnectionHold {
        let waker = sync::Arc::<HoldWaker>::default();
        let mut shared = self.lock();
        let (id, victim) = shared.account.open(listener, time::Instant::now());
        shared.wakers.insert(id, sync::Arc::clone(&waker));
        shared.wake(victim, HoldDemand::Close);
        ConnectionHold {
            handle: self.clone(),
            id,
            waker,
        }
    }

    /// Closes the connection of a caller with the most stalled output, if there is one.
    pub fn close_stalled(&self) {
        let mut shared = self.lock();
        let victim = shared.account.close_stalled(time::Instant::now());
        shared.wake(victim, HoldDemand::CloseStalled);
    }

    /// Counts bytes of a complete request or of a response.
    #[must_use]
    pub fn hold(&self, bytes: usize) -> ForwardedHold {
        self.lock().account.hold_forwarded(bytes);
        ForwardedHold {
            handle: self.clone(),
            bytes,
        }
    }

    /// Returns the result of a query of the account.
    pub fn ask<T>(&self, query: impl FnOnce(&byte_account::ByteAccount) -> T) -> T {
        query(&self.lock().account)
    }

    fn lock(&self) -> sync::MutexGuard<'_, SharedAccount> {
        self.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl SharedAccount {
    /// Wakes a selected connection. One that sends was selected since its output is stalled.
    fn wake(&self, id: Option<byte_account::HoldId>, demand: HoldDemand) {
        let selected = id.and_then(|id| Some((id, self.wakers.get(&id)?)));
        if let Some((id, waker)) = selected {
            if self.account.is_sending(id) {
                waker.closes_stalled.store(true, atomic::Ordering::Relaxed);
            } else if demand == HoldDemand::Close {
                waker.closes.store(true, atomic::Ordering::Relaxed);
            }
            waker.demands.store(true, atomic::Ordering::Release);
            waker.task.wake();
        }
    }
}

impl ConnectionHold {
    /// Records the state of the connection, wakes those that have to be given up for it, and returns when the
    /// connection may read on.
    #[must_use]
    pub fn update(&self, state: byte_account::HoldState) -> byte_account::ReadPace {
        let mut shared = self.handle.lock();
        let now = time::Instant::now();
        let victim = shared.account.update(self.id, state, now);
        shared.wake(victim, HoldDemand::RefuseRequest);
        shared.account.read_pace()
    }

    /// Waits until the connection is to be given up.
    pub async fn given_up(&self) -> HoldDemand {
        future::poll_fn(|cx| self.waker.poll_demand(cx)).await;
        if self.waker.closes_stalled.swap(false, atomic::Ordering::Relaxed) {
            return HoldDemand::CloseStalled;
        }
        if self.waker.closes.swap(false, atomic::Ordering::Relaxed) {
            HoldDemand::Close
        } else {
            HoldDemand::RefuseRequest
        }
    }

    /// States that the connection goes on, without the request that was refused.
    pub fn readmit(&self) {
        self.handle.lock().account.readmit(self.id);
    }

    /// Returns the account.
    #[must_use]
    pub fn account(&self) -> &AccountHandle {
        &self.handle
    }
}

impl Drop for ConnectionHold {
    fn drop(&mut self) {
        let mut shared = self.handle.lock();
        shared.account.close(self.id);
        shared.wakers.remove(&self.id);
    }
}

impl ForwardedHold {
    /// Changes the number of bytes.
    pub fn set(&mut self, bytes: usize) {
        let mut shared = self.handle.lock();
        shared.account.release_forwarded(self.bytes);
        shared.account.hold_forwarded(bytes);
        self.bytes = bytes;
    }
}

impl Drop for ForwardedHold {
    fn drop(&mut self) {
        self.handle.lock().account.release_forwarded(self.bytes);
    }
}
