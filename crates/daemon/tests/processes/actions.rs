//! At-most-once execution of filings through three daemons and a store.

use std::thread;
use std::time;

use serde_json::json;

use crate::cluster;
use crate::support;

const DEADLINE_MS: u64 = 4_000;

fn outcomes(results: &[cluster::FilingResult]) -> Vec<&str> {
    results.iter().map(|result| result.outcome.as_str()).collect()
}

/// Guards against a repeat that runs concurrently with the first call, and against a repeat that gets no answer or that
/// of another action.
#[test]
fn one_action_through_three_daemons_runs_once() {
    let cluster = cluster::Cluster::start(300, DEADLINE_MS);
    let bound = cluster.issue(1);
    let bound_to_callee = cluster.issue(0);
    for id in ["calf-7", "calf-8", &bound, &bound_to_callee] {
        let results = cluster.send_filings(&[0, 1, 2], id);
        assert_eq!(outcomes(&results), ["done"; 3], "{id} {results:?}");
        assert_eq!(results[0].status, 200);
        assert_eq!(results[0].body.len(), 200);
        assert!(results.iter().all(|result| *result == results[0]), "{results:?}");
        assert_eq!(cluster.backend.executions_of(id), 1, "{id}");
        let repeat = cluster.send_filing(2, id);
        assert_eq!(repeat, results[0]);
    }
    assert_eq!(cluster.backend.max_executions(), 1);
    let other_body = support::Caller::open(cluster.daemons[2].entry)
        .exchange("POST", "/permits/file", "Idempotency-Key: calf-7\r\n", b"calf 9")
        .unwrap();
    assert_eq!(other_body.status, 422);
    assert_eq!(cluster.backend.max_executions(), 1);
}

/// Guards against a second execution of an action, or its refusal, after its owner is killed.
#[test]
fn action_of_a_killed_owner_stays_unknown() {
    let mut cluster = cluster::Cluster::start(1_000, DEADLINE_MS);
    let bound = cluster.issue(2);
    let ids = ["lost-1", &bound];
    let filings: Vec<_> = ids
        .map(|id| {
            let first = cluster::start_filing(cluster.daemons[2].entry, id);
            cluster.wait_execution(id);
            (first, cluster::start_filing(cluster.daemons[1].entry, id))
        })
        .into();
    cluster.daemons[2].kill();
    for (first, repeat) in filings {
        assert_eq!(first.join().unwrap().outcome, "broken");
        assert_eq!(repeat.join().unwrap().outcome, "unknown");
    }
    for id in ids {
        for daemon in [0, 1, 0] {
            let result = cluster.send_filing(daemon, id);
            assert_eq!(result.outcome, "unknown", "{id} {result:?}");
            assert!(matches!(result.status, 502 | 504), "{id} {result:?}");
        }
    }
    // The restarted daemon is a new incarnation and has no record of the ids.
    cluster.daemons[2] = cluster.start_daemon(2);
    cluster::wait_ready(&cluster.daemons[2]);
    cluster.wait_revision(1);
    for id in ids {
        assert_eq!(outcomes(&cluster.send_filings(&[0, 1, 2], id)), ["unknown"; 3], "{id}");
        assert_eq!(cluster.backend.executions_of(id), 1, "{id}");
    }
}

/// Guards against a complete answer that is unavailable after its owner is killed although the object store has it.
#[test]
fn answer_of_a_killed_owner_comes_from_the_object_store() {
    let mut cluster = cluster::Cluster::start(5, DEADLINE_MS);
    let first = cluster.send_filing(2, "kept-1");
    assert_eq!(first.outcome, "done");
    let writes = |cluster: &cluster::Cluster| cluster.store.get("/control/stats")["writes"].as_u64().unwrap();
    let writes_before = writes(&cluster);
    // The first answer may have been written before the count was read. With a second action, the count shows that both
    // answers are written.
    assert_eq!(cluster.send_filing(2, "kept-2").outcome, "done");
    support::wait_for("the answers to be archived", || {
        (writes(&cluster) >= writes_before + 2).then_some(())
    });
    cluster.daemons[2].kill();
    let repeat = support::wait_for("the archived answer", || {
        Some(cluster.send_filing(1, "kept-1")).filter(|result| result.outcome == "done")
    });
    assert_eq!(repeat, first);
    assert_eq!(cluster.backend.executions_of("kept-1"), 1);
}

