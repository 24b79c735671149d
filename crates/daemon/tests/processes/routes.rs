//! Choice of servers, hedging and retries over a call chain. Requests are counted at the backend servers.

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

/// Guards against a slow server that keeps getting its full share of the calls.
#[test]
fn ejected_straggler_gets_few_calls() {
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
    let results = deployment::join_all(deployment::call_all(entry, 6, CALLS, "GET", |_, _| {
        "/s/late".to_owned()
    }));
    assert!(results.iter().all(|result| result.outcome == "done"));
    let count_late = |backend: &support::BackendServer| {
        let requests = backend.requests.try_iter();
        requests.filter(|request| request.path == "/late").count()
    };
    let counts: Vec<_> = deployment.backends.iter().map(count_late).collect();
    // Without regard to ejection and latency, the straggler would get at least a third of the calls. Probes and hedges
    // stay under 2%.
    assert!(counts[0] <= 6 * CALLS / 50, "{counts:?}");
    assert!(counts.iter().sum::<usize>() >= 6 * CALLS, "{counts:?}");
}

/// Guards against new calls to a leaving server, and against calls that fail because of its stop.
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
    // The held request has a class of its own, so that its server does not count as slow for the other calls.
    let classes = [
        deployment::class("query", 5, true, "short", &[("s", "/")]),
        deployment::class("download", 5, true, "long", &[("s", "/held")]),
    ];
    let mut deployment = deployment::Deployment::start(servers.into(), &deployment::resources(&[("s", 40)], &classes));
    let entry = deployment.entry.entry;
    // The request in flight keeps the leaving daemon running. It may run at either server.
    let held_call = thread::spawn(move || deployment::call(&mut support::Caller::open(entry), "GET", "/s/held"));
    let leaving = support::wait_for("the held request", || {
        deployment
            .backends
            .iter()
            .position(|backend| backend.requests.try_iter().any(|request| request.path == "/held"))
    });
    let before = deployment::call_all(entry, 4, CALLS, "GET", |_, _| "/s/before".to_owned());
    deployment.daemons[leaving].terminate();
    deployment.backends[leaving].wait_request("/drain");
    let results = deployment::join_all(before);
    let after = deployment::join_all(deployment::call_all(entry, 4, CALLS, "GET", |_, _| {
        "/s/after".to_owned()
    }));
    for result in results.iter().chain(&after) {
        assert_eq!(result.outcome, "done", "{result:?}");
    }
    let count_after = |backend: &support::BackendServer| {
        let requests = backend.requests.try_iter();
        requests.filter(|request| request.path == "/after").count()
    };
    assert_eq!(count_after(&deployment.backends[leaving]), 0);
    assert_eq!(count_after(&deployment.backends[1 - leaving]), 4 * CALLS);
    release.send(()).unwrap();
    assert_eq!(held_call.join().unwrap().outcome, "done");
    assert_eq!(deployment.daemons[leaving].exit_code(), Some(0));
}

/// Starts a backend server that makes a nested call to a path and closes its connection without a response if that call
/// fails.
fn start_calling_server(
    path: &'static str,
    daemon: &sync::Arc<sync::OnceLock<net::SocketAddr>>,
) -> support::BackendServer {
    let daemon = sync::Arc::clone(daemon);
    support::BackendServer::start(move |request, stream| {
        let context = support::header_value(&request.header, "damasktrack-context").unwrap();
        let header = format!("Damasktrack-Context: {context}\r\n");
        let nested = support::Caller::open(*daemon.get().unwrap()).exchange("GET", path, &header, b"");
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
        let (service, path) = if index < 2 { ("a", "/b/x") } else { ("b", "/c/x") };
        servers.push(server(service, 40, start_calling_server(path, address)));
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
    let results = deployment::join_all(deployment::call_all(
        deployment.entry.entry,
        1,
        REQUESTS,
        "GET",
        |_, _| "/a/x".to_owned(),
    ));
    assert!(results.iter().all(|result| result.outcome == "failed"), "{results:?}");
    let mut max_attempts = 0;
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
        let service_max = attempts.values().copied().max().unwrap();
        assert!(service_max <= 1 + ALLOWANCE, "{service}: {attempts:?}");
        max_attempts = max_attempts.max(service_max);
    }
    // Without any retry, the bound above would hold trivially.
    assert!(max_attempts > 1);
}

/// Guards against a slow idempotent call that is not hedged although another server is free, against a first copy that
/// is not cancelled after the second one has completed, and against a second copy of an action.
#[test]
fn slow_idempotent_call_is_hedged() {
    let copy_count = sync::Arc::new(sync::atomic::AtomicUsize::new(0));
    let (release, wait) = mpsc::channel::<()>();
    let wait = sync::Arc::new(sync::Mutex::new(wait));
    let backend = || {
        let (copy_count, wait) = (sync::Arc::clone(&copy_count), sync::Arc::clone(&wait));
        support::BackendServer::start(move |request, stream| {
            let is_first = || copy_count.fetch_add(1, sync::atomic::Ordering::Relaxed) == 0;
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
    // Enough calls for the latency percentile after which a call is hedged, and for the retry budget.
    deployment::join_all(deployment::call_all(entry, 2, 100, "GET", |_, _| "/s/early".to_owned()));
    let result = deployment::call(&mut support::Caller::open(entry), "GET", "/s/held");
    assert_eq!(result.outcome, "done");
    assert_eq!(copy_count.load(sync::atomic::Ordering::Relaxed), 2);
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
    let count_actions = || -> usize {
        let requests = deployment
            .backends
            .iter()
            .flat_map(|backend| backend.requests.try_iter());
        requests.filter(|request| request.path == "/action").count()
    };
    let mut count = support::wait_for("the action", || Some(count_actions()).filter(|count| *count > 0));
    // Many times the latency percentile after which an idempotent call is hedged.
    thread::sleep(time::Duration::from_millis(500));
    count += count_actions();
    assert_eq!(count, 1);
    release.send(()).unwrap();
    assert_eq!(action.join().unwrap().outcome, "done");
}
