//! A connection on loopback with handlers of the test.

use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use damasktrack_pipeline::account_handle::AccountHandle;
use damasktrack_pipeline::byte_account::{ByteAccount, ListenerKind};
use damasktrack_pipeline::request_fault::RequestFault;
use damasktrack_pipeline::request_order::{ConnectionPhase, StartOrder};
use damasktrack_pipeline::server_connection::{
    CallerRequest, ConnectionHandlers, ConnectionLimits, RequestPlan, serve,
};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

type Body = BoxBody<Bytes, &'static str>;

const LIMITS: ConnectionLimits = ConnectionLimits {
    idle_timeout: Duration::from_millis(400),
    header_timeout: Duration::from_millis(300),
    max_header_bytes: 4_096,
};

fn whole(text: &str) -> hyper::Response<Body> {
    let body = Full::new(Bytes::copy_from_slice(text.as_bytes()));
    hyper::Response::new(body.map_err(|never: Infallible| match never {}).boxed())
}

/// Body whose declared length is unknown, and that breaks off after its first frame if `breaks`.
fn streamed(breaks: bool) -> hyper::Response<Body> {
    let first = Ok(Frame::data(Bytes::from_static(b"streamed")));
    let frames = if breaks {
        vec![first, Err("broken")]
    } else {
        vec![first]
    };
    hyper::Response::new(BoxBody::new(StreamBody::new(futures_util::stream::iter(frames))))
}

async fn respond(request: CallerRequest<()>) -> hyper::Response<Body> {
    match request.parts.uri.path() {
        "/streamed" => streamed(false),
        "/broken" => streamed(true),
        "/large" => whole(&"#".repeat(32 << 20)),
        path => whole(path),
    }
}

/// Serves one connection and returns its client side.
async fn connect(phases: watch::Receiver<ConnectionPhase>, log: &Rc<RefCell<Vec<RequestFault>>>) -> TcpStream {
    connect_with(LIMITS, &AccountHandle::default(), phases, log).await
}

async fn connect_with(
    limits: ConnectionLimits,
    account: &AccountHandle,
    phases: watch::Receiver<ConnectionPhase>,
    log: &Rc<RefCell<Vec<RequestFault>>>,
) -> TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (stream, _from) = listener.accept().await.unwrap();
    let log = Rc::clone(log);
    let handlers = ConnectionHandlers {
        plan: |parts: &mut hyper::http::request::Parts| RequestPlan {
            max_body_bytes: 100,
            body_timeout: Duration::from_millis(300),
            refused: false,
            order: if parts.method == hyper::Method::POST {
                StartOrder::InTurn
            } else {
                StartOrder::Ahead
            },
            route: (),
        },
        serve: respond,
        reject: move |fault: RequestFault| {
            log.borrow_mut().push(fault);
            let mut response = whole("");
            *response.status_mut() = fault.status();
            response
        },
    };
    tokio::task::spawn_local(serve(
        stream,
        limits,
        phases,
        handlers,
        account.open(ListenerKind::Caller),
    ));
    client
}

/// Sends bytes and returns all that is received up to the end of the connection.
async fn exchange(sent: &str) -> (String, Vec<RequestFault>) {
    let log = Rc::default();
    let (_control, phases) = watch::channel(ConnectionPhase::Serving);
    let mut client = connect(phases, &log).await;
    client.write_all(sent.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    client.read_to_end(&mut received).await.unwrap();
    let faults = log.borrow().clone();
    (String::from_utf8(received).unwrap(), faults)
}

fn run<F: Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test)
}

/// Guards against a body of unknown length whose end is not marked, or is marked although it broke off.
#[test]
fn broken_body_never_looks_complete() {
    run(async {
        let get = |path: &str| format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n");
        let (text, _faults) = exchange(&(get("/streamed") + &get("/broken") + &get("/behind"))).await;
        assert_eq!(text.matches("8\r\nstreamed\r\n").count(), 2, "{text}");
        assert_eq!(text.matches("\r\n0\r\n\r\n").count(), 1, "{text}");
        assert!(!text.contains("/behind"), "{text}");
    });
}

/// Guards against a truncated response to an HTTP/1.0 caller that ends like a complete one. Such a caller knows no
/// chunks, so only a reset shows that the body is truncated.
#[test]
fn broken_body_resets_the_connection_of_an_old_caller() {
    run(async {
        let (text, _faults) = exchange("GET /streamed HTTP/1.0\r\n\r\n").await;
        assert!(text.ends_with("\r\n\r\nstreamed"), "{text}");
        let (_control, phases) = watch::channel(ConnectionPhase::Serving);
        let mut client = connect(phases, &Rc::default()).await;
        client.write_all(b"GET /broken HTTP/1.0\r\n\r\n").await.unwrap();
        let mut received = Vec::new();
        let error = client.read_to_end(&mut received).await.unwrap_err();
        assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    });
}

