//! Refunds of a bucket against the bucket that would have been without the request.

use std::time::Duration;

use bolero::TypeGenerator;
use bolero::generator::bolero_generator::driver::{ByteSliceDriver, Options};
use bytes::Bytes;
use damasktrack_quota::credit_bucket::CreditBucket;
use damasktrack_quota::credit_coordinator::CreditCoordinator;
use damasktrack_quota::credit_limit::CreditLimit;
use damasktrack_quota::credit_message::{self, CreditReport, RefundAge, TenantReport};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::quota_world::{BOUNDS, tenant_name};

const SEED: u64 = 20_261_207;
const CASES: u64 = 2_000;
const STEPS: usize = 120;
const RATE: f64 = 10.0;

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    Wait {
        #[generator(1..100_u8)]
        hundredths: u8,
    },
    /// Changes the space, as a change of the delegated shares does.
    Space {
        #[generator(1..60_u8)]
        tokens: u8,
    },
    Take {
        #[generator(1..8_u8)]
        tokens: u8,
    },
    TakeAll,
    Refund {
        which: u8,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    Fill { space: f64 },
    Take { tokens: f64 },
}

/// Events of a bucket, with their times.
#[derive(Default)]
struct History(Vec<(Duration, Event)>);

impl History {
    /// Returns the level after the events.
    fn level(&self) -> f64 {
        let (mut level, mut filled) = (0.0_f64, Duration::ZERO);
        for (time, event) in &self.0 {
            match event {
                Event::Fill { space } => {
                    level = (level + RATE * time.saturating_sub(filled).as_secs_f64()).min(*space);
                    filled = *time;
                }
                Event::Take { tokens } => level -= tokens,
            }
        }
        level
    }
}

/// Returns the number of tokens put back. `claimed` returns the time of a take that a refund names.
fn run(case: u64, claimed: impl Fn(Duration, Duration) -> Duration) -> Result<f64, String> {
    let mut bytes = vec![0; 1 << 11];
    StdRng::seed_from_u64(SEED + case).fill_bytes(&mut bytes);
    let options = Options::default();
    let mut driver = ByteSliceDriver::new(&bytes, &options);
    let mut bucket = CreditBucket::new(0.0, Duration::ZERO);
    let mut history = History::default();
    let (mut now, mut space) = (Duration::ZERO, 30.0);
    let mut put_back = 0.0;
    for _step in 0..STEPS {
        let Some(step) = Step::generate(&mut driver) else {
            break;
        };
        match step {
            Step::Wait { hundredths } => now += Duration::from_millis(10) * u32::from(hundredths),
            Step::Space { tokens } => space = f64::from(tokens),
            _ => {}
        }
        bucket.fill(RATE, now.as_secs_f64(), space, now);
        history.0.push((now, Event::Fill { space }));
        let take = match step {
            Step::Take { tokens } => f64::from(tokens).min(bucket.level()),
            Step::TakeAll => bucket.level(),
            _ => 0.0,
        };
        if take > 0.0 {
            bucket.take(take);
            history.0.push((now, Event::Take { tokens: take }));
        }
        let takes = history.0.iter().enumerate();
        let takes: Vec<usize> = takes
            .filter(|(_index, (_time, event))| matches!(event, Event::Take { .. }))
            .map(|(index, _event)| index)
            .collect();
        if let (Step::Refund { which }, false) = (step, takes.is_empty()) {
            let (time, event) = history.0.remove(takes[usize::from(which) % takes.len()]);
            let Event::Take { tokens } = event else {
                continue;
            };
            put_back += bucket.refund(tokens, claimed(time, now), now);
        }
        let most = history.level();
        if bucket.level() > most + 1e-6 {
            return Err(format!(
                "case {case} at {now:?}: level {}, {most} without the requests",
                bucket.level()
            ));
        }
    }
    Ok(put_back)
}

/// Guards against refunds that give a bucket more than it would have without the requests.
#[test]
fn refund_restores_at_most_the_level_without_the_request() {
    println!("seed {SEED}");
    let put_back: f64 = (0..CASES).map(|case| run(case, |time, _now| time).unwrap()).sum();
    println!("{put_back:.0} tokens put back");
    assert!(put_back > 50_000.0, "{put_back}");
}

/// Guards against an oracle that doesn't see refunds that are charged to less than the time since their take.
#[test]
fn refund_with_too_low_an_age_is_detected() {
    let mut results = (0..CASES).map(|case| run(case, |_time, now| now));
    assert!(results.any(|result| result.is_err()));
}

