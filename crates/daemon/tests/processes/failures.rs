//! Failures on the request path: truncated bodies, lost processes, disconnects, planned stops and faulty requests.

use std::io::Write;
use std::net;
use std::sync;
use std::sync::mpsc;
use std::thread;
use std::time;

use crate::support;

/// Starts a backend server whose responses to `/half` and `/half-chunked` stop in mid-body until the test uses or drops
/// the sender.
fn start_halting_server() -> (support::BackendServer, mpsc::Sender<()>) {
    let (release, wait) = mpsc::channel::<()>();
    let wait = sync::Mutex::new(wait);
    let backend = support::BackendServer::start(move |request, stream| {
        let head = match request.path.as_str() {
            "/half" => "Content-Length: 100000\r\n\r\n",
            "/half-chunked" => "Transfer-Encoding: chunked\r\n\r\n186a0\r\n",
            _ => return support::respond(stream, &request.body),
        };
        let _written = write!(stream, "HTTP/1.1 200 OK\r\n{head}");
        let _written = stream.write_all(&vec![b'x'; 50_000]);
        let _released = wait.lock().unwrap().recv();
        let _written = stream.write_all(&vec![b'x'; 50_000]);
        request.path == "/half" || stream.write_all(b"\r\n0\r\n\r\n").is_ok()
    });
    (backend, release)
}

/// As [`start_response`], for `/half`.
fn start_half_response(entry: net::SocketAddr) -> support::Caller {
    start_response(entry, "/s/half")
}

/// Sends a request and reads until the body of the response has started.
fn start_response(entry: net::SocketAddr, path: &str) -> support::Caller {
    let mut caller = support::Caller::open(entry);
    caller.send("GET", path, "", b"");
    let mut received = 0;
    while received < 10_000 {
        let length = std::io::BufRead::fill_buf(&mut caller.reader).unwrap().len();
        assert!(length > 0, "the response ended before its body started");
        received += length;
        if received < 10_000 {
            std::io::BufRead::consume(&mut caller.reader, length);
        }
    }
    caller
}

/// Reads until the daemon closes or resets the connection. Panics if it stays open, since its caller would keep
/// waiting.
fn read_to_close(caller: &mut support::Caller) -> Vec<u8> {
    let mut rest = Vec::new();
    if let Err(error) = std::io::Read::read_to_end(&mut caller.reader, &mut rest) {
        let open = matches!(
            error.kind(),
            std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
        );
        assert!(!open, "the connection stayed open after {} bytes", rest.len());
    }
    rest
}

/// Reads the rest of the response and returns whether it ended before the announced length of the body.
fn is_truncated(caller: &mut support::Caller) -> bool {
    read_to_close(caller).len() < 100_000
}

/// Reads the rest of the response and returns whether it ended without the last chunk.
fn lacks_last_chunk(caller: &mut support::Caller) -> bool {
    !read_to_close(caller).ends_with(b"\r\n0\r\n\r\n")
}

fn assert_echo(entry: net::SocketAddr, body: &[u8]) {
    let response = support::Caller::open(entry)
        .exchange("POST", "/s/echo", "", body)
        .unwrap();
    assert_eq!((response.status, response.body.as_slice()), (200, body));
}

/// Guards against a truncated body that the caller takes as complete, and against a pooled connection that delivers the
/// rest of it as part of another response.
#[test]
fn backend_server_lost_in_mid_body_aborts_the_response() {
    let (backend, _release) = start_halting_server();
    let callee_daemon = support::Daemon::start_callee(&backend, "");
    let entry = support::Daemon::start_entry(&callee_daemon, "");
    let mut caller = start_half_response(entry.entry);
    backend.close_connections();
    assert!(is_truncated(&mut caller));
    for number in 0..20 {
        assert_echo(entry.entry, format!("after {number}").as_bytes());
    }
}

