//! Refuses requests early while the calls below them fail.
//!
//! A server's calls to other services carry no context of their chain, so a service that is overloaded below can't tell
//! which calls belong to one request, and refuses some of each. The request fails after all its other calls were made.
//! The daemon of the first server sees these failures and admits fewer requests, by multiplicative decrease and a fast
//! increase.

use std::collections;
use std::time;

use damasktrack_entity::ids;

/// Share of failed requests in a window above which fewer are admitted.
const HIGH_FAILURE: f64 = 0.2;
/// Share of failed requests in a window below which more are admitted.
const LOW_FAILURE: f64 = 0.1;
/// Least share that is admitted. Failures that don't come from load don't end when less is admitted, and requests that
/// are admitted show when they end.
const LEAST_SHARE: f64 = 0.1;
/// Factor and summand by which the admitted share grows in a window: from the least to all in five windows, since an
/// overload often ends at once.
const GROWTH_FACTOR: f64 = 1.5;
/// See [`GROWTH_FACTOR`].
const GROWTH_STEP: f64 = 0.05;
/// Least length of a window.
const WINDOW: time::Duration = time::Duration::from_millis(400);
/// Least number of requests in a window.
const MIN_REQUESTS: u32 = 5;
/// Time for which it counts that a class was sent from outside of chains.
const OUTSIDE_MEMORY: time::Duration = time::Duration::from_secs(20);

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PressureOutcome {
    /// The server completed it.
    Completed,
    /// The server reported a failure, or did not answer in time.
    Failed,
    /// Nothing can be learned from it, for example since its caller went away.
    Unknown,
}

/// What to do with an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PressureDecision {
    /// Offer it to the gate.
    Admit,
    /// Refuse it: calls below it would probably fail.
    Refuse,
}

/// Where a request was sent from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOrigin {
    /// A machine of the service that it goes to.
    OwnService,
    /// A machine of another service.
    OtherService,
}

/// Outcomes of one class.
#[derive(Clone, Debug)]
struct ClassPressure {
    /// From [`LEAST_SHARE`] to 1.
    share: f64,
    /// Requests that began earlier were admitted under another share and don't count.
    window_start: time::Instant,
    ended: u32,
    failed: u32,
    /// When a machine of the server's own service sent the class last.
    outside: Option<time::Instant>,
}

/// Early refusals of one server's daemon.
#[derive(Clone, Debug, Default)]
pub struct PressureThrottle {
    classes: collections::HashMap<ids::ClassName, ClassPressure>,
}

/// Commands.
impl PressureThrottle {
    /// Decides on an arriving request; `draw` is a random number from 0 to 1.
    ///
    /// `origin` tells whether the machine that sent it belongs to the server's own service. Callers outside of chains sit
    /// on machines of all services, while calls inside of a chain come from other services than the one that they go
    /// to. Those are never refused here, since work was already spent on their request. The caller leaves out critical
    /// classes, which are shed last.
    pub fn arrive(
        &mut self,
        class: &ids::ClassName,
        origin: CallOrigin,
        draw: f64,
        now: time::Instant,
    ) -> PressureDecision {
        let pressure = self.class(class, now);
        if origin == CallOrigin::OwnService {
            pressure.outside = Some(now);
        }
        let recent = |at: time::Instant| now.saturating_duration_since(at) < OUTSIDE_MEMORY;
        if draw < pressure.share || !pressure.outside.is_some_and(recent) {
            PressureDecision::Admit
        } else {
            PressureDecision::Refuse
        }
    }

    /// Counts the end of an admitted request that was started at `started`.
    pub fn end(
        &mut self,
        class: &ids::ClassName,
        outcome: PressureOutcome,
        started: time::Instant,
        now: time::Instant,
    ) {
        let pressure = self.class(class, now);
        if outcome == PressureOutcome::Unknown || started < pressure.window_start {
            return;
        }
        pressure.ended += 1;
        pressure.failed += u32::from(outcome == PressureOutcome::Failed);
        let age = now.saturating_duration_since(pressure.window_start);
        if age < WINDOW || pressure.ended < MIN_REQUESTS {
            return;
        }
        let failure = f64::from(pressure.failed) / f64::from(pressure.ended);
        if failure > HIGH_FAILURE {
            pressure.share = (pressure.share * (1.0 - failure / 2.0)).max(LEAST_SHARE);
        } else if failure < LOW_FAILURE {
            pressure.share = (pressure.share * GROWTH_FACTOR + GROWTH_STEP).min(1.0);
        }
        pressure.window_start = now;
        pressure.ended = 0;
        pressure.failed = 0;
    }

    fn class(&mut self, class: &ids::ClassName, now: time::Instant) -> &mut ClassPressure {
        self.classes.entry(class.clone()).or_insert_with(|| ClassPressure {
            share: 1.0,
            window_start: now,
            ended: 0,
            failed: 0,
            outside: None,
        })
    }
}

/// Queries.
impl PressureThrottle {
    /// Returns the share of a class that is admitted.
    #[must_use]
    pub fn share(&self, class: &ids::ClassName) -> f64 {
        self.classes.get(class).map_or(1.0, |pressure| pressure.share)
    }
}
