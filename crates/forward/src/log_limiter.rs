//! Rate limit of log lines about requests.

use std::cell;
use std::time;

/// Maximum lines per second about requests that were not served. Writing a line costs about as much processor time as
/// forwarding a request.
const FAILURES_PER_SECOND: u32 = 20;
/// Maximum lines per second about served requests, as a sample of normal traffic.
const SUCCESSES_PER_SECOND: u32 = 2;

/// Category of a log line; each has its own limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogCategory {
    /// A request or call that failed or was refused.
    Failure,
    /// A request that was served.
    Success,
}

/// Whether a log line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogDecision {
    /// Write the line, with the number of lines left out before it.
    Write {
        /// Lines left out since the last line that was written, over both categories.
        left_out: u64,
    },
    /// Drop the line and count it as left out.
    Skip,
}

/// Rate limiter with fixed windows of one second for log lines about requests.
#[derive(Debug, Default)]
pub struct LogLimiter {
    window: cell::Cell<Option<time::Instant>>,
    failures: cell::Cell<u32>,
    successes: cell::Cell<u32>,
    left_out: cell::Cell<u64>,
}

impl LogLimiter {
    /// Decides whether a line about `category` is written at `now`, and counts it.
    pub fn decide(&self, category: LogCategory, now: time::Instant) -> LogDecision {
        let window = self.window.get();
        if window.is_none_or(|window| now.saturating_duration_since(window) >= time::Duration::from_secs(1)) {
            self.window.set(Some(now));
            self.failures.set(0);
            self.successes.set(0);
        }
        let (written, limit) = match category {
            LogCategory::Failure => (&self.failures, FAILURES_PER_SECOND),
            LogCategory::Success => (&self.successes, SUCCESSES_PER_SECOND),
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
