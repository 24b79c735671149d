//! One failure each, with the mechanism that bounds the credits and without it.

use std::time::Duration;

use bytes::Bytes;
use damasktrack_quota::coordinator_choice;
use damasktrack_quota::credit_coordinator::CreditCoordinator;
use damasktrack_quota::credit_holder::{CreditHolder, HolderIdentity, HolderNumbers, TakeResult};
use damasktrack_quota::credit_limit::CreditLimit;
use damasktrack_quota::credit_message::{CreditReport, TenantReport};

use rand::RngExt;

use crate::quota_world::{BOUNDS, Fault, QuotaWorld, TICK, max_in_window, tenant_name};

const DAEMONS: usize = 9;

fn limit(rate: f64, burst: f64) -> CreditLimit {
    CreditLimit::new(rate, burst, &BOUNDS).unwrap()
}

/// Returns a world in which all shares are delegated and the bucket is full, and its coordinator.
fn settled(fault: Fault) -> (QuotaWorld, usize) {
    let mut world = QuotaWorld::new(DAEMONS, vec![limit(100.0, 100.0)], 7, fault);
    world.run(Duration::from_secs(12));
    let chosen = coordinator_choice::choose(0, world.daemons.iter().map(|daemon| &daemon.id)).unwrap();
    let index = world.daemons.iter().position(|daemon| daemon.id == *chosen).unwrap();
    (world, index)
}

/// Lets these daemons send more than the limit.
fn overload(world: &mut QuotaWorld, daemons: &[usize], time: Duration) {
    let end = world.now + time;
    while world.now < end {
        for daemon in daemons {
            for _request in 0..4 {
                world.request(*daemon, 0);
            }
        }
        world.tick();
    }
}

fn others(of: usize) -> Vec<usize> {
    (0..DAEMONS).filter(|index| *index != of).collect()
}

fn hide(world: &mut QuotaWorld, hidden: usize) {
    for index in others(hidden) {
        world.daemons[index].view[hidden] = false;
    }
}

fn coordinator_suspended_with_reports_in_its_buffers(fault: Fault) -> Result<(), String> {
    let (mut world, coordinator) = settled(fault);
    let all: Vec<usize> = (0..DAEMONS).collect();
    overload(&mut world, &all, Duration::from_secs(1));
    world.daemons[coordinator].paused = true;
    world.run(Duration::from_millis(1500));
    hide(&mut world, coordinator);
    world.run(Duration::from_secs(7));
    world.daemons[coordinator].paused = false;
    overload(&mut world, &all, Duration::from_secs(5));
    println!(
        "{fault:?}: {} in the largest window",
        max_in_window(&world.spent[0], BOUNDS.window)
    );
    world.check()
}

/// Guards against a delegation that counts from the receipt of a report: a coordinator that was suspended would use the
/// shares that its successor has.
#[test]
fn suspended_coordinator_counts_no_late_delegation() {
    coordinator_suspended_with_reports_in_its_buffers(Fault::None).unwrap();
    coordinator_suspended_with_reports_in_its_buffers(Fault::UndatedReports).unwrap_err();
}

fn suspended_holder(fault: Fault) -> Result<(), String> {
    let (mut world, coordinator) = settled(fault);
    let holder = others(coordinator)[0];
    for _request in 0..400 {
        world.request(holder, 0);
        world.run(2 * TICK);
    }
    let held = world.daemons[holder].holder().held(Duration::ZERO);
    world.daemons[holder].paused = true;
    world.run(Duration::from_secs(3));
    // The coordinator counts the credits as spent and fills the bucket again.
    world.request(others(holder)[0], 0);
    world.run(Duration::from_secs(5));
    world.daemons[holder].paused = false;
    // No more than it holds: a holder that wants further credits pays for those spent after their end.
    for _request in 0..held {
        world.request(holder, 0);
    }
    overload(&mut world, &others(holder), Duration::from_secs(5));
    println!(
        "{fault:?}: {} in the largest window",
        max_in_window(&world.spent[0], BOUNDS.window)
    );
    world.check()
}

/// Guards against credits that are spent after their lease, with a clock that doesn't count suspensions.
#[test]
fn suspended_holder_spends_no_old_credits() {
    suspended_holder(Fault::None).unwrap();
    suspended_holder(Fault::ClockWithoutSuspension).unwrap_err();
}