/// Guards against a second execution while the owner is frozen, and after it resumes.
#[test]
fn action_of_a_frozen_owner_runs_at_most_once() {
    let cluster = cluster::Cluster::start(400, 1_500);
    let mut ids: Vec<String> = (0..4).map(|number| format!("frozen-{number}")).collect();
    ids.extend((0..4).map(|_| cluster.issue(2)));
    let entry = cluster.daemons[2].entry;
    let first_filings: Vec<_> = ids.iter().map(|id| cluster::start_filing(entry, id)).collect();
    // An execution of any id is enough: the store stand-in may leave one connection of a burst unserved, so that a
    // claim times out.
    support::wait_for("an execution to begin", || {
        (cluster.backend.max_executions() > 0).then_some(())
    });
    cluster.daemons[2].signal("STOP");
    // Repeats are sent past the deadline and past the `DRIVER_GRACE` of a driving call after it.
    let repeats_end = time::Instant::now() + time::Duration::from_secs(5);
    while time::Instant::now() < repeats_end {
        let repeats: Vec<_> = ids
            .iter()
            .flat_map(|id| [0, 1].map(|daemon| cluster::start_filing(cluster.daemons[daemon].entry, id)))
            .collect();
        for repeat in repeats {
            let outcome = repeat.join().unwrap().outcome;
            assert!(["unknown", "done"].contains(&outcome.as_str()), "{outcome}");
        }
    }
    cluster.daemons[2].signal("CONT");
    for filing in first_filings {
        filing.join().unwrap();
    }
    for _ in 0..3 {
        for id in &ids {
            cluster.send_filings(&[0, 1, 2], id);
        }
    }
    for id in &ids {
        assert!(cluster.backend.executions_of(id) <= 1, "{id}");
    }
    assert_eq!(cluster.backend.max_executions(), 1);
}

/// Guards against a second execution of an action after a result that leaves open whether it ran.
#[test]
fn ambiguous_result_is_final() {
    let mut cluster = cluster::Cluster::start(5, 600);
    let bound = cluster.issue(1);
    let ids = ["cut-1", &bound, "killed-1"];
    cluster.backend.fault(&json!({"kind": "cut_body"}));
    for id in &ids[..2] {
        let result = cluster.send_filing(1, id);
        assert!(["unknown", "broken"].contains(&result.outcome.as_str()), "{result:?}");
    }
    cluster.backend.fault(&json!({"kind": "clear"}));
    cluster.backend.fault(&json!({"kind": "slow", "value": 80}));
    let killed = cluster::start_filing(cluster.daemons[1].entry, ids[2]);
    cluster.wait_execution(ids[2]);
    cluster.daemons[0].kill();
    assert_eq!(killed.join().unwrap().outcome, "unknown");
    cluster.daemons[0] = cluster.start_daemon(0);
    cluster::wait_ready(&cluster.daemons[0]);
    cluster.backend.fault(&json!({"kind": "clear"}));
    support::wait_for("calls to the service to succeed again", || {
        (cluster.send_filing(1, &cluster.issue(1)).outcome == "done").then_some(())
    });
    // Repeats are sent past the `DRIVER_GRACE` after which the owner expires a driving call without a result.
    let repeats_end = time::Instant::now() + time::Duration::from_secs(4);
    while time::Instant::now() < repeats_end {
        for id in ids {
            for result in cluster.send_filings(&[0, 1, 2], id) {
                assert_eq!(result.outcome, "unknown", "{id} {result:?}");
            }
        }
        thread::sleep(time::Duration::from_millis(100));
    }
    assert_eq!(cluster.backend.max_executions(), 1);
}

