//! Fake backend server: slots, service times, faults and a load report that lags.

use std::collections;
use std::time;

use rand::RngExt;

/// Backend server that runs `slots` calls at once and queues the others in arrival order, without a bound.
#[derive(Debug)]
pub struct FakeBackend<K> {
    slots: u32,
    mean: time::Duration,
    /// Multipliers of service times: factor, start, end, and whether the factor falls linearly to 1 by the end.
    slow: Vec<(f64, time::Duration, time::Duration, bool)>,
    busy: u32,
    waiting: collections::VecDeque<K>,
    /// Load reports with the time of each, oldest first.
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

    /// Adds a period in which service times are multiplied by a factor; with `falling`, it falls linearly to 1.
    pub fn add_slow(&mut self, factor: f64, span: (time::Duration, time::Duration), falling: bool) {
        self.slow.push((factor, span.0, span.1, falling));
    }

    /// Accepts a call; returns whether it got a slot, and queues it otherwise.
    pub fn accept(&mut self, call: K) -> bool {
        if self.busy < self.slots {
            self.busy += 1;
            return true;
        }
        self.waiting.push_back(call);
        false
    }

    /// Frees the slot of an ended call; returns the queued call that takes it.
    pub fn release(&mut self) -> Option<K> {
        let next = self.waiting.pop_front();
        if next.is_none() {
            self.busy -= 1;
        }
        next
    }

    /// Removes a call from the queue; returns whether it was queued.
    pub fn withdraw(&mut self, call: K) -> bool {
        let at = self.waiting.iter().position(|other| *other == call);
        at.is_some_and(|at| self.waiting.remove(at).is_some())
    }

    /// Records the number of running and queued calls as a load report.
    pub fn report(&mut self, at: time::Duration) {
        let load = self.busy + u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        self.reports.push_back((at, load));
    }

    /// Returns the latest load report that is at least `lag` old; 0 if there is none.
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
