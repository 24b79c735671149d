//! Construction of the response to a caller from the frames of a call.

use std::time;

use bytes::Bytes;
use damasktrack_entity::call_outcome;
use damasktrack_ownership::action_step;
use damasktrack_wire::call_frame;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::call::call_watch;
use crate::entry::entry_body;
use crate::transport::frame_sink;
use crate::transport::header_filter;

/// Result of a call, as a worker passes it to the listener.
#[derive(Debug)]
pub enum EntryResponse {
    /// Complete response.
    Complete {
        /// Status and headers.
        head: ResponseHead,
        /// Chunks of the body.
        body: Vec<Bytes>,
    },
    /// Response with a streamed body.
    Stream {
        /// Status and headers.
        head: ResponseHead,
        /// First chunks of the body.
        first: Vec<Bytes>,
        /// Further chunks.
        chunks: mpsc::Receiver<entry_body::BodyChunk>,
    },
    /// The call did not run.
    Refused {
        /// Id of the request.
        request_id: Bytes,
        /// Why the call did not run.
        reason: call_outcome::RefusalReason,
    },
    /// The outcome of the call is not known at the owner of the request.
    Unknown {
        /// Id of the request.
        request_id: Bytes,
        /// Why the outcome is unknown, or `None` if the ledger made no decision.
        reason: Option<action_step::UnknownReason>,
    },
    /// The call may have run and has no complete response.
    Incomplete {
        /// Id of the request.
        request_id: Bytes,
        /// `Failed` or `Unknown`.
        outcome: call_outcome::CallOutcome,
        /// Whether the deadline has passed.
        timed_out: bool,
    },
}

/// Status and headers of a response.
#[derive(Debug)]
pub struct ResponseHead {
    /// Id of the request.
    pub request_id: Bytes,
    /// HTTP status code.
    pub status: u16,
    /// Headers of the response that the caller gets.
    pub headers: Vec<call_frame::HeaderPair>,
}

/// Maximum size of a body that is buffered completely. It equals the capacity of the queue of a streamed body, so
/// buffering takes no more memory than streaming and saves a wake-up of the listener for each chunk.
const MAX_BUFFERED_BYTES: u64 = (call_frame::MAX_DATA_BYTES * entry_body::MAX_QUEUED_CHUNKS) as u64;

/// Builder of the response to a caller from frames. A response without a body, or with a declared length of at most
/// `MAX_BUFFERED_BYTES`, is buffered and passed to the listener as a complete one. The head of any other response is
/// passed on with the first chunk. A head is held back no longer than the interval of `Working` frames.
#[derive(Debug)]
pub struct EntryResponder {
    request_id: Bytes,
    deadline: time::Instant,
    response: Option<oneshot::Sender<EntryResponse>>,
    pending_head: Option<ResponseHead>,
    pending_since: time::Instant,
    body: Vec<Bytes>,
    /// Queue of the streamed body, from the first chunk to the end.
    chunks: Option<mpsc::Sender<entry_body::BodyChunk>>,
    /// Runtime that measures the time, and maximum wait for a free place in the queue.
    stall_timeout: Option<(tokio::runtime::Handle, time::Duration)>,
}

impl EntryResponder {
    /// Creates a responder for one request. An abort from `deadline` on counts as timed out.
    #[must_use]
    pub fn new(request_id: Bytes, deadline: time::Instant, response: oneshot::Sender<EntryResponse>) -> Self {
        Self {
            request_id,
            deadline,
            response: Some(response),
            pending_head: None,
            pending_since: time::Instant::now(),
            body: Vec::new(),
            chunks: None,
            stall_timeout: None,
        }
    }

    /// Sets the maximum time for which a caller may take no chunk of a streamed body. The runtime measures that time.
    pub fn set_stall_timeout(&mut self, runtime: tokio::runtime::Handle, timeout: time::Duration) {
        self.stall_timeout = Some((runtime, timeout));
    }

    /// Processes the next frame; returns whether the listener still accepts the response.
    pub fn push(&mut self, frame: call_frame::CallFrame) -> frame_sink::SinkStep {
        match frame {
            call_frame::CallFrame::Head { status, headers } => {
                self.pending_since = time::Instant::now();
                self.pending_head = Some(ResponseHead {
                    request_id: self.request_id.clone(),
                    status,
                    headers,
                });
                frame_sink::SinkStep::Continue
            }
            call_frame::CallFrame::Data(data) => self.push_data(data),
            call_frame::CallFrame::Working => {
                if self.pending_head.is_some() {
                    self.start_stream();
                }
                self.receiver_step()
            }
            call_frame::CallFrame::End { .. } => {
                self.end();
                frame_sink::SinkStep::Continue
            }
            call_frame::CallFrame::Refused { reason, .. } => {
                let request_id = self.request_id.clone();
                self.respond(EntryResponse::Refused { request_id, reason })
            }
            call_frame::CallFrame::Abort { outcome } => self.abort(outcome),
            call_frame::CallFrame::Call(_) => frame_sink::SinkStep::Stop,
        }
    }

