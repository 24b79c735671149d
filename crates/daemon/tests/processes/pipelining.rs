//! Requests that callers send before the response to an earlier one on the same connection.

use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use crate::support;

fn request(method: &str, path: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\nHost: test\r\nContent-Length: 0\r\n\r\n")
}

/// Starts a backend server that runs `work` for each request, with the greatest number of requests that ran at the same
/// time, and responds with the path. Returns that number as well.
fn start_counting_server(
    work: impl Fn(&atomic::AtomicUsize) + Send + Sync + 'static,
) -> (support::BackendServer, sync::Arc<atomic::AtomicUsize>) {
    let running = atomic::AtomicUsize::new(0);
    let most = sync::Arc::new(atomic::AtomicUsize::new(0));
    let maximum = sync::Arc::clone(&most);
    let backend = support::BackendServer::start(move |request, stream| {
        maximum.fetch_max(
            running.fetch_add(1, atomic::Ordering::SeqCst) + 1,
            atomic::Ordering::SeqCst,
        );
        work(&maximum);
        running.fetch_sub(1, atomic::Ordering::SeqCst);
        support::respond(stream, request.path.as_bytes())
    });
    (backend, most)
}

/// Guards against pipelined calls that run one after the other, and against responses out of the order of their
/// requests. Each call waits until two are running or a second has passed.
#[test]
fn idempotent_calls_run_concurrently_and_are_answered_in_order() {
    let (backend, most) = start_counting_server(|maximum| {
        let began = time::Instant::now();
        while maximum.load(atomic::Ordering::SeqCst) < 2 && began.elapsed() < time::Duration::from_secs(1) {
            thread::sleep(time::Duration::from_millis(5));
        }
    });
    let callee_daemon = support::Daemon::start_callee(&backend, "");
    let entry = support::Daemon::start_entry(&callee_daemon, "");
    let mut caller = support::Caller::open(entry.entry);
    let paths = ["/s/1", "/s/2", "/s/3"];
    caller.send_raw(paths.map(|path| request("GET", path)).concat().as_bytes());
    for path in ["/1", "/2", "/3"] {
        assert_eq!(caller.receive().unwrap().body, path.as_bytes());
    }
    assert!(most.load(atomic::Ordering::SeqCst) >= 2);
}

/// Guards against an action that starts ahead of its turn, since the caller repeats it if an earlier response closes the
/// connection, and against a malformed request whose error destroys the responses in front of it.
#[test]
fn actions_run_in_their_turn_and_errors_come_last() {
    let (backend, most) = start_counting_server(|_maximum| thread::sleep(time::Duration::from_millis(100)));
    let callee_daemon = support::Daemon::start_callee(&backend, "");
    let entry = support::Daemon::start_entry(&callee_daemon, "");
    let mut caller = support::Caller::open(entry.entry);
    let requests = [request("GET", "/s/1"), request("POST", "/s/2"), request("GET", "/s/3")];
    caller.send_raw((requests.concat() + "nonsense\x01\r\n\r\n").as_bytes());
    for path in ["/1", "/2", "/3"] {
        assert_eq!(caller.receive().unwrap().body, path.as_bytes());
    }
    assert_eq!(caller.receive().unwrap().status, 400);
    assert_eq!(most.load(atomic::Ordering::SeqCst), 1);
}

/// Guards against a call that goes on after its caller has disconnected with a second request already sent.
#[test]
fn disconnect_with_a_pipelined_request_cancels_the_call() {
    let closed = sync::Arc::new(atomic::AtomicBool::new(false));
    let observed = sync::Arc::clone(&closed);
    let backend = support::BackendServer::start(move |_request, stream| {
        let mut byte = [0];
        drop(stream.set_read_timeout(Some(time::Duration::from_secs(5))));
        // A cancelled call closes its connection.
        let ended = std::io::Read::read(stream, &mut byte).is_ok_and(|length| length == 0);
        observed.fetch_or(ended, atomic::Ordering::SeqCst);
        false
    });
    let callee_daemon = support::Daemon::start_callee(&backend, "");
    let entry = support::Daemon::start_entry(&callee_daemon, "");
    let mut caller = support::Caller::open(entry.entry);
    caller.send_raw((request("GET", "/s/1") + &request("POST", "/s/2")).as_bytes());
    backend.wait_request("/1");
    drop::<support::Caller>(caller);
    support::wait_for("the call to be cancelled", || {
        closed.load(atomic::Ordering::SeqCst).then_some(())
    });
    assert!(net::TcpStream::connect(entry.entry).is_ok());
}
