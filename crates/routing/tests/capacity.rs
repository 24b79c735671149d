//! Choice by expected time to completion, replayed against queues of servers on virtual time.

mod support;

use std::time::Duration;

use support::capacity_world::{CapacityWorld, LoadPhase, WorldSetting, WorldTotals};

const REGIONS: usize = 3;

/// Servers of one region with these speeds, 40 slots each.
fn setting(loads: [f64; REGIONS]) -> WorldSetting {
    WorldSetting {
        speeds: vec![1.0, 1.0],
        phases: vec![LoadPhase {
            until: Duration::from_secs(8),
            loads,
        }],
        ..WorldSetting::default()
    }
}

/// Runs a setting with the decision and without it.
fn compare(name: &str, setting: &WorldSetting) -> (WorldTotals, WorldTotals) {
    let active = CapacityWorld::run(setting, true);
    let inactive = CapacityWorld::run(setting, false);
    println!("{name}: with the decision {active:?}");
    println!("{name}: without it {inactive:?}");
    (active, inactive)
}

/// Guards against calls that queue at the servers of their region while those of other regions have free slots.
#[test]
fn excess_of_a_region_leaves_it() {
    let (active, inactive) = compare("one region at 1.3", &setting([1.3, 0.6, 0.6]));
    assert!(active.in_time_share() > 0.99, "{active:?}");
    assert!(active.in_time >= inactive.in_time);
    assert!(active.refusals * 3 < inactive.refusals);
    assert!(active.mean_wait() < 0.7 * inactive.mean_wait());
    assert!(active.crossed as f64 <= 1.05 * inactive.crossed as f64);
    // A region at 1.3 has an excess of 0.23 of its calls; 0.12 of all calls.
    assert!(active.crossed_share() < 0.2, "{active:?}");
    assert!(active.switches <= 2, "{active:?}");
}

/// Guards against oscillation between regions if the daemons know the loads late.
#[test]
fn late_reports_cause_no_oscillation() {
    let mut setting = setting([1.3, 0.6, 0.6]);
    setting.report_delay = Duration::from_millis(400);
    let (active, inactive) = compare("reports 400 ms late", &setting);
    assert!(active.in_time as f64 > 0.999 * inactive.in_time as f64);
    assert!(active.mean_time() < inactive.mean_time());
    assert!(active.switches <= 2, "{active:?}");
    setting.report_delay = Duration::from_millis(500);
    let (active, inactive) = compare("reports 500 ms late", &setting);
    assert_eq!(active, inactive, "reports that old are not used");
}

/// Guards against traffic between regions that brings nothing, since no region has free slots.
#[test]
fn full_regions_keep_their_calls() {
    let (active, inactive) = compare("all regions at 1.3", &setting([1.3, 1.3, 1.3]));
    assert!(active.crossed <= inactive.crossed);
    assert!(active.in_time as f64 > 0.99 * inactive.in_time as f64);
}

/// Guards against calls that continue to leave a region after its peak.
#[test]
fn calls_return_after_the_peak() {
    let mut setting = setting([1.3, 0.5, 0.5]);
    for (index, seconds) in [5, 8, 11].into_iter().enumerate() {
        let mut loads = [0.5; REGIONS];
        loads[(index + 1) % REGIONS] = 1.3;
        setting.phases.push(LoadPhase {
            until: Duration::from_secs(seconds),
            loads,
        });
    }
    setting.phases[0].until = Duration::from_secs(2);
    let (active, inactive) = compare("moving peak", &setting);
    assert!(active.in_time > inactive.in_time);
    assert!(active.refusals * 3 < inactive.refusals);
    assert!(active.crossed as f64 <= 1.05 * inactive.crossed as f64);
    assert!(active.switches <= 2, "{active:?}");
}

/// Guards against an even distribution over servers of different speeds, the slow of which then have queues.
#[test]
fn uneven_servers_get_work_by_speed() {
    let mut setting = setting([0.85, 0.85, 0.85]);
    setting.speeds = vec![0.5, 1.0, 1.0, 1.5];
    setting.slow_periods = true;
    // Which servers are slow at once differs by seed, and matters more than the decision.
    let (mut active, mut inactive) = (WorldTotals::default(), WorldTotals::default());
    for seed in 0..5 {
        setting.seed = seed;
        let totals = compare("uneven servers", &setting);
        active.add(&totals.0);
        inactive.add(&totals.1);
    }
    println!("uneven servers, five seeds: {active:?}, {inactive:?}");
    assert!(active.in_time > inactive.in_time);
    assert!(active.refusals < inactive.refusals);
    assert!(active.mean_time() < 0.995 * inactive.mean_time());
    assert!(active.mean_wait() < inactive.mean_wait());
}

/// Guards against calls that follow the last report of a server which does not respond any more.
#[test]
fn silent_server_gets_few_calls() {
    let mut setting = setting([1.3, 0.6, 0.6]);
    setting.silent_from = Some(Duration::from_secs(3));
    let (active, inactive) = compare("a silent server in another region", &setting);
    assert!(active.in_time > inactive.in_time);
}
