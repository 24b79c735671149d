//! Pool of persistent HTTP/1.1 connections to one address.
//!
//! A failed request is classified by whether it may have reached the server, since only a request that did not reach it
//! may be reported as refused.

use std::cell;
use std::io;
use std::net;
use std::rc;
use std::time;

use damasktrack_pipeline::chunk_list;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::sync::Notify;
use tokio::task;

use crate::bounded_stream;
use crate::link_budget;

/// Time after which unacknowledged data closes a connection (`TCP_USER_TIMEOUT`). A peer may become unreachable without
/// a reset. The longest round trip between regions is 60 ms. The kernel applies it to a peer that is alive and has closed
/// its window as well, so [`UNREAD_TIMEOUT`] holds for requests that may fill the window.
const UNACKED_TIMEOUT: time::Duration = time::Duration::from_millis(1500);
/// As [`UNACKED_TIMEOUT`], for accepted connections and large requests. A peer that takes no byte for longer has lost
/// the rest.
const UNREAD_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Largest body, in bytes, that fits with its head into the receive buffer of any peer, so that the peer's window stays
/// open although it reads nothing.
const WINDOW_BODY_BYTES: u64 = 16 * 1024;
/// Idle time before the first TCP keepalive probe, and time between probes; the minimum that the socket options allow.
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// Longest wait until a reused connection is ready for a request, after its last response.
const READY_TIMEOUT: time::Duration = time::Duration::from_millis(20);

/// Body of a request on a link.
pub type LinkBody = chunk_list::ChunkedBody;

/// Limits of the connections to one address.
#[derive(Clone, Copy, Debug)]
pub struct LinkPolicy {
    /// Longest wait for a new connection.
    pub connect_timeout: time::Duration,
    /// Idle time after which a connection is not reused.
    pub idle_limit: time::Duration,
}

/// Why a request has no response.
#[derive(Debug)]
#[derive(derive_more::Display)]
pub enum LinkError {
    /// The request was not sent, since the receiver can't be reached.
    #[display("not sent: {_0}")]
    NotSent(String),
    /// The request was not sent, since the process may not open another connection.
    #[display("not sent: bound of outgoing connections")]
    NoSlot,
    /// The request was sent, completely or in part.
    #[display("no response: {_0}")]
    NoResponse(String),
}

/// Why a connection can't be opened.
#[derive(Debug)]
#[derive(derive_more::Display)]
enum ConnectError {
    /// Nothing listens at the address.
    #[display("{_0}")]
    Refused(io::Error),
    /// Any other reason.
    #[display("{_0}")]
    Failed(String),
}

/// Whether an address accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// It does. The connection is idle in the pool.
    Accepted,
    /// Nothing listens there.
    Refused,
    /// No answer, or the process may not open another connection.
    Unknown,
}

/// Task that drives a connection. Dropping it aborts the task, which closes the connection.
#[derive(Debug)]
struct ConnectionTask(task::JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[derive(Debug)]
struct OpenLink {
    sender: http1::SendRequest<LinkBody>,
    meter: rc::Rc<bounded_stream::InputMeter>,
    _task: ConnectionTask,
    /// Limit of unacknowledged data in force.
    write_limit: time::Duration,
    idle_since: time::Instant,
    /// Idle time after which this connection is not reused: the limit of the pool, or a shorter one from the server's
    /// `Keep-Alive` header.
    idle_limit: time::Duration,
}

impl OpenLink {
    /// Prepares the connection for a request that is sent next.
    fn prepare(&mut self, request: &hyper::Request<LinkBody>) {
        self.meter.expect_head();
        let is_small = request
            .body()
            .size_hint()
            .upper()
            .is_some_and(|bytes| bytes <= WINDOW_BODY_BYTES);
        let limit = if is_small { UNACKED_TIMEOUT } else { UNREAD_TIMEOUT };
        if limit != self.write_limit {
            self.write_limit = limit;
            self.meter.set_write_limit(limit);
        }
    }
}

/// Pool of connections to one address.
#[derive(Debug)]
pub struct LinkPool {
    address: net::SocketAddr,
    policy: LinkPolicy,
    budget: rc::Rc<link_budget::LinkBudget>,
    /// In the order in which they became idle.
    idle: cell::RefCell<Vec<OpenLink>>,
    opened: cell::Cell<u64>,
    /// Calls that wait for a connection to this address.
    pub(crate) waiting: cell::Cell<usize>,
    /// Wakes one of them when a connection became idle.
    pub(crate) returned: Notify,
}

/// Connection leased to one request. Dropping the lease closes the connection, which cancels the request.
#[derive(Debug)]
pub struct LinkLease {
    link: OpenLink,
    pool: rc::Rc<LinkPool>,
    origin: LinkOrigin,
}

/// What a connection served before a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkOrigin {
    /// Nothing.
    Opened,
    /// Other requests. Bytes that belong to them may still arrive.
    Kept,
}

