//! Requests to peers that read slowly.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use damasktrack_forward::http_link;
use damasktrack_forward::http_link::{LinkPolicy, LinkPool};
use damasktrack_forward::link_budget::LinkBudget;
use hyper::{HeaderMap, Method, Uri};
use tokio::task::LocalSet;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
/// Longer than the time limit of unacknowledged data.
const PAUSE: Duration = Duration::from_millis(2500);

/// Answers requests on one connection. Pauses once after the first bytes of each.
fn serve(listener: &TcpListener, bodies: &[usize]) {
    let (mut stream, _from) = listener.accept().unwrap();
    for body in bodies {
        let mut part = vec![0; 64 * 1024];
        let mut received = Vec::new();
        let end = loop {
            let length = stream.read(&mut part).unwrap();
            received.extend_from_slice(&part[..length]);
            if let Some(head) = received.windows(4).position(|window| window == b"\r\n\r\n") {
                break head + 4 + body;
            }
        };
        thread::sleep(PAUSE);
        let mut left = end - received.len();
        while left > 0 {
            let length = stream.read(&mut part).unwrap();
            assert!(length > 0, "connection ended with {left} bytes left");
            left -= length;
        }
        stream.write_all(RESPONSE).unwrap();
    }
}

async fn send_all(address: SocketAddr, bodies: &[usize]) -> Vec<Option<u16>> {
    let policy = LinkPolicy {
        connect_timeout: Duration::from_secs(5),
        idle_limit: Duration::from_secs(5),
    };
    let pool = LinkPool::new(address, policy, &LinkBudget::unbounded());
    let mut statuses = Vec::new();
    for body in bodies {
        let (uri, bytes) = (Uri::from_static("/"), Bytes::from(vec![b'x'; *body]));
        let mut headers = HeaderMap::new();
        headers.insert("host", "site.example".parse().unwrap());
        let request = http_link::request_of(Method::POST, uri, headers, bytes);
        let sent = tokio::time::timeout(Duration::from_secs(9), pool.send(request, Duration::MAX)).await;
        statuses.push(match sent {
            Ok(Ok((response, lease))) => {
                let status = response.status().as_u16();
                let _body = http_body_util::BodyExt::collect(response.into_body()).await.unwrap();
                lease.release(None, std::time::Instant::now());
                Some(status)
            }
            _ => None,
        });
    }
    statuses
}

/// Guards against a request that is broken off since its server reads the body only after some seconds, on a new
/// connection and on one that served a small request.
#[tokio::test(flavor = "current_thread")]
async fn large_request_to_a_server_that_pauses_before_the_body_is_served() {
    const LARGE: usize = 16 * 1024 * 1024;
    for bodies in [&[LARGE][..], &[10, LARGE, 10, LARGE]] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let server = thread::spawn(move || serve(&listener, bodies));
        let statuses = LocalSet::new().run_until(send_all(address, bodies)).await;
        assert_eq!(statuses, vec![Some(200); bodies.len()]);
        server.join().unwrap();
    }
}
