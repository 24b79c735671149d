//! HTTP server for other daemons.

use std::cell;
use std::io;
use std::net;
use std::rc;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use bytes::Bytes;
use bytes::BytesMut;
use damasktrack_entity::call_outcome;
use damasktrack_wire::call_frame;
use damasktrack_wire::codec;
use damasktrack_wire::frame_reader;
use damasktrack_wire::peer_message;

use crate::call::call_watch;
use crate::core::core_command;
use crate::core::request_owner;
use crate::members::config_sync;
use crate::members::member_jobs;
use crate::peer::config_message;
use crate::run::call_begin;
use crate::run::call_runner;
use crate::run::callee_runner;
use crate::shared::node_shared;
use crate::transport::frame_sink;
use crate::transport::frame_writer;
use crate::transport::http_listener;
use crate::transport::peer_connector;
use crate::transport::worker_pool;

/// Number of idle threads that are kept; further ones end after [`IDLE_TIMEOUT`].
const MIN_IDLE_THREADS: usize = 4;
/// Time without a request after which an idle thread beyond [`MIN_IDLE_THREADS`] ends.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Number of threads beyond `max_calls`, so that refusals and messages are answered while `max_calls` threads are busy.
const SPARE_THREADS: usize = 32;

/// HTTP server for peers; it serves requests from [`Self::start`] on.
#[derive(Debug)]
pub struct PeerServer {
    address: net::SocketAddr,
    server: sync::Arc<http_listener::HttpServer>,
}

#[derive(Debug, Default)]
struct ThreadCounts {
    /// All threads of the server, idle or busy.
    threads: atomic::AtomicUsize,
    /// Threads that wait for a request.
    idle: atomic::AtomicUsize,
}

impl PeerServer {
    /// Opens the listener. Connections wait until [`Self::start`] to be served.
    ///
    /// # Errors
    /// Returns an error if the address can't be listened on.
    pub fn bind(address: net::SocketAddr, stall_timeout: time::Duration) -> io::Result<Self> {
        let (server, address) = http_listener::bind(address, stall_timeout)?;
        Ok(Self {
            address,
            server: sync::Arc::new(server),
        })
    }

    /// Returns the address of the listener, with the port that the system chose if the given one was 0.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Starts the threads that serve requests.
    pub fn start(&self, shared: &sync::Arc<node_shared::NodeShared>) {
        let counts = sync::Arc::new(ThreadCounts::default());
        for _ in 0..MIN_IDLE_THREADS {
            start_thread(&self.server, shared, &counts);
        }
    }
}