impl LinkLease {
    /// Returns what the connection served before.
    #[must_use]
    pub fn origin(&self) -> LinkOrigin {
        self.origin
    }

    /// Returns the connection to the pool, or closes it for a call that waits for one to another address. The caller
    /// must have read the response to its end.
    ///
    /// `idle_limit` is the time for which the server keeps an idle connection open, if known. The limit of the pool is
    /// the upper bound.
    pub fn release(mut self, idle_limit: Option<time::Duration>, now: time::Instant) {
        self.link.idle_since = now;
        self.link.idle_limit = idle_limit
            .unwrap_or(self.pool.policy.idle_limit)
            .min(self.pool.policy.idle_limit);
        let pool = rc::Rc::clone(&self.pool);
        if pool.waiting.get() > 0 {
            pool.idle.borrow_mut().push(self.link);
            pool.returned.notify_one();
        } else if !pool.budget.has_waiting() {
            pool.idle.borrow_mut().push(self.link);
        }
    }
}

impl LinkPool {
    /// Creates an empty pool, whose connections count in `budget`.
    #[must_use]
    pub fn new(address: net::SocketAddr, policy: LinkPolicy, budget: &rc::Rc<link_budget::LinkBudget>) -> rc::Rc<Self> {
        let pool = rc::Rc::new(Self {
            address,
            policy,
            budget: rc::Rc::clone(budget),
            idle: cell::RefCell::default(),
            opened: cell::Cell::new(0),
            waiting: cell::Cell::new(0),
            returned: Notify::new(),
        });
        budget.add(&pool);
        pool
    }

    /// Sends a request on a connection that has been idle for at most `max_idle`, or on a new one.
    ///
    /// # Errors
    /// Returns an error that states whether the request may have reached the server.
    pub async fn send(
        self: &rc::Rc<Self>,
        request: hyper::Request<LinkBody>,
        max_idle: time::Duration,
    ) -> Result<(hyper::Response<Incoming>, LinkLease), LinkError> {
        let mut request = request;
        let slot = loop {
            while let Some(mut link) = self.take_idle(max_idle) {
                let ready = tokio::time::timeout(READY_TIMEOUT, link.sender.ready()).await;
                if !matches!(ready, Ok(Ok(()))) {
                    continue;
                }
                link.prepare(&request);
                match link.sender.try_send_request(request).await {
                    Ok(response) => return Ok((response, self.lease(link, LinkOrigin::Kept))),
                    Err(mut error) => match error.take_message() {
                        Some(unsent) => request = unsent,
                        None => return Err(LinkError::NoResponse(error.into_error().to_string())),
                    },
                }
            }
            match self.budget.acquire(self).await {
                link_budget::SlotResult::Slot(slot) => break slot,
                link_budget::SlotResult::IdleLink => {}
                link_budget::SlotResult::Refused => return Err(LinkError::NoSlot),
            }
        };
        let connected = self.connect(slot).await;
        let mut link = connected.map_err(|error| LinkError::NotSent(error.to_string()))?;
        link.prepare(&request);
        match link.sender.try_send_request(request).await {
            Ok(response) => Ok((response, self.lease(link, LinkOrigin::Opened))),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let text = error.into_error().to_string();
                Err(if unsent {
                    LinkError::NotSent(text)
                } else {
                    LinkError::NoResponse(text)
                })
            }
        }
    }

    /// Opens a connection that later requests use.
    pub async fn probe(self: &rc::Rc<Self>) -> ProbeResult {
        let link_budget::SlotResult::Slot(slot) = self.budget.acquire(self).await else {
            return ProbeResult::Unknown;
        };
        match self.connect(slot).await {
            Ok(link) => {
                self.idle.borrow_mut().push(link);
                self.returned.notify_one();
                ProbeResult::Accepted
            }
            Err(ConnectError::Refused(_error)) => ProbeResult::Refused,
            Err(ConnectError::Failed(_error)) => ProbeResult::Unknown,
        }
    }

    /// Closes connections that have been idle for longer than their limit.
    pub fn close_idle(&self, now: time::Instant) {
        self.idle.borrow_mut().retain(|link| {
            !link.sender.is_closed() && now.saturating_duration_since(link.idle_since) < link.idle_limit
        });
    }

    /// Closes all idle connections.
    pub fn close_all_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes the connection that has been idle for longest.
    pub(crate) fn close_oldest(&self) {
        let mut idle = self.idle.borrow_mut();
        if !idle.is_empty() {
            idle.remove(0);
        }
    }

    fn take_idle(&self, max_idle: time::Duration) -> Option<OpenLink> {
        let now = time::Instant::now();
        let mut idle = self.idle.borrow_mut();
        while let Some(link) = idle.pop() {
            let age = now.saturating_duration_since(link.idle_since);
            if !link.sender.is_closed() && age < link.idle_limit && age <= max_idle {
                return Some(link);
            }
        }
        None
    }

    fn lease(self: &rc::Rc<Self>, link: OpenLink, origin: LinkOrigin) -> LinkLease {
        link.meter.finish_head();
        LinkLease {
            link,
            pool: rc::Rc::clone(self),
            origin,
        }
    }

    async fn connect(&self, slot: link_budget::LinkSlot) -> Result<OpenLink, ConnectError> {
        let connect = tokio::time::timeout(
            self.policy.connect_timeout,
            tokio::net::TcpStream::connect(self.address),
        );
        let stream = match connect.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return Err(ConnectError::Refused(error));
            }
            Ok(Err(error)) => return Err(ConnectError::Failed(error.to_string())),
            Err(_elapsed) => return Err(ConnectError::Failed("connect timeout".to_owned())),
        };
        self.opened.set(self.opened.get() + 1);
        set_client_options(&stream);
        let meter = rc::Rc::new(bounded_stream::InputMeter::default());
        let stream = bounded_stream::BoundedStream::new(stream, rc::Rc::clone(&meter));
        let (sender, connection) = http1::Builder::new()
            .handshake::<_, LinkBody>(TokioIo::new(stream))
            .await
            .map_err(|error| ConnectError::Failed(error.to_string()))?;
        let task = task::spawn_local(async move {
            // Dropped after the connection.
            let _slot = slot;
            if let Err(error) = connection.await {
                log::debug!(error:% = error; "connection ended");
            }
        });
        Ok(OpenLink {
            sender,
            meter,
            _task: ConnectionTask(task),
            write_limit: UNACKED_TIMEOUT,
            idle_since: time::Instant::now(),
            idle_limit: self.policy.idle_limit,
        })
    }
}