fn restarted_beside_their_coordinator(fault: Fault) -> Result<(), String> {
    let (mut world, coordinator) = settled(fault);
    for index in others(coordinator) {
        world.restart(index);
        world.sides[index] = 1;
    }
    hide(&mut world, coordinator);
    let all: Vec<usize> = (0..DAEMONS).collect();
    overload(&mut world, &all, Duration::from_secs(6));
    world.check()
}

/// Guards against a share that a restarted daemon uses while a coordinator counts it for the previous process.
#[test]
fn restarted_daemon_waits_for_the_end_of_its_delegation() {
    restarted_beside_their_coordinator(Fault::None).unwrap();
    restarted_beside_their_coordinator(Fault::ShareAtOnce).unwrap_err();
}

fn everyone_alone(fault: Fault) -> Result<(), String> {
    let (mut world, _coordinator) = settled(fault);
    world.sides = (0..9).collect();
    let all: Vec<usize> = (0..DAEMONS).collect();
    overload(&mut world, &all, Duration::from_secs(12));
    println!(
        "{} in the largest window",
        max_in_window(&world.spent[0], BOUNDS.window)
    );
    world.check()
}

/// Guards against more than the limit, and against no service at all, while no daemon reaches another.
#[test]
fn partitioned_daemons_use_their_own_shares() {
    everyone_alone(Fault::None).unwrap();
    everyone_alone(Fault::WholeLimitAlone).unwrap_err();
    let (mut world, _coordinator) = settled(Fault::None);
    world.sides = (0..9).collect();
    world.run(Duration::from_secs(6));
    let before = world.spent[0].len();
    let all: Vec<usize> = (0..DAEMONS).collect();
    overload(&mut world, &all, Duration::from_secs(10));
    let spent = world.spent[0].len() - before;
    assert!(
        (950..=1160).contains(&spent),
        "{spent} credits in 10 s at 100 per second"
    );
}

/// Guards against an outage of the quota after the coordinator is lost.
#[test]
fn successor_of_a_lost_coordinator_grants_the_whole_rate() {
    let (mut world, coordinator) = settled(Fault::None);
    world.daemons[coordinator].live = false;
    hide(&mut world, coordinator);
    let callers = others(coordinator);
    overload(&mut world, &callers, Duration::from_secs(5));
    let before = world.spent[0].len();
    overload(&mut world, &callers, Duration::from_secs(10));
    let spent = world.spent[0].len() - before;
    assert!(
        spent >= 850,
        "{spent} credits in 10 s at 100 per second and 8 of 9 shares"
    );
    world.check().unwrap();
}

/// Guards against a lowered limit that isn't binding one window later.
#[test]
fn lowered_limit_is_binding_one_window_later() {
    let (mut world, coordinator) = settled(Fault::None);
    let callers = others(coordinator);
    overload(&mut world, &callers, Duration::from_secs(3));
    world.run(Duration::from_millis(300));
    world.limits[0] = limit(10.0, 5.0);
    overload(&mut world, &callers, BOUNDS.window);
    world.spent[0].clear();
    overload(&mut world, &callers, Duration::from_secs(20));
    world.check().unwrap();
    assert!(world.spent[0].len() >= 190, "{} credits", world.spent[0].len());
}

fn report(daemon: &str, sequence: u64, epoch: u64, sent_ms: u64, line: (u64, u64, u32)) -> CreditReport {
    CreditReport {
        daemon_id: Bytes::copy_from_slice(daemon.as_bytes()),
        incarnation: 7,
        started_ms: 1,
        link: 1,
        sequence,
        epoch,
        sent_ms,
        share: 0.5,
        tenants: vec![TenantReport {
            tenant: tenant_name(0),
            spent: line.0,
            returned: line.1,
            refunded: 0,
            wanted: line.2,
            refund_ages: Vec::new(),
        }],
    }
}

/// Returns a coordinator with two holders and a full bucket, and the time on its clock.
fn coordinator_with_shares() -> (CreditCoordinator, Duration) {
    full_coordinator(limit(10.0, 10.0))
}

