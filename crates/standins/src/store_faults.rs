//! Faults of the store: rules that are drawn with a seed for each request.

use std::collections;
use std::time;

use rand::{RngExt, SeedableRng};

/// What goes wrong with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Ends all faults.
    Up,
    /// Answers 503; nothing takes effect.
    Down,
    /// Never answers, and the connection stays silent; nothing takes effect.
    Silent,
    /// Answers `delay_ms` later.
    Slow,
    /// Loses the request before it takes effect; the connection stays silent.
    LoseRequest,
    /// Loses the answer after the request took effect; the connection stays silent.
    LoseAnswer,
    /// Reads return the state of `commits` commits ago.
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
    /// Commits and `PUT` requests.
    Writes,
}

/// Body of `POST /control/fault`: adds one rule, or ends all with `{"kind": "up"}`.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRule {
    /// What goes wrong.
    pub kind: FaultKind,
    /// Share of the requests that are hit.
    #[serde(default = "always")]
    pub probability: f64,
    /// Seed of the draws.
    #[serde(default)]
    pub seed: u64,
    /// The rule ends after it hit this many requests.
    #[serde(default)]
    pub next: Option<u64>,
    /// Requests to which the rule applies.
    #[serde(default)]
    pub scope: FaultScope,
    /// Added latency of `slow`.
    #[serde(default = "default_delay")]
    pub delay_ms: u64,
    /// Age of the state that `stale` returns, in commits.
    #[serde(default = "default_commits")]
    pub commits: u64,
}

fn always() -> f64 {
    1.0
}

fn default_delay() -> u64 {
    1_000
}

fn default_commits() -> u64 {
    1
}

/// What happens to one request: the sum of all rules that hit it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultPlan {
    /// Answer 503.
    pub down: bool,
    /// Never answer; nothing takes effect.
    pub lose_request: bool,
    /// Never answer after the request took effect.
    pub lose_answer: bool,
    /// Added latency.
    pub delay: time::Duration,
    /// Age of the state that a read returns, in commits.
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
    /// Requests hit, by kind.
    hits: collections::BTreeMap<String, u64>,
}

/// Commands.
impl FaultTable {
    /// Adds a rule; `Up` ends all.
    pub fn add(&mut self, rule: FaultRule) {
        if rule.kind == FaultKind::Up {
            self.rules.clear();
            return;
        }
        let rng = rand::rngs::StdRng::seed_from_u64(rule.seed);
        self.rules.push(ActiveRule { rule, rng });
    }

    /// Draws what happens to the next request.
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

    /// Returns how many requests were hit, by kind.
    #[must_use]
    pub fn hits(&self) -> &collections::BTreeMap<String, u64> {
        &self.hits
    }
}
