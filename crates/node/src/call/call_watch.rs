//! Bounds on blocking reads: deadline, silence timeout and cancellation of the call that the current thread serves.
//!
//! Reads of ureq block, so the transport waits for input in steps of at most [`POLL_INTERVAL`] and checks the watch of
//! the call after each step without input. The watch is stored per thread and not per connection, since pooled
//! connections serve many calls.

use std::cell;
use std::sync;
use std::sync::atomic;
use std::time;

use ureq::unversioned::transport;

/// Maximum wait between two checks of the watch; also the interval of `Working` frames.
pub const POLL_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Time without a received byte after which a connection between daemons counts as silent. It equals four intervals of
/// `Working` frames.
pub const PEER_SILENCE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Flag that is set when the response to a call is no longer needed.
pub type CancelFlag = sync::Arc<atomic::AtomicBool>;

/// Whether to wait further after a poll interval without input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchStep {
    /// Wait for another [`POLL_INTERVAL`].
    Continue,
    /// Wait for this time, but at most for another [`POLL_INTERVAL`].
    ContinueWithin(time::Duration),
    /// End the wait, since the response is no longer needed.
    Stop,
}

/// Why the transport ended a wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchStop {
    /// The deadline of the call passed.
    Deadline,
    /// No byte arrived within the silence timeout.
    Silent,
    /// The call was cancelled.
    Cancelled,
}

/// Bounds of one call.
pub struct CallWatch {
    /// End of the call's remaining time.
    pub deadline: time::Instant,
    /// Maximum time without a received byte, or `None` for no such bound.
    pub silence_timeout: Option<time::Duration>,
    /// Cancellation of the call.
    pub cancelled: CancelFlag,
    /// Maximum wait until the first check of the watch; [`WatchStep`] sets the later ones.
    pub poll_interval: time::Duration,
    /// Callback after each poll interval without input.
    pub on_wait: Box<dyn FnMut() -> WatchStep>,
}

impl std::fmt::Debug for CallWatch {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CallWatch")
            .field("deadline", &self.deadline)
            .finish_non_exhaustive()
    }
}

impl CallWatch {
    /// Creates a watch for a message that belongs to no call; it can't be cancelled.
    #[must_use]
    pub fn for_message(timeout: time::Duration) -> Self {
        Self {
            deadline: time::Instant::now() + timeout,
            silence_timeout: Some(PEER_SILENCE_TIMEOUT),
            cancelled: CancelFlag::default(),
            poll_interval: POLL_INTERVAL,
            on_wait: Box::new(|| WatchStep::Continue),
        }
    }
}

/// Observations of the watch while a request ran.
#[derive(Clone, Copy, Debug, Default)]
pub struct WatchReport {
    /// Whether any byte of the request was written to a connection. If not, the request did not run.
    pub sent: bool,
    /// Why the transport ended a wait, or `None` if it ended none.
    pub stop: Option<WatchStop>,
}

struct ActiveWatch {
    watch: CallWatch,
    report: WatchReport,
}

thread_local! {
    static ACTIVE_WATCH: cell::RefCell<Option<ActiveWatch>> = const { cell::RefCell::new(None) };
}

/// Runs a request on the calling thread under a watch.
pub fn run<T>(watch: CallWatch, request: impl FnOnce() -> T) -> (T, WatchReport) {
    let active = ActiveWatch {
        watch,
        report: WatchReport::default(),
    };
    ACTIVE_WATCH.with_borrow_mut(|slot| *slot = Some(active));
    let value = request();
    let report = ACTIVE_WATCH.with_borrow_mut(|slot| slot.take().map(|active| active.report));
    (value, report.unwrap_or_default())
}

/// Last connector of the chain; wraps each connection in a [`WatchedTransport`].
#[derive(Debug)]
pub(crate) struct WatchConnector;

impl<In: transport::Transport> transport::Connector<In> for WatchConnector {
    type Out = WatchedTransport<In>;

    fn connect(
        &self,
        _details: &transport::ConnectionDetails<'_>,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, ureq::Error> {
        Ok(chained.map(|inner| WatchedTransport { inner }))
    }
}

/// Connection whose reads are limited by the watch of the current thread.
#[derive(Debug)]
pub(crate) struct WatchedTransport<T> {
    inner: T,
}

impl<T: transport::Transport> transport::Transport for WatchedTransport<T> {
    fn buffers(&mut self) -> &mut dyn transport::Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: transport::NextTimeout) -> Result<(), ureq::Error> {
        ACTIVE_WATCH.with_borrow_mut(|slot| {
            if let Some(active) = slot {
                active.report.sent = true;
            }
        });
        let limited = limit_timeout(timeout, PEER_SILENCE_TIMEOUT);
        self.inner.transmit_output(amount, limited)
    }

    fn await_input(&mut self, timeout: transport::NextTimeout) -> Result<bool, ureq::Error> {
        let started = time::Instant::now();
        loop {
            let wait = next_wait(started);
            match self.inner.await_input(limit_timeout(timeout, wait)) {
                Err(ureq::Error::Timeout(_)) => check_watch(started)?,
                result => return result,
            }
        }
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }
}

fn limit_timeout(timeout: transport::NextTimeout, limit: time::Duration) -> transport::NextTimeout {
    let limit = transport::time::Duration::Exact(limit);
    transport::NextTimeout {
        after: if timeout.after.is_not_happening() || *timeout.after > *limit {
            limit
        } else {
            timeout.after
        },
        ..timeout
    }
}

/// Returns the maximum wait until the next check. It stays the same where possible, since each change of the socket
/// timeout costs a system call.
fn next_wait(started: time::Instant) -> time::Duration {
    ACTIVE_WATCH.with_borrow(|slot| {
        let Some(active) = slot else {
            return POLL_INTERVAL;
        };
        let now = time::Instant::now();
        let mut wait = active
            .watch
            .poll_interval
            .min(active.watch.deadline.saturating_duration_since(now));
        if let Some(silence) = active.watch.silence_timeout {
            wait = wait.min((started + silence).saturating_duration_since(now));
        }
        // A socket timeout of zero means no timeout.
        wait.max(time::Duration::from_millis(1))
    })
}

fn check_watch(started: time::Instant) -> Result<(), ureq::Error> {
    ACTIVE_WATCH.with_borrow_mut(|slot| {
        let Some(active) = slot else {
            return if started.elapsed() >= PEER_SILENCE_TIMEOUT {
                Err(ureq::Error::Timeout(ureq::Timeout::Global))
            } else {
                Ok(())
            };
        };
        let now = time::Instant::now();
        let watch = &mut active.watch;
        let stop = if watch.cancelled.load(atomic::Ordering::Relaxed) {
            Some(WatchStop::Cancelled)
        } else if now >= watch.deadline {
            Some(WatchStop::Deadline)
        } else if watch.silence_timeout.is_some_and(|silence| now >= started + silence) {
            Some(WatchStop::Silent)
        } else {
            match (watch.on_wait)() {
                WatchStep::Stop => Some(WatchStop::Cancelled),
                WatchStep::Continue => {
                    watch.poll_interval = POLL_INTERVAL;
                    None
                }
                WatchStep::ContinueWithin(wait) => {
                    watch.poll_interval = wait.min(POLL_INTERVAL);
                    None
                }
            }
        };
        active.report.stop = stop;
        match stop {
            Some(_) => Err(ureq::Error::Timeout(ureq::Timeout::Global)),
            None => Ok(()),
        }
    })
}