fn start_thread(
    server: &sync::Arc<http_listener::HttpServer>,
    shared: &sync::Arc<node_shared::NodeShared>,
    counts: &sync::Arc<ThreadCounts>,
) {
    let server = sync::Arc::clone(server);
    let shared = sync::Arc::clone(shared);
    let counts = sync::Arc::clone(counts);
    counts.threads.fetch_add(1, atomic::Ordering::Relaxed);
    counts.idle.fetch_add(1, atomic::Ordering::Relaxed);
    let thread_counts = sync::Arc::clone(&counts);
    let started = thread::Builder::new()
        .name("peer".to_owned())
        .stack_size(worker_pool::WORKER_STACK_BYTES)
        .spawn(move || serve(&server, &shared, &thread_counts));
    if let Err(error) = started {
        log::error!(error:% = error; "peer thread can't be started");
        counts.threads.fetch_sub(1, atomic::Ordering::Relaxed);
        counts.idle.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

/// Serves requests until this thread is no longer needed. `counts` must include the calling thread as idle.
fn serve(
    server: &sync::Arc<http_listener::HttpServer>,
    shared: &sync::Arc<node_shared::NodeShared>,
    counts: &sync::Arc<ThreadCounts>,
) {
    let max_threads = shared.settings.max_calls + SPARE_THREADS;
    loop {
        let received = server.receive(IDLE_TIMEOUT);
        let idle = counts.idle.fetch_sub(1, atomic::Ordering::Relaxed) - 1;
        match received {
            http_listener::Received::Request(request) => {
                if idle == 0 && counts.threads.load(atomic::Ordering::Relaxed) < max_threads {
                    start_thread(server, shared, counts);
                }
                answer(shared, *request);
            }
            http_listener::Received::TimedOut if idle >= MIN_IDLE_THREADS => break,
            http_listener::Received::TimedOut => {}
            http_listener::Received::Failed => break,
        }
        counts.idle.fetch_add(1, atomic::Ordering::Relaxed);
    }
    counts.threads.fetch_sub(1, atomic::Ordering::Relaxed);
}

fn answer(shared: &sync::Arc<node_shared::NodeShared>, request: tiny_http::Request) {
    let (_count, in_progress) = RequestCount::begin(&shared.peer_requests);
    let over_limit = in_progress >= shared.settings.max_calls;
    match request.url() {
        peer_connector::GREETING_PATH => http_listener::respond_empty(request),
        "/peer/call" => answer_call(shared, request, over_limit),
        "/peer/cancel" => answer_message(request, |message: peer_message::CancelRequest| {
            shared.core.send(core_command::CoreCommand::CancelFromPeer(message));
            Some(())
        }),
        "/peer/grant" => answer_message(request, |message: peer_message::GrantRequest| {
            shared
                .core
                .ask(|reply| core_command::CoreCommand::Grant(message, reply))
        }),
        "/peer/config" => answer_config_message(request, shared, |message: peer_message::ConfigRequest| {
            config_sync::answer_request(shared, &message)
        }),
        "/peer/push" => answer_config_message(request, shared, |message: config_message::PushRequest| {
            config_sync::apply_push(shared, message)
        }),
        "/peer/members" => answer_bytes(request, |message| member_jobs::answer(shared, message)),
        _ => http_listener::respond_text(request, 404, "no such path\n"),
    }
}

/// Guard that counts a request until its response is written, also if its thread panics.
struct RequestCount<'a>(&'a atomic::AtomicUsize);

impl<'a> RequestCount<'a> {
    /// Counts a request; returns its guard and the number of other requests in progress.
    fn begin(counter: &'a atomic::AtomicUsize) -> (Self, usize) {
        let others = counter.fetch_add(1, atomic::Ordering::Relaxed);
        (Self(counter), others)
    }
}

impl Drop for RequestCount<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

fn answer_message<Q: serde::de::DeserializeOwned, A: serde::Serialize>(
    request: tiny_http::Request,
    handle: impl FnOnce(Q) -> Option<A>,
) {
    answer_bytes(request, |bytes| decode_and_handle(bytes, handle));
}

/// As [`answer_message`], and counts the bytes as traffic of the configuration.
fn answer_config_message<Q: serde::de::DeserializeOwned, A: serde::Serialize>(
    request: tiny_http::Request,
    shared: &node_shared::NodeShared,
    handle: impl FnOnce(Q) -> Option<A>,
) {
    answer_bytes(request, |bytes| {
        let reply = decode_and_handle(bytes, handle);
        let sent = reply.as_ref().map_or(0, Vec::len);
        shared.traffic.configuration.add(sent, bytes.len());
        reply
    });
}

fn decode_and_handle<Q: serde::de::DeserializeOwned, A: serde::Serialize>(
    bytes: &[u8],
    handle: impl FnOnce(Q) -> Option<A>,
) -> Option<Vec<u8>> {
    let message = codec::decode::<Q>(bytes).ok()?;
    codec::encode(&handle(message)?).ok()
}

/// Answers a message with the bytes that `handle` returns, with status 503 if it returns none, or with status 400 if
/// the message can't be received.
fn answer_bytes(mut request: tiny_http::Request, handle: impl FnOnce(&[u8]) -> Option<Vec<u8>>) {
    let mut bytes = Vec::new();
    let mut limited = io::Read::take(request.as_reader(), codec::MAX_MESSAGE_BYTES as u64);
    if io::Read::read_to_end(&mut limited, &mut bytes).is_err() {
        http_listener::respond_text(request, 400, "message can't be read\n");
        return;
    }
    match handle(&bytes) {
        Some(bytes) => http_listener::respond_bytes(request, bytes),
        None => http_listener::respond_text(request, 503, "message can't be read, or the daemon is stopping\n"),
    }
}

fn answer_call(shared: &sync::Arc<node_shared::NodeShared>, mut request: tiny_http::Request, over_limit: bool) {
    let call = match read_call(&mut request, shared.settings.max_body_bytes) {
        Ok(call) => call,
        Err(error) => {
            log::warn!(error:% = error; "call of a peer can't be read");
            http_listener::respond_text(request, 400, "call can't be read\n");
            return;
        }
    };
    let mut writer = frame_writer::FrameWriter::new(request.into_writer());
    if over_limit {
        writer.push(&match call.head.stage {
            call_frame::CallStage::Callee => call_frame::CallFrame::Refused {
                reason: call_outcome::RefusalReason::QueueFull,
                report: None,
            },
            // The ledger was not consulted, and an earlier call with the same request id may have run.
            call_frame::CallStage::Owner => call_frame::CallFrame::Abort {
                outcome: call_outcome::CallOutcome::Unknown,
            },
        });
        return;
    }
    let sink: frame_sink::FrameSink = rc::Rc::new(cell::RefCell::new(move |frame| writer.push(&frame)));
    match call.head.stage {
        call_frame::CallStage::Callee => callee_runner::run(shared, &work_request(call), &sink),
        call_frame::CallStage::Owner => run_as_owner(shared, call, &sink),
    }
}

/// Call that was read from a peer.
struct PeerCall {
    head: call_frame::CallHead,
    body: Bytes,
}

#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error, derive_more::From)]
enum PeerCallError {
    #[display("{_0}")]
    Frame(frame_reader::FrameError),
    #[display("the body exceeds {max} bytes")]
    #[from(skip)]
    TooLarge { max: usize },
    #[display("the stream of frames is truncated or out of order")]
    #[from(skip)]
    OutOfOrder,
}

fn read_call(request: &mut tiny_http::Request, max_body_bytes: usize) -> Result<PeerCall, PeerCallError> {
    let mut frames = frame_reader::FrameReader::new(io::BufReader::new(request.as_reader()));
    let Some(call_frame::CallFrame::Call(head)) = frames.next_frame()? else {
        return Err(PeerCallError::OutOfOrder);
    };
    let mut body = BytesMut::new();
    loop {
        match frames.next_frame()? {
            Some(call_frame::CallFrame::Data(data)) => {
                if body.len() + data.len() > max_body_bytes {
                    return Err(PeerCallError::TooLarge { max: max_body_bytes });
                }
                body.extend_from_slice(&data);
            }
            Some(call_frame::CallFrame::End { .. }) => break,
            _ => return Err(PeerCallError::OutOfOrder),
        }
    }
    Ok(PeerCall {
        head: *head,
        body: body.freeze(),
    })
}

fn work_request(call: PeerCall) -> callee_runner::WorkRequest {
    callee_runner::WorkRequest {
        sender: (call.head.sender, call.head.sender_call),
        context: call.head.context,
        service: call.head.service,
        method: call.head.method,
        path: call.head.path,
        headers: call.head.headers,
        body: call.body,
    }
}

fn run_as_owner(shared: &sync::Arc<node_shared::NodeShared>, call: PeerCall, sink: &frame_sink::FrameSink) {
    let cancelled = call_watch::CancelFlag::default();
    let start = core_command::CallStart {
        call: shared.next_call(),
        origin: core_command::CallOrigin::Peer {
            context: call.head.context,
            sender: (call.head.sender, call.head.sender_call),
        },
        service: call.head.service.clone(),
        method: call.head.method.clone(),
        path: call.head.path.clone(),
        body_digest: request_owner::body_digest(&call.body),
        cancelled: sync::Arc::clone(&cancelled),
    };
    let wait_sink = rc::Rc::clone(sink);
    let decision = call_begin::begin(shared, start, &mut || {
        frame_sink::send(&wait_sink, call_frame::CallFrame::Working)
    });
    let request = call_runner::OutgoingRequest {
        service: call.head.service,
        method: call.head.method,
        path: call.head.path,
        headers: call.head.headers,
        body: call.body,
    };
    match decision {
        Some(core_command::CallDecision::Run(plan)) => {
            call_runner::run(shared, *plan, &request, &cancelled, sink);
        }
        Some(core_command::CallDecision::Refuse { reason, .. }) => {
            frame_sink::send(sink, call_frame::CallFrame::Refused { reason, report: None });
        }
        Some(core_command::CallDecision::Answer { answer, .. }) => call_begin::send_answer(*answer, sink),
        // Without a decision of the ledger, an earlier call with the same request id may have run.
        Some(core_command::CallDecision::Unknown { .. } | core_command::CallDecision::RequestGrant(..)) | None => {
            frame_sink::send(
                sink,
                call_frame::CallFrame::Abort {
                    outcome: call_outcome::CallOutcome::Unknown,
                },
            );
        }
    }
}