/// Queries.
impl LinkPool {
    /// Returns the address that the connections are opened to.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns whether an idle connection is open.
    #[must_use]
    pub fn has_open_idle(&self) -> bool {
        self.idle.borrow().iter().any(|link| !link.sender.is_closed())
    }

    /// Returns since when the connection that has been idle for longest is idle; `None` if none is.
    pub(crate) fn oldest_idle(&self) -> Option<time::Instant> {
        self.idle.borrow().first().map(|link| link.idle_since)
    }

    /// Returns the number of TCP connections opened since the pool was created.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }
}

/// Builds a request from its parts.
#[must_use]
pub fn request_of(
    method: hyper::Method,
    uri: hyper::Uri,
    headers: hyper::header::HeaderMap,
    body: impl Into<LinkBody>,
) -> hyper::Request<LinkBody> {
    let mut request = hyper::Request::new(body.into());
    *request.method_mut() = method;
    *request.uri_mut() = uri;
    *request.headers_mut() = headers;
    request
}

/// Sets the options of a connection to a server: no delay, and an end if the server no longer responds.
fn set_client_options(stream: &tokio::net::TcpStream) {
    set_common_options(stream);
    set_unacked_timeout(stream, UNACKED_TIMEOUT);
}

/// Sets the options of an accepted connection. The kernel applies the time limit of unacknowledged data to a peer that
/// is alive and does not read for a while as well, and callers may read slowly.
pub fn set_server_options(stream: &tokio::net::TcpStream) {
    set_common_options(stream);
    set_unacked_timeout(stream, UNREAD_TIMEOUT);
}

fn set_common_options(stream: &tokio::net::TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let options = [socket.set_tcp_nodelay(true), socket.set_tcp_keepalive(&keepalive)];
    for error in options.into_iter().filter_map(Result::err) {
        log_option_error(&error);
    }
}

fn set_unacked_timeout(stream: &tokio::net::TcpStream, timeout: time::Duration) {
    if let Err(error) = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(timeout)) {
        log_option_error(&error);
    }
}

fn log_option_error(error: &std::io::Error) {
    log::warn!(error:% = error; "socket option can't be set");
}
