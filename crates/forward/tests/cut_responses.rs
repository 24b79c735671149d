//! Responses of servers that end at any byte.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
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

/// Sends a request and returns the status and body of the response; `None` if either is incomplete.
async fn receive(address: SocketAddr) -> Option<(u16, Bytes)> {
    let policy = LinkPolicy {
        connect_timeout: Duration::from_secs(5),
        idle_limit: Duration::from_secs(5),
    };
    let pool = LinkPool::new(address, policy, &LinkBudget::unbounded());
    let request = http_link::request_of(Method::GET, Uri::from_static("/"), HeaderMap::new(), Bytes::new());
    let (response, lease) = pool.send(request, Duration::ZERO).await.ok()?;
    let deadline = Instant::now() + Duration::from_secs(20);
    let received = message_body::receive(response, lease, deadline, &AccountHandle::default()).await;
    let (parts, body) = received.ok()?;
    let body = body.collect().await.ok()?;
    Some((parts.status.as_u16(), body.to_bytes()))
}

/// Answers one request for each length with as many bytes of `text`, and closes.
fn serve(listener: &TcpListener, text: &[u8]) {
    for length in 0..=text.len() {
        let (mut stream, _from) = listener.accept().unwrap();
        let mut request = [0; 1024];
        let _length = stream.read(&mut request).unwrap();
        stream.write_all(&text[..length]).unwrap();
    }
}

/// Guards against a response that ends in its head or body and passes for a whole one with an empty or short body.
#[tokio::test(flavor = "current_thread")]
async fn response_that_ends_at_any_byte_is_incomplete() {
    let texts = [
        "HTTP/1.1 200 OK\r\nSeal: seal\r\nContent-Length: 12\r\n\r\nalpha id-123",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nSeal: seal\r\n\r\n5\r\nalpha\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 204 No Content\r\nSeal: seal\r\n\r\n",
        "HTTP/1.0 200 OK\r\nSeal: seal\r\nContent-Length: 3\r\n\r\nabc",
    ];
    for text in texts {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let server = thread::spawn(move || serve(&listener, text.as_bytes()));
        for length in 0..=text.len() {
            let received = LocalSet::new().run_until(receive(address)).await;
            assert_eq!(
                received.is_some(),
                length == text.len(),
                "{:?}, then the end: {received:?}",
                &text[..length]
            );
        }
        server.join().unwrap();
    }
}

/// Guards against a body without a length whose connection is reset and that passes for a whole one.
#[tokio::test(flavor = "current_thread")]
async fn body_without_length_is_incomplete_after_a_reset() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let (mut stream, _from) = listener.accept().unwrap();
        let mut request = [0; 1024];
        let _length = stream.read(&mut request).unwrap();
        stream.write_all(b"HTTP/1.1 200 OK\r\nSeal: seal\r\n\r\npart").unwrap();
        thread::sleep(Duration::from_millis(50));
        let socket = socket2::SockRef::from(&stream);
        socket.set_linger(Some(Duration::ZERO)).unwrap();
    });
    let received = LocalSet::new().run_until(receive(address)).await;
    assert_eq!(received, None);
    server.join().unwrap();
}
