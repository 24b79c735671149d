//! Further rounds of attempts for a call that every tried server refused for want of capacity.
//!
//! Load pattern: a burst fills the queues of a service that all chains reach, while its servers end a call every few
//! milliseconds. A refused nested call fails the whole request above it, with all the work spent on it, so the call
//! waits a moment for a slot instead. The wait is a part of the call's own time: a call without time to wait is refused
//! at once, and its caller learns early that it did not run.

use std::time;

use damasktrack_entity::call_outcome;

/// Share of the time limit of a call after which no further round starts.
const MAX_WAIT_SHARE: f64 = 0.4;
/// Longest time since the arrival of a call after which no further round starts.
const MAX_WAIT: time::Duration = time::Duration::from_millis(250);
/// Mean pause before a round. A server with 20 slots and work of 60 ms ends a call every 3 ms.
const MEAN_PAUSE: time::Duration = time::Duration::from_millis(30);

/// What to do after a round in which every tried server refused a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoundStep {
    /// Try servers again after this pause.
    Pause(time::Duration),
    /// Refuse the call.
    GiveUp,
}

/// Decides whether a call is tried again. `elapsed` is the time since its arrival, `limit` the time between arrival and
/// deadline, and `draw` a random number below 1, which spreads calls that were refused together.
#[must_use]
pub fn next_round(
    reason: call_outcome::RefusalReason,
    elapsed: time::Duration,
    limit: time::Duration,
    draw: f64,
) -> RoundStep {
    let lacks_capacity = matches!(
        reason,
        call_outcome::RefusalReason::Overloaded
            | call_outcome::RefusalReason::QueueFull
            | call_outcome::RefusalReason::RateReached
    );
    let pause = MEAN_PAUSE.mul_f64(0.5 + draw);
    if lacks_capacity && elapsed + pause <= limit.mul_f64(MAX_WAIT_SHARE).min(MAX_WAIT) {
        RoundStep::Pause(pause)
    } else {
        RoundStep::GiveUp
    }
}
