//! Rate of the messages of a large deployment, on which `docs/CAPACITY.md` is based.

use std::time::Duration;

use damasktrack_quota::coordinator_choice;
use damasktrack_quota::credit_limit::CreditLimit;
use rand::RngExt;

use crate::quota_world::{BOUNDS, Fault, QuotaWorld};

const SEED: u64 = 20_261_206;
const DAEMONS: usize = 760;
const TENANTS: usize = 5_000;
const MEASURED: Duration = Duration::from_secs(5);

/// Messages of one daemon to the coordinator of one group.
#[derive(Debug)]
struct GroupRate {
    reports_per_s: f64,
    /// Bodies of reports and replies.
    bytes_per_s: f64,
}

/// Lets the daemons use this many tenants each, every one of them this often per second.
fn measure(tenants: usize, active: usize, requests_per_s: u32) -> GroupRate {
    let limit = CreditLimit::new(10_000.0, 10_000.0, &BOUNDS).unwrap();
    let mut world = QuotaWorld::new(DAEMONS, vec![limit; tenants], SEED, Fault::None);
    let own: Vec<Vec<usize>> = (0..DAEMONS)
        .map(|_daemon| (0..active).map(|_tenant| world.rng.random_range(0..tenants)).collect())
        .collect();
    world.run(Duration::from_secs(6));
    let interval = 200 / requests_per_s.max(1);
    let run = |world: &mut QuotaWorld, time: Duration| {
        let end = world.now + time;
        let mut tick = 0;
        while world.now < end {
            for (daemon, tenants) in own.iter().enumerate() {
                for (position, tenant) in tenants.iter().enumerate() {
                    // The requests of a daemon are spread over the interval.
                    if (tick + daemon + 37 * position).is_multiple_of(interval as usize) {
                        world.request(daemon, *tenant);
                    }
                }
            }
            world.tick();
            tick += 1;
        }
    };
    run(&mut world, Duration::from_secs(4));
    (world.reports, world.bytes) = (0, 0);
    run(&mut world, MEASURED);
    let each = MEASURED.as_secs_f64() * DAEMONS as f64;
    GroupRate {
        reports_per_s: world.reports as f64 / each,
        bytes_per_s: world.bytes as f64 / each,
    }
}

/// Guards against messages that outgrow the figures of `docs/CAPACITY.md` for 760 daemons and 5,000 tenants. They are
/// measured with one group of its tenants, since the groups are independent of each other.
#[test]
fn messages_of_a_large_deployment_are_as_many_as_the_capacity_page_says() {
    let groups = coordinator_choice::group_count(TENANTS);
    let tenants = TENANTS / groups as usize;
    println!("seed {SEED}: {DAEMONS} daemons, {groups} groups of {tenants} tenants");
    let idle = measure(tenants, 0, 0);
    let busy = measure(tenants, 5, 4);
    for (name, rate) in [("idle", &idle), ("5 tenants a group, 4 requests/s each", &busy)] {
        println!(
            "{name}: {:.2} reports and {:.0} bytes per second and group, {:.1} reports and {:.0} bytes per second and daemon",
            rate.reports_per_s,
            rate.bytes_per_s,
            rate.reports_per_s * f64::from(groups),
            rate.bytes_per_s * f64::from(groups),
        );
    }
    // One report a second, and 95 bytes of bodies each.
    assert!(idle.reports_per_s <= 1.05 && idle.bytes_per_s <= 100.0, "{idle:?}");
}
