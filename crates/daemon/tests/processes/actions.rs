//! At-most-once execution of filings through three daemons and a store.

use std::thread;
use std::time;

use serde_json::json;

use crate::cluster;
use crate::support;

const DEADLINE_MS: u64 = 4_000;

fn outcomes(ends: &[cluster::FilingResult]) -> Vec<&str> {
    ends.iter().map(|end| end.outcome.as_str()).collect()
}

/// Guards against a repeat that runs beside the first call, and against one that gets no answer or another one's.
#[test]
fn one_action_through_three_daemons_runs_once() {
    let cluster = cluster::Cluster::start(300, DEADLINE_MS);
    let bound = cluster.issue(1);
    let nobody = cluster.issue(0);
    for id in ["calf-7", "calf-8", &bound, &nobody] {
        let ends = cluster.send_filings(&[0, 1, 2], id);
        assert_eq!(outcomes(&ends), ["done"; 3], "{id} {ends:?}");
        assert_eq!(ends[0].status, 200);
        assert_eq!(ends[0].body.len(), 200);
        assert!(ends.iter().all(|end| *end == ends[0]), "{ends:?}");
        assert_eq!(cluster.backend.executions_of(id), 1, "{id}");
        let repeat = cluster.send_filing(2, id);
        assert_eq!(repeat, ends[0]);
    }
    assert_eq!(cluster.backend.max_executions(), 1);
    let other_body = support::Caller::open(cluster.daemons[2].entry)
        .exchange("POST", "/permits/file", "Idempotency-Key: calf-7\r\n", b"calf 9")
        .unwrap();
    assert_eq!(other_body.status, 422);
    assert_eq!(cluster.backend.max_executions(), 1);
}

/// Guards against a second execution, or a refusal, after the end of the owner.
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
            let end = cluster.send_filing(daemon, id);
            assert_eq!(end.outcome, "unknown", "{id} {end:?}");
            assert!(matches!(end.status, 502 | 504), "{id} {end:?}");
        }
    }
    // The restarted daemon is another incarnation and knows nothing of the ids.
    cluster.daemons[2] = cluster.start_daemon(2);
    cluster::wait_ready(&cluster.daemons[2]);
    cluster.wait_revision(1);
    for id in ids {
        assert_eq!(outcomes(&cluster.send_filings(&[0, 1, 2], id)), ["unknown"; 3], "{id}");
        assert_eq!(cluster.backend.executions_of(id), 1, "{id}");
    }
}

/// Guards against a complete answer that is lost with its owner although the object store has it.
#[test]
fn answer_of_a_killed_owner_comes_from_the_object_store() {
    let mut cluster = cluster::Cluster::start(5, DEADLINE_MS);
    let first = cluster.send_filing(2, "kept-1");
    assert_eq!(first.outcome, "done");
    let writes = |cluster: &cluster::Cluster| cluster.store.get("/control/stats")["writes"].as_u64().unwrap();
    let claimed = writes(&cluster);
    // The answer may have been written before the count was read; a second one shows that both are there.
    assert_eq!(cluster.send_filing(2, "kept-2").outcome, "done");
    support::wait_for("the answers to be archived", || {
        (writes(&cluster) >= claimed + 2).then_some(())
    });
    cluster.daemons[2].kill();
    let repeat = support::wait_for("the archived answer", || {
        Some(cluster.send_filing(1, "kept-1")).filter(|end| end.outcome == "done")
    });
    assert_eq!(repeat, first);
    assert_eq!(cluster.backend.executions_of("kept-1"), 1);
}

