//! Admission at the callee daemon and early refusal. Executions are counted at the backend servers.

use std::collections;
use std::sync;
use std::sync::mpsc;
use std::thread;
use std::time;

use crate::deployment;
use crate::support;

const SERVICE_TIME: time::Duration = time::Duration::from_millis(20);

/// Returns the number of requests per path that reached a backend server since the previous count.
fn count_requests(backend: &support::BackendServer) -> collections::HashMap<String, usize> {
    let mut counts = collections::HashMap::new();
    for request in backend.requests.try_iter() {
        *counts.entry(request.path).or_insert(0) += 1;
    }
    counts
}

/// Guards against refusing important calls while less important ones are admitted, and against reporting a call as
/// refused although it ran.
#[test]
fn overload_sheds_the_low_class_only() {
    const CALLS: usize = 60;
    let backend = support::BackendServer::start(|_request, stream| {
        thread::sleep(SERVICE_TIME);
        support::respond(stream, b"")
    });
    let server = deployment::DeployedServer {
        service: "s",
        slots: 4,
        backend,
    };
    let classes = [
        deployment::class("pairing", 15, false, "short", &[("s", "/pair")]),
        deployment::class("browsing", 3, true, "short", &[("s", "/browse")]),
    ];
    let deployment = deployment::Deployment::start(vec![server], &deployment::resources(&[("s", 4)], &classes));
    let low = deployment::call_all(deployment.entry.entry, 24, CALLS, "GET", |thread, number| {
        format!("/s/browse/{thread}-{number}")
    });
    let critical = deployment::call_all(deployment.entry.entry, 2, CALLS, "POST", |thread, number| {
        format!("/s/pair/{thread}-{number}")
    });
    let critical = deployment::join_all(critical);
    let low = deployment::join_all(low);
    let not_done: Vec<_> = critical.iter().filter(|result| result.outcome != "done").collect();
    assert!(not_done.is_empty(), "{not_done:?}");
    let run_counts = count_requests(&deployment.backends[0]);
    let mut refused = 0;
    for result in critical.iter().chain(&low) {
        let runs = run_counts
            .get(result.path.strip_prefix("/s").unwrap())
            .copied()
            .unwrap_or(0);
        let expected = usize::from(result.outcome == "done");
        assert_eq!(runs, expected, "{result:?}");
        refused += usize::from(result.outcome == "refused");
    }
    let done = low.iter().filter(|result| result.outcome == "done").count();
    assert_eq!(done + refused, low.len(), "{low:?}");
    assert!(
        refused > 0 && done > 0,
        "{refused} refused and {done} done of the low class"
    );
    assert!(deployment.metric("damasktrack_calls_refused") >= refused as f64);
}

/// Guards against downloads that occupy all slots, or all connections, so that short calls are refused.
#[test]
fn long_downloads_leave_slots_to_short_calls() {
    const DOWNLOADS: usize = 8;
    const LENGTH: usize = 100_000;
    const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(30);
    let (release, wait) = mpsc::channel::<()>();
    let wait = sync::Mutex::new(wait);
    let backend = support::BackendServer::start(move |request, stream| {
        if request.path != "/ledger" {
            return support::respond(stream, b"");
        }
        let _released = wait.lock().unwrap().recv();
        support::respond(stream, &vec![b'x'; LENGTH])
    });
    let server = deployment::DeployedServer {
        service: "s",
        slots: 4,
        backend,
    };
    let classes = [
        deployment::class("download", 5, true, "long", &[("s", "/ledger")]),
        deployment::class("query", 5, true, "short", &[("s", "/tag")]),
    ];
    let deployment = deployment::Deployment::start(vec![server], &deployment::resources(&[("s", 4)], &classes));
    let entry = deployment.entry.entry;
    let (answered, answers) = mpsc::channel();
    for _download in 0..DOWNLOADS {
        let answered = answered.clone();
        thread::spawn(move || {
            let response = support::Caller::open(entry)
                .exchange("GET", "/s/ledger", "", b"")
                .unwrap();
            answered.send(response).unwrap();
        });
    }
    deployment.backends[0].wait_request("/ledger");
    let short = deployment::join_all(deployment::call_all(entry, 2, 100, "GET", |thread, number| {
        format!("/s/tag/{thread}-{number}")
    }));
    let not_done: Vec<_> = short.iter().filter(|result| result.outcome != "done").collect();
    assert!(not_done.is_empty(), "{not_done:?}");
    // No download has ended, so the first answer is that to one that found no slot.
    let first = answers.recv_timeout(ANSWER_TIMEOUT).unwrap();
    assert_eq!(first.status, 503);
    for _download in 0..DOWNLOADS {
        release.send(()).unwrap();
    }
    let (mut done, mut refused) = (0, 1);
    for _download in 1..DOWNLOADS {
        let response = answers.recv_timeout(ANSWER_TIMEOUT).unwrap();
        match response.status {
            200 => {
                assert_eq!(response.body.len(), LENGTH);
                done += 1;
            }
            status => {
                assert_eq!(status, 503);
                refused += 1;
            }
        }
    }
    assert!(done >= 1 && refused >= 1, "{done} done and {refused} refused");
}