fn full_coordinator(limit: CreditLimit) -> (CreditCoordinator, Duration) {
    let mut coordinator = CreditCoordinator::new(9, Duration::ZERO);
    let limits = |_name: &Bytes| Some(limit);
    let mut now = Duration::ZERO;
    for sequence in 1..20 {
        now += Duration::from_millis(500);
        let sent_ms = u64::try_from(now.as_millis()).unwrap();
        for daemon in ["a", "b"] {
            let report = report(daemon, sequence, 9, sent_ms, (0, 0, 0));
            coordinator.report(&report, limits, now).unwrap();
        }
    }
    (coordinator, now)
}

/// Guards against credits that are granted twice when messages are lost, repeated or reordered.
#[test]
fn totals_make_lost_repeated_and_reordered_messages_harmless() {
    let (mut coordinator, now) = coordinator_with_shares();
    let limits = |_name: &Bytes| Some(limit(10.0, 10.0));
    let sent_ms = u64::try_from(now.as_millis()).unwrap();
    let first = report("a", 30, 9, sent_ms, (0, 0, 5));
    assert_eq!(coordinator.report(&first, limits, now).unwrap().grants[0].granted, 5);
    assert!(
        coordinator.report(&first, limits, now).is_none(),
        "a repeated report is ignored"
    );
    let second = report("a", 31, 9, sent_ms, (0, 0, 5));
    let grants = coordinator.report(&second, limits, now).unwrap().grants;
    assert_eq!(
        grants[0].granted, 5,
        "the holder didn't get the reply and has the same credits"
    );
    let late = report("a", 29, 9, sent_ms, (0, 0, 50));
    assert!(
        coordinator.report(&late, limits, now).is_none(),
        "a late report is ignored"
    );
    assert!((coordinator.alive_share(now) - 1.0).abs() < 1e-9);
    let other_epoch = report("a", 32, 8, sent_ms, (0, 0, 50));
    let reply = coordinator.report(&other_epoch, limits, now).unwrap();
    assert!(reply.grants.is_empty());
    assert!(
        (coordinator.alive_share(now) - 0.5).abs() < 1e-9,
        "the share is delegated to another process"
    );
}

/// Guards against a late reply that brings back credits whose lease at the coordinator has ended.
#[test]
fn late_replies_are_ignored() {
    let identity = HolderIdentity {
        daemon_id: Bytes::from_static(b"a"),
        incarnation: 7,
        started_ms: 1,
    };
    let (mut coordinator, mut now) = coordinator_with_shares();
    let limits = |_name: &Bytes| Some(limit(10.0, 10.0));
    let mut holder = CreditHolder::new(identity, HolderNumbers::default(), now);
    holder.set_share(0.5, None, now);
    let id = Bytes::from_static(b"c");
    let mut exchange = |holder: &mut CreditHolder, now: Duration| {
        let mut report = holder.begin_report(&id, now);
        report.sequence += 100;
        (report.sequence - 100, coordinator.report(&report, limits, now).unwrap())
    };
    for _report in 0..3 {
        now += TICK;
        let (sequence, reply) = exchange(&mut holder, now);
        holder.finish_report(sequence, &reply, now);
    }
    assert!(matches!(
        holder.take(&tenant_name(0), &limit(10.0, 10.0), now),
        TakeResult::Wait { .. }
    ));
    holder.begin_wait(&tenant_name(0));
    let (first, late) = exchange(&mut holder, now);
    assert!(late.grants[0].granted > 0);
    now += Duration::from_millis(1100);
    let (_second, _lost) = exchange(&mut holder, now);
    now += Duration::from_millis(600);
    holder.finish_report(first, &late, now);
    let taken = holder.take(&tenant_name(0), &limit(10.0, 10.0), now);
    assert!(!matches!(taken, TakeResult::Granted(_)), "{taken:?}");
}