/// As above, for the loss of the callee daemon.
#[test]
fn callee_daemon_lost_in_mid_body_aborts_the_response() {
    let (backend, _release) = start_halting_server();
    let mut callee_daemon = support::Daemon::start_callee(&backend, "");
    let entry = support::Daemon::start_entry(&callee_daemon, "");
    let mut caller = start_half_response(entry.entry);
    callee_daemon.kill();
    assert!(is_truncated(&mut caller));
    let refused = support::Caller::open(entry.entry)
        .exchange("POST", "/s/echo", "", b"x")
        .unwrap();
    assert_eq!(refused.status, 503);
    assert_eq!(
        support::header_value(&refused.header, "damasktrack-outcome"),
        Some("refused")
    );
}

/// Guards against a chunked body that ends with a last chunk although the backend server, or the callee daemon, was
/// lost in the middle of it. Without a length, only that chunk marks the body as complete.
#[test]
fn chunked_body_cut_short_gets_no_last_chunk() {
    let (backend, _release) = start_halting_server();
    let mut callee_daemon = support::Daemon::start_callee(&backend, "");
    let entry = support::Daemon::start_entry(&callee_daemon, "");
    let mut caller = start_response(entry.entry, "/s/half-chunked");
    backend.close_connections();
    assert!(lacks_last_chunk(&mut caller));
    let mut caller = start_response(entry.entry, "/s/half-chunked");
    callee_daemon.kill();
    assert!(lacks_last_chunk(&mut caller));
}

/// Guards against work that continues after its caller has disconnected: before the head of the response, and in
/// mid-body.
#[test]
fn caller_that_disconnects_cancels_at_the_backend_server() {
    let (release, wait) = mpsc::channel::<()>();
    let wait = sync::Mutex::new(wait);
    let backend = support::BackendServer::start(move |request, stream| {
        if request.path == "/slow" {
            let _released = wait.lock().unwrap().recv();
            return false;
        }
        support::respond(stream, b"")
    });
    let callee_daemon = support::Daemon::start_callee(&backend, "");
    let entry = support::Daemon::start_entry(&callee_daemon, "");
    let mut caller = support::Caller::open(entry.entry);
    caller.send("GET", "/s/slow", "", b"");
    let running = backend.wait_request("/slow");
    drop(caller);
    let cancel = backend.wait_request("/cancel?call=");
    let context = support::header_value(&running.header, "damasktrack-context").unwrap();
    let call = cancel.path.strip_prefix("/cancel?call=").unwrap();
    assert_eq!(cancel.method, "POST");
    assert!(context.contains(&format!(";call={call};")), "{context} {call}");
    drop(release);

    let (backend, _release) = start_halting_server();
    let callee_daemon = support::Daemon::start_callee(&backend, "");
    let entry = support::Daemon::start_entry(&callee_daemon, "");
    drop(start_half_response(entry.entry));
    backend.wait_request("/cancel?call=");
}

/// Guards against work that continues after the entry daemon has ended.
#[test]
fn lost_entry_daemon_cancels_at_the_backend_server() {
    let (backend, _release) = start_halting_server();
    let callee_daemon = support::Daemon::start_callee(&backend, "");
    let mut entry = support::Daemon::start_entry(&callee_daemon, "");
    let _caller = start_half_response(entry.entry);
    entry.kill();
    backend.wait_request("/cancel?call=");
}

