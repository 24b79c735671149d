//! Log lines about requests, bounded in number.

use std::cell;
use std::time;

/// Lines about requests that were not served, in a second. A line costs about as much processor time as forwarding a
/// request.
const FAILURES_PER_SECOND: u32 = 20;
/// Lines about served requests in a second; they show what usual requests look like.
const SUCCESSES_PER_SECOND: u32 = 2;

/// What a line is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogSubject {
    /// A request or call that failed or was refused.
    Failure,
    /// A request that was served.
    Success,
}

/// Whether a line may be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogDecision {
    /// Write it, and report this many lines left out before it.
    Write {
        /// Lines left out since the last one written.
        left_out: u64,
    },
    /// Leave it out.
    Skip,
}

/// Bound of the log lines about requests of one process.
#[derive(Debug, Default)]
pub struct DecisionLog {
    window: cell::Cell<Option<time::Instant>>,
    failures: cell::Cell<u32>,
    successes: cell::Cell<u32>,
    left_out: cell::Cell<u64>,
}

impl DecisionLog {
    /// Decides on a line.
    pub fn decide(&self, subject: LogSubject, now: time::Instant) -> LogDecision {
        let window = self.window.get();
        if window.is_none_or(|window| now.saturating_duration_since(window) >= time::Duration::from_secs(1)) {
            self.window.set(Some(now));
            self.failures.set(0);
            self.successes.set(0);
        }
        let (written, limit) = match subject {
            LogSubject::Failure => (&self.failures, FAILURES_PER_SECOND),
            LogSubject::Success => (&self.successes, SUCCESSES_PER_SECOND),
        };
        if written.get() >= limit {
            self.left_out.set(self.left_out.get() + 1);
            return LogDecision::Skip;
        }
        written.set(written.get() + 1);
        LogDecision::Write {
            left_out: self.left_out.replace(0),
        }
    }
}
