//! Choice of servers and retries over a call chain, counted at the backend servers.

use std::collections;
use std::net;
use std::sync;
use std::sync::mpsc;
use std::thread;
use std::time;

use crate::deployment;
use crate::support;

fn server(service: &'static str, slots: u32, backend: support::BackendServer) -> deployment::DeployedServer {
    deployment::DeployedServer {
        service,
        slots,
        backend,
    }
}

/// Guards against a slow server that keeps its share of the calls.
#[test]
fn straggler_gets_few_calls_once_it_is_noticed() {
    const CALLS: usize = 150;
    let backend = |pause: u64| {
        support::BackendServer::start(move |_request, stream| {
            thread::sleep(time::Duration::from_millis(pause));
            support::respond(stream, b"")
        })
    };
    let servers = [100, 5, 5].map(|pause| server("s", 40, backend(pause)));
    let classes = [deployment::class("query", 5, true, "short", &[("s", "/")])];
    let deployment = deployment::Deployment::start(servers.into(), &deployment::resources(&[("s", 40)], &classes));
    let entry = deployment.entry.entry;
    support::wait_for("the straggler to be ejected", || {
        deployment::join_all(deployment::call_all(entry, 6, 10, "GET", |_, _| "/s/early".to_owned()));
        (deployment.metric("damasktrack_servers_ejected") >= 1.0).then_some(())
    });
    let ends = deployment::join_all(deployment::call_all(entry, 6, CALLS, "GET", |_, _| {
        "/s/late".to_owned()
    }));
    assert!(ends.iter().all(|end| end.outcome == "done"));
    let late = |backend: &support::BackendServer| {
        let requests = backend.requests.try_iter();
        requests.filter(|request| request.path == "/late").count()
    };
    let counts: Vec<_> = deployment.backends.iter().map(late).collect();
    // Without ejection or latencies, a third of the calls or more would go there. Probes and hedges stay under 2%.
    assert!(counts[0] <= 6 * CALLS / 50, "{counts:?}");
    assert!(counts.iter().sum::<usize>() >= 6 * CALLS, "{counts:?}");
}

/// Guards against new work for a server that leaves, and against requests that the stop costs.
#[test]
fn leaving_server_gets_nothing_new() {
    const CALLS: usize = 100;
    let (release, wait) = mpsc::channel::<()>();
    let wait = sync::Arc::new(sync::Mutex::new(wait));
    let backend = || {
        let wait = sync::Arc::clone(&wait);
        support::BackendServer::start(move |request, stream| {
            if request.path == "/held" {
                let _released = wait.lock().unwrap().recv();
            }
            support::respond(stream, b"")
        })
    };
    let servers = [server("s", 40, backend()), server("s", 40, backend())];
    // A class of its own, so that the held request does not make its server look slow.
    let classes = [
        deployment::class("query", 5, true, "short", &[("s", "/")]),
        deployment::class("download", 5, true, "long", &[("s", "/held")]),
    ];
    let mut deployment = deployment::Deployment::start(servers.into(), &deployment::resources(&[("s", 40)], &classes));
    let entry = deployment.entry.entry;
    // The request in flight keeps the leaving daemon running. It may be at either server.
    let held = thread::spawn(move || deployment::call(&mut support::Caller::open(entry), "GET", "/s/held"));
    let holder = support::wait_for("the held request", || {
        deployment
            .backends
            .iter()
            .position(|backend| backend.requests.try_iter().any(|request| request.path == "/held"))
    });
    let before = deployment::call_all(entry, 4, CALLS, "GET", |_, _| "/s/before".to_owned());
    deployment.daemons[holder].terminate();
    deployment.backends[holder].wait_request("/drain");
    let ends = deployment::join_all(before);
    let after = deployment::join_all(deployment::call_all(entry, 4, CALLS, "GET", |_, _| {
        "/s/after".to_owned()
    }));
    for end in ends.iter().chain(&after) {
        assert_eq!(end.outcome, "done", "{end:?}");
    }
    let reached = |backend: &support::BackendServer| {
        let requests = backend.requests.try_iter();
        requests.filter(|request| request.path == "/after").count()
    };
    assert_eq!(reached(&deployment.backends[holder]), 0);
    assert_eq!(reached(&deployment.backends[1 - holder]), 4 * CALLS);
    release.send(()).unwrap();
    assert_eq!(held.join().unwrap().outcome, "done");
    assert_eq!(deployment.daemons[holder].exit_code(), Some(0));
}

/// Backend server that calls the next service and breaks its connection if that call fails.
fn caller_of(next: &'static str, daemon: &sync::Arc<sync::OnceLock<net::SocketAddr>>) -> support::BackendServer {
    let daemon = sync::Arc::clone(daemon);
    support::BackendServer::start(move |request, stream| {
        let context = support::header_value(&request.header, "damasktrack-context").unwrap();
        let header = format!("Damasktrack-Context: {context}\r\n");
        let nested = support::Caller::open(*daemon.get().unwrap()).exchange("GET", next, &header, b"");
        nested.is_ok_and(|nested| nested.status == 200) && support::respond(stream, b"")
    })
}

