//! Refuses requests early while nested calls fail.
//!
//! The calls of a backend server to other services carry no context of their chain. An overloaded service further down
//! the chain therefore can't determine which calls belong to one request, and refuses some calls of each request.
//! Such a request fails after all its other calls were made. The daemon of the first server observes these failures and
//! admits fewer requests, with a multiplicative decrease and a fast increase of the admitted share.

use std::collections;
use std::time;

use damasktrack_entity::ids;

/// Share of failed requests in a window above which the admitted share falls.
const HIGH_FAILURE_SHARE: f64 = 0.2;
/// Share of failed requests in a window below which the admitted share grows.
const LOW_FAILURE_SHARE: f64 = 0.1;
/// Minimum admitted share. Failures that are not caused by load persist when fewer requests are admitted, and only
/// admitted requests show when the failures end.
const MIN_SHARE: f64 = 0.1;
/// Factor by which the admitted share grows in a window, before [`GROWTH_STEP`] is added. The share grows from the
/// minimum to 1 within five windows, since an overload often ends abruptly.
const GROWTH_FACTOR: f64 = 1.5;
/// Amount added to the admitted share in a window in which it grows; see [`GROWTH_FACTOR`].
const GROWTH_STEP: f64 = 0.05;
/// Minimum length of a window.
const MIN_WINDOW: time::Duration = time::Duration::from_millis(400);
/// Minimum number of ended requests in a window.
const MIN_REQUESTS: u32 = 5;
/// Time after which a request that the server's own service sent no longer marks its class as sent from outside of
/// chains.
const OWN_SERVICE_EXPIRY: time::Duration = time::Duration::from_secs(20);

/// Result of an admitted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PressureOutcome {
    /// The server completed it.
    Completed,
    /// The server reported a failure, or did not respond in time.
    Failed,
    /// The result gives no information about failures below, for example because the caller disconnected.
    Unknown,
}

/// Decision on an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PressureDecision {
    /// Offer it to the gate.
    Admit,
    /// Refuse it: its nested calls would probably fail.
    Refuse,
}

/// Service of the VM that sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerService {
    /// The service that the request is sent to.
    OwnService,
    /// Any other service.
    OtherService,
}

/// Admitted share of one class, and the outcomes in its current window.
#[derive(Clone, Debug)]
struct ClassPressure {
    /// Admitted share, from [`MIN_SHARE`] to 1.
    share: f64,
    /// Requests that started before the window were admitted under another share and are not counted.
    window_start: time::Instant,
    ended: u32,
    failed: u32,
    /// When a VM of the server's own service last sent a request of the class.
    own_service_sent: Option<time::Instant>,
}

/// Admitted share by class at the daemon of one server. A class without outcomes is fully admitted.
#[derive(Clone, Debug, Default)]
pub struct PressureThrottle {
    classes: collections::HashMap<ids::ClassName, ClassPressure>,
}

/// Commands.
impl PressureThrottle {
    /// Decides on an arriving request; `draw` is a random number from 0 to 1.
    ///
    /// `caller_service` states whether the VM that sent the request belongs to the server's own service. Callers outside
    /// of chains run on VMs of all services, whereas a call inside a chain always comes from another service than the
    /// one that it is sent to. A class is therefore refused only if the server's own service sent it recently: calls
    /// inside a chain must not be refused here, since work was already done for their request. Critical classes are
    /// shed last; the code that calls this method has to exempt them.
    pub fn arrive(
        &mut self,
        class: &ids::ClassName,
        caller_service: CallerService,
        draw: f64,
        now: time::Instant,
    ) -> PressureDecision {
        let pressure = self.class(class, now);
        if caller_service == CallerService::OwnService {
            pressure.own_service_sent = Some(now);
        }
        let recent = |at: time::Instant| now.saturating_duration_since(at) < OWN_SERVICE_EXPIRY;
        if draw < pressure.share || !pressure.own_service_sent.is_some_and(recent) {
            PressureDecision::Admit
        } else {
            PressureDecision::Refuse
        }
    }

    /// Counts the result of an admitted request that started at `started`, and ends the window if it is complete.
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
        if age < MIN_WINDOW || pressure.ended < MIN_REQUESTS {
            return;
        }
        let failure_share = f64::from(pressure.failed) / f64::from(pressure.ended);
        if failure_share > HIGH_FAILURE_SHARE {
            pressure.share = (pressure.share * (1.0 - failure_share / 2.0)).max(MIN_SHARE);
        } else if failure_share < LOW_FAILURE_SHARE {
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
            own_service_sent: None,
        })
    }
}

/// Queries.
impl PressureThrottle {
    /// Returns the admitted share of a class, from 0.1 to 1.
    #[must_use]
    pub fn share(&self, class: &ids::ClassName) -> f64 {
        self.classes.get(class).map_or(1.0, |pressure| pressure.share)
    }
}
