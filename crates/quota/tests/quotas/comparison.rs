//! Coordinated credits against equal parts of every limit and against no quota, in one run on virtual time.

use std::time::Duration;

use damasktrack_quota::credit_bucket::CreditBucket;
use damasktrack_quota::credit_limit::CreditLimit;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use damasktrack_quota::credit_wait::MAX_WAIT;

use crate::quota_world::{BOUNDS, Fault, QuotaWorld, TICK, max_in_window};

const SEED: u64 = 20_261_206;
const DAEMONS: usize = 86;
const TENANTS: usize = 85;
const REQUESTS_PER_S: f64 = 1462.0;
/// Exponent of the Zipf distribution of the demand of the tenants.
const ZIPF: f64 = 1.2;
const RATE_FACTOR: f64 = 1.6;
/// Tenant that sends [`BURST_FACTOR`] times its usual rate for a while.
const BURSTING: usize = 2;
const BURST_FACTOR: f64 = 6.0;
const BURST_TIME: std::ops::Range<f64> = 10.0..16.0;
const RUN_SECONDS: f64 = 30.0;

struct Arrival {
    time: Duration,
    daemon: usize,
    tenant: usize,
}

/// At which daemons the callers of a tenant are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallerSpread {
    /// At about one daemon for each request per second, at least three.
    Few,
    /// At all daemons.
    All,
}

/// Returns the usual rates and the arrivals.
fn arrivals(spread: CallerSpread) -> (Vec<f64>, Vec<Arrival>) {
    let mut rng = StdRng::seed_from_u64(SEED);
    let weights: Vec<f64> = (1..=TENANTS).map(|rank| (rank as f64).powf(-ZIPF)).collect();
    let sum: f64 = weights.iter().sum();
    let usual: Vec<f64> = weights.iter().map(|weight| REQUESTS_PER_S * weight / sum).collect();
    let mut list = Vec::new();
    for (tenant, rate) in usual.iter().enumerate() {
        let count = if *rate > 80.0 || spread == CallerSpread::All {
            DAEMONS
        } else {
            (3..DAEMONS).find(|count| *count as f64 >= *rate).unwrap_or(DAEMONS)
        };
        let daemons: Vec<usize> = (0..count).map(|_daemon| rng.random_range(0..DAEMONS)).collect();
        let mut time = 0.0;
        loop {
            let bursting = tenant == BURSTING && BURST_TIME.contains(&time);
            let factor = if bursting { BURST_FACTOR } else { 1.0 };
            time -= (1.0 - rng.random::<f64>()).ln() / (rate * factor);
            if time > RUN_SECONDS {
                break;
            }
            let daemon = daemons[rng.random_range(0..daemons.len())];
            list.push(Arrival {
                time: Duration::from_secs_f64(time),
                daemon,
                tenant,
            });
        }
    }
    list.sort_by_key(|arrival| arrival.time);
    (usual, list)
}

struct ArmResult {
    name: &'static str,
    spent: Vec<Vec<Duration>>,
}

impl ArmResult {
    /// Returns the part of its requests that each tenant within its limit gets served, smallest first.
    fn served(&self, sent: &[usize]) -> Vec<f64> {
        let within = (0..TENANTS).filter(|tenant| *tenant != BURSTING);
        let mut parts: Vec<f64> = within
            .map(|tenant| self.spent[tenant].len() as f64 / sent[tenant] as f64)
            .collect();
        parts.sort_by(f64::total_cmp);
        parts
    }

    /// Returns the longest time from the first request of a tenant to its first credit.
    fn longest_start(&self, list: &[Arrival]) -> Duration {
        let first = |tenant| {
            list.iter()
                .find(|arrival| arrival.tenant == tenant)
                .map(|arrival| arrival.time)
        };
        let end = Duration::from_secs_f64(RUN_SECONDS);
        let waits = (0..TENANTS).map(|tenant| {
            let spent = self.spent[tenant].first().copied().unwrap_or(end);
            spent.saturating_sub(first(tenant).unwrap())
        });
        waits.max().unwrap()
    }
}

fn coordinated(limits: &[CreditLimit], list: &[Arrival]) -> (ArmResult, QuotaWorld) {
    let mut world = QuotaWorld::new(DAEMONS, limits.to_vec(), SEED, Fault::None);
    world.run(Duration::from_secs(10));
    (world.reports, world.bytes) = (0, 0);
    let start = world.now;
    for arrival in list {
        while world.now.saturating_sub(start) < arrival.time {
            world.tick();
        }
        world.request(arrival.daemon, arrival.tenant);
    }
    world.run(Duration::from_secs(1));
    let spent = world.spent.iter();
    let spent = spent.map(|times| times.iter().map(|time| time.saturating_sub(start)).collect());
    (
        ArmResult {
            name: "coordinated",
            spent: spent.collect(),
        },
        world,
    )
}

