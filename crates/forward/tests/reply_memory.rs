//! Memory that a response holds while it is received. The only test of its process, whose peak it reads.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use damasktrack_forward::http_link::{LinkPolicy, LinkPool};
use damasktrack_forward::link_budget::LinkBudget;
use damasktrack_forward::{http_link, message_body};
use damasktrack_pipeline::account_handle::AccountHandle;
use http_body_util::BodyExt;
use hyper::{HeaderMap, Method, Uri};
use tokio::task::LocalSet;

/// Number of responses that are received at the same time.
const RESPONSES: u64 = 4;
/// Chunks of one byte in each response; fewer than the bytes that are buffered of a response.
const CHUNKS: usize = 200_000;
/// Largest share of a response in the growth of the process: twice the 256 KiB that are buffered, since a buffer
/// doubles when it grows, about 400 KiB of the connection, and as much again for the runtime and the threads of the
/// test.
const MAX_RESPONSE_KB: u64 = 2 * 1024;

/// Returns the largest resident memory of this process so far, in KiB.
fn peak_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.split_whitespace().next().unwrap().parse().unwrap()
}

/// Answers one request with a body in chunks of one byte.
fn serve(mut stream: TcpStream) {
    let mut request = [0; 1024];
    let _length = stream.read(&mut request).unwrap();
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .unwrap();
    let piece = b"1\r\nx\r\n".repeat(1_000);
    for _piece in 0..CHUNKS / 1_000 {
        stream.write_all(&piece).unwrap();
    }
    stream.write_all(b"0\r\n\r\n").unwrap();
}

async fn receive(address: SocketAddr) -> usize {
    let policy = LinkPolicy {
        connect_timeout: Duration::from_secs(5),
        idle_limit: Duration::from_secs(5),
    };
    let pool = LinkPool::new(address, policy, &LinkBudget::unbounded());
    let request = http_link::request_of(Method::GET, Uri::from_static("/"), HeaderMap::new(), Bytes::new());
    let (response, lease) = pool.send(request, Duration::ZERO).await.unwrap();
    let deadline = Instant::now() + Duration::from_mins(5);
    let (_parts, body) = message_body::receive(response, lease, deadline, &AccountHandle::default())
        .await
        .unwrap();
    assert!(body.is_whole());
    body.collect().await.unwrap().to_bytes().len()
}

/// Guards against a daemon that runs out of memory since it keeps an entry for each chunk of a response, of which a
/// faulty backend server may send any number.
#[test]
fn response_in_tiny_chunks_holds_little_more_than_its_bytes() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            thread::spawn(move || serve(stream.unwrap()));
        }
    });
    let before = peak_kb();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let local = LocalSet::new();
    let lengths = local.block_on(&runtime, async {
        let calls: Vec<_> = (0..RESPONSES)
            .map(|_call| tokio::task::spawn_local(receive(address)))
            .collect();
        let mut lengths = Vec::new();
        for call in calls {
            lengths.push(call.await.unwrap());
        }
        lengths
    });
    assert!(lengths.iter().all(|length| *length == CHUNKS), "{lengths:?}");
    let growth = peak_kb() - before;
    println!("{growth} KB for {RESPONSES} responses");
    assert!(growth < RESPONSES * MAX_RESPONSE_KB, "{growth} KB");
}
