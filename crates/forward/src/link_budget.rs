//! Bound of the outgoing connections of a process.
//!
//! Load pattern: callers read no responses, and each response occupies a connection to another daemon. Together they
//! use up the descriptors of the process. At the bound an idle connection is closed for a new one, then one whose
//! response a caller doesn't read. A call that gets no connection in time has not been sent.

use std::cell;
use std::rc;
use std::sync;
use std::time;

use damasktrack_pipeline::account_handle;

use crate::http_link;

/// Longest wait for a connection. It is that of a call in a queue that was recently empty; another daemon may have a
/// free connection sooner.
const SLOT_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// Interval at which a waiting call looks for a connection that can be closed.
const CLOSE_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Outgoing connections of a process to one kind of receiver.
#[derive(Debug)]
pub struct LinkBudget {
    /// `None` without a bound.
    bounded: Option<BoundedLinks>,
    refused: cell::Cell<u64>,
}

#[derive(Debug)]
struct BoundedLinks {
    /// One permit for each connection that may still be opened. They are given out in the order of the waits.
    slots: sync::Arc<tokio::sync::Semaphore>,
    limit: usize,
    pools: cell::RefCell<Vec<rc::Weak<http_link::LinkPool>>>,
    waiting: cell::Cell<usize>,
    account: account_handle::AccountHandle,
}

/// An open connection in a budget until it is dropped. It is dropped after the socket.
#[derive(Debug)]
pub struct LinkSlot {
    _permit: Option<tokio::sync::OwnedSemaphorePermit>,
}

/// Result of a wait for a connection.
#[derive(Debug)]
pub enum SlotResult {
    /// A connection may be opened.
    Slot(LinkSlot),
    /// A connection of the pool became idle.
    IdleLink,
    /// No connection became free in time.
    Refused,
}

/// Counts a waiting call until it is dropped.
struct WaitGuard<'a>(&'a cell::Cell<usize>);

impl<'a> WaitGuard<'a> {
    fn new(waiting: &'a cell::Cell<usize>) -> Self {
        waiting.set(waiting.get() + 1);
        Self(waiting)
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl LinkBudget {
    /// Creates a budget of `limit` connections; without one nothing is bounded. Callers' connections with stalled
    /// output are closed through `account`.
    #[must_use]
    pub fn new(limit: Option<usize>, account: account_handle::AccountHandle) -> rc::Rc<Self> {
        let bounded = limit.map(|limit| BoundedLinks {
            slots: sync::Arc::new(tokio::sync::Semaphore::new(
                limit.min(tokio::sync::Semaphore::MAX_PERMITS),
            )),
            limit,
            pools: cell::RefCell::default(),
            waiting: cell::Cell::new(0),
            account,
        });
        rc::Rc::new(Self {
            bounded,
            refused: cell::Cell::new(0),
        })
    }

    /// Creates a budget without a bound.
    #[must_use]
    pub fn unbounded() -> rc::Rc<Self> {
        Self::new(None, account_handle::AccountHandle::default())
    }

    /// Adds a pool, whose idle connections may be closed.
    pub(crate) fn add(&self, pool: &rc::Rc<http_link::LinkPool>) {
        if let Some(bounded) = &self.bounded {
            let mut pools = bounded.pools.borrow_mut();
            pools.retain(|pool| pool.strong_count() > 0);
            pools.push(rc::Rc::downgrade(pool));
        }
    }

    /// Waits until a connection may be opened, or until one of `pool` becomes idle.
    pub(crate) async fn acquire(&self, pool: &http_link::LinkPool) -> SlotResult {
        let Some(bounded) = &self.bounded else {
            return SlotResult::Slot(LinkSlot { _permit: None });
        };
        if let Ok(permit) = sync::Arc::clone(&bounded.slots).try_acquire_owned() {
            return SlotResult::Slot(LinkSlot { _permit: Some(permit) });
        }
        let _waiting = WaitGuard::new(&bounded.waiting);
        let _waiting_for_pool = WaitGuard::new(&pool.waiting);
        let closing = async {
            loop {
                if !bounded.close_idle_link() {
                    bounded.account.close_stalled();
                }
                tokio::time::sleep(CLOSE_INTERVAL).await;
            }
        };
        let result = tokio::select! {
            biased;
            permit = sync::Arc::clone(&bounded.slots).acquire_owned() => match permit {
                Ok(permit) => SlotResult::Slot(LinkSlot { _permit: Some(permit) }),
                // The semaphore is never closed.
                Err(_closed) => SlotResult::Refused,
            },
            () = pool.returned.notified() => SlotResult::IdleLink,
            () = closing => SlotResult::Refused,
            () = tokio::time::sleep(SLOT_TIMEOUT) => SlotResult::Refused,
        };
        if matches!(result, SlotResult::Refused) {
            self.refused.set(self.refused.get() + 1);
        }
        result
    }
}

/// Queries.
impl LinkBudget {
    /// Returns whether a call waits for a connection.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        self.bounded.as_ref().is_some_and(|bounded| bounded.waiting.get() > 0)
    }

    /// Returns the number of open connections; 0 without a bound.
    #[must_use]
    pub fn open(&self) -> usize {
        let bounded = self.bounded.as_ref();
        bounded.map_or(0, |bounded| {
            bounded.limit.saturating_sub(bounded.slots.available_permits())
        })
    }

    /// Returns how many calls got no connection.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused.get()
    }
}

impl BoundedLinks {
    /// Closes the connection that has been idle for longest; returns whether there was one.
    fn close_idle_link(&self) -> bool {
        let pools = self.pools.borrow();
        let pools = pools.iter().filter_map(rc::Weak::upgrade);
        let oldest = pools.filter_map(|pool| Some((pool.oldest_idle()?, pool)));
        match oldest.min_by_key(|(since, _pool)| *since) {
            Some((_since, pool)) => {
                pool.close_oldest();
                true
            }
            None => false,
        }
    }
}