/// Guards against a response to `HEAD` that has a body, which would be read as the next response.
#[test]
fn response_to_head_has_no_body() {
    run(async {
        let sent = "HEAD /abc HTTP/1.1\r\nHost: h\r\n\r\nGET /d HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        let (text, _faults) = exchange(sent).await;
        assert!(!text.contains("\r\n\r\n/abc") && text.ends_with("\r\n\r\n/d"), "{text}");
    });
}

/// Guards against heads and bodies that a caller does not finish, and against idle connections that stay open.
#[test]
fn unfinished_requests_end_by_their_timeouts() {
    run(async {
        let (text, faults) = exchange("GET /abc HTTP/1.1\r\nHost").await;
        assert!(text.starts_with("HTTP/1.1 408 "), "{text}");
        assert_eq!(faults, [RequestFault::HeadTimeout]);
        let (text, faults) = exchange("POST /abc HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc").await;
        assert!(text.starts_with("HTTP/1.1 408 "), "{text}");
        assert_eq!(faults, [RequestFault::BodyTimeout]);
        let (text, faults) = exchange("").await;
        assert_eq!((text.as_str(), faults.len()), ("", 0));
    });
}

/// Guards against stalled output that is kept up to the idle timeout although its bytes are needed, and against output
/// that is read and closed as well.
#[test]
fn stalled_output_is_closed_when_it_is_needed() {
    run(async {
        let limits = ConnectionLimits {
            idle_timeout: Duration::from_mins(1),
            ..LIMITS
        };
        let account = AccountHandle::default();
        let (_control, phases) = watch::channel(ConnectionPhase::Serving);
        let mut clients = Vec::new();
        for _client in 0..2 {
            let mut client = connect_with(limits, &account, phases.clone(), &Rc::default()).await;
            client
                .write_all(b"GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
                .await
                .unwrap();
            clients.push(client);
        }
        let (mut reading, mut stalled) = (clients.remove(1), clients.remove(0));
        let (mut buffer, mut received) = (vec![0; 64 * 1024], 0);
        let began = Instant::now();
        while began.elapsed() < Duration::from_millis(1_500) {
            received += reading.read(&mut buffer).await.unwrap();
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        account.close_stalled();
        account.close_stalled();
        let end = tokio::time::timeout(Duration::from_secs(20), stalled.read_to_end(&mut Vec::new())).await;
        assert!(end.unwrap().is_err(), "reset");
        while received < 32 << 20 {
            let count = reading.read(&mut buffer).await.unwrap();
            assert_ne!(count, 0, "closed after {received} bytes");
            received += count;
        }
        assert_eq!(account.ask(ByteAccount::given_up), (0, 1));
    });
}

/// Guards against a response that is held in memory for a caller that never reads it.
#[test]
fn caller_that_does_not_read_is_disconnected() {
    run(async {
        let (_control, phases) = watch::channel(ConnectionPhase::Serving);
        let mut client = connect(phases, &Rc::default()).await;
        client
            .write_all(b"GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
            .await
            .unwrap();
        tokio::time::sleep(LIMITS.idle_timeout * 2).await;
        let mut received = Vec::new();
        let end = client.read_to_end(&mut received).await;
        assert!(end.is_err() || received.len() < 32 << 20, "{}", received.len());
    });
}

/// Guards against a stop that leaves idle connections open, or that drops a request which has already arrived.
#[test]
fn stop_closes_idle_connections_and_answers_arrived_requests() {
    run(async {
        let (control, phases) = watch::channel(ConnectionPhase::Serving);
        let mut idle = connect(phases.clone(), &Rc::default()).await;
        let mut used = connect(phases, &Rc::default()).await;
        tokio::task::yield_now().await;
        used.write_all(b"GET /abc HTTP/1.1\r\nHost: h\r\n\r\n").await.unwrap();
        control.send_replace(ConnectionPhase::Closed);
        let (began, mut received) = (Instant::now(), String::new());
        idle.read_to_string(&mut received).await.unwrap();
        assert_eq!(received, "");
        assert!(began.elapsed() < LIMITS.idle_timeout);
        used.read_to_string(&mut received).await.unwrap();
        assert!(
            received.contains("connection: close") && received.ends_with("/abc"),
            "{received}"
        );
    });
}

/// Guards against a request that is taken whenever its end arrives during a planned stop, and is cut by the end of the
/// process after it has been passed on.
#[test]
fn stop_refuses_requests_that_have_not_arrived_completely() {
    run(async {
        for sent in [
            "GET /abc HTTP/1.1\r\nHost",
            "POST /abc HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc",
        ] {
            let (control, phases) = watch::channel(ConnectionPhase::Serving);
            let log = Rc::default();
            let mut client = connect(phases, &log).await;
            client.write_all(sent.as_bytes()).await.unwrap();
            tokio::task::yield_now().await;
            control.send_replace(ConnectionPhase::Closed);
            let mut received = String::new();
            client.read_to_string(&mut received).await.unwrap();
            assert!(received.starts_with("HTTP/1.1 503 "), "{received}");
            assert!(received.contains("connection: close"), "{received}");
            assert_eq!(*log.borrow(), [RequestFault::Stopping]);
        }
    });
}
