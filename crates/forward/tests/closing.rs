//! Planned stop: times, and the close of a listener.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use damasktrack_forward::http_server::{ServerControl, accept, listen};
use damasktrack_forward::stop_schedule::{PlannedStop, StopSchedule};
use damasktrack_pipeline::account_handle::AccountHandle;
use damasktrack_pipeline::byte_account::ListenerKind;
use damasktrack_pipeline::request_order::ConnectionPhase;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Number of connections that wait when the listener closes.
const WAITING: usize = 5;

/// Returns the byte that a caller sent.
async fn echo(mut stream: tokio::net::TcpStream) {
    let mut request = [0];
    stream.read_exact(&mut request).await.unwrap();
    stream.write_all(&request).await.unwrap();
}

/// Guards against connections that are reset because they arrived after the last poll of the event loop before the
/// listener closed. `TcpListener::accept` of tokio doesn't report them.
#[test]
fn close_serves_connections_that_the_event_loop_has_not_seen() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        let address = listener.local_addr().unwrap();
        let control = ServerControl::default();
        let serve = |stream, _hold| echo(stream);
        let account = AccountHandle::default();
        let accepting =
            tokio::task::spawn_local(accept(listener, control.clone(), account, ListenerKind::Caller, serve));
        // The listener waits for the event loop, which is not polled again before the phase changes.
        tokio::time::sleep(Duration::from_millis(20)).await;
        let mut callers: Vec<TcpStream> = (0..WAITING)
            .map(|_caller| {
                let mut caller = TcpStream::connect(address).unwrap();
                caller.write_all(b"#").unwrap();
                caller
            })
            .collect();
        control.enter(ConnectionPhase::Closed);
        accepting.await.unwrap();
        assert_eq!(control.open_sockets(), WAITING);
        assert!(TcpStream::connect(address).is_err(), "the listener is open");
        tokio::time::sleep(Duration::from_millis(100)).await;
        for caller in &mut callers {
            caller.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
            let mut reply = [0];
            caller.read_exact(&mut reply).unwrap();
            assert_eq!(&reply, b"#");
        }
        assert_eq!(control.open_sockets(), 0);
    });
}

/// Guards against requests that are forwarded over 3 s after SIGTERM, which the kill may interrupt. After a pause,
/// SIGTERM may be as old as the pause.
#[test]
fn nothing_is_forwarded_late_in_a_stop() {
    let now = Instant::now() + Duration::from_mins(1);
    let at = |milliseconds| now + Duration::from_millis(milliseconds);
    let stop = PlannedStop::default();
    assert!(!stop.is_late(at(60_000)));
    for (paused, last) in [(0, 2_999), (1_000, 1_999), (2_999, 0)] {
        let grace = Duration::from_secs(6);
        let schedule = StopSchedule::new(now, Duration::from_millis(paused), grace);
        assert_eq!(schedule.closes_at, at(2_900));
        assert_eq!(schedule.ends_at, at(5_700));
        stop.begin(schedule);
        assert!(!stop.is_late(at(last)));
        assert!(stop.is_late(at(last + 1)));
    }
    let short = StopSchedule::new(now, Duration::ZERO, Duration::from_secs(2));
    assert_eq!((short.closes_at, short.ends_at), (at(1_700), at(1_700)));
}