    fn push_data(&mut self, data: Bytes) -> frame_sink::SinkStep {
        if let Some(head) = &self.pending_head {
            self.body.push(data);
            let length = header_filter::content_length(&head.headers);
            let short = length.is_some_and(|length| length <= MAX_BUFFERED_BYTES);
            if short && self.pending_since.elapsed() < call_watch::POLL_INTERVAL {
                return frame_sink::SinkStep::Continue;
            }
            return self.start_stream();
        }
        self.send_chunk(entry_body::BodyChunk::Data(data))
    }

    fn start_stream(&mut self) -> frame_sink::SinkStep {
        let Some(head) = self.pending_head.take() else {
            return frame_sink::SinkStep::Stop;
        };
        let (sender, chunks) = mpsc::channel(entry_body::MAX_QUEUED_CHUNKS);
        self.chunks = Some(sender);
        let first = std::mem::take(&mut self.body);
        self.respond(EntryResponse::Stream { head, first, chunks })
    }

    fn end(&mut self) {
        if let Some(head) = self.pending_head.take() {
            let body = std::mem::take(&mut self.body);
            self.respond(EntryResponse::Complete { head, body });
        } else {
            self.send_chunk(entry_body::BodyChunk::End);
            self.chunks = None;
        }
    }

    /// Ends a response that can't be completed. One whose head is still held back becomes an error response; a streamed
    /// one is truncated, which aborts the caller's connection.
    fn abort(&mut self, outcome: call_outcome::CallOutcome) -> frame_sink::SinkStep {
        if self.chunks.take().is_some() {
            return frame_sink::SinkStep::Stop;
        }
        self.pending_head = None;
        let request_id = self.request_id.clone();
        let timed_out = time::Instant::now() >= self.deadline;
        self.respond(EntryResponse::Incomplete {
            request_id,
            outcome,
            timed_out,
        })
    }

    fn respond(&mut self, response: EntryResponse) -> frame_sink::SinkStep {
        match self.response.take().map(|sender| sender.send(response)) {
            Some(Ok(())) => frame_sink::SinkStep::Continue,
            Some(Err(_)) | None => frame_sink::SinkStep::Stop,
        }
    }

    fn send_chunk(&mut self, chunk: entry_body::BodyChunk) -> frame_sink::SinkStep {
        let Some(chunks) = &self.chunks else {
            return frame_sink::SinkStep::Stop;
        };
        let chunk = match chunks.try_send(chunk) {
            Ok(()) => return frame_sink::SinkStep::Continue,
            Err(mpsc::error::TrySendError::Closed(_)) => return frame_sink::SinkStep::Stop,
            Err(mpsc::error::TrySendError::Full(chunk)) => chunk,
        };
        let sent = match &self.stall_timeout {
            Some((runtime, timeout)) => runtime.block_on(chunks.send_timeout(chunk, *timeout)).is_ok(),
            None => chunks.blocking_send(chunk).is_ok(),
        };
        if sent {
            frame_sink::SinkStep::Continue
        } else {
            self.chunks = None;
            frame_sink::SinkStep::Stop
        }
    }

    fn receiver_step(&self) -> frame_sink::SinkStep {
        let response_closed = self.response.as_ref().is_some_and(oneshot::Sender::is_closed);
        let chunks_closed = self.chunks.as_ref().is_some_and(mpsc::Sender::is_closed);
        if response_closed || chunks_closed {
            frame_sink::SinkStep::Stop
        } else {
            frame_sink::SinkStep::Continue
        }
    }
}

/// Returns the HTTP status code of a refusal.
#[must_use]
pub fn refusal_status(reason: call_outcome::RefusalReason) -> u16 {
    match reason {
        call_outcome::RefusalReason::TenantOverShare => 429,
        call_outcome::RefusalReason::BodyMismatch => 422,
        call_outcome::RefusalReason::NotDeclared => 404,
        call_outcome::RefusalReason::Overloaded
        | call_outcome::RefusalReason::CallsBelowFail
        | call_outcome::RefusalReason::QueueFull
        | call_outcome::RefusalReason::DeadlineTooShort
        | call_outcome::RefusalReason::Cancelled
        | call_outcome::RefusalReason::Leaving
        | call_outcome::RefusalReason::Starting
        | call_outcome::RefusalReason::BackendServerDown
        | call_outcome::RefusalReason::ShedByBackendServer
        | call_outcome::RefusalReason::NoCandidate
        | call_outcome::RefusalReason::StoreUnavailable
        | call_outcome::RefusalReason::AllowanceSpent
        | call_outcome::RefusalReason::TooDeep
        | call_outcome::RefusalReason::RateReached
        | call_outcome::RefusalReason::Quarantined => 503,
    }
}
