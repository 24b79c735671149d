//! Faults of the backend server stand-in: rules that apply to calls with a probability, drawn from a seed.

use std::time;

use rand::{RngExt, SeedableRng};

/// Kind of a fault, under its name in `POST /control/fault`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendFaultKind {
    /// Removes all rules and ends a freeze.
    Clear,
    /// Work takes `value` times as long.
    Slow,
    /// Delays all requests and responses for `value` ms, except those of `/control`.
    Freeze,
    /// The connection ends after half of the body.
    CutBody,
    /// The process exits at once, without responses to the calls in flight.
    Die,
    /// Responds with the status `value` after the work was done.
    Status,
    /// Refuses with 503 and `Damasktrack-Not-Run: true`.
    Refuse,
    /// The health endpoint responds with the status `value`, whatever the state.
    Health,
    /// The load endpoint reports the load `value`, whatever the state.
    Load,
}

/// Body of `POST /control/fault`: adds one rule, or removes all with `{"kind": "clear"}`.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendFault {
    /// Fault that the rule causes.
    pub kind: BackendFaultKind,
    /// Factor, milliseconds, status or load, by kind.
    #[serde(default)]
    pub value: f64,
    /// Probability that the rule applies to a call, clamped to 0 to 1.
    #[serde(default = "default_probability")]
    pub probability: f64,
    /// Seed of the random numbers of this rule.
    #[serde(default)]
    pub seed: u64,
    /// Number of calls after which the rule is removed; `None` for no limit.
    #[serde(default)]
    pub next: Option<u64>,
}

fn default_probability() -> f64 {
    1.0
}

/// Combined effect of all rules that apply to one call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallFaults {
    /// Factor on the service time.
    pub slow_factor: f64,
    /// End the connection after half of the body.
    pub cut_body: bool,
    /// Respond with this status after the work was done.
    pub status: Option<u16>,
    /// Refuse the call with 503 and `Damasktrack-Not-Run: true`.
    pub refuse: bool,
}

#[derive(Debug)]
struct ActiveFault {
    fault: BackendFault,
    rng: rand::rngs::StdRng,
}

/// Faults in force.
#[derive(Debug, Default)]
pub struct BackendFaultTable {
    active: Vec<ActiveFault>,
    frozen_until: Option<time::Instant>,
}

/// Commands.
impl BackendFaultTable {
    /// Adds a rule. `Clear` removes all instead, and `Freeze` sets the end of the freeze.
    pub fn add(&mut self, fault: BackendFault, now: time::Instant) {
        match fault.kind {
            BackendFaultKind::Clear => *self = Self::default(),
            BackendFaultKind::Freeze => {
                let length = time::Duration::try_from_secs_f64(fault.value / 1_000.0).unwrap_or_default();
                self.frozen_until = now.checked_add(length);
            }
            _ => {
                let rng = rand::rngs::StdRng::seed_from_u64(fault.seed);
                self.active.push(ActiveFault { fault, rng });
            }
        }
    }

    /// Draws which rules apply to the next call, and removes the rules that reach their limit.
    pub fn draw(&mut self) -> CallFaults {
        let mut faults = CallFaults {
            slow_factor: 1.0,
            cut_body: false,
            status: None,
            refuse: false,
        };
        for active in &mut self.active {
            let fault = &mut active.fault;
            let applies_to_calls = !matches!(fault.kind, BackendFaultKind::Health | BackendFaultKind::Load);
            if !applies_to_calls || !active.rng.random_bool(fault.probability.clamp(0.0, 1.0)) {
                continue;
            }
            if let Some(next) = &mut fault.next {
                *next = next.saturating_sub(1);
            }
            match fault.kind {
                BackendFaultKind::Slow => faults.slow_factor *= fault.value.max(0.0),
                BackendFaultKind::CutBody => faults.cut_body = true,
                BackendFaultKind::Status => faults.status = status(fault.value),
                BackendFaultKind::Refuse => faults.refuse = true,
                _ => {}
            }
        }
        self.active.retain(|active| active.fault.next != Some(0));
        faults
    }
}

/// Queries.
impl BackendFaultTable {
    /// Returns the rules in force.
    #[must_use]
    pub fn rules(&self) -> Vec<BackendFault> {
        self.active.iter().map(|active| active.fault.clone()).collect()
    }

    /// Returns the time for which the server stays frozen.
    #[must_use]
    pub fn frozen_for(&self, now: time::Instant) -> time::Duration {
        let until = self.frozen_until;
        until.map_or(time::Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Returns the status that the health endpoint reports instead of the actual one.
    #[must_use]
    pub fn health_override(&self) -> Option<u16> {
        self.value_of(BackendFaultKind::Health).and_then(status)
    }

    /// Returns the load that the load endpoint reports instead of the actual one.
    #[must_use]
    pub fn load_override(&self) -> Option<f64> {
        self.value_of(BackendFaultKind::Load)
    }

    fn value_of(&self, kind: BackendFaultKind) -> Option<f64> {
        let active = self.active.iter().rev().find(|active| active.fault.kind == kind);
        active.map(|active| active.fault.value)
    }
}

/// Returns the smallest status from 100 to 599 that is not below the value.
fn status(value: f64) -> Option<u16> {
    (100..=599).find(|status| f64::from(*status) >= value)
}