/// Guards against a large holder that leaves nothing to a small one.
#[test]
fn small_wants_are_satisfied_first() {
    let (mut coordinator, now) = coordinator_with_shares();
    let limits = |_name: &Bytes| Some(limit(10.0, 10.0));
    let sent_ms = u64::try_from(now.as_millis()).unwrap();
    let mut ask = |daemon: &str, sequence: u64, wanted: u32| {
        let report = report(daemon, sequence, 9, sent_ms, (0, 0, wanted));
        coordinator.report(&report, limits, now).unwrap().grants[0].granted
    };
    let all = ask("a", 30, 1000);
    assert_eq!(all, 30, "capacity 10 + 0.8 x (0.1 x 60 + 20) = 30.8");
    assert_eq!(ask("b", 30, 4), 0);
    let limits = |_name: &Bytes| Some(limit(10.0, 10.0));
    let later = now + Duration::from_millis(400);
    let sent_ms = u64::try_from(later.as_millis()).unwrap();
    let spent = report("a", 31, 9, sent_ms, (30, 0, 0));
    coordinator.report(&spent, limits, now).unwrap();
    let spent = report("a", 32, 9, sent_ms, (30, 0, 1000));
    let more = coordinator.report(&spent, limits, later).unwrap().grants[0].granted;
    assert_eq!(more, 32, "half of the 4 credits that were filled, since b wants 4");
}

/// Guards against a restarted coordinator whose buckets are full although the credits of its previous process may be in
/// use.
#[test]
fn restarted_coordinator_starts_with_empty_buckets_and_another_epoch() {
    let (mut world, coordinator) = settled(Fault::None);
    let epoch = world.daemons[coordinator].coordinator.epoch();
    let callers = others(coordinator);
    for _restart in 0..6 {
        overload(&mut world, &callers, Duration::from_secs(2));
        world.restart(coordinator);
    }
    overload(&mut world, &callers, Duration::from_secs(5));
    assert_ne!(world.daemons[coordinator].coordinator.epoch(), epoch);
    world.check().unwrap();
}

/// Guards against lost credits of requests that are refused after they have taken one.
#[test]
fn credits_of_requests_that_have_not_run_are_used_again() {
    let (mut world, coordinator) = settled(Fault::None);
    let caller = others(coordinator)[0];
    let mut taken = Vec::new();
    let (mut ended, start) = (0, world.now);
    while world.now < start + Duration::from_secs(20) {
        for _request in 0..3 {
            if let Some(credit) = world.request(caller, 0) {
                taken.push((credit, world.now));
            }
        }
        taken.append(&mut world.late_credits);
        // Half of the requests are refused 300 ms later.
        while taken
            .first()
            .is_some_and(|(_credit, spent)| world.now.saturating_sub(*spent) >= Duration::from_millis(300))
        {
            let (credit, spent) = taken.remove(0);
            ended += 1;
            if ended % 2 == 0 {
                world.refund(caller, 0, credit, spent);
            }
        }
        world.tick();
    }
    let served = world.spent[0].len();
    println!("{served} requests ran in 20 s at 100 per second");
    assert!(served >= 1900, "{served} requests ran in 20 s at 100 per second");
    world.check().unwrap();
}

fn burst_that_has_not_run(fault: Fault) -> Result<(), String> {
    let (mut world, coordinator) = settled(fault);
    let caller = others(coordinator)[0];
    let (mut taken, start) = (Vec::new(), world.now);
    // The bucket is full, is emptied, and is nearly full again when the requests end without having run.
    for round in 0..2 {
        while world.now < start + Duration::from_millis(3500) * round + Duration::from_secs(1) {
            let credits = (0..4).filter_map(|_request| world.request(caller, 0));
            let credits: Vec<_> = credits.collect();
            taken.extend(credits.into_iter().map(|credit| (credit, world.now)));
            world.tick();
            taken.append(&mut world.late_credits);
        }
        if round == 0 {
            world.run(Duration::from_millis(2500));
        }
    }
    let first = start + Duration::from_secs(1);
    for (credit, spent) in taken.into_iter().filter(|(_credit, spent)| *spent < first) {
        world.refund(caller, 0, credit, spent);
    }
    overload(&mut world, &[caller], Duration::from_secs(4));
    println!(
        "{fault:?}: {} in the largest window",
        max_in_window(&world.spent[0], BOUNDS.window)
    );
    world.check()
}

/// Guards against tokens of requests that have not run which are put back although the bucket was full in the meantime.
#[test]
fn credits_come_back_only_into_space_that_was_free_all_the_time() {
    burst_that_has_not_run(Fault::None).unwrap();
    burst_that_has_not_run(Fault::UndatedRefunds).unwrap_err();
}

