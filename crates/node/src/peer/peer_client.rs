//! HTTP client for calls and messages to other daemons.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use damasktrack_wire::call_frame;
use damasktrack_wire::codec;
use damasktrack_wire::frame_reader;

use crate::call::byte_count;
use crate::call::call_class;
use crate::call::call_watch;
use crate::transport::frame_sink;
use crate::transport::http_agent;

/// Maximum number of idle connections per peer and lane.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Time limit of a message and its reply.
const MESSAGE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// How a call to a peer ended at the transport.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerEnd {
    /// The stream ended with `End`, `Refused` or `Abort`.
    Ended,
    /// No byte of the request was sent.
    NotSent,
    /// The connection failed, the peer responded with another status than 200, or the stream of frames is truncated or
    /// can't be decoded.
    Failed,
    /// No byte arrived within the silence bound of the call.
    Silent,
    /// The deadline of the call passed.
    Deadline,
    /// The call was cancelled, or the receiver of the frames accepts no more of them.
    Cancelled,
}

/// Why a message received no usable reply.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error, derive_more::From)]
pub enum MessageError {
    /// The peer is unreachable or did not answer.
    #[display("peer did not answer: {_0}")]
    Transport(ureq::Error),
    /// The peer answered with a status other than 200.
    #[display("peer answered with status {status}")]
    #[from(skip)]
    Status {
        /// HTTP status of the reply.
        status: u16,
    },
    /// The message can't be encoded, or its reply can't be decoded.
    #[display("{_0}")]
    Codec(codec::CodecError),
}

/// HTTP clients by peer and lane. Each peer has its own pool, since the search of a pool is linear in its connections.
/// Long and short calls use separate connections, so that downloads can't occupy those of short calls.
#[derive(Debug)]
pub struct PeerClient {
    agents: sync::RwLock<collections::HashMap<(net::SocketAddr, call_class::CallLane), PeerAgent>>,
    /// Client for messages to random peers. It keeps no idle connections, since each occupies a thread at the peer.
    unpooled: ureq::Agent,
    config_bytes: sync::Arc<byte_count::ByteCount>,
}

/// Connection pool of one peer and lane.
#[derive(Debug)]
struct PeerAgent {
    agent: ureq::Agent,
    /// Whether the pool was used since the last [`PeerClient::drop_unused`].
    used: atomic::AtomicBool,
}

impl Default for PeerClient {
    fn default() -> Self {
        Self {
            agents: sync::RwLock::default(),
            unpooled: http_agent::new_peer_agent(0),
            config_bytes: sync::Arc::default(),
        }
    }
}

impl PeerClient {
    /// Sends a call and passes the frames of its response to `on_frame`.
    pub fn call(
        &self,
        address: net::SocketAddr,
        lane: call_class::CallLane,
        body: Vec<u8>,
        watch: call_watch::CallWatch,
        on_frame: &mut dyn FnMut(call_frame::CallFrame) -> frame_sink::SinkStep,
    ) -> PeerEnd {
        let agent = self.agent(address, lane);
        let (result, report) = call_watch::run(watch, || exchange(&agent, address, body, on_frame));
        match (result, report.stop) {
            (Ok(end), _) => end,
            (Err(_), Some(call_watch::WatchStop::Deadline)) => PeerEnd::Deadline,
            (Err(_), Some(call_watch::WatchStop::Silent)) => {
                self.drop_pools(address);
                PeerEnd::Silent
            }
            (Err(_), Some(call_watch::WatchStop::Cancelled)) => PeerEnd::Cancelled,
            (Err(_), None) if !report.sent => PeerEnd::NotSent,
            (Err(error), None) => {
                log::debug!(peer:% = address, error:% = error; "peer connection failed during a call");
                PeerEnd::Failed
            }
        }
    }

    /// Sends a message and decodes its reply.
    ///
    /// # Errors
    /// Returns an error if the message can't be encoded, the peer did not answer with status 200 within the timeout, or
    /// the reply is not of type `A`.
    pub fn message<Q: serde::Serialize, A: serde::de::DeserializeOwned>(
        &self,
        address: net::SocketAddr,
        path: &str,
        message: &Q,
    ) -> Result<A, MessageError> {
        let body = codec::encode(message)?;
        let sent = body.len();
        let reply = self.message_bytes(address, path, body)?;
        if matches!(path, "/peer/config" | "/peer/push") {
            self.config_bytes.add(sent, reply.len());
        }
        Ok(codec::decode(&reply)?)
    }

