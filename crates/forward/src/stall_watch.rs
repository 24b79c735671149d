//! Detects pauses of the process, and bounds how long a request has waited to be read.
//!
//! A daemon that was stopped, suspended or not scheduled finds requests in its socket buffers whose time went on. The
//! clocks of two VMs can't be compared, so the time for which the daemon did not run counts as waited.

use std::time;

/// Shortest time without a beat that counts as a pause. Beats are due every 100 ms and late under load.
const MIN_PAUSE: time::Duration = time::Duration::from_millis(300);
/// Time after a pause in which the requests that arrived meanwhile are read.
const BACKLOG_TIME: time::Duration = time::Duration::from_millis(100);

/// Time since the start of the machine, which includes suspensions.
pub type BootTime = time::Duration;

/// Returns the time since the start of the machine.
///
/// # Panics
/// Panics if the system has no such clock, which Linux has.
#[must_use]
pub fn boot_time() -> BootTime {
    let now = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME);
    time::Duration::from(now.expect("Linux has a clock of the time since boot"))
}

/// Times at which the process ran.
#[derive(Debug)]
pub struct StallWatch {
    last_beat: BootTime,
    /// End and length of the last pause.
    pause: Option<(BootTime, time::Duration)>,
}

impl StallWatch {
    /// Creates a watch for a process that runs now.
    #[must_use]
    pub fn new(now: BootTime) -> Self {
        Self {
            last_beat: now,
            pause: None,
        }
    }

    /// Records that the process runs; due every 100 ms.
    pub fn beat(&mut self, now: BootTime) {
        let elapsed = now.saturating_sub(self.last_beat);
        if elapsed >= MIN_PAUSE {
            self.pause = Some((now, elapsed));
        }
        self.last_beat = now;
    }

    /// Returns the longest time for which a request that is read now may have waited; zero unless the process was paused
    /// just before.
    #[must_use]
    pub fn longest_wait(&self, now: BootTime) -> time::Duration {
        let elapsed = now.saturating_sub(self.last_beat);
        if elapsed >= MIN_PAUSE {
            return elapsed;
        }
        match self.pause {
            Some((end, length)) if now.saturating_sub(end) <= BACKLOG_TIME => length + now.saturating_sub(end),
            _ => time::Duration::ZERO,
        }
    }
}
