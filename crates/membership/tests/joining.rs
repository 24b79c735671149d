//! Joining through the store, and the spreading of configuration revisions, in virtual time.

mod virtual_network;

use std::time::{Duration, Instant};

use bytes::Bytes;
use damasktrack_membership::config_rumour::{ConfigRumour, FetchDecision, PUSH_FANOUT, RumourStep};
use damasktrack_membership::join_plan::{self, JoinPlan, JoinStep, StoreResult};
use damasktrack_membership::member_record::MemberState;
use damasktrack_membership::member_row::MemberRow;
use damasktrack_membership::member_table::MemberTable;
use damasktrack_membership::server_departure::ServerDeparture;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SEED: u64 = 20_261_204;

/// Simulates a thundering herd: daemons that start at once while the store is unavailable for `outage`. Returns the
/// highest numbers of writes and of reads per second, and the time until all daemons have listed the rows.
fn herd(daemons: usize, outage: Duration, jitter: bool) -> (u32, u32, Duration) {
    println!("seed {SEED}");
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut plans: Vec<JoinPlan> = (0..daemons)
        .map(|_index| JoinPlan::new(false, start, &mut rng))
        .collect();
    let (mut most_writes, mut most_reads, mut listed) = (0, 0, Duration::ZERO);
    for second in 0..900 {
        let (mut writes, mut reads) = (0, 0);
        for step in 0..10 {
            let now = start + Duration::from_secs(second) + Duration::from_millis(100 * step);
            for plan in &mut plans {
                // Without jitter, all daemons act as if the spread of the start had passed.
                let seen = if jitter { now } else { now + join_plan::START_SPREAD };
                let result = if now - start < outage {
                    StoreResult::Failed
                } else {
                    StoreResult::Done
                };
                match plan.next_step(seen) {
                    JoinStep::WriteRow => writes += 1,
                    JoinStep::ListRows => reads += 1,
                    JoinStep::AskSeeds | JoinStep::Wait(_) => continue,
                }
                plan.finish(result, now, &mut rng);
                if !plan.has_listed() {
                    listed = now - start;
                }
            }
        }
        most_writes = most_writes.max(writes);
        most_reads = most_reads.max(reads);
    }
    assert!(plans.iter().all(JoinPlan::has_listed));
    println!(
        "{daemons} daemons, outage {outage:?}: {most_writes} writes/s, {most_reads} reads/s, listed by {listed:?}"
    );
    (most_writes, most_reads, listed)
}

/// Guards against starting daemons exceeding the platform's rate limits, also after an outage.
#[test]
fn herd_stays_under_rate_limits() {
    for daemons in [127, 760] {
        for outage in [0, 5, 60, 300] {
            let (writes, reads, _listed) = herd(daemons, Duration::from_secs(outage), true);
            assert!(writes < 500 && reads < 2000, "{writes} writes/s, {reads} reads/s");
        }
    }
}

#[test]
fn rate_check_fails_without_jitter() {
    let (writes, _reads, _listed) = herd(760, Duration::ZERO, false);
    assert!(writes >= 500);
}

/// Guards against rows of live or recently dead members being removed, and against all daemons removing at once.
#[test]
fn only_rows_of_long_dead_members_are_removed() {
    println!("seed {SEED}");
    let mut rng = StdRng::seed_from_u64(SEED);
    let start = Instant::now();
    let mut table = MemberTable::new();
    for index in 0..200 {
        let mut record = virtual_network::record(index, 1000);
        table.merge(&record, start);
        if index == 7 {
            record.state = MemberState::Dead;
            table.merge(&record, start);
        }
    }
    let removals = |index: usize, started_ms: u64, age: Duration, rng: &mut StdRng| {
        let row = virtual_network::record(index, started_ms);
        let tries = 0..200;
        tries
            .filter(|_try| join_plan::may_remove_row(&row, &table, start + age, rng))
            .count()
    };
    let day = join_plan::ROW_LIFETIME;
    assert_eq!(removals(8, 1000, day, &mut rng), 0, "row of a live member removed");
    assert_eq!(
        removals(7, 1000, day / 2, &mut rng),
        0,
        "row of a member dead for half a day removed"
    );
    assert_eq!(
        removals(7, 2000, day, &mut rng),
        0,
        "row of a later incarnation removed"
    );
    assert_eq!(
        removals(999, 1000, day, &mut rng),
        0,
        "row of an unknown member removed"
    );
    let removers = removals(7, 1000, day, &mut rng);
    assert!((1..=12).contains(&removers), "{removers} of 200 daemons try");
}