/// Guards against credits that stay in use above a lowered limit, and against others in place of withdrawn ones that
/// the holder may still spend.
#[test]
fn credits_above_a_lowered_limit_are_withdrawn() {
    let (mut coordinator, now) = full_coordinator(limit(100.0, 200.0));
    let sent_ms = u64::try_from(now.as_millis()).unwrap();
    let high = |_name: &Bytes| Some(limit(100.0, 200.0));
    let low = |_name: &Bytes| Some(limit(100.0, 0.0));
    let first = report("a", 30, 9, sent_ms, (0, 0, 300));
    let granted = coordinator.report(&first, high, now).unwrap().grants[0].granted;
    assert_eq!(granted, 272, "capacity 200 + 0.8 x (0.1 x 700 + 20)");
    let second = report("a", 31, 9, sent_ms, (0, 0, 300));
    let left = coordinator.report(&second, low, now).unwrap().grants[0].granted;
    assert_eq!(left, 56, "capacity 0.8 x (0.1 x 500 + 20) = 56");
    let spent = report("a", 32, 9, sent_ms, (56, 0, 0));
    coordinator.report(&spent, low, now).unwrap();
    let later = now + Duration::from_millis(500);
    let sent_ms = u64::try_from(later.as_millis()).unwrap();
    let other = report("b", 30, 9, sent_ms, (0, 0, 50));
    let granted = coordinator.report(&other, low, later).unwrap().grants[0].granted;
    assert_eq!(granted, 0, "a may still spend the 216 withdrawn credits");
}

/// Guards against credits that outlive the share that backs them, which its owner then uses as well.
#[test]
fn credits_are_backed_by_shares_that_end_later() {
    let (mut coordinator, now) = coordinator_with_shares();
    let limits = |_name: &Bytes| Some(limit(10.0, 10.0));
    // The delegation of b ends in 1.05 s, and the credits would end in 1.2 s.
    let later = now + Duration::from_millis(1400);
    let sent_ms = u64::try_from(later.as_millis()).unwrap();
    let only = report("a", 30, 9, sent_ms, (0, 0, 100));
    let granted = coordinator.report(&only, limits, later).unwrap().grants[0].granted;
    assert_eq!(granted, 15, "half of the capacity of 30.8");
}

/// Guards against tokens beyond the shares of the past: a bucket that nobody used while the coordinator had few shares
/// would be full as soon as it has all, although the other shares were used up elsewhere.
#[test]
fn unused_bucket_keeps_no_more_than_the_shares_of_its_past() {
    let mut coordinator = CreditCoordinator::new(9, Duration::ZERO);
    let limits = |_name: &Bytes| Some(limit(10.0, 10.0));
    let mut now = Duration::ZERO;
    for sequence in 1..120 {
        now += Duration::from_millis(500);
        let sent_ms = u64::try_from(now.as_millis()).unwrap();
        let mut only = report("a", sequence, 9, sent_ms, (0, 0, 0));
        (only.share, only.tenants) = (0.2, Vec::new());
        coordinator.report(&only, limits, now).unwrap();
    }
    let sent_ms = u64::try_from(now.as_millis()).unwrap();
    let mut joined = report("b", 1, 9, sent_ms, (0, 0, 100));
    joined.share = 0.8;
    let granted = coordinator.report(&joined, limits, now).unwrap().grants[0].granted;
    assert_eq!(granted, 6, "a fifth of the capacity of 30.8");
}

/// Guards against the same fault over all daemons: a successor that had only its own share so far.
#[test]
fn successor_with_an_unused_bucket_adds_no_tokens_to_those_spent_before() {
    let mut world = QuotaWorld::new(DAEMONS, vec![limit(10.0, 200.0)], 7, Fault::None);
    let ids: Vec<Bytes> = world.daemons.iter().map(|daemon| daemon.id.clone()).collect();
    let index_of = |id: &Bytes| ids.iter().position(|other| other == id).unwrap();
    let lost = index_of(coordinator_choice::choose(0, ids.iter()).unwrap());
    let staying = ids.iter().filter(|id| **id != ids[lost]);
    let successor = index_of(coordinator_choice::choose(0, staying).unwrap());
    world.daemons[successor].view[lost] = false;
    // By its own share alone the bucket of the successor would be full after 212 s.
    world.run(Duration::from_secs(220));
    // The other daemons delegate their shares to the successor before the one with callers does.
    let callers = others(lost).into_iter().filter(|index| *index != successor);
    let callers: Vec<usize> = callers.take(1).collect();
    overload(&mut world, &callers, Duration::from_millis(700));
    world.daemons[lost].live = false;
    hide(&mut world, lost);
    overload(&mut world, &callers, Duration::from_secs(5));
    println!(
        "{} in the largest window of {}",
        max_in_window(&world.spent[0], BOUNDS.window),
        BOUNDS.max_requests(10.0, 200.0)
    );
    world.check().unwrap();
}

