//! Body of a response to a caller.

use std::collections;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;

use bytes::Bytes;
use damasktrack_entity::ids;
use tokio::sync::mpsc;

use crate::call::call_watch;
use crate::core::core_command;
use crate::shared::node_shared;

/// Frames that wait for a slow caller; with frames of 64 KiB this bounds the memory of one response.
pub const PIECES_IN_FLIGHT: usize = 4;

/// Piece of a streamed body.
#[derive(Debug)]
pub enum BodyPiece {
    /// Bytes.
    Data(Bytes),
    /// The body is complete. A stream that closes without it is truncated.
    End,
}

/// The response broke off; the caller's connection is aborted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
#[display("the response broke off")]
pub struct BodyTruncated;

/// Cancels its call when it is dropped before the response is complete, as hyper does when a caller disconnects.
#[derive(Debug)]
pub struct CallerGuard {
    shared: sync::Arc<node_shared::NodeShared>,
    call: ids::CallId,
    cancelled: call_watch::CancelFlag,
    armed: bool,
}

impl CallerGuard {
    /// Arms a guard.
    #[must_use]
    pub fn new(
        shared: sync::Arc<node_shared::NodeShared>,
        call: ids::CallId,
        cancelled: call_watch::CancelFlag,
    ) -> Self {
        Self {
            shared,
            call,
            cancelled,
            armed: true,
        }
    }

    /// The response is complete.
    pub fn disarm(&mut self) {
        self.armed = false;
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if self.armed {
            self.cancelled.store(true, atomic::Ordering::Relaxed);
            self.shared.core.send(core_command::CoreCommand::CallerGone(self.call));
        }
    }
}

/// Body that is whole or streamed.
#[derive(Debug)]
pub struct EntryBody {
    first: collections::VecDeque<Bytes>,
    rest: Option<(mpsc::Receiver<BodyPiece>, CallerGuard)>,
}

impl EntryBody {
    /// Body that is known whole.
    #[must_use]
    pub fn whole(pieces: Vec<Bytes>) -> Self {
        Self {
            first: pieces.into(),
            rest: None,
        }
    }

    /// Body that streams.
    #[must_use]
    pub fn stream(first: Vec<Bytes>, pieces: mpsc::Receiver<BodyPiece>, guard: CallerGuard) -> Self {
        Self {
            first: first.into(),
            rest: Some((pieces, guard)),
        }
    }
}

impl hyper::body::Body for EntryBody {
    type Data = Bytes;
    type Error = BodyTruncated;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<hyper::body::Frame<Bytes>, BodyTruncated>>> {
        if let Some(bytes) = self.first.pop_front() {
            return task::Poll::Ready(Some(Ok(hyper::body::Frame::data(bytes))));
        }
        let Some((pieces, guard)) = &mut self.rest else {
            return task::Poll::Ready(None);
        };
        match task::ready!(pieces.poll_recv(cx)) {
            Some(BodyPiece::Data(bytes)) => task::Poll::Ready(Some(Ok(hyper::body::Frame::data(bytes)))),
            Some(BodyPiece::End) => {
                guard.disarm();
                self.rest = None;
                task::Poll::Ready(None)
            }
            None => {
                // The call has ended by itself, so there is nothing to cancel.
                guard.disarm();
                task::Poll::Ready(Some(Err(BodyTruncated)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_empty() && self.rest.is_none()
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        if self.rest.is_some() {
            return hyper::body::SizeHint::default();
        }
        hyper::body::SizeHint::with_exact(self.first.iter().map(|piece| piece.len() as u64).sum())
    }
}
