//! Log lines about requests, bounded in number.

use std::cell;
use std::time;

/// Lines about requests in a second. A line costs about as much processor time as forwarding a request, and 20 of them
/// a second stay under 1% of a core.
const LINES_PER_SECOND: u32 = 20;

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
    written: cell::Cell<u32>,
    left_out: cell::Cell<u64>,
}

impl DecisionLog {
    /// Decides on a line.
    pub fn decide(&self, now: time::Instant) -> LogDecision {
        let window = self.window.get();
        if window.is_none_or(|window| now.saturating_duration_since(window) >= time::Duration::from_secs(1)) {
            self.window.set(Some(now));
            self.written.set(0);
        }
        if self.written.get() >= LINES_PER_SECOND {
            self.left_out.set(self.left_out.get() + 1);
            return LogDecision::Skip;
        }
        self.written.set(self.written.get() + 1);
        LogDecision::Write {
            left_out: self.left_out.replace(0),
        }
    }
}
