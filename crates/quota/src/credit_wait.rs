//! Decision on a request that finds no credit: wait or refuse.
//!
//! Load: all daemons are restarted at once, or a coordinator is lost. Nobody may grant credits until the leases of the
//! former processes have ended, 2.5 s, so requests of tenants within their limits would be refused although their
//! callers can wait. Afterwards credits come at the rate of the limit, and the usual demand is below it, so those that
//! waited are served with the later ones.

use std::time;

use crate::credit_holder;

/// Longest wait for a credit while a coordinator grants. The round trip between regions is 60 ms, and a report may have
/// to wait for the reply to the one before.
pub const MAX_WAIT: time::Duration = time::Duration::from_millis(250);
/// Part of the time to its deadline that a request may wait in an outage. The rest is left to run it.
const OUTAGE_PART: f64 = 0.6;
/// Longest time between two tries for a credit in an outage.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Shortest time between two tries for a credit.
const MIN_INTERVAL: time::Duration = time::Duration::from_millis(10);
/// `Retry-After` of a request that has waited for a credit in vain.
const WAITED_RETRY: time::Duration = time::Duration::from_millis(200);

/// What to do with a request without a credit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitStep {
    /// Request a report at once, and try again after a reply or this time.
    Report(time::Duration),
    /// Try again after a reply or this time.
    Pause(time::Duration),
    /// Refuse the request; the time after which a credit is expected.
    Refuse(time::Duration),
}

/// Wait of one request for a credit.
#[derive(Clone, Copy, Debug)]
pub struct CreditWait {
    began: time::Duration,
    /// Time from `began` to the deadline of the request.
    time_left: time::Duration,
    /// Whether the request has met an outage.
    in_outage: bool,
}

impl CreditWait {
    /// Begins a wait.
    #[must_use]
    pub fn new(time_left: time::Duration, now: time::Duration) -> Self {
        Self {
            began: now,
            time_left,
            in_outage: false,
        }
    }

    /// Decides after a try for a credit; `None` if it was granted. `may_hold` is whether requests may wait for the end
    /// of an outage: a daemon that stops must answer soon.
    pub fn decide(
        &mut self,
        result: &credit_holder::TakeResult,
        may_hold: bool,
        now: time::Duration,
    ) -> Option<WaitStep> {
        let waited = now.saturating_sub(self.began);
        self.in_outage |= matches!(result, credit_holder::TakeResult::Wait { in_recovery: true });
        let outage_limit = if may_hold {
            self.time_left.mul_f64(OUTAGE_PART)
        } else {
            time::Duration::ZERO
        };
        let limit = if self.in_outage {
            outage_limit.max(MAX_WAIT)
        } else {
            MAX_WAIT
        };
        let step = match *result {
            credit_holder::TakeResult::Granted(_) => return None,
            credit_holder::TakeResult::Wait { .. } if waited < limit => WaitStep::Report(limit.saturating_sub(waited)),
            credit_holder::TakeResult::Wait { .. } => WaitStep::Refuse(WAITED_RETRY),
            credit_holder::TakeResult::Outage(wait) if waited + wait < outage_limit => {
                self.in_outage = true;
                WaitStep::Pause(wait.clamp(MIN_INTERVAL, POLL_INTERVAL))
            }
            credit_holder::TakeResult::Refused(wait) if self.in_outage && waited < limit => {
                WaitStep::Pause(wait.clamp(MIN_INTERVAL, POLL_INTERVAL))
            }
            credit_holder::TakeResult::Outage(wait) | credit_holder::TakeResult::Refused(wait) => {
                WaitStep::Refuse(wait)
            }
        };
        Some(step)
    }

    /// Returns whether the request has met an outage.
    #[must_use]
    pub fn in_outage(&self) -> bool {
        self.in_outage
    }
}