/// Guards against a second execution while the owner is silent, and after it goes on.
#[test]
fn action_of_a_frozen_owner_runs_at_most_once() {
    let cluster = cluster::Cluster::start(400, 1_500);
    let mut ids: Vec<String> = (0..4).map(|number| format!("frozen-{number}")).collect();
    ids.extend((0..4).map(|_| cluster.issue(2)));
    let entry = cluster.daemons[2].entry;
    let before: Vec<_> = ids.iter().map(|id| cluster::start_filing(entry, id)).collect();
    // Any of them: the stand-in of the store may leave one connection of a burst unserved, so a claim can time out.
    support::wait_for("an execution to begin", || {
        (cluster.backend.max_executions() > 0).then_some(())
    });
    cluster.daemons[2].signal("STOP");
    // Past the deadline, and past the grace that a driving call has after it.
    let end = time::Instant::now() + time::Duration::from_secs(5);
    while time::Instant::now() < end {
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
    for filing in before {
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

/// Guards against an action that runs again after a result that does not tell whether it ran.
#[test]
fn ambiguous_result_is_final() {
    let mut cluster = cluster::Cluster::start(5, 600);
    let bound = cluster.issue(1);
    let ids = ["cut-1", &bound, "killed-1"];
    cluster.backend.fault(&json!({"kind": "cut_body"}));
    for id in &ids[..2] {
        let end = cluster.send_filing(1, id);
        assert!(["unknown", "broken"].contains(&end.outcome.as_str()), "{end:?}");
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
    support::wait_for("the service to be routed to again", || {
        (cluster.send_filing(1, &cluster.issue(1)).outcome == "done").then_some(())
    });
    // Past the grace after which the owner gives up a call that reported nothing.
    let end = time::Instant::now() + time::Duration::from_secs(4);
    while time::Instant::now() < end {
        for id in ids {
            for end in cluster.send_filings(&[0, 1, 2], id) {
                assert_eq!(end.outcome, "unknown", "{id} {end:?}");
            }
        }
        thread::sleep(time::Duration::from_millis(100));
    }
    assert_eq!(cluster.backend.max_executions(), 1);
}

/// Guards against a refusal, given before the owner is asked, of an action that ran.
#[test]
fn refusal_that_the_owner_did_not_give_is_unknown() {
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

/// Guards against an opaque id that runs without a settled claim, and against bound ids that need the store.
#[test]
fn faults_of_the_store_cost_no_bound_id_and_no_second_execution() {
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
    for (number, fault) in faults.iter().enumerate() {
        cluster.store.fault(fault);
        for daemon in 0..3 {
            let id = cluster.issue(daemon);
            let ends = cluster.send_filings(&[0, 1, 2], &id);
            assert_eq!(outcomes(&ends), ["done"; 3], "{fault} {ends:?}");
        }
        let filings: Vec<_> = (0..4)
            .flat_map(|calf| (0..3).map(move |daemon| (daemon, format!("fault-{number}-{calf}"))))
            .map(|(daemon, id)| (id.clone(), cluster::start_filing(cluster.daemons[daemon].entry, &id)))
            .collect();
        for (id, filing) in filings {
            let end = filing.join().unwrap();
            assert!(
                ["done", "unknown"].contains(&end.outcome.as_str()),
                "{fault} {id} {end:?}"
            );
            if fault["kind"] == "down" {
                assert_eq!((end.status, end.outcome.as_str()), (503, "unknown"), "{id}");
                assert_eq!(cluster.backend.executions_of(&id), 0, "{id}");
            }
        }
        cluster.store.fault(&json!({"kind": "up"}));
        support::wait_for("the claims to be settled again", || {
            let id = format!("after-{number}");
            (0..3)
                .all(|daemon| cluster.send_filing(daemon, &id).outcome == "done")
                .then_some(())
        });
        for calf in 0..4 {
            cluster.send_filings(&[0, 1, 2], &format!("fault-{number}-{calf}"));
        }
        assert_eq!(cluster.backend.max_executions(), 1, "{fault}");
    }
}

/// Guards against retries that are bounded per daemon and not per request.
#[test]
fn repeats_of_an_idempotent_call_spend_one_allowance() {
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
            let _cut = caller.join().unwrap();
        }
        let executions = cluster.backend.executions_of(id);
        assert!((1..=3).contains(&executions), "{id}: {executions}");
    }
}
