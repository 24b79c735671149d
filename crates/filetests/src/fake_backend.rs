//! Fake backend server: slots, service times, faults and a load report that lags.

use std::collections;
use std::time;

use rand::RngExt;

/// Backend server that runs `slots` calls at once and keeps any more in arrival order, without a bound.
#[derive(Debug)]
pub struct FakeBackend<K> {
    slots: u32,
    mean: time::Duration,
    /// Multiplier of service times: factor, start, end, and whether it falls to 1 over that time.
    slow: Vec<(f64, time::Duration, time::Duration, bool)>,
    busy: u32,
    waiting: collections::VecDeque<K>,
    /// Load with the time it was taken, oldest first.
    reports: collections::VecDeque<(time::Duration, u32)>,
}

impl<K: Copy + PartialEq> FakeBackend<K> {
    /// Returns an idle backend server.
    #[must_use]
    pub fn new(slots: u32, mean: time::Duration) -> Self {
        Self {
            slots,
            mean,
            slow: Vec::new(),
            busy: 0,
            waiting: collections::VecDeque::new(),
            reports: collections::VecDeque::new(),
        }
    }

    /// Adds a time in which service times are multiplied.
    pub fn add_slow(&mut self, factor: f64, span: (time::Duration, time::Duration), falling: bool) {
        self.slow.push((factor, span.0, span.1, falling));
    }

    /// Takes a call; returns whether it has a slot now.
    pub fn accept(&mut self, call: K) -> bool {
        if self.busy < self.slots {
            self.busy += 1;
            return true;
        }
        self.waiting.push_back(call);
        false
    }

    /// Frees the slot of an ended call; returns the call that gets it.
    pub fn release(&mut self) -> Option<K> {
        let next = self.waiting.pop_front();
        if next.is_none() {
            self.busy -= 1;
        }
        next
    }

    /// Drops a call that has no slot yet; returns whether it was there.
    pub fn withdraw(&mut self, call: K) -> bool {
        let at = self.waiting.iter().position(|other| *other == call);
        at.is_some_and(|at| self.waiting.remove(at).is_some())
    }

    /// Takes a load report.
    pub fn report(&mut self, at: time::Duration) {
        let load = self.busy + u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        self.reports.push_back((at, load));
    }

    /// Returns the load that was reported `lag` ago.
    pub fn reported_load(&mut self, at: time::Duration, lag: time::Duration) -> u32 {
        while self.reports.get(1).is_some_and(|report| report.0 + lag <= at) {
            self.reports.pop_front();
        }
        self.reports
            .front()
            .filter(|report| report.0 + lag <= at)
            .map_or(0, |report| report.1)
    }

    /// Draws a service time: half of the mean is fixed, the rest is exponential.
    pub fn service_time(&self, work: f64, at: time::Duration, rng: &mut rand::rngs::StdRng) -> time::Duration {
        let mut factor = work;
        for (slow, from, to, falling) in &self.slow {
            if (*from..*to).contains(&at) {
                let left = to.saturating_sub(at).as_secs_f64() / to.saturating_sub(*from).as_secs_f64();
                factor *= if *falling { 1.0 + (slow - 1.0) * left } else { *slow };
            }
        }
        let draw: f64 = rng.random();
        self.mean.mul_f64(factor * (0.5 - 0.5 * (1.0 - draw).ln()))
    }
}