fn equal_parts(limits: &[CreditLimit], list: &[Arrival]) -> ArmResult {
    let part = 1.0 / DAEMONS as f64;
    let empty = CreditBucket::new(-10.0, Duration::ZERO);
    let mut buckets = vec![vec![empty; TENANTS]; DAEMONS];
    let mut spent = vec![Vec::new(); TENANTS];
    for arrival in list {
        let bucket = &mut buckets[arrival.daemon][arrival.tenant];
        let limit = limits[arrival.tenant];
        bucket.fill(
            limit.rate * part,
            arrival.time.as_secs_f64(),
            limit.capacity * part,
            arrival.time,
        );
        if bucket.level() >= 1.0 {
            bucket.take(1.0);
            spent[arrival.tenant].push(arrival.time);
        }
    }
    ArmResult {
        name: "equal parts",
        spent,
    }
}

fn unlimited(list: &[Arrival]) -> ArmResult {
    let mut spent = vec![Vec::new(); TENANTS];
    for arrival in list {
        spent[arrival.tenant].push(arrival.time);
    }
    ArmResult {
        name: "no quota",
        spent,
    }
}

/// Guards against small tenants that don't get their credit because their callers are at few daemons, and against a
/// tenant that gets more than its limit because its callers are at many.
#[test]
fn small_tenants_get_their_credit_and_a_large_one_no_more() {
    compare(CallerSpread::Few);
}

/// Guards against small tenants that are refused below their rate because daemons hold unspent credits of a tenant
/// whose next request goes to another daemon.
#[test]
fn small_tenants_with_callers_at_all_daemons_get_their_credit() {
    compare(CallerSpread::All);
}

fn compare(spread: CallerSpread) {
    println!("seed {SEED}, callers at {spread:?} daemons");
    let (usual, list) = arrivals(spread);
    let limit = |rate: &f64| CreditLimit::new(rate * RATE_FACTOR, rate * RATE_FACTOR, &BOUNDS).unwrap();
    let limits: Vec<CreditLimit> = usual.iter().map(limit).collect();
    let mut sent = vec![0; TENANTS];
    for arrival in &list {
        sent[arrival.tenant] += 1;
    }
    let (coordinated, world) = coordinated(&limits, &list);
    let arms = [coordinated, equal_parts(&limits, &list), unlimited(&list)];
    let most = BOUNDS.max_requests(limits[BURSTING].rate, limits[BURSTING].burst);
    let allowed = limits[BURSTING].rate * 6.0 + limits[BURSTING].burst;
    for arm in &arms {
        let parts = arm.served(&sent);
        let worst = parts[..TENANTS / 10].iter().sum::<f64>() / (TENANTS / 10) as f64;
        let mean = parts.iter().sum::<f64>() / parts.len() as f64;
        let in_burst = arm.spent[BURSTING]
            .iter()
            .filter(|time| BURST_TIME.contains(&time.as_secs_f64()))
            .count();
        println!(
            "{}: served mean {mean:.3}, worst tenth {worst:.3}, first credit after {:?}; bursting tenant {} in the \
             largest window of {most:.0}, {in_burst} of {allowed:.0} in the burst",
            arm.name,
            arm.longest_start(&list),
            max_in_window(&arm.spent[BURSTING], BOUNDS.window),
        );
    }
    let waits: Vec<Duration> = world
        .waits
        .iter()
        .flatten()
        .filter(|wait| wait.0)
        .map(|wait| wait.1)
        .collect();
    let longest = waits.iter().max().unwrap();
    println!(
        "{} requests of {} waited for a credit, at most {longest:?}; {:.2} reports and {:.0} bytes per second and daemon",
        waits.len(),
        list.len(),
        world.reports as f64 / RUN_SECONDS / DAEMONS as f64,
        world.bytes as f64 / RUN_SECONDS / DAEMONS as f64,
    );
    world.check().unwrap();
    let parts = arms[0].served(&sent);
    let worst = parts[..TENANTS / 10].iter().sum::<f64>() / (TENANTS / 10) as f64;
    assert!(worst >= 0.95, "worst tenth of the tenants: {worst}");
    let equal = arms[1].served(&sent);
    assert!(
        equal[TENANTS / 10] < 0.5,
        "equal parts starve the small tenants, so the run shows the difference"
    );
    assert!(*longest <= MAX_WAIT + TICK);
}