/// Guards against faulty requests that get no specific error status, or after which the daemon fails further requests.
#[test]
fn faulty_requests_get_a_specific_error() {
    let (backend, _release) = start_halting_server();
    let callee_daemon = support::Daemon::start_callee(&backend, "");
    let limits = r#","max_header_bytes":8192,"max_body_bytes":10000,"header_timeout_ms":300,"body_timeout_ms":300"#;
    let entry = support::Daemon::start_entry(&callee_daemon, limits);

    let mut incomplete_header = support::Caller::open(entry.entry);
    incomplete_header.send_raw(b"GET /s/echo HTTP/1.1\r\nHos");
    assert_eq!(incomplete_header.receive().unwrap().status, 408);

    let mut incomplete_body = support::Caller::open(entry.entry);
    incomplete_body.send_raw(b"POST /s/echo HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf");
    assert_eq!(incomplete_body.receive().unwrap().status, 408);

    let mut large_header = support::Caller::open(entry.entry);
    let header = format!("X-Large: {}\r\n", "x".repeat(100_000));
    assert_eq!(
        large_header.exchange("GET", "/s/echo", &header, b"").unwrap().status,
        431
    );

    let mut large_body = support::Caller::open(entry.entry);
    let response = large_body
        .exchange("POST", "/s/echo", "", &vec![b'x'; 2_000_000])
        .unwrap();
    assert_eq!(response.status, 413);
    assert_eq!(
        support::header_value(&response.header, "damasktrack-outcome"),
        Some("refused")
    );

    let mut chunked = support::Caller::open(entry.entry);
    chunked.send_raw(b"POST /s/echo HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4e20\r\n");
    chunked.send_raw(&vec![b'x'; 20_000]);
    assert_eq!(chunked.receive().unwrap().status, 413);

    let mut not_http = support::Caller::open(entry.entry);
    not_http.send_raw(b"\x16\x03\x01 not http\r\n\r\n");
    assert_eq!(not_http.receive().unwrap().status, 400);

    let mut header = support::Caller::open(entry.entry);
    let response = header.exchange("GET", "/s/echo", "Damasktrack-Timeout-Ms: soon\r\n", b"");
    assert_eq!(response.unwrap().status, 400);

    assert_echo(entry.entry, b"still here");
    let reached = backend.requests.try_iter().filter(|request| request.path == "/echo");
    assert_eq!(reached.count(), 1, "only the last request reaches the backend server");
}

