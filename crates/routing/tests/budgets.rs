//! Budgets, slow start and hedging in virtual time.

use std::time::{Duration, Instant};

use bytes::Bytes;
use damasktrack_routing::cold_ramp::{self, ColdRamp};
use damasktrack_routing::hedge_policy::{HedgeDecision, HedgePolicy, HedgeRequest};
use damasktrack_routing::region_budget::{RegionBudget, RegionDecision};
use damasktrack_routing::retry_budget::{self, RetryBudget, RetryDecision};

/// Tries to retry every call three times; returns the attempts per call.
fn attempts(per_second: u32, seconds: u32, limited: bool) -> f64 {
    let start = Instant::now();
    let mut budget = RetryBudget::new(start);
    let (mut calls, mut retries) = (0_u32, 0_u32);
    for index in 0..per_second * seconds {
        let now = start + Duration::from_secs(1) / per_second * index;
        budget.first_attempt();
        calls += 1;
        for _retry in 0..3 {
            if !limited || budget.try_retry(now) == RetryDecision::Allowed {
                retries += 1;
            }
        }
    }
    f64::from(calls + retries) / f64::from(calls)
}

/// Guards against retries that amplify an overload.
#[test]
fn retries_stay_within_the_share() {
    assert!(attempts(342, 60, true) <= 1.101, "{}", attempts(342, 60, true));
    assert!(attempts(342, 60, false) > 1.101);
}

/// Guards against an idle daemon that may never retry, and against tokens that accumulate without bound and allow a
/// retry storm.
#[test]
fn idle_daemon_keeps_a_small_reserve() {
    let start = Instant::now();
    let mut budget = RetryBudget::new(start);
    let take = |budget: &mut RetryBudget, now| {
        (0..1000)
            .filter(|_try| budget.try_retry(now) == RetryDecision::Allowed)
            .count()
    };
    assert_eq!(take(&mut budget, start), 3);
    assert_eq!(take(&mut budget, start + retry_budget::RESERVE_INTERVAL), 1);
    assert_eq!(take(&mut budget, start + Duration::from_hours(1)), 3);
    for _call in 0..100_000 {
        budget.first_attempt();
    }
    assert_eq!(take(&mut budget, start + Duration::from_hours(1)), 20);
    budget.give_back();
    assert_eq!(take(&mut budget, start + Duration::from_hours(1)), 1);
}

/// Guards against more bytes between regions than the rate, the burst and one response allow.
#[test]
fn region_bytes_stay_within_the_rate() {
    let start = Instant::now();
    let (rate, response) = (1_000_000, 50_000);
    let mut budget = RegionBudget::new(rate, start);
    let classes = [Bytes::from_static(b"profile"), Bytes::from_static(b"video")];
    let mut crossed = 0;
    for step in 0..60_000_u32 {
        let now = start + Duration::from_millis(u64::from(step));
        if budget.check(now) == RegionDecision::Allowed {
            budget.charge(&classes[step as usize % 2], response, now);
            crossed += response;
        }
    }
    assert!(crossed <= rate * 62 + response, "{crossed}");
    assert!(crossed >= rate * 60, "the rate is not used: {crossed}");
    let counted: u64 = budget.bytes_by_class().map(|(_class, bytes)| bytes).sum();
    assert_eq!(counted, crossed);
    budget.set_rate(0, start + Duration::from_mins(1));
    assert_eq!(budget.check(start + Duration::from_secs(70)), RegionDecision::Denied);
}

/// Guards against hedges of non-idempotent calls, of fast calls, without samples, twice, or too close to the deadline.
#[test]
fn only_slow_idempotent_calls_are_hedged() {
    let start = Instant::now();
    let (service, class) = (Bytes::from_static(b"profiles"), Bytes::from_static(b"profile"));
    let mut policy = HedgePolicy::new();
    let request = HedgeRequest {
        service: &service,
        class: &class,
        idempotent: true,
        elapsed: Duration::from_millis(500),
        remaining: Duration::from_secs(1),
        hedges: 0,
    };
    assert_eq!(policy.decide(request), HedgeDecision::Never, "no samples");
    for index in 0..200 {
        let latency = Duration::from_millis(1 + index % 100);
        policy.record(&service, &class, latency, start + Duration::from_millis(100 * index));
    }
    let delay = policy.delay(&service, &class).unwrap();
    assert!(
        (Duration::from_millis(85)..=Duration::from_millis(100)).contains(&delay),
        "{delay:?}"
    );
    assert_eq!(policy.decide(request), HedgeDecision::Send);
    assert_eq!(
        policy.decide(HedgeRequest {
            idempotent: false,
            ..request
        }),
        HedgeDecision::Never
    );
    assert_eq!(
        policy.decide(HedgeRequest { hedges: 1, ..request }),
        HedgeDecision::Never
    );
    let early = HedgeRequest {
        elapsed: delay / 2,
        ..request
    };
    assert_eq!(
        policy.decide(early),
        HedgeDecision::Wait(delay.saturating_sub(delay / 2))
    );
    let late = HedgeRequest {
        remaining: delay / 2,
        ..request
    };
    assert_eq!(policy.decide(late), HedgeDecision::Never);
    let other = Bytes::from_static(b"schedule");
    assert_eq!(
        policy.decide(HedgeRequest {
            class: &other,
            ..request
        }),
        HedgeDecision::Never,
        "another class"
    );
}

/// Guards against a hedge delay that stays at the latencies of a slow period long after its end.
#[test]
fn hedge_delay_follows_the_end_of_a_slow_period() {
    let start = Instant::now();
    let (service, class) = (Bytes::from_static(b"tags"), Bytes::from_static(b"query"));
    let mut policy = HedgePolicy::new();
    for index in 0..1_200_u64 {
        let slow = (300..900).contains(&index);
        let latency = Duration::from_millis(if slow { 500 } else { 100 });
        policy.record(&service, &class, latency, start + Duration::from_millis(50 * index));
        let delay = policy.delay(&service, &class);
        if index == 899 {
            assert_eq!(delay, Some(Duration::from_millis(500)));
        }
        // At 20 calls/s the delay has to fall within two windows of 40 calls after the end.
        if index >= 980 {
            assert_eq!(delay, Some(Duration::from_millis(100)), "call {index}");
        }
    }
}

/// Guards against a cold server that gets its full share at once or never.
#[test]
fn cold_share_rises_to_one() {
    let start = Instant::now();
    let ramp = ColdRamp::new(start, cold_ramp::RAMP_DURATION);
    let shares: Vec<f64> = (0..=12)
        .map(|second| ramp.share(start + Duration::from_secs(second)))
        .collect();
    assert!((shares[0] - cold_ramp::INITIAL_SHARE).abs() < 1e-9);
    assert!(shares.is_sorted());
    assert!(shares[5] < 0.6 && shares[10] >= 1.0 && shares[12] >= 1.0);
}
