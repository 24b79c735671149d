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

/// Maximum number of chunks that are queued for a slow caller. With chunks of at most 64 KiB, this bounds the memory of
/// one response.
pub const MAX_QUEUED_CHUNKS: usize = 4;

/// Chunk of a streamed body, or its end.
#[derive(Debug)]
pub enum BodyChunk {
    /// Next bytes of the body.
    Data(Bytes),
    /// The body is complete. A stream that closes without this value is truncated.
    End,
}

/// The response is truncated; as a body error it makes hyper abort the caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
#[display("the response body is truncated")]
pub struct BodyTruncated;

/// Guard that cancels its call if it is dropped while armed. hyper drops it when a caller disconnects before the
/// response is complete.
#[derive(Debug)]
pub struct CallerGuard {
    shared: sync::Arc<node_shared::NodeShared>,
    call: ids::CallId,
    cancelled: call_watch::CancelFlag,
    armed: bool,
}

impl CallerGuard {
    /// Creates an armed guard.
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

    /// Disarms the guard, so that its drop cancels nothing.
    pub fn disarm(&mut self) {
        self.armed = false;
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if self.armed {
            self.cancelled.store(true, atomic::Ordering::Relaxed);
            self.shared
                .core
                .send(core_command::CoreCommand::CallerDisconnected(self.call));
        }
    }
}

/// Body that is complete from the start or streamed.
#[derive(Debug)]
pub struct EntryBody {
    first: collections::VecDeque<Bytes>,
    rest: Option<(mpsc::Receiver<BodyChunk>, CallerGuard)>,
}

impl EntryBody {
    /// Creates a complete body from its chunks.
    #[must_use]
    pub fn complete(chunks: Vec<Bytes>) -> Self {
        Self {
            first: chunks.into(),
            rest: None,
        }
    }

    /// Creates a streamed body that starts with the chunks of `first`. The guard cancels the call if the body is
    /// dropped before its end.
    #[must_use]
    pub fn stream(first: Vec<Bytes>, chunks: mpsc::Receiver<BodyChunk>, guard: CallerGuard) -> Self {
        Self {
            first: first.into(),
            rest: Some((chunks, guard)),
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
        let Some((chunks, guard)) = &mut self.rest else {
            return task::Poll::Ready(None);
        };
        match task::ready!(chunks.poll_recv(cx)) {
            Some(BodyChunk::Data(bytes)) => task::Poll::Ready(Some(Ok(hyper::body::Frame::data(bytes)))),
            Some(BodyChunk::End) => {
                guard.disarm();
                self.rest = None;
                task::Poll::Ready(None)
            }
            None => {
                // The call has ended already, so there is nothing to cancel.
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
        hyper::body::SizeHint::with_exact(self.first.iter().map(|chunk| chunk.len() as u64).sum())
    }
}