/// Guards against a planned stop, of the entry daemon or of the callee daemon, that aborts requests in flight.
#[test]
fn planned_stop_cuts_no_request() {
    const CALLS: usize = 8;
    for stop_entry in [true, false] {
        let (backend, release) = start_halting_server();
        let mut callee_daemon = support::Daemon::start_callee(&backend, r#","drain_notice_ms":100"#);
        let mut entry = support::Daemon::start_entry(&callee_daemon, r#","drain_notice_ms":100"#);
        let callers: Vec<_> = (0..CALLS)
            .map(|_| {
                let mut caller = support::Caller::open(entry.entry);
                caller.send("GET", "/s/half", "", b"");
                thread::spawn(move || caller.receive())
            })
            .collect();
        for _ in 0..CALLS {
            backend.wait_request("/half");
        }
        let stopping = if stop_entry { &mut entry } else { &mut callee_daemon };
        stopping.terminate();
        if stop_entry {
            support::wait_for("the listener to close", || {
                net::TcpStream::connect(stopping.entry).err()
            });
        } else {
            // The drain request shows that the stop has begun.
            backend.wait_request("/drain");
        }
        for _ in 0..CALLS {
            release.send(()).unwrap();
        }
        for caller in callers {
            let response = caller.join().unwrap().unwrap();
            assert_eq!((response.status, response.body.len()), (200, 100_000));
        }
        assert_eq!(stopping.exit_code(), Some(0));
    }
}

/// Guards against a leaving daemon that accepts new calls, and against a refusal that is not the final outcome or whose
/// call ran.
#[test]
fn leaving_daemon_refuses_new_work() {
    let (backend, release) = start_halting_server();
    let mut callee_daemon = support::Daemon::start_callee(&backend, r#","drain_notice_ms":100"#);
    let entry = support::Daemon::start_entry(&callee_daemon, "");
    let running = start_half_response(entry.entry);
    callee_daemon.terminate();
    backend.wait_request("/drain");
    let refused = support::Caller::open(entry.entry)
        .exchange("POST", "/s/echo", "", b"x")
        .unwrap();
    assert_eq!(refused.status, 503);
    assert_eq!(
        support::header_value(&refused.header, "damasktrack-outcome"),
        Some("refused")
    );
    release.send(()).unwrap();
    drop(running);
    assert_eq!(callee_daemon.exit_code(), Some(0));
    let reached = backend.requests.try_iter().filter(|request| request.path == "/echo");
    assert_eq!(reached.count(), 0);
}

/// Guards against a refusal by the backend server that is reported as run, and against a backend server that can't be
/// reached.
#[test]
fn refusals_of_the_backend_server_are_reported_as_not_run() {
    let backend = support::BackendServer::start(|_request, stream| {
        stream
            .write_all(b"HTTP/1.1 503 Busy\r\nDamasktrack-Not-Run: true\r\nContent-Length: 4\r\n\r\nbusy")
            .is_ok()
    });
    let callee_daemon = support::Daemon::start_callee(&backend, "");
    let entry = support::Daemon::start_entry(&callee_daemon, "");
    let mut caller = support::Caller::open(entry.entry);
    for _ in 0..3 {
        let response = caller.exchange("POST", "/s/x", "", b"x").unwrap();
        assert_eq!(response.status, 503);
        assert_eq!(
            support::header_value(&response.header, "damasktrack-outcome"),
            Some("refused")
        );
        assert_eq!(support::header_value(&response.header, "retry-after"), Some("1"));
    }
}

/// Starts a backend server whose responses to `/slow` wait until the test uses or drops the sender.
fn start_waiting_server() -> (support::BackendServer, mpsc::Sender<()>) {
    let (release, wait) = mpsc::channel::<()>();
    let wait = sync::Mutex::new(wait);
    let backend = support::BackendServer::start(move |request, stream| {
        if request.path == "/slow" {
            let _released = wait.lock().unwrap().recv();
        }
        support::respond(stream, &request.body)
    });
    (backend, release)
}

/// Guards against calls that wait for a paused daemon until their deadline, against an action that it may have run but
/// that is reported as refused, and against an action that it can't have run but that is reported as unknown.
#[test]
fn paused_daemon_is_detected_by_its_silence() {
    let (backend, release) = start_waiting_server();
    let callee_daemon = support::Daemon::start_callee(&backend, "");
    let entry = support::Daemon::start_entry(&callee_daemon, "");
    let mut sent = support::Caller::open(entry.entry);
    sent.send("POST", "/s/slow", "", b"x");
    backend.wait_request("/slow");
    callee_daemon.signal("STOP");
    let response = sent.receive().unwrap();
    assert_eq!(response.status, 502);
    assert_eq!(
        support::header_value(&response.header, "damasktrack-outcome"),
        Some("unknown")
    );
    // The service has no other server, so each call depends on the paused daemon.
    for _ in 0..30 {
        let refused = support::Caller::open(entry.entry).exchange("POST", "/s/echo", "", b"x");
        let refused = refused.unwrap();
        assert_eq!(
            support::header_value(&refused.header, "damasktrack-outcome"),
            Some("refused")
        );
        thread::sleep(time::Duration::from_millis(50));
    }
    callee_daemon.signal("CONT");
    drop(release);
    support::wait_for("calls through the daemon to succeed again", || {
        let response = support::Caller::open(entry.entry).exchange("POST", "/s/echo", "", b"back");
        response.ok().filter(|response| response.status == 200)
    });
}

/// Guards against a call that outlasts its deadline, and against work that continues after the deadline.
#[test]
fn deadline_ends_a_call_and_cancels_its_work() {
    let (backend, _release) = start_waiting_server();
    let callee_daemon = support::Daemon::start_callee(&backend, "");
    let entry = support::Daemon::start_entry(&callee_daemon, "");
    for (method, outcome) in [("POST", "unknown"), ("GET", "failed")] {
        let header = "Damasktrack-Timeout-Ms: 300\r\n";
        let response = support::Caller::open(entry.entry).exchange(method, "/s/slow", header, b"");
        let response = response.unwrap();
        assert_eq!(response.status, 504);
        assert_eq!(
            support::header_value(&response.header, "damasktrack-outcome"),
            Some(outcome)
        );
        backend.wait_request("/cancel?call=");
    }
}

/// Guards against a caller that stops reading and thereby holds a slot of the backend server indefinitely.
#[test]
fn call_of_a_caller_that_stops_reading_is_cancelled() {
    let backend = support::BackendServer::start(|_request, stream| support::respond(stream, &vec![b'x'; 50_000_000]));
    let callee_daemon = support::Daemon::start_callee(&backend, "");
    let entry = support::Daemon::start_entry(&callee_daemon, r#","stall_timeout_ms":300"#);
    let mut caller = support::Caller::open(entry.entry);
    caller.send("GET", "/s/large", "", b"");
    backend.wait_request("/cancel?call=");
    let mut rest = Vec::new();
    let read = std::io::Read::read_to_end(&mut caller.reader, &mut rest);
    assert!(read.is_err() || rest.len() < 50_000_000);
}

/// Guards against requests, actions included, that fail because of a killed daemon that they never reached while
/// another daemon of the service is up, and against a retry that runs a request twice.
#[test]
fn killed_daemon_fails_no_further_request_while_another_is_up() {
    const CALLS: usize = 40;
    let (backend, _release) = start_waiting_server();
    let mut killed = support::Daemon::start_callee(&backend, "");
    let remaining = support::Daemon::start_callee(&backend, "");
    let seeds = format!(r#","seeds":["{}","{}"]"#, killed.peer, remaining.peer);
    let entry = support::Daemon::start("entry", &seeds);
    // Once both daemons have served a call, the entry daemon routes to both.
    let mut connection = support::Caller::open(entry.entry);
    let mut served = std::collections::HashSet::new();
    support::wait_for("both daemons to be used", || {
        let response = connection.exchange("POST", "/s/echo", "", b"").unwrap();
        if response.status == 200 {
            let seen = backend.wait_request("/echo");
            let context = support::header_value(&seen.header, "damasktrack-context").unwrap();
            // Call ids of a process are sequential from a random start, so their upper half identifies the process.
            let call = context.split(";call=").nth(1).unwrap().split(';').next().unwrap();
            served.insert(u64::from_str_radix(call, 16).unwrap() >> 32);
        }
        (served.len() == 2).then_some(())
    });
    killed.kill();
    for number in 0..CALLS {
        let body = format!("{number}");
        let response = connection.exchange("POST", "/s/echo", "", body.as_bytes()).unwrap();
        assert_eq!((response.status, response.body), (200, body.into_bytes()));
    }
    let reached = backend.requests.try_iter().filter(|request| request.path == "/echo");
    assert_eq!(reached.count(), CALLS);
}

/// Guards against a planned stop of one daemon that aborts or refuses calls while another daemon of the service is up,
/// and against a stop that ends before its last response is written.
#[test]
fn planned_stop_under_load_fails_no_request() {
    const CALLERS: usize = 6;
    let (backend, _release) = start_waiting_server();
    let mut stopping = support::Daemon::start_callee(&backend, r#","drain_notice_ms":100"#);
    let remaining = support::Daemon::start_callee(&backend, "");
    let seeds = format!(r#","seeds":["{}","{}"]"#, stopping.peer, remaining.peer);
    let entry = support::Daemon::start("entry", &seeds);
    for daemon in [&stopping, &remaining] {
        support::wait_for("the daemon to be ready", || {
            let response = support::Caller::open(daemon.api).exchange("GET", "/ready", "", b"");
            response.ok().filter(|response| response.status == 200)
        });
    }
    support::wait_for("calls to the service to succeed", || {
        let response = support::Caller::open(entry.entry).exchange("POST", "/s/echo", "", b"");
        response.ok().filter(|response| response.status == 200)
    });
    let stopped = sync::Arc::new(sync::atomic::AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let stopped = sync::Arc::clone(&stopped);
            let mut connection = support::Caller::open(entry.entry);
            thread::spawn(move || {
                let mut calls = 0;
                while !stopped.load(sync::atomic::Ordering::Relaxed) {
                    let body = format!("{caller} {calls}");
                    let response = connection.exchange("POST", "/s/echo", "", body.as_bytes()).unwrap();
                    assert_eq!((response.status, response.body), (200, body.into_bytes()));
                    calls += 1;
                }
                calls
            })
        })
        .collect();
    for _ in 0..200 {
        backend.wait_request("/echo");
    }
    stopping.terminate();
    assert_eq!(stopping.exit_code(), Some(0));
    stopped.store(true, sync::atomic::Ordering::Relaxed);
    let calls: usize = callers.into_iter().map(|caller| caller.join().unwrap()).sum();
    assert!(calls >= 200 - CALLERS);
}
