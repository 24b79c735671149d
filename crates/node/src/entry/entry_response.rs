//! Responses to callers, and the frames that they are made of.

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

/// Start of a response, as the worker hands it to the listener.
#[derive(Debug)]
pub enum EntryAnswer {
    /// The whole response.
    Whole {
        /// Status and headers.
        head: ResponseHead,
        /// Body.
        body: Vec<Bytes>,
    },
    /// A response whose body streams.
    Stream {
        /// Status and headers.
        head: ResponseHead,
        /// First pieces of the body.
        first: Vec<Bytes>,
        /// Further pieces.
        pieces: mpsc::Receiver<entry_body::BodyPiece>,
    },
    /// The call did not run.
    Refused {
        /// Id of the request.
        request_id: Bytes,
        /// Why.
        reason: call_outcome::RefusalReason,
    },
    /// The owner of the request can't tell what became of it.
    Unknown {
        /// Id of the request.
        request_id: Bytes,
        /// Why, if the ledger decided.
        reason: Option<action_step::UnknownReason>,
    },
    /// The call may have run and has no response.
    Lost {
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
    /// HTTP status.
    pub status: u16,
    /// Headers to pass on.
    pub headers: Vec<call_frame::HeaderPair>,
}

/// Longest body that is gathered. It equals what a stream may hold, so gathering takes no more memory, and it saves a
/// wake-up of the listener for each piece.
const MAX_GATHERED_BYTES: u64 = (call_frame::MAX_DATA_BYTES * entry_body::PIECES_IN_FLIGHT) as u64;

/// Builder of a response from frames. A short response is handed over whole; the head of any other is handed over with
/// its first piece. A head never waits longer than the interval of `Working` frames.
#[derive(Debug)]
pub struct EntryResponder {
    request_id: Bytes,
    deadline: time::Instant,
    answer: Option<oneshot::Sender<EntryAnswer>>,
    held: Option<ResponseHead>,
    held_since: time::Instant,
    body: Vec<Bytes>,
    pieces: Option<mpsc::Sender<entry_body::BodyPiece>>,
    stall_limit: Option<(tokio::runtime::Handle, time::Duration)>,
}

impl EntryResponder {
    /// Creates a responder for one request.
    #[must_use]
    pub fn new(request_id: Bytes, deadline: time::Instant, answer: oneshot::Sender<EntryAnswer>) -> Self {
        Self {
            request_id,
            deadline,
            answer: Some(answer),
            held: None,
            held_since: time::Instant::now(),
            body: Vec::new(),
            pieces: None,
            stall_limit: None,
        }
    }

    /// Bounds the time for which a caller may take no piece of a streamed body; the runtime keeps that time.
    pub fn limit_stalls(&mut self, runtime: tokio::runtime::Handle, timeout: time::Duration) {
        self.stall_limit = Some((runtime, timeout));
    }

    /// Takes a frame.
    pub fn push(&mut self, frame: call_frame::CallFrame) -> frame_sink::SinkStep {
        match frame {
            call_frame::CallFrame::Head { status, headers } => {
                self.held_since = time::Instant::now();
                self.held = Some(ResponseHead {
                    request_id: self.request_id.clone(),
                    status,
                    headers,
                });
                frame_sink::SinkStep::Continue
            }
            call_frame::CallFrame::Data(data) => self.push_data(data),
            call_frame::CallFrame::Working => {
                if self.held.is_some() {
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
                self.answer(EntryAnswer::Refused { request_id, reason })
            }
            call_frame::CallFrame::Abort { outcome } => self.abort(outcome),
            call_frame::CallFrame::Call(_) => frame_sink::SinkStep::Gone,
        }
    }

    fn push_data(&mut self, data: Bytes) -> frame_sink::SinkStep {
        if let Some(head) = &self.held {
            self.body.push(data);
            let length = header_filter::content_length(&head.headers);
            let short = length.is_some_and(|length| length <= MAX_GATHERED_BYTES);
            if short && self.held_since.elapsed() < call_watch::WAIT_SLICE {
                return frame_sink::SinkStep::Continue;
            }
            return self.start_stream();
        }
        self.send_piece(entry_body::BodyPiece::Data(data))
    }

    fn start_stream(&mut self) -> frame_sink::SinkStep {
        let Some(head) = self.held.take() else {
            return frame_sink::SinkStep::Gone;
        };
        let (sender, pieces) = mpsc::channel(entry_body::PIECES_IN_FLIGHT);
        self.pieces = Some(sender);
        let first = std::mem::take(&mut self.body);
        self.answer(EntryAnswer::Stream { head, first, pieces })
    }

    fn end(&mut self) {
        if let Some(head) = self.held.take() {
            let body = std::mem::take(&mut self.body);
            self.answer(EntryAnswer::Whole { head, body });
        } else {
            self.send_piece(entry_body::BodyPiece::End);
            self.pieces = None;
        }
    }

    /// A response whose head is still held becomes an error; one that streams is cut off, which aborts the caller's
    /// connection.
    fn abort(&mut self, outcome: call_outcome::CallOutcome) -> frame_sink::SinkStep {
        if self.pieces.take().is_some() {
            return frame_sink::SinkStep::Gone;
        }
        self.held = None;
        let request_id = self.request_id.clone();
        let timed_out = time::Instant::now() >= self.deadline;
        self.answer(EntryAnswer::Lost {
            request_id,
            outcome,
            timed_out,
        })
    }

    fn answer(&mut self, answer: EntryAnswer) -> frame_sink::SinkStep {
        match self.answer.take().map(|sender| sender.send(answer)) {
            Some(Ok(())) => frame_sink::SinkStep::Continue,
            Some(Err(_)) | None => frame_sink::SinkStep::Gone,
        }
    }

    fn send_piece(&mut self, piece: entry_body::BodyPiece) -> frame_sink::SinkStep {
        let Some(pieces) = &self.pieces else {
            return frame_sink::SinkStep::Gone;
        };
        let piece = match pieces.try_send(piece) {
            Ok(()) => return frame_sink::SinkStep::Continue,
            Err(mpsc::error::TrySendError::Closed(_)) => return frame_sink::SinkStep::Gone,
            Err(mpsc::error::TrySendError::Full(piece)) => piece,
        };
        let sent = match &self.stall_limit {
            Some((runtime, timeout)) => runtime.block_on(pieces.send_timeout(piece, *timeout)).is_ok(),
            None => pieces.blocking_send(piece).is_ok(),
        };
        if sent {
            frame_sink::SinkStep::Continue
        } else {
            self.pieces = None;
            frame_sink::SinkStep::Gone
        }
    }

    fn receiver_step(&self) -> frame_sink::SinkStep {
        let answer_gone = self.answer.as_ref().is_some_and(oneshot::Sender::is_closed);
        let pieces_gone = self.pieces.as_ref().is_some_and(mpsc::Sender::is_closed);
        if answer_gone || pieces_gone {
            frame_sink::SinkStep::Gone
        } else {
            frame_sink::SinkStep::Continue
        }
    }
}

/// Returns the HTTP status of a refusal.
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
        | call_outcome::RefusalReason::TooDeep => 503,
    }
}
