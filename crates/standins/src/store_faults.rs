//! Faults of the store stand-in: rules that apply to requests with a probability, drawn from a seed.

use std::collections;
use std::time;

use rand::{RngExt, SeedableRng};

/// Kind of a fault, under its name in `POST /control/fault`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Removes all rules.
    Up,
    /// Responds 503; nothing takes effect.
    Down,
    /// Sends no response and keeps the connection open; nothing takes effect.
    Silent,
    /// Delays the response by `delay_ms`.
    Slow,
    /// Loses the request before it takes effect. Same effect as `Silent`, counted separately.
    LoseRequest,
    /// Loses the response after the request took effect; the connection stays open.
    LoseAnswer,
    /// Reads of rows return the state of `commits` commits ago; reads of objects are not affected.
    Stale,
}

/// Requests to which a rule applies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultScope {
    /// Reads and writes.
    #[default]
    All,
    /// `GET` requests.
    Reads,
    /// Commits and `PUT` requests: every method but `GET`.
    Writes,
}

/// Body of `POST /control/fault`: adds one rule, or removes all with `{"kind": "up"}`.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRule {
    /// Fault that the rule causes.
    pub kind: FaultKind,
    /// Probability that the rule applies to a request in its scope, clamped to 0 to 1.
    #[serde(default = "default_probability")]
    pub probability: f64,
    /// Seed of the random numbers of this rule.
    #[serde(default)]
    pub seed: u64,
    /// Number of requests after which the rule is removed; `None` for no limit.
    #[serde(default)]
    pub next: Option<u64>,
    /// Requests to which the rule applies.
    #[serde(default)]
    pub scope: FaultScope,
    /// Added latency of `slow`, in milliseconds.
    #[serde(default = "default_delay")]
    pub delay_ms: u64,
    /// Age of the state that `stale` returns, in commits.
    #[serde(default = "default_commits")]
    pub commits: u64,
}

fn default_probability() -> f64 {
    1.0
}

fn default_delay() -> u64 {
    1_000
}

fn default_commits() -> u64 {
    1
}

/// Combined effect of all rules that apply to one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultPlan {
    /// Respond 503.
    pub down: bool,
    /// Send no response; nothing takes effect. Has precedence over `down`.
    pub lose_request: bool,
    /// Send no response after the request took effect.
    pub lose_answer: bool,
    /// Added latency, the sum of all `slow` rules that apply.
    pub delay: time::Duration,
    /// Age of the state that a read of rows returns, in commits; the largest of all `stale` rules that apply.
    pub stale_commits: u64,
}

#[derive(Debug)]
struct ActiveRule {
    rule: FaultRule,
    rng: rand::rngs::StdRng,
}

/// Rules in force.
#[derive(Debug, Default)]
pub struct FaultTable {
    rules: Vec<ActiveRule>,
    /// Number of times that rules applied, by kind in lower case without underscores (`loserequest`).
    hits: collections::BTreeMap<String, u64>,
}

/// Commands.
impl FaultTable {
    /// Adds a rule; `Up` removes all rules instead.
    pub fn add(&mut self, rule: FaultRule) {
        if rule.kind == FaultKind::Up {
            self.rules.clear();
            return;
        }
        let rng = rand::rngs::StdRng::seed_from_u64(rule.seed);
        self.rules.push(ActiveRule { rule, rng });
    }

    /// Draws which rules apply to the next request, and removes the rules that reach their limit.
    pub fn draw(&mut self, write: bool) -> FaultPlan {
        let mut plan = FaultPlan::default();
        for active in &mut self.rules {
            let rule = &mut active.rule;
            let applies = match rule.scope {
                FaultScope::All => true,
                FaultScope::Reads => !write,
                FaultScope::Writes => write,
            };
            if !applies || !active.rng.random_bool(rule.probability.clamp(0.0, 1.0)) {
                continue;
            }
            if let Some(next) = &mut rule.next {
                *next = next.saturating_sub(1);
            }
            match rule.kind {
                FaultKind::Up => {}
                FaultKind::Down => plan.down = true,
                FaultKind::Silent | FaultKind::LoseRequest => plan.lose_request = true,
                FaultKind::Slow => plan.delay += time::Duration::from_millis(rule.delay_ms),
                FaultKind::LoseAnswer => plan.lose_answer = true,
                FaultKind::Stale => plan.stale_commits = plan.stale_commits.max(rule.commits),
            }
            *self.hits.entry(format!("{:?}", rule.kind).to_lowercase()).or_default() += 1;
        }
        self.rules.retain(|active| active.rule.next != Some(0));
        plan
    }
}

/// Queries.
impl FaultTable {
    /// Returns the rules in force.
    #[must_use]
    pub fn rules(&self) -> Vec<FaultRule> {
        self.rules.iter().map(|active| active.rule.clone()).collect()
    }

    /// Returns how many times rules applied, by kind in lower case without underscores.
    #[must_use]
    pub fn hits(&self) -> &collections::BTreeMap<String, u64> {
        &self.hits
    }
}
