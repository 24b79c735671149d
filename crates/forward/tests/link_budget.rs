//! Bound of outgoing connections, on loopback.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use damasktrack_forward::http_link::request_of;
use damasktrack_forward::http_link::{LinkError, LinkLease, LinkPolicy, LinkPool};
use damasktrack_forward::link_budget::LinkBudget;
use damasktrack_pipeline::account_handle::AccountHandle;
use http_body_util::BodyExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const POLICY: LinkPolicy = LinkPolicy {
    connect_timeout: Duration::from_secs(1),
    idle_limit: Duration::from_mins(1),
};

/// A server that answers each request at once.
#[derive(Default)]
struct EchoServer {
    requests: Cell<usize>,
    open: Cell<usize>,
    most_open: Cell<usize>,
}

impl EchoServer {
    async fn start() -> (Rc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (server, address) = (Rc::<Self>::default(), listener.local_addr().unwrap());
        let accepting = Rc::clone(&server);
        tokio::task::spawn_local(async move {
            while let Ok((stream, _from)) = listener.accept().await {
                tokio::task::spawn_local(Rc::clone(&accepting).serve(stream));
            }
        });
        (server, address)
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        self.open.set(self.open.get() + 1);
        self.most_open.set(self.most_open.get().max(self.open.get()));
        let mut buffer = [0; 4_096];
        while let Ok(count) = stream.read(&mut buffer).await
            && count > 0
        {
            self.requests.set(self.requests.get() + 1);
            let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            if stream.write_all(answer).await.is_err() {
                break;
            }
        }
        self.open.set(self.open.get() - 1);
    }
}

fn run<F: Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test)
}

/// Sends a request, reads its response, and returns the lease of the connection.
async fn send(pool: &Rc<LinkPool>) -> Result<LinkLease, LinkError> {
    let mut headers = hyper::HeaderMap::new();
    headers.insert(hyper::header::HOST, hyper::header::HeaderValue::from_static("site"));
    let uri = hyper::Uri::from_static("/");
    let request = request_of(hyper::Method::GET, uri, headers, bytes::Bytes::new());
    let (response, lease) = pool.send(request, Duration::MAX).await?;
    response.into_body().collect().await.unwrap();
    Ok(lease)
}

fn budget(limit: usize) -> Rc<LinkBudget> {
    LinkBudget::new(Some(limit), AccountHandle::default())
}

/// Guards against calls that fail although idle connections to other addresses could be closed, and against a bound
/// that is exceeded meanwhile.
#[test]
fn idle_connections_make_way_at_the_bound() {
    run(async {
        let budget = budget(2);
        let mut servers = Vec::new();
        for _server in 0..5 {
            let (server, address) = EchoServer::start().await;
            servers.push((server, LinkPool::new(address, POLICY, &budget)));
        }
        for round in 0..3 {
            for (_server, pool) in &servers {
                send(pool).await.unwrap().release(None, Instant::now());
                assert!(budget.open() <= 2, "{round}");
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        let open: usize = servers.iter().map(|(server, _pool)| server.open.get()).sum();
        assert_eq!((open, budget.refused()), (2, 0));
    });
}

/// Guards against a call that is reported as not sent although the server got it, and against one that opens a
/// connection beyond the bound.
#[test]
fn call_without_a_connection_has_not_been_sent() {
    run(async {
        let budget = budget(2);
        let (server, address) = EchoServer::start().await;
        let pool = LinkPool::new(address, POLICY, &budget);
        let held = [send(&pool).await.unwrap(), send(&pool).await.unwrap()];
        let result = send(&pool).await;
        assert!(matches!(result, Err(LinkError::NoSlot)), "{result:?}");
        assert_eq!((server.requests.get(), server.most_open.get()), (2, 2));
        assert_eq!(budget.refused(), 1);
        drop(held);
        send(&pool).await.unwrap();
        assert_eq!(budget.refused(), 1);
    });
}

/// Guards against calls that wait in vain while connections become free, to the same address or to another one.
#[test]
fn waiting_call_gets_a_connection_that_becomes_free() {
    run(async {
        let budget = budget(2);
        let (first, address) = EchoServer::start().await;
        let first_pool = LinkPool::new(address, POLICY, &budget);
        let (second, address) = EchoServer::start().await;
        let second_pool = LinkPool::new(address, POLICY, &budget);
        for (pool, server, opened) in [(&first_pool, &first, 2), (&second_pool, &second, 1)] {
            let held = [send(&first_pool).await.unwrap(), send(&first_pool).await.unwrap()];
            let waiting = tokio::task::spawn_local({
                let pool = Rc::clone(pool);
                async move { send(&pool).await.map(drop) }
            });
            tokio::time::sleep(Duration::from_millis(50)).await;
            assert!(budget.has_waiting());
            for lease in held {
                lease.release(None, Instant::now());
            }
            waiting.await.unwrap().unwrap();
            assert!(!budget.has_waiting());
            assert!(server.requests.get() > 0 && server.most_open.get() <= opened);
            assert_eq!(
                pool.opened(),
                opened as u64,
                "a connection to the same address is used again"
            );
        }
        assert_eq!(budget.refused(), 0);
    });
}

/// Guards against a place in the bound that a cancelled call or a failed connection keeps.
#[test]
fn cancelled_and_failed_calls_return_their_places() {
    run(async {
        let budget = budget(1);
        let closed = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
        let failing = LinkPool::new(closed, POLICY, &budget);
        let (_server, address) = EchoServer::start().await;
        let pool = LinkPool::new(address, POLICY, &budget);
        for _round in 0..3 {
            let failed = send(&failing).await;
            assert!(matches!(failed, Err(LinkError::NotSent(_))), "{failed:?}");
            let held = send(&pool).await.unwrap();
            let cancelled = tokio::time::timeout(Duration::from_millis(20), send(&pool)).await;
            assert!(cancelled.is_err());
            drop(held);
            drop(send(&pool).await.unwrap());
            tokio::time::sleep(Duration::from_millis(20)).await;
            assert_eq!(budget.open(), 0);
        }
    });
}