/// Guards against credits that stay at a daemon whose callers have gone.
#[test]
fn idle_holder_returns_its_credits() {
    let (mut world, coordinator) = settled(Fault::None);
    let caller = others(coordinator)[0];
    for _request in 0..50 {
        world.request(caller, 0);
        world.run(2 * TICK);
    }
    assert!(world.daemons[caller].holder().held(Duration::ZERO) > 0);
    world.run(Duration::from_millis(4500));
    assert_eq!(world.daemons[caller].holder().held(Duration::ZERO), 0);
}

/// Lets each tenant send at 0.6 of its rate from all daemons, and returns how many requests were sent and refused.
fn usual_demand(world: &mut QuotaWorld, time: Duration) -> (u64, u64) {
    let before: u64 = world.refused.iter().sum();
    let end = world.now + time;
    let mut sent = 0;
    let mut due = vec![0.0; world.limits.len()];
    while world.now < end {
        for (tenant, due) in due.iter_mut().enumerate() {
            *due += 0.6 * world.limits[tenant].rate * TICK.as_secs_f64();
            while *due >= 1.0 {
                *due -= 1.0;
                sent += 1;
                let daemon = world.rng.random_range(0..DAEMONS);
                if world.daemons[daemon].live {
                    world.request(daemon, tenant);
                }
            }
        }
        world.tick();
    }
    (sent, world.refused.iter().sum::<u64>() - before)
}

fn outage(fault: Fault, break_off: impl FnOnce(&mut QuotaWorld, usize)) -> (u64, u64) {
    let limits = vec![limit(100.0, 100.0), limit(20.0, 20.0), limit(5.0, 5.0)];
    let mut world = QuotaWorld::new(DAEMONS, limits, 7, fault);
    world.run(Duration::from_secs(12));
    let (_sent, refused) = usual_demand(&mut world, Duration::from_secs(6));
    assert_eq!(refused, 0);
    let chosen = coordinator_choice::choose(0, world.daemons.iter().map(|daemon| &daemon.id)).unwrap();
    let coordinator = world.daemons.iter().position(|daemon| daemon.id == *chosen).unwrap();
    break_off(&mut world, coordinator);
    let result = usual_demand(&mut world, Duration::from_secs(8));
    println!("{fault:?}: {} of {} refused", result.1, result.0);
    world.check().unwrap();
    result
}

/// Guards against refusals of tenants within their limits after a restart of all daemons: nobody grants credits for a
/// lease, but callers with a deadline of 5 s can wait for it.
#[test]
fn requests_within_the_limit_wait_for_the_end_of_an_outage() {
    let restart = |world: &mut QuotaWorld, _coordinator| (0..DAEMONS).for_each(|index| world.restart(index));
    let (sent, refused) = outage(Fault::None, restart);
    assert!(20 * refused <= sent, "{refused} of {sent}");
    let (sent, refused) = outage(Fault::NoHold, restart);
    assert!(5 * refused >= sent, "{refused} of {sent}");
}

/// Guards against refusals of tenants within their limits after the loss of their coordinator.
#[test]
fn requests_within_the_limit_wait_for_another_coordinator() {
    let lose = |world: &mut QuotaWorld, coordinator: usize| {
        world.daemons[coordinator].live = false;
        hide(world, coordinator);
    };
    let (sent, refused) = outage(Fault::None, lose);
    assert!(20 * refused <= sent, "{refused} of {sent}");
    let (sent, refused) = outage(Fault::NoHold, lose);
    assert!(20 * refused > sent, "{refused} of {sent}");
}
