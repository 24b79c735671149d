//! Close of a listener at a planned stop.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use damasktrack_forward::http_server::{ServerControl, accept, listen};
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