/// Guards against retries that multiply at each hop of a chain.
#[test]
fn retries_of_a_chain_stay_within_its_allowance() {
    const REQUESTS: usize = 6;
    const ALLOWANCE: usize = 2;
    let addresses: Vec<_> = (0..4).map(|_| sync::Arc::new(sync::OnceLock::new())).collect();
    let mut servers = Vec::new();
    for (index, address) in addresses.iter().enumerate() {
        let (service, next) = if index < 2 { ("a", "/b/x") } else { ("b", "/c/x") };
        servers.push(server(service, 40, caller_of(next, address)));
    }
    for _ in 0..2 {
        servers.push(server(
            "c",
            40,
            support::BackendServer::start(|_request, _stream| false),
        ));
    }
    let classes = [deployment::class(
        "query",
        5,
        true,
        "short",
        &[("a", "/"), ("b", "/"), ("c", "/")],
    )];
    let services = [("a", 40), ("b", 40), ("c", 40)];
    let deployment = deployment::Deployment::start(servers, &deployment::resources(&services, &classes));
    for (address, daemon) in addresses.iter().zip(&deployment.daemons) {
        address.set(daemon.entry).unwrap();
    }
    let ends = deployment::join_all(deployment::call_all(
        deployment.entry.entry,
        1,
        REQUESTS,
        "GET",
        |_, _| "/a/x".to_owned(),
    ));
    assert!(ends.iter().all(|end| end.outcome == "failed"), "{ends:?}");
    let mut most = 0;
    for (service, range) in [("a", 0..2), ("b", 2..4), ("c", 4..6)] {
        let mut attempts: collections::HashMap<String, usize> = collections::HashMap::new();
        for request in deployment.backends[range]
            .iter()
            .flat_map(|backend| backend.requests.try_iter())
        {
            if let Some(context) = support::header_value(&request.header, "damasktrack-context") {
                let id = context.split(';').next().unwrap().to_owned();
                *attempts.entry(id).or_insert(0) += 1;
            }
        }
        assert_eq!(attempts.len(), REQUESTS, "{service}");
        let worst = attempts.values().copied().max().unwrap();
        assert!(worst <= 1 + ALLOWANCE, "{service}: {attempts:?}");
        most = most.max(worst);
    }
    // Otherwise nothing was retried, and the bound shows nothing.
    assert!(most > 1);
}

/// Guards against a slow idempotent call that waits although another server is free, against a first copy that runs on
/// for nobody, and against a second copy of an action.
#[test]
fn slow_idempotent_call_gets_a_second_copy() {
    let held = sync::Arc::new(sync::atomic::AtomicUsize::new(0));
    let (release, wait) = mpsc::channel::<()>();
    let wait = sync::Arc::new(sync::Mutex::new(wait));
    let backend = || {
        let (held, wait) = (sync::Arc::clone(&held), sync::Arc::clone(&wait));
        support::BackendServer::start(move |request, stream| {
            let is_first = || held.fetch_add(1, sync::atomic::Ordering::Relaxed) == 0;
            if request.path == "/action" || (request.path == "/held" && is_first()) {
                let _released = wait.lock().unwrap().recv();
            }
            support::respond(stream, b"")
        })
    };
    let servers = [server("s", 40, backend()), server("s", 40, backend())];
    let classes = [
        deployment::class("query", 5, true, "short", &[("s", "/")]),
        deployment::class("pairing", 15, false, "short", &[("s", "/action")]),
    ];
    let deployment = deployment::Deployment::start(servers.into(), &deployment::resources(&[("s", 40)], &classes));
    let entry = deployment.entry.entry;
    // Enough calls for a percentile and for the retry budget.
    deployment::join_all(deployment::call_all(entry, 2, 100, "GET", |_, _| "/s/early".to_owned()));
    let end = deployment::call(&mut support::Caller::open(entry), "GET", "/s/held");
    assert_eq!(end.outcome, "done");
    assert_eq!(held.load(sync::atomic::Ordering::Relaxed), 2);
    let mut copies = Vec::new();
    support::wait_for("the first copy to be cancelled", || {
        let requests = deployment
            .backends
            .iter()
            .flat_map(|backend| backend.requests.try_iter());
        let mut cancelled = None;
        for request in requests {
            if request.path == "/held" {
                let context = support::header_value(&request.header, "damasktrack-context").unwrap();
                copies.push(context.split(';').nth(1).unwrap().to_owned());
            }
            cancelled = cancelled.or(request.path.starts_with("/cancel").then_some(()));
        }
        cancelled
    });
    copies.sort();
    assert_eq!(copies, ["attempt=1", "attempt=2"]);
    assert!(deployment.metric("damasktrack_calls_hedged") >= 1.0);
    release.send(()).unwrap();
    let action = thread::spawn(move || deployment::call(&mut support::Caller::open(entry), "POST", "/s/action"));
    let reached = || -> usize {
        let requests = deployment
            .backends
            .iter()
            .flat_map(|backend| backend.requests.try_iter());
        requests.filter(|request| request.path == "/action").count()
    };
    let mut count = support::wait_for("the action", || Some(reached()).filter(|count| *count > 0));
    // Many times the percentile.
    thread::sleep(time::Duration::from_millis(500));
    count += reached();
    assert_eq!(count, 1);
    release.send(()).unwrap();
    assert_eq!(action.join().unwrap().outcome, "done");
}