/// Guards against a refusal of an action that ran, given by a daemon before it has contacted the owner.
#[test]
fn refusal_not_given_by_the_owner_is_unknown() {
    let cluster = cluster::Cluster::start(5, DEADLINE_MS);
    let bound = cluster.issue(1);
    for id in ["ran-1", &bound] {
        assert_eq!(cluster.send_filing(1, id).outcome, "done");
    }
    let fresh = cluster.issue(2);
    for (daemon, id, outcome) in [
        (0, "ran-1", "unknown"),
        (1, "ran-1", "unknown"),
        (2, &bound, "unknown"),
        (1, &bound, "unknown"),
        (1, &fresh, "unknown"),
        (2, &fresh, "refused"),
    ] {
        let header = format!("Idempotency-Key: {id}\r\nDamasktrack-Timeout-Ms: 0\r\n");
        let response = support::Caller::open(cluster.daemons[daemon].entry)
            .exchange("POST", "/permits/file", &header, b"calf 7")
            .unwrap();
        let found = support::header_value(&response.header, "damasktrack-outcome");
        assert_eq!(found, Some(outcome), "{daemon} {id}");
    }
    assert_eq!(cluster.backend.max_executions(), 1);
}

/// Guards against running an action under an opaque id without a settled claim, and against bound ids that depend on
/// the store.
#[test]
fn store_faults_affect_no_bound_id_and_cause_no_second_execution() {
    let cluster = cluster::Cluster::start(5, DEADLINE_MS);
    let faults = [
        json!({"kind": "lose_answer", "scope": "writes", "next": 2}),
        json!({"kind": "lose_answer", "probability": 0.5, "seed": 7}),
        json!({"kind": "lose_request", "probability": 0.5, "seed": 8}),
        json!({"kind": "stale", "commits": 3}),
        json!({"kind": "slow", "delay_ms": 300}),
        json!({"kind": "slow", "delay_ms": 2500, "scope": "writes"}),
        json!({"kind": "down"}),
    ];
    for (fault_number, fault) in faults.iter().enumerate() {
        cluster.store.fault(fault);
        for daemon in 0..3 {
            let id = cluster.issue(daemon);
            let results = cluster.send_filings(&[0, 1, 2], &id);
            assert_eq!(outcomes(&results), ["done"; 3], "{fault} {results:?}");
        }
        let filings: Vec<_> = (0..4)
            .flat_map(|filing| (0..3).map(move |daemon| (daemon, format!("fault-{fault_number}-{filing}"))))
            .map(|(daemon, id)| (id.clone(), cluster::start_filing(cluster.daemons[daemon].entry, &id)))
            .collect();
        for (id, filing) in filings {
            let result = filing.join().unwrap();
            assert!(
                ["done", "unknown"].contains(&result.outcome.as_str()),
                "{fault} {id} {result:?}"
            );
            if fault["kind"] == "down" {
                assert_eq!((result.status, result.outcome.as_str()), (503, "unknown"), "{id}");
                assert_eq!(cluster.backend.executions_of(&id), 0, "{id}");
            }
        }
        cluster.store.fault(&json!({"kind": "up"}));
        support::wait_for("claims to be settled again", || {
            let id = format!("after-{fault_number}");
            (0..3)
                .all(|daemon| cluster.send_filing(daemon, &id).outcome == "done")
                .then_some(())
        });
        for filing in 0..4 {
            cluster.send_filings(&[0, 1, 2], &format!("fault-{fault_number}-{filing}"));
        }
        assert_eq!(cluster.backend.max_executions(), 1, "{fault}");
    }
}

/// Guards against retries that are bounded per daemon instead of per request.
#[test]
fn repeats_of_an_idempotent_call_share_one_retry_allowance() {
    let cluster = cluster::Cluster::start(5, DEADLINE_MS);
    cluster.backend.fault(&json!({"kind": "cut_body"}));
    for id in ["query-1", "query-2", &cluster.issue(1)] {
        let callers: Vec<_> = (0..12)
            .map(|number| {
                let entry = cluster.daemons[number % 3].entry;
                let header = format!("Idempotency-Key: {id}\r\n");
                thread::spawn(move || support::Caller::open(entry).exchange("GET", "/permits/q", &header, b""))
            })
            .collect();
        for caller in callers {
            let _truncated = caller.join().unwrap();
        }
        let executions = cluster.backend.executions_of(id);
        assert!((1..=3).contains(&executions), "{id}: {executions}");
    }
}
