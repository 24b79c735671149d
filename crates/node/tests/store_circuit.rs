//! Circuit breaker of the store client on chosen times.

use std::time;

use damasktrack_node::store_circuit;

/// Guards against a store that is flooded while it is down, and against a burst when it returns.
#[test]
fn open_circuit_sends_single_probes_at_growing_intervals() {
    let start = time::Instant::now();
    let mut circuit = store_circuit::StoreCircuit::default();
    for _ in 0..store_circuit::MAX_FAILURES {
        assert_eq!(circuit.admit(start), store_circuit::CircuitStep::Pass);
        circuit.fail(start, 0.999);
    }
    let mut now = start;
    let mut pauses = Vec::new();
    for _ in 0..8 {
        let opened = now;
        while circuit.admit(now) == store_circuit::CircuitStep::Refuse {
            now += time::Duration::from_millis(1);
        }
        pauses.push(now - opened);
        assert_eq!(
            circuit.admit(now),
            store_circuit::CircuitStep::Refuse,
            "one probe at a time"
        );
        circuit.fail(now, 0.999);
    }
    assert!(pauses.is_sorted(), "{pauses:?}");
    assert!(pauses[0] >= store_circuit::MIN_BACKOFF, "{pauses:?}");
    assert!(
        pauses.iter().all(|pause| *pause <= store_circuit::MAX_BACKOFF),
        "{pauses:?}"
    );
    assert_eq!(pauses[7], store_circuit::MAX_BACKOFF, "{pauses:?}");
}

/// Guards against a circuit that stays open because a probe was lost, that a late failure extends, or that one failure
/// after a success opens.
#[test]
fn circuit_recovers_from_lost_probes_and_late_results() {
    let start = time::Instant::now();
    let mut circuit = store_circuit::StoreCircuit::default();
    for _ in 0..store_circuit::MAX_FAILURES {
        circuit.fail(start, 0.0);
    }
    // Calls that were sent before report late; the pause stays at its minimum.
    circuit.fail(start, 0.999);
    let probe = start + store_circuit::MIN_BACKOFF;
    assert_eq!(circuit.admit(probe), store_circuit::CircuitStep::Pass);
    let later = probe + time::Duration::from_secs(5);
    assert_eq!(circuit.admit(later), store_circuit::CircuitStep::Pass);
    circuit.succeed();
    for _ in 1..store_circuit::MAX_FAILURES {
        circuit.fail(later, 0.5);
        assert_eq!(circuit.admit(later), store_circuit::CircuitStep::Pass);
    }
}
