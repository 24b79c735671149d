//! Load of a backend server as the gate reports it.

use std::time::{Duration, Instant};

use bytes::Bytes;
use damasktrack_admission::admission_gate::AdmissionGate;
use damasktrack_admission::admission_policy::AdmissionPolicy;
use damasktrack_admission::gate_report::{ArrivalDecision, CallArrival, CallLane, FinishResult, GateLoad, NextStart};
use damasktrack_entity::admission_level::AdmissionLevel;
use damasktrack_entity::ids;

const SLOTS: u32 = 10;
const SERVICE_TIME: Duration = Duration::from_millis(400);

fn arrival(call: u64, importance: u8, now: Instant) -> CallArrival {
    CallArrival {
        call,
        class: Bytes::from_static(b"tide-lookup"),
        tenant: Bytes::from_static(ids::DEFAULT_TENANT.as_bytes()),
        importance,
        critical: false,
        lane: CallLane::Short,
        level: AdmissionLevel::of_request(importance, &Bytes::copy_from_slice(&call.to_le_bytes())),
        deadline: now + Duration::from_secs(4),
    }
}

/// Guards against reports that miss a part of the queue, or that count the wait of long calls only up to the bound that
/// applies to their cost in the round robin, 100 ms.
#[test]
fn reported_wait_covers_the_queue_ahead() {
    let now = Instant::now();
    let mut gate = AdmissionGate::new(AdmissionPolicy {
        adaptive: false,
        ..AdmissionPolicy::for_slots(SLOTS)
    });
    let class = Bytes::from_static(b"tide-lookup");
    for call in 0..10 {
        assert_eq!(gate.offer(&arrival(call, 10, now), now), ArrivalDecision::Start);
    }
    let now = now + SERVICE_TIME;
    for call in 0..10 {
        gate.finish(call, FinishResult::Completed, now);
    }
    let free = |free| GateLoad {
        wait: Duration::ZERO,
        free,
    };
    assert_eq!(gate.load(&class, 10, now), free(SLOTS));
    for call in 10..14 {
        gate.offer(&arrival(call, 10, now), now);
    }
    assert_eq!(gate.load(&class, 10, now), free(SLOTS - 4));
    for call in 14..25 {
        gate.offer(&arrival(call, 10, now), now);
    }
    assert_eq!(gate.poll(now), NextStart::Idle);
    assert_eq!(gate.counts().queued, 5);
    let wait = |load: GateLoad| load.wait.as_secs_f64();
    // Five queued calls and the call itself, of 400 ms each, over 10 slots.
    let load = gate.load(&class, 10, now);
    assert_eq!(load.free, 0);
    assert!((wait(load) - 0.24).abs() < 0.01, "{load:?}");
    // A more important call goes before the queued ones.
    let load = gate.load(&class, 12, now);
    assert!((wait(load) - 0.04).abs() < 0.01, "{load:?}");
}