/// Guards against refunds of a request that are charged to the time before it.
#[test]
fn refunds_under_overload_are_exact() {
    let mut bucket = CreditBucket::new(0.0, Duration::ZERO);
    let (mut now, mut put_back) = (Duration::ZERO, 0.0);
    // Fills up to its space of 30 once, and then has at most 10 tokens.
    for step in 0..400_u32 {
        now = Duration::from_millis(50) * step;
        bucket.fill(RATE, now.as_secs_f64(), 30.0, now);
        if step >= 80 && bucket.level() >= 1.0 {
            bucket.take(bucket.level());
        }
        if step >= 90 && step % 2 == 0 {
            put_back += bucket.refund(1.0, now.saturating_sub(Duration::from_millis(300)), now);
        }
    }
    println!("{put_back} of 155 tokens were put back until {now:?}");
    assert!(put_back >= 154.0, "{put_back} of 155 tokens");
}

/// Guards against refunds that nothing has bounded: of a request older than the record of the space, and of one whose
/// bucket was dropped because a coordinator used the share in the meantime.
#[test]
fn tokens_of_old_requests_and_earlier_buckets_are_not_put_back() {
    let put_back = |taken, end| {
        let [created, taken, end] = [10_000, taken, end].map(Duration::from_millis);
        let mut bucket = CreditBucket::new(created.as_secs_f64(), created);
        for now in [created, end] {
            bucket.fill(RATE, now.as_secs_f64(), 100.0, now);
            bucket.take(bucket.level());
        }
        bucket.refund(1.0, taken, end)
    };
    let taken = [9_990, 10_010, 13_000];
    assert_eq!(taken.map(|taken| put_back(taken, 13_000) > 0.5), [false, true, true]);
    let taken = [10_010, 10_190, 10_250, 15_200];
    assert_eq!(
        taken.map(|taken| put_back(taken, 15_200) > 0.5),
        [false, false, true, true]
    );
}

fn report(sequence: u64, now: Duration, spent: u64, ages: &[(u8, u32)], wanted: u32) -> CreditReport {
    let refund = |(slots, count): &(u8, u32)| RefundAge {
        slots: *slots,
        count: *count,
    };
    CreditReport {
        daemon_id: Bytes::from_static(b"a"),
        incarnation: 7,
        started_ms: 1,
        link: 1,
        sequence,
        epoch: 9,
        sent_ms: credit_message::millis(now),
        share: 1.0,
        tenants: vec![TenantReport {
            tenant: tenant_name(0),
            spent,
            returned: 0,
            refunded: 0,
            wanted,
            refund_ages: ages.iter().map(refund).collect(),
        }],
    }
}

/// Guards against a refund that counts twice, or with the age of a later request, because the reply to a report was
/// lost.
#[test]
fn refunds_in_several_reports_count_once_with_the_highest_age() {
    let limit = |_name: &Bytes| CreditLimit::new(10.0, 10.0, &BOUNDS);
    let mut coordinator = CreditCoordinator::new(9, Duration::ZERO);
    let (mut now, mut sequence) = (Duration::ZERO, 0);
    let mut send = |now: Duration, spent, refunded, ages: &[(u8, u32)], wanted| {
        sequence += 1;
        let mut report = report(sequence, now, spent, ages, wanted);
        report.tenants[0].refunded = refunded;
        coordinator.report(&report, limit, now).unwrap().grants[0].granted
    };
    for _report in 0..20 {
        now += Duration::from_millis(500);
        send(now, 0, 0, &[], 0);
    }
    // The capacity is 30.8, and the bucket is full.
    assert_eq!(send(now, 0, 0, &[], 30), 30);
    for _report in 0..8 {
        now += Duration::from_millis(500);
        send(now, 30, 0, &[], 0);
    }
    // The bucket is full again.
    assert_eq!(send(now, 30, 0, &[], 30), 60);
    let spent = now;
    assert_eq!(send(now, 60, 0, &[], 0), 60);
    now += Duration::from_millis(500);
    assert_eq!(send(now, 60, 0, &[], 30), 65, "5 credits are filled in half a second");
    assert_eq!(send(now, 65, 0, &[], 0), 65);
    now += Duration::from_millis(100);
    let age = u8::try_from(now.saturating_sub(spent).as_millis() / 100).unwrap() - 3;
    // The bucket had no space at `spent`, and the age is rounded and has a margin.
    assert_eq!(
        send(now, 65, 4, &[(age, 4)], 30),
        70,
        "a new credit and 4 refunded ones"
    );
    assert_eq!(send(now, 70, 4, &[(age, 4)], 30), 70, "the 4 refunds are known");
    let both = [(44, 2), (age, 4)];
    assert_eq!(
        send(now, 70, 6, &both, 30),
        70,
        "the bucket was full after the two requests"
    );
}
