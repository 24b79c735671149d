//! Bounds on blocking reads: deadline, silence and cancellation of the call that the current thread serves.
//!
//! ureq reads block, so the transport waits in slices and looks at the call's watch after each. The watch belongs to
//! the thread and not to the connection, since pooled connections serve many calls.

use std::cell;
use std::sync;
use std::sync::atomic;
use std::time;

use ureq::unversioned::transport;

/// Longest wait without a look at the watch; also the interval of `Working` frames.
pub const WAIT_SLICE: time::Duration = time::Duration::from_millis(250);
/// Time without a byte after which a connection between daemons counts as silent; four `Working` frames are missing
/// then.
pub const PEER_SILENCE: time::Duration = time::Duration::from_secs(1);

/// Set when nobody waits for a call any longer.
pub type CancelFlag = sync::Arc<atomic::AtomicBool>;

/// What to do after a slice without input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchStep {
    /// Go on waiting.
    Continue,
    /// Go on waiting, and look again within this time.
    ContinueWithin(time::Duration),
    /// Nobody takes the response any longer.
    Stop,
}

/// Why the transport ended a wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchStop {
    /// The deadline of the call passed.
    Deadline,
    /// No byte arrived for too long.
    Silent,
    /// The call was cancelled.
    Cancelled,
}

/// Bounds of one call.
pub struct CallWatch {
    /// End of the call's remaining time.
    pub deadline: time::Instant,
    /// Longest time without a byte, if it is bounded.
    pub silence: Option<time::Duration>,
    /// Cancellation of the call.
    pub cancelled: CancelFlag,
    /// Longest wait until the first look.
    pub slice: time::Duration,
    /// Called after each slice without input.
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
    /// Creates a watch for a message that no call waits for.
    #[must_use]
    pub fn for_message(timeout: time::Duration) -> Self {
        Self {
            deadline: time::Instant::now() + timeout,
            silence: Some(PEER_SILENCE),
            cancelled: CancelFlag::default(),
            slice: WAIT_SLICE,
            on_wait: Box::new(|| WatchStep::Continue),
        }
    }
}

/// What the watch saw while a request ran.
#[derive(Clone, Copy, Debug, Default)]
pub struct WatchReport {
    /// Whether any byte of the request was handed to a connection. If not, the request did not run.
    pub sent: bool,
    /// Why the transport ended a wait.
    pub stop: Option<WatchStop>,
}

struct ActiveWatch {
    watch: CallWatch,
    report: WatchReport,
}

thread_local! {
    static ACTIVE: cell::RefCell<Option<ActiveWatch>> = const { cell::RefCell::new(None) };
}

/// Runs a request under a watch; the request runs on the calling thread.
pub fn run<T>(watch: CallWatch, request: impl FnOnce() -> T) -> (T, WatchReport) {
    let active = ActiveWatch {
        watch,
        report: WatchReport::default(),
    };
    ACTIVE.with_borrow_mut(|slot| *slot = Some(active));
    let value = request();
    let report = ACTIVE.with_borrow_mut(|slot| slot.take().map(|active| active.report));
    (value, report.unwrap_or_default())
}

/// Last link of the connector chain; wraps each connection.
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

/// Connection whose reads obey the watch of the current thread.
#[derive(Debug)]
pub(crate) struct WatchedTransport<T> {
    inner: T,
}

impl<T: transport::Transport> transport::Transport for WatchedTransport<T> {
    fn buffers(&mut self) -> &mut dyn transport::Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: transport::NextTimeout) -> Result<(), ureq::Error> {
        ACTIVE.with_borrow_mut(|slot| {
            if let Some(active) = slot {
                active.report.sent = true;
            }
        });
        let bounded = bound(timeout, PEER_SILENCE);
        self.inner.transmit_output(amount, bounded)
    }

    fn await_input(&mut self, timeout: transport::NextTimeout) -> Result<bool, ureq::Error> {
        let started = time::Instant::now();
        loop {
            let slice = next_slice(started);
            match self.inner.await_input(bound(timeout, slice)) {
                Err(ureq::Error::Timeout(_)) => after_slice(started)?,
                result => return result,
            }
        }
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }
}

fn bound(timeout: transport::NextTimeout, limit: time::Duration) -> transport::NextTimeout {
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

/// Returns the next slice; the usual length is kept where possible, since each change costs a system call.
fn next_slice(started: time::Instant) -> time::Duration {
    ACTIVE.with_borrow(|slot| {
        let Some(active) = slot else {
            return WAIT_SLICE;
        };
        let now = time::Instant::now();
        let mut slice = active
            .watch
            .slice
            .min(active.watch.deadline.saturating_duration_since(now));
        if let Some(silence) = active.watch.silence {
            slice = slice.min((started + silence).saturating_duration_since(now));
        }
        // A socket timeout of zero would mean no timeout.
        slice.max(time::Duration::from_millis(1))
    })
}

fn after_slice(started: time::Instant) -> Result<(), ureq::Error> {
    ACTIVE.with_borrow_mut(|slot| {
        let Some(active) = slot else {
            return if started.elapsed() >= PEER_SILENCE {
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
        } else if watch.silence.is_some_and(|silence| now >= started + silence) {
            Some(WatchStop::Silent)
        } else {
            match (watch.on_wait)() {
                WatchStep::Stop => Some(WatchStop::Cancelled),
                WatchStep::Continue => {
                    watch.slice = WAIT_SLICE;
                    None
                }
                WatchStep::ContinueWithin(slice) => {
                    watch.slice = slice.min(WAIT_SLICE);
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
