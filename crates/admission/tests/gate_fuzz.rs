//! Fuzz tests of the admission gate against an oracle.

#[path = "../../ownership/tests/support/case_runner.rs"]
mod case_runner;
#[path = "support/gate_world.rs"]
mod gate_world;

use std::time::{Duration, Instant};

use bytes::Bytes;
use damasktrack_admission::admission_gate::AdmissionGate;
use damasktrack_admission::admission_policy::AdmissionPolicy;
use damasktrack_admission::gate_report::{ArrivalDecision, CallArrival, CallLane, FinishResult, NextStart};
use damasktrack_entity::admission_level::AdmissionLevel;
use gate_world::{Coverage, Fault, check};

fn run(fault: Fault, cases: u64, coverage: &mut Coverage) -> Result<(), String> {
    let name = format!("admission gate, {fault:?}");
    case_runner::run(&name, cases, 120, |operations| check(fault, operations, coverage))
}

/// Guards against calls with no outcome or two outcomes, refusals of started calls, an exceeded limit, idle slots while
/// calls are queued, and refusals of a call for queue pressure while a less important call is queued.
#[test]
fn each_call_gets_one_outcome_in_order() {
    let mut coverage = Coverage::default();
    if let Err(violation) = run(Fault::None, 500, &mut coverage) {
        panic!("{violation}");
    }
    println!("{coverage:?}");
    let reached = [
        coverage.direct_starts,
        coverage.queued_starts,
        coverage.overloaded,
        coverage.queue_full,
        coverage.over_share,
        coverage.deadline,
        coverage.dropped,
        coverage.leaving,
    ];
    assert!(reached.iter().all(|count| *count > 100), "{coverage:?}");
}

/// Guards against an oracle that does not detect violations.
#[test]
fn oracle_detects_faults() {
    let faults = [
        (Fault::InvertImportance, "order"),
        (Fault::FinishEarly, "limit"),
        (Fault::LoseRefusals, ""),
    ];
    for (fault, part) in faults {
        case_runner::expect_violation(run(fault, 2_000, &mut Coverage::default()), part);
    }
}

/// Guards against a tenant that gets more than its share by queueing more calls, queueing them earlier, or setting
/// shorter deadlines.
#[test]
fn backlogged_tenants_start_by_weight() {
    const WEIGHTS: [u32; 3] = [1, 2, 4];
    let check = |order: &[(u8, u16)]| {
        let mut policy = AdmissionPolicy::for_slots(1);
        policy.queue_target = Duration::from_hours(1);
        policy.queue_burst = policy.queue_target;
        let mut gate = AdmissionGate::new(policy);
        let tenant_names = [0, 1, 2].map(|tenant| Bytes::from(format!("tenant{tenant}")));
        for (name, weight) in tenant_names.iter().zip(WEIGHTS) {
            gate.set_tenant_weight(name, weight);
        }
        let mut now = Instant::now();
        let (mut tenants, mut queued, mut started) = (Vec::new(), [0_u32; 3], [0_u32; 3]);
        let mut offer = |gate: &mut AdmissionGate, tenant: usize, remaining: u16, now: Instant| {
            tenants.push(tenant);
            let arrival = CallArrival {
                call: tenants.len() as u64 - 1,
                class: Bytes::from_static(b"query"),
                tenant: tenant_names[tenant].clone(),
                importance: 5,
                critical: false,
                lane: CallLane::Short,
                level: AdmissionLevel {
                    importance: 5,
                    cohort: 127,
                },
                deadline: now + Duration::from_secs(10_000 + u64::from(remaining)),
            };
            (gate.offer(&arrival, now), arrival.call)
        };
        // The first call sets the cost estimate; the second one occupies the slot.
        for _ in 0..2 {
            gate.finish(0, FinishResult::Completed, now);
            now += Duration::from_millis(10);
            assert_eq!(offer(&mut gate, 0, 0, now).0, ArrivalDecision::Start);
            now += Duration::from_millis(10);
        }
        let mut running = 1;
        let mut tenant_of_call = vec![0, 0];
        let mut random = order.iter().cycle();
        for _ in 0..order.len() * 2 {
            // Keep a backlog for each tenant, of different lengths.
            for (tenant, queued) in queued.iter_mut().enumerate() {
                while *queued < 6 {
                    let (extra, remaining) = random.next().copied().unwrap_or((0, 0));
                    for _ in 0..=extra % 4 {
                        let (decision, _) = offer(&mut gate, tenant, remaining, now);
                        tenant_of_call.push(tenant);
                        if decision != ArrivalDecision::Queued {
                            return Err(format!("{decision:?} while the slot is occupied"));
                        }
                        *queued += 1;
                    }
                }
            }
            gate.finish(running, FinishResult::Completed, now);
            let NextStart::Start(call) = gate.poll(now) else {
                return Err("no queued call starts".to_owned());
            };
            running = call;
            now += Duration::from_millis(10);
            let tenant = tenant_of_call[usize::try_from(call).unwrap_or(0)];
            queued[tenant] -= 1;
            started[tenant] += 1;
            let starts_per_weight = [0, 1, 2].map(|tenant| f64::from(started[tenant]) / f64::from(WEIGHTS[tenant]));
            let spread = starts_per_weight.iter().copied().fold(0.0, f64::max)
                - starts_per_weight.iter().copied().fold(f64::MAX, f64::min);
            if spread > 2.0 {
                return Err(format!("shares: {started:?} starts for weights {WEIGHTS:?}"));
            }
        }
        Ok(())
    };
    if let Err(violation) = case_runner::run("tenant shares", 300, 60, check) {
        panic!("{violation}");
    }
}
