//! Circuit breaker of the store client, as a state machine without a clock.

use std::time;

/// Failures in a row that open the circuit.
pub const MAX_FAILURES: u32 = 5;
/// Shortest and longest time for which the circuit stays open.
pub const MIN_BACKOFF: time::Duration = time::Duration::from_millis(100);
/// See [`MIN_BACKOFF`].
pub const MAX_BACKOFF: time::Duration = time::Duration::from_secs(30);
/// Time after which a probe without a result is given up; a call ends after 2 s.
const PROBE_TIME: time::Duration = time::Duration::from_secs(4);

/// Whether a call may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CircuitStep {
    /// Send it.
    Pass,
    /// Don't send it.
    Refuse,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CircuitState {
    Closed,
    /// Nothing is sent until then.
    Open(time::Instant),
    /// One call is under way; no other is sent until its result or this time.
    Probing(time::Instant),
}

/// Circuit breaker with decorrelated jitter: each pause is drawn between [`MIN_BACKOFF`] and three times the pause
/// before it, so that many daemons don't return to a recovering store together.
#[derive(Debug)]
pub struct StoreCircuit {
    state: CircuitState,
    /// Failures in a row while closed.
    failures: u32,
    /// Within [`MIN_BACKOFF`] and [`MAX_BACKOFF`].
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
    /// Decides about a call; a passed one is followed by `succeed` or `fail`.
    pub fn admit(&mut self, now: time::Instant) -> CircuitStep {
        match self.state {
            CircuitState::Closed => CircuitStep::Pass,
            CircuitState::Open(until) | CircuitState::Probing(until) if now < until => CircuitStep::Refuse,
            CircuitState::Open(_) | CircuitState::Probing(_) => {
                self.state = CircuitState::Probing(now + PROBE_TIME);
                CircuitStep::Pass
            }
        }
    }

    /// A call was answered.
    pub fn succeed(&mut self) {
        *self = Self::default();
    }

    /// A call was not answered, or with an error of the store. `draw` is uniform in [0, 1).
    pub fn fail(&mut self, now: time::Instant, draw: f64) {
        self.failures += 1;
        let opens = match self.state {
            CircuitState::Closed => self.failures >= MAX_FAILURES,
            CircuitState::Probing(_) => true,
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
