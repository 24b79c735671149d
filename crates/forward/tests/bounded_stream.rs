//! Bounds on the input of one connection.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use damasktrack_forward::bounded_stream::{BoundedStream, InputMeter};
use damasktrack_forward::http_link::{LinkError, LinkPolicy, LinkPool};
use damasktrack_forward::link_budget::LinkBudget;
use damasktrack_pipeline::chunk_list::ChunkedBody;
use tokio::io::AsyncReadExt;

const INFORMATIONAL_HEAD: &[u8] = b"HTTP/1.1 102 Processing\r\n\r\n";

fn run<F: Future>(work: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, work)
}

/// Returns the number of turns that another task gets while a task reads 100 KiB that have already arrived.
fn turns_of_others(meter: Rc<InputMeter>) -> usize {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    run(async move {
        let stream = tokio::net::TcpStream::connect(address).await.unwrap();
        let mut peer = listener.accept().unwrap().0;
        peer.write_all(&vec![b'#'; 100 * 1024]).unwrap();
        let turns = Rc::new(Cell::new(0));
        let others = Rc::clone(&turns);
        let other = tokio::task::spawn_local(async move {
            loop {
                others.set(others.get() + 1);
                tokio::task::yield_now().await;
            }
        });
        let reader = tokio::task::spawn_local(async move {
            let mut stream = BoundedStream::new(stream, meter);
            let mut received = 0;
            let mut buffer = vec![0; 64 * 1024];
            while received < 100 * 1024 {
                received += stream.read(&mut buffer).await.unwrap();
            }
        });
        reader.await.unwrap();
        other.abort();
        turns.get()
    })
}

/// Guards against input that keeps the event loop from all other connections while a head is awaited.
#[test]
fn awaited_head_leaves_turns_to_other_tasks() {
    let meter = Rc::new(InputMeter::default());
    meter.expect_head();
    let turns = turns_of_others(meter);
    assert!(turns >= 12, "{turns} turns");
}

/// Guards against a server that sends heads for as long as they are read: its connection ends, and the request counts
/// as one that may have run.
#[test]
fn endless_heads_end_the_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let mut stream = listener.accept().unwrap().0;
        // Heads before the request would end the connection while the request is still unsent.
        let length = stream.read(&mut [0; 1024]).unwrap();
        assert!(length > 0);
        let mut sent = 0;
        while stream.write_all(&INFORMATIONAL_HEAD.repeat(20)).is_ok() {
            sent += 20 * INFORMATIONAL_HEAD.len();
            // The socket buffers of a connection that isn't read hold under 16 MiB.
            if sent > 16 << 20 {
                return false;
            }
        }
        true
    });
    let policy = LinkPolicy {
        connect_timeout: Duration::from_secs(5),
        idle_limit: Duration::from_secs(5),
    };
    let request = hyper::Request::new(ChunkedBody::default());
    let result = run(async move {
        LinkPool::new(address, policy, &LinkBudget::unbounded())
            .send(request, Duration::ZERO)
            .await
    });
    assert!(matches!(result, Err(LinkError::NoResponse(_))), "{result:?}");
    assert!(server.join().unwrap(), "the connection stays open");
}