/// Guards against a record changing when it is written as a row and read back.
#[test]
fn row_keeps_the_record() {
    let mut record = virtual_network::record(3, 1000);
    record.incarnation = u64::MAX - 1;
    let row = MemberRow::from_record(&record);
    let text = serde_json::to_string(&row).unwrap();
    assert!(!text.contains("departure"), "{text}");
    let read: MemberRow = serde_json::from_str(&text).unwrap();
    assert_eq!(read.to_record(), Some(record.clone()));
    record.departure = Some(ServerDeparture {
        started_ms: 900,
        instance: Bytes::from_static(b"i-3"),
    });
    let text = serde_json::to_string(&MemberRow::from_record(&record)).unwrap();
    let read: MemberRow = serde_json::from_str(&text).unwrap();
    assert_eq!(read.to_record(), Some(record));
}

/// Guards against seeds that are probed without end, or not probed again when no other live member is left.
#[test]
fn seeds_are_probed_until_one_answers() {
    let mut rng = StdRng::seed_from_u64(SEED);
    let start = Instant::now();
    let mut plan = JoinPlan::new(true, start, &mut rng);
    assert_eq!(plan.next_step(start), JoinStep::AskSeeds);
    assert_eq!(plan.next_step(start + Duration::from_secs(1)), JoinStep::AskSeeds);
    plan.contacted();
    assert_ne!(plan.next_step(start + Duration::from_secs(2)), JoinStep::AskSeeds);
    plan.isolated(start + Duration::from_secs(9));
    assert_eq!(plan.next_step(start + Duration::from_secs(9)), JoinStep::AskSeeds);
}

/// Spreads one revision among `members`, with pushes lost at random. With `probes`, each member receives the revision
/// of a random peer once per period. Returns the periods until all members have the revision, if they do within 13.
fn spread(members: usize, loss: f64, probes: bool) -> Option<u32> {
    println!("seed {SEED}");
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut rumours: Vec<ConfigRumour> = (0..members).map(|_index| ConfigRumour::new(41)).collect();
    assert_eq!(rumours[0].pushed(42), RumourStep::ApplyAndPush);
    let mut pushing = vec![0];
    let mut now = Instant::now();
    for period in 0..13 {
        while let Some(_sender) = pushing.pop() {
            for _push in 0..PUSH_FANOUT {
                let to = rng.random_range(0..members);
                if !rng.random_bool(loss) && rumours[to].pushed(42) == RumourStep::ApplyAndPush {
                    pushing.push(to);
                }
            }
        }
        let behind = rumours.iter().filter(|rumour| rumour.revision() < 42).count();
        println!("period {period}: {behind} behind");
        if behind == 0 {
            return Some(period);
        }
        now += Duration::from_secs(1);
        for index in 0..members {
            let peer = rng.random_range(0..members);
            let revision = rumours[peer].revision();
            if probes && rumours[index].observed(revision, now) == FetchDecision::Fetch {
                rumours[index].applied(revision);
            }
        }
    }
    None
}

/// Guards against members that receive a configuration change later than the promised 13 s.
#[test]
fn revisions_reach_all_members() {
    assert!(spread(760, 0.3, true).is_some());
}

#[test]
fn revision_check_fails_with_pushes_alone() {
    assert_eq!(spread(760, 0.3, false), None);
}

/// Guards against revisions that decrease or are applied twice or out of order.
#[test]
fn revisions_never_decrease() {
    let mut rumour = ConfigRumour::new(5);
    assert_eq!(rumour.pushed(5), RumourStep::Known);
    assert_eq!(rumour.pushed(7), RumourStep::Fetch);
    assert_eq!(rumour.revision(), 5);
    rumour.applied(7);
    rumour.applied(6);
    assert_eq!(rumour.pushed(6), RumourStep::Known);
    assert_eq!(rumour.revision(), 7);
}
