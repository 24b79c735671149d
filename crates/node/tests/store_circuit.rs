//! Circuit breaker of the store client, driven with chosen points in time.

use std::time;

use damasktrack_node::store_circuit;

/// Guards against a flood of calls to a store that is down, and against a burst of calls when it recovers.
#[test]
fn open_circuit_sends_single_probes_at_growing_intervals() {
    let start = time::Instant::now();
    let mut circuit = store_circuit::StoreCircuit::default();
    for _ in 0..store_circuit::MAX_FAILURES {
        assert_eq!(circuit.admit(start), store_circuit::CircuitStep::Pass);
        circuit.record_failure(start, 0.999);
    }
    let mut now = start;
    let mut backoffs = Vec::new();
    for _ in 0..8 {
        let opened = now;
        while circuit.admit(now) == store_circuit::CircuitStep::Refuse {
            now += time::Duration::from_millis(1);
        }
        backoffs.push(now - opened);
        assert_eq!(
            circuit.admit(now),
            store_circuit::CircuitStep::Refuse,
            "a second probe while the first is in flight"
        );
        circuit.record_failure(now, 0.999);
    }
    assert!(backoffs.is_sorted(), "{backoffs:?}");
    assert!(backoffs[0] >= store_circuit::MIN_BACKOFF, "{backoffs:?}");
    assert!(
        backoffs.iter().all(|backoff| *backoff <= store_circuit::MAX_BACKOFF),
        "{backoffs:?}"
    );
    assert_eq!(backoffs[7], store_circuit::MAX_BACKOFF, "{backoffs:?}");
}

/// Guards against a circuit that stays open because the result of a probe is lost, whose backoff is extended by the
/// late failure of a call sent earlier, or that opens at the first failure after a success.
#[test]
fn circuit_recovers_from_lost_probes_and_late_results() {
    let start = time::Instant::now();
    let mut circuit = store_circuit::StoreCircuit::default();
    for _ in 0..store_circuit::MAX_FAILURES {
        circuit.record_failure(start, 0.0);
    }
    // The failure of a call that was sent before the circuit opened does not extend the backoff.
    circuit.record_failure(start, 0.999);
    let probe = start + store_circuit::MIN_BACKOFF;
    assert_eq!(circuit.admit(probe), store_circuit::CircuitStep::Pass);
    let later = probe + time::Duration::from_secs(5);
    assert_eq!(circuit.admit(later), store_circuit::CircuitStep::Pass);
    circuit.record_success();
    for _ in 1..store_circuit::MAX_FAILURES {
        circuit.record_failure(later, 0.5);
        assert_eq!(circuit.admit(later), store_circuit::CircuitStep::Pass);
    }
}
