//! Circuit breaker of the store client, as a state machine whose caller passes in the time.

use std::time;

/// Consecutive failures that open the circuit.
pub const MAX_FAILURES: u32 = 5;
/// Bounds of the time for which the circuit stays open.
pub const MIN_BACKOFF: time::Duration = time::Duration::from_millis(100);
/// See [`MIN_BACKOFF`].
pub const MAX_BACKOFF: time::Duration = time::Duration::from_secs(30);
/// Time after which a probe without a result counts as lost and another may be sent. A call ends after 2 s.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_secs(4);

/// Whether a call may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CircuitStep {
    /// Send the call.
    Pass,
    /// Fail the call without sending it.
    Refuse,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CircuitState {
    Closed,
    /// No call is sent before this time.
    Open(time::Instant),
    /// One probe is in flight; no other call is sent before its result or this time.
    HalfOpen(time::Instant),
}

/// Circuit breaker with decorrelated jitter: each backoff is drawn between [`MIN_BACKOFF`] and three times the previous
/// one, so that many daemons don't resume their calls to a recovering store at the same time.
#[derive(Debug)]
pub struct StoreCircuit {
    state: CircuitState,
    /// Consecutive failures; only compared while the circuit is closed.
    failures: u32,
    /// Latest backoff, within [`MIN_BACKOFF`] and [`MAX_BACKOFF`].
    backoff: time::Duration,
}

impl Default for StoreCircuit {
    fn default() -> Self {
        Self {
            state: CircuitState::Closed,
            failures: 0,
            backoff: MIN_BACKOFF,
        }
    }
}

/// Commands.
impl StoreCircuit {
    /// Decides whether a call may be sent. The result of each call that passes must be reported with
    /// [`Self::record_success`] or [`Self::record_failure`].
    pub fn admit(&mut self, now: time::Instant) -> CircuitStep {
        match self.state {
            CircuitState::Closed => CircuitStep::Pass,
            CircuitState::Open(until) | CircuitState::HalfOpen(until) if now < until => CircuitStep::Refuse,
            CircuitState::Open(_) | CircuitState::HalfOpen(_) => {
                self.state = CircuitState::HalfOpen(now + PROBE_TIMEOUT);
                CircuitStep::Pass
            }
        }
    }

    /// Records that the store answered a call; closes the circuit.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records that a call received no answer or an error of the store. `draw` is uniform in [0, 1).
    pub fn record_failure(&mut self, now: time::Instant, draw: f64) {
        self.failures += 1;
        let opens = match self.state {
            CircuitState::Closed => self.failures >= MAX_FAILURES,
            CircuitState::HalfOpen(_) => true,
            // The call was sent before the circuit opened.
            CircuitState::Open(_) => false,
        };
        if opens {
            let range = (self.backoff * 3).saturating_sub(MIN_BACKOFF);
            self.backoff = (MIN_BACKOFF + range.mul_f64(draw)).min(MAX_BACKOFF);
            self.state = CircuitState::Open(now + self.backoff);
        }
    }
}