    /// Sends an encoded message and returns the body of the reply.
    ///
    /// # Errors
    /// Returns an error if the peer did not answer with status 200 within the timeout.
    pub fn message_bytes(&self, address: net::SocketAddr, path: &str, body: Vec<u8>) -> Result<Vec<u8>, MessageError> {
        let agent = if matches!(path, "/peer/grant" | "/peer/cancel") {
            self.agent(address, call_class::CallLane::Short)
        } else {
            self.unpooled.clone()
        };
        let watch = call_watch::CallWatch::for_message(MESSAGE_TIMEOUT);
        let (result, _report) = call_watch::run(watch, || {
            let request = post(address, path, body)?;
            let mut response = agent.run(request)?;
            let status = response.status().as_u16();
            if status != 200 {
                return Err(MessageError::Status { status });
            }
            let limit = codec::MAX_MESSAGE_BYTES as u64;
            Ok(response.body_mut().with_config().limit(limit).read_to_vec()?)
        });
        result
    }

    /// Returns the byte count of `/peer/config` and `/peer/push` messages.
    #[must_use]
    pub fn config_bytes(&self) -> &sync::Arc<byte_count::ByteCount> {
        &self.config_bytes
    }

    /// Drops the pools that were not used since the previous call. A pool closes its idle connections only when it is
    /// used, and each of them occupies a thread at the peer.
    pub fn drop_unused(&self) {
        let mut agents = self.agents.write().unwrap_or_else(sync::PoisonError::into_inner);
        agents.retain(|_key, peer| peer.used.swap(false, atomic::Ordering::Relaxed));
    }

    /// Drops the idle connections of a peer that became silent, so that the next call opens a new connection, which
    /// starts with a greeting.
    fn drop_pools(&self, address: net::SocketAddr) {
        let mut agents = self.agents.write().unwrap_or_else(sync::PoisonError::into_inner);
        agents.remove(&(address, call_class::CallLane::Short));
        agents.remove(&(address, call_class::CallLane::Long));
    }

    fn agent(&self, address: net::SocketAddr, lane: call_class::CallLane) -> ureq::Agent {
        let agents = self.agents.read().unwrap_or_else(sync::PoisonError::into_inner);
        if let Some(peer) = agents.get(&(address, lane)) {
            peer.used.store(true, atomic::Ordering::Relaxed);
            return peer.agent.clone();
        }
        drop(agents);
        let mut agents = self.agents.write().unwrap_or_else(sync::PoisonError::into_inner);
        let peer = agents.entry((address, lane)).or_insert_with(|| PeerAgent {
            agent: http_agent::new_peer_agent(MAX_IDLE_CONNECTIONS),
            used: atomic::AtomicBool::new(true),
        });
        peer.agent.clone()
    }
}

fn post(address: net::SocketAddr, path: &str, body: Vec<u8>) -> Result<ureq::http::Request<Vec<u8>>, ureq::Error> {
    let request = ureq::http::Request::post(format!("http://{address}{path}")).body(body);
    request.map_err(ureq::Error::Http)
}

fn exchange(
    agent: &ureq::Agent,
    address: net::SocketAddr,
    body: Vec<u8>,
    on_frame: &mut dyn FnMut(call_frame::CallFrame) -> frame_sink::SinkStep,
) -> Result<PeerEnd, ExchangeError> {
    let response = agent.run(post(address, "/peer/call", body)?)?;
    if response.status().as_u16() != 200 {
        return Ok(PeerEnd::Failed);
    }
    let mut frames = frame_reader::FrameReader::new(response.into_body().into_reader());
    loop {
        let Some(frame) = frames.next_frame()? else {
            return Ok(PeerEnd::Failed);
        };
        let last = matches!(
            frame,
            call_frame::CallFrame::End { .. }
                | call_frame::CallFrame::Refused { .. }
                | call_frame::CallFrame::Abort { .. }
        );
        if on_frame(frame) == frame_sink::SinkStep::Stop {
            return Ok(PeerEnd::Cancelled);
        }
        if last {
            // The connection returns to the pool only once the body has been read to its end. An error here does not
            // affect the call, which is complete.
            let _end = frames.next_frame();
            return Ok(PeerEnd::Ended);
        }
    }
}

#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error, derive_more::From)]
enum ExchangeError {
    #[display("{_0}")]
    Http(ureq::Error),
    #[display("{_0}")]
    Frame(frame_reader::FrameError),
    #[display("{_0}")]
    Stream(io::Error),
}
