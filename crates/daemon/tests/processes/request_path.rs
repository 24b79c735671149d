//! The request path through two daemons and a backend server, as processes.

use std::io::Write;
use std::thread;

use crate::support;

/// Starts a backend server whose responses repeat the body of the request, or have N bytes for the path `/bytes/N`.
fn start_echo_server() -> support::BackendServer {
    support::BackendServer::start(|request, stream| match request.path.strip_prefix("/bytes/") {
        Some(count) => support::respond(stream, &pattern(count.parse().unwrap())),
        None => support::respond(stream, &request.body),
    })
}

fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|index| u8::try_from(index % 251).unwrap()).collect()
}

/// Guards against lost or mixed-up responses, request ids and contexts on the whole path.
#[test]
fn calls_return_their_own_response() {
    let backend = start_echo_server();
    let callee_daemon = support::Daemon::start_callee(&backend, "");
    let entry = support::Daemon::start_entry(&callee_daemon, "");
    let callers: Vec<_> = (0..8)
        .map(|caller| {
            let address = entry.entry;
            thread::spawn(move || {
                let mut connection = support::Caller::open(address);
                let mut ids = Vec::new();
                for number in 0..50 {
                    let body = format!("{caller}-{number}");
                    let response = connection.exchange("POST", "/s/a/b?c=d", "", body.as_bytes()).unwrap();
                    assert_eq!((response.status, response.body), (200, body.into_bytes()));
                    let outcome = support::header_value(&response.header, "damasktrack-outcome");
                    assert_eq!(outcome, Some("done"));
                    ids.push(
                        support::header_value(&response.header, "damasktrack-request-id")
                            .unwrap()
                            .to_owned(),
                    );
                }
                ids
            })
        })
        .collect();
    let mut ids: Vec<_> = callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect();
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), 400);
    let seen = backend.wait_request("/a/b?c=d");
    let context = support::header_value(&seen.header, "damasktrack-context").unwrap();
    assert!(
        context.contains("attempt=1;") && context.contains("depth=0;"),
        "{context}"
    );
}

/// Guards against bodies that are damaged at certain frame sizes or at the boundaries of chunks.
#[test]
fn bodies_of_all_sizes_arrive_unchanged() {
    let backend = start_echo_server();
    let callee_daemon = support::Daemon::start_callee(&backend, "");
    let entry = support::Daemon::start_entry(&callee_daemon, "");
    let mut connection = support::Caller::open(entry.entry);
    for length in [
        0, 1, 200, 3000, 61_439, 61_440, 65_535, 65_536, 65_537, 200_000, 1_000_000,
    ] {
        let sent = connection.exchange("POST", "/s/echo", "", &pattern(length)).unwrap();
        assert!(sent.body == pattern(length), "request body of {length} bytes");
        let path = format!("/s/bytes/{length}");
        let received = connection.exchange("GET", &path, "", b"").unwrap();
        assert!(received.body == pattern(length), "response body of {length} bytes");
    }
}

/// Guards against a daemon that buffers a whole response in memory while its caller reads slowly.
#[test]
fn large_response_passes_in_bounded_memory() {
    let backend = start_echo_server();
    let callee_daemon = support::Daemon::start_callee(&backend, "");
    let entry = support::Daemon::start_entry(&callee_daemon, "");
    let response = support::Caller::open(entry.entry)
        .exchange("GET", "/s/bytes/50000000", "", b"")
        .unwrap();
    assert!(response.body == pattern(50_000_000));
    for daemon in [&callee_daemon, &entry] {
        let peak = daemon.peak_memory_kib();
        assert!(peak < 40 << 10, "peak of {peak} KiB for a response of 48,828 KiB");
    }
}

/// Guards against a nested call that is not attributed to its request or lacks its deadline or depth, and against a
/// context that is accepted after its call has ended.
#[test]
fn nested_call_belongs_to_its_request() {
    let leaf = start_echo_server();
    let leaf_daemon = support::Daemon::start_callee(&leaf, "");
    let (address_sender, address_receiver) = std::sync::mpsc::channel();
    let address_receiver = std::sync::Mutex::new(address_receiver);
    let middle = support::BackendServer::start(move |request, stream| {
        let entry = address_receiver.lock().unwrap().recv().unwrap();
        let context = support::header_value(&request.header, "damasktrack-context").unwrap();
        let header = format!("Damasktrack-Context: {context}\r\n");
        let nested = support::Caller::open(entry)
            .exchange("GET", "/s/bytes/7", &header, b"")
            .unwrap();
        support::respond(stream, &nested.body)
    });
    let settings = format!(
        r#","service":"m","seeds":["{}"],"backend_server":{{"address":"{}","slots":4}}"#,
        leaf_daemon.peer, middle.address
    );
    let daemon = support::Daemon::start("middle", &settings);
    support::wait_for("the daemon to be ready", || {
        let response = support::Caller::open(daemon.api)
            .exchange("GET", "/ready", "", b"")
            .ok();
        response.filter(|response| response.status == 200)
    });
    address_sender.send(daemon.entry).unwrap();
    let response = support::Caller::open(daemon.entry)
        .exchange("GET", "/m/x", "", b"")
        .unwrap();
    assert_eq!(response.body, pattern(7));
    let outer = middle.wait_request("/x");
    let inner = leaf.wait_request("/bytes/7");
    let outer = support::header_value(&outer.header, "damasktrack-context").unwrap();
    let inner = support::header_value(&inner.header, "damasktrack-context").unwrap();
    assert_eq!(outer.split(';').next(), inner.split(';').next());
    assert!(inner.contains("depth=1;"), "{inner}");
    let ended_context = format!("Damasktrack-Context: {outer}\r\n");
    let refused = support::Caller::open(daemon.entry)
        .exchange("GET", "/s/bytes/7", &ended_context, b"")
        .unwrap();
    assert_eq!(refused.status, 503);
    assert_eq!(
        support::header_value(&refused.header, "damasktrack-outcome"),
        Some("refused")
    );
}

/// Guards against passing on a response without a length as complete. It can't be told from a truncated one.
#[test]
fn close_delimited_response_is_not_passed_on_as_complete() {
    let backend = support::BackendServer::start(|_request, stream| {
        let _written = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nperhaps cut sh");
        false
    });
    let callee_daemon = support::Daemon::start_callee(&backend, "");
    let entry = support::Daemon::start_entry(&callee_daemon, "");
    let response = support::Caller::open(entry.entry)
        .exchange("POST", "/s/x", "", b"")
        .unwrap();
    assert_eq!(response.status, 502);
    assert_eq!(
        support::header_value(&response.header, "damasktrack-outcome"),
        Some("unknown")
    );
}
