//! Turns of tenants at the retry budget of a service.

use std::time::{Duration, Instant};

use bytes::Bytes;
use damasktrack_routing::retry_budget::{RetryBudget, RetryDecision, RetryPolicy};
use damasktrack_routing::retry_turns::{RetryTurns, TurnDecision};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SEED: u64 = 20_261_206;
const ASK_AGE: Duration = Duration::from_secs(1);

/// Budget with turns, or without them.
struct Daemon {
    budget: RetryBudget,
    turns: RetryTurns,
    has_turns: bool,
}

impl Daemon {
    fn new(has_turns: bool, now: Instant) -> Self {
        let policy = RetryPolicy {
            retry_share: 0.04,
            max_tokens: 2.0,
            idle_reserve: 2.0,
            reserve_interval: Duration::from_secs(10),
        };
        Self {
            budget: RetryBudget::with_policy(policy, now),
            turns: RetryTurns::default(),
            has_turns,
        }
    }

    fn retry(&mut self, tenant: Option<&Bytes>, now: Instant) -> bool {
        let turn = self.turns.ask(tenant, now);
        if self.has_turns && turn == TurnDecision::OthersFirst {
            return false;
        }
        let granted = self.budget.try_retry(now) == RetryDecision::Allowed;
        if granted {
            self.turns.note_grant(tenant);
        }
        granted
    }
}

/// Returns the retries of a tenant whose requests all fail, and of one that needs a retry now and then. Both send for
/// 60 s, and the first one alone for 60 s more.
fn run(has_turns: bool) -> ([u32; 2], u32) {
    let mut rng = StdRng::seed_from_u64(SEED);
    let start = Instant::now();
    let mut daemon = Daemon::new(has_turns, start);
    let tenants = [Bytes::from_static(b"failing"), Bytes::from_static(b"other")];
    let (mut shared, mut alone) = ([0; 2], 0);
    for step in 0..12_000_u32 {
        let now = start + Duration::from_millis(10) * step;
        // 100 requests a second.
        daemon.budget.first_attempt();
        let is_shared = step < 6_000;
        // It asks from the beginning, since the first tenant may use all retries before.
        let asks = is_shared && (step == 0 || rng.random_bool(0.1));
        if asks && daemon.retry(Some(&tenants[1]), now) {
            shared[1] += 1;
        }
        if daemon.retry(Some(&tenants[0]), now) {
            if is_shared {
                shared[0] += 1;
            } else {
                alone += 1;
            }
        }
    }
    (shared, alone)
}

/// Guards against a tenant with failing requests that uses up the retries of the others, and against retries that are
/// withheld from the only tenant that asks.
#[test]
fn tenants_that_ask_share_the_retries() {
    let (with, alone) = run(true);
    let (without, alone_without) = run(false);
    println!("seed {SEED}: {with:?} with turns, {without:?} without; alone {alone} and {alone_without}");
    assert!(with[0] <= with[1] + 1, "{with:?}");
    assert!(
        with[0] + with[1] >= (without[0] + without[1]) * 9 / 10,
        "{with:?} {without:?}"
    );
    assert!(without[0] > 4 * without[1], "the run shows no difference: {without:?}");
    assert!(alone + 6 >= alone_without, "{alone} {alone_without}");
}

/// Guards against more than half of the retries for one tenant in a part of a run, with changing tenants.
#[test]
fn no_tenant_has_more_than_half_while_another_asks() {
    assert_eq!(violations(true), 0);
    assert!(violations(false) > 0);
}

/// Returns how often a tenant got two retries in succession although another one asked less than [`ASK_AGE`] before the
/// second and no later than it. Without such a pair, a tenant has at most half of the retries of any period, and one.
fn violations(has_turns: bool) -> u32 {
    let mut count = 0;
    for case in 0..500 {
        let mut rng = StdRng::seed_from_u64(SEED + case);
        let start = Instant::now();
        let mut daemon = Daemon::new(has_turns, start);
        let (mut now, mut last) = (start, None);
        let mut asked: Vec<(usize, Instant)> = Vec::new();
        for _step in 0..300 {
            now += Duration::from_millis(rng.random_range(0..400));
            (0..rng.random_range(0..40)).for_each(|_request| daemon.budget.first_attempt());
            let index = rng.random_range(0..4_usize);
            let tenant = Bytes::from(format!("tenant{index}"));
            let granted = daemon.retry((index > 0).then_some(&tenant), now);
            let others = asked.iter().rev().filter(|(other, _time)| *other != index);
            let recent = others.take(1).any(|(_other, time)| now - *time <= ASK_AGE);
            if granted {
                count += u32::from(last == Some(index) && recent);
                last = Some(index);
            }
            asked.push((index, now));
        }
    }
    count
}