/// Guards against a work limit of the callee daemon that ignores the refusals of the backend server.
#[test]
fn refusals_of_the_backend_server_lower_the_limit() {
    let backend = support::BackendServer::start(|request, stream| {
        if request.path == "/full" {
            let refusal = b"HTTP/1.1 503 Busy\r\nDamasktrack-Not-Run: true\r\nContent-Length: 0\r\n\r\n";
            return std::io::Write::write_all(stream, refusal).is_ok();
        }
        support::respond(stream, b"")
    });
    let server = deployment::DeployedServer {
        service: "s",
        slots: 16,
        backend,
    };
    let classes = [deployment::class("query", 5, true, "short", &[("s", "/")])];
    let deployment = deployment::Deployment::start(vec![server], &deployment::resources(&[("s", 16)], &classes));
    let limit = || {
        let response = support::Caller::open(deployment.daemons[0].api).exchange("GET", "/metrics", "", b"");
        let text = String::from_utf8(response.unwrap().body).unwrap();
        let line = text.lines().find(|line| line.starts_with("damasktrack_work_limit"));
        line.and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
    };
    support::wait_for("the initial limit", || limit().filter(|limit| *limit >= 16.0));
    let mut caller = support::Caller::open(deployment.entry.entry);
    let result = deployment::call(&mut caller, "GET", "/s/full");
    assert_eq!(result.outcome, "refused");
    support::wait_for("a lower limit", || limit().filter(|limit| *limit < 16.0));
}

/// Guards against running requests at the first service of a chain if an overloaded nested service refuses them.
#[test]
fn overload_of_a_nested_service_is_refused_at_the_first_hop() {
    const CALLS: usize = 80;
    let entry = sync::Arc::new(sync::OnceLock::<std::net::SocketAddr>::new());
    let daemon = sync::Arc::clone(&entry);
    let outer = support::BackendServer::start(move |request, stream| {
        let context = support::header_value(&request.header, "damasktrack-context").unwrap();
        let header = format!("Damasktrack-Context: {context}\r\n");
        let nested = support::Caller::open(*daemon.get().unwrap()).exchange("GET", "/b/x", &header, b"");
        match nested {
            Ok(nested) if nested.status == 200 => support::respond(stream, b""),
            _ => std::io::Write::write_all(stream, b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n").is_ok(),
        }
    });
    let inner = support::BackendServer::start(|_request, stream| {
        thread::sleep(SERVICE_TIME);
        support::respond(stream, b"")
    });
    let server = |service, slots, backend| deployment::DeployedServer {
        service,
        slots,
        backend,
    };
    let servers = vec![server("a", 40, outer), server("b", 2, inner)];
    let classes = [deployment::class(
        "browsing",
        3,
        true,
        "short",
        &[("a", "/"), ("b", "/")],
    )];
    let deployment = deployment::Deployment::start(servers, &deployment::resources(&[("a", 40), ("b", 2)], &classes));
    entry.set(deployment.daemons[0].entry).unwrap();
    let results = deployment::join_all(deployment::call_all(
        deployment.entry.entry,
        16,
        CALLS,
        "GET",
        |thread, number| format!("/a/{thread}-{number}"),
    ));
    let run_counts = count_requests(&deployment.backends[0]);
    let mut refused = 0;
    for result in &results {
        let runs = run_counts
            .get(result.path.strip_prefix("/a").unwrap())
            .copied()
            .unwrap_or(0);
        assert_eq!(runs > 0, result.outcome == "done", "{result:?}");
        refused += usize::from(result.outcome == "refused");
    }
    // The outer service has more slots than there are callers, so only the admission level of the inner one can cause
    // refusals.
    assert!(refused > results.len() / 10, "{refused} of {} refused", results.len());
    let complete = results.iter().filter(|result| result.status == 200).count();
    assert!(complete > 0);
}
