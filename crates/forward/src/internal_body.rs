//! Bodies of requests to the internal listeners, counted in the account while they arrive.

use std::cell;
use std::pin;
use std::rc;
use std::task;

use damasktrack_pipeline::account_handle;
use damasktrack_pipeline::byte_account;
use damasktrack_pipeline::chunk_list;
use http_body_util::BodyExt;
use hyper::body;
use tokio::sync::Notify;

use crate::message_body;

/// Largest read buffer of a connection to an internal listener, in bytes. It is counted for each of these connections,
/// since hyper does not report its size. It has to hold a head of a caller with the headers that daemons add.
pub const READ_BUFFER_BYTES: usize = 32 * 1024;

/// Result of [`receive`].
#[derive(Debug)]
pub enum BodyResult {
    /// The body is complete.
    Complete(chunk_list::ChunkedBody),
    /// The body is too large, or its framing is malformed.
    Malformed,
    /// The process has no room for it. What had arrived was discarded.
    NoRoom,
}

/// Connection to an internal listener in the account.
#[derive(Debug)]
pub struct InternalHold {
    hold: account_handle::ConnectionHold,
    /// Whether a body is being received that may be refused.
    receiving: cell::Cell<bool>,
    refused: Notify,
    /// Last state that was reported to the account.
    reported: cell::Cell<Option<byte_account::HoldState>>,
}

impl InternalHold {
    /// Creates the state of a new connection.
    #[must_use]
    pub fn new(hold: account_handle::ConnectionHold) -> rc::Rc<Self> {
        let created = Self {
            hold,
            receiving: cell::Cell::new(false),
            refused: Notify::new(),
            reported: cell::Cell::new(None),
        };
        let _pace = created.report(byte_account::HoldStage::Incomplete, 0, 0);
        rc::Rc::new(created)
    }

    /// Waits until the connection has to be closed. Requests whose body is being received are refused without that, and
    /// one that began to be served after the selection is kept.
    pub async fn closed(&self) {
        loop {
            let demand = self.hold.given_up().await;
            let stage = self.reported.get().map(|state| state.stage);
            if stage == Some(byte_account::HoldStage::Serving) {
                self.hold.readmit();
            } else if demand == account_handle::HoldDemand::Close || !self.receiving.get() {
                return;
            } else {
                self.refused.notify_one();
            }
        }
    }

    /// States that a request has begun to arrive.
    pub fn begin(&self) {
        let _pace = self.report(byte_account::HoldStage::Incomplete, 0, 0);
    }

    fn report(&self, stage: byte_account::HoldStage, bytes: usize, received: usize) -> byte_account::ReadPace {
        let held = byte_account::HoldState {
            stage,
            bytes: READ_BUFFER_BYTES + bytes,
            progressed: received,
        };
        if self.reported.get() == Some(held) && received == 0 {
            return byte_account::ReadPace::Continue;
        }
        self.reported.set(Some(held));
        self.hold.update(held)
    }
}

/// Receives a body of at most `max_bytes`. The request counts as being served from its end on.
pub async fn receive(hold: &InternalHold, mut incoming: body::Incoming, max_bytes: usize) -> BodyResult {
    let mut list = chunk_list::ChunkList::default();
    hold.receiving.set(true);
    let refused = loop {
        let frame = tokio::select! {
            biased;
            () = hold.refused.notified() => break true,
            frame = incoming.frame() => frame,
        };
        let data = match frame {
            None => break false,
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(_truncated)) => return fail(hold),
        };
        if list.len() + data.len() > max_bytes {
            return fail(hold);
        }
        let received = data.len();
        list.push(data);
        if hold.report(byte_account::HoldStage::Incomplete, list.capacity(), received)
            == byte_account::ReadPace::NextTurn
        {
            tokio::task::yield_now().await;
        }
    };
    hold.receiving.set(false);
    if refused {
        let mut discarded = list.len();
        drop(list);
        hold.hold.readmit();
        let _pace = hold.report(byte_account::HoldStage::Incomplete, 0, 0);
        // An answer before the end of the body would close the connection, and the sender could lose it.
        while discarded <= max_bytes
            && let Some(Ok(frame)) = incoming.frame().await
        {
            discarded += frame.into_data().map_or(0, |data| data.len());
        }
        return BodyResult::NoRoom;
    }
    let forwarded = (!list.is_empty()).then(|| hold.hold.account().hold(list.capacity()));
    let _pace = hold.report(byte_account::HoldStage::Serving, 0, 0);
    BodyResult::Complete(list.finish(forwarded))
}

fn fail(hold: &InternalHold) -> BodyResult {
    hold.receiving.set(false);
    let _pace = hold.report(byte_account::HoldStage::Serving, 0, 0);
    BodyResult::Malformed
}

/// Body of a response on an internal connection, which counts as serving until the body is dropped.
#[derive(Debug)]
pub struct HeldReply {
    body: message_body::ReplyBody,
    hold: rc::Rc<InternalHold>,
}

impl HeldReply {
    /// Wraps the body of a response.
    #[must_use]
    pub fn new(body: message_body::ReplyBody, hold: rc::Rc<InternalHold>) -> Self {
        let _pace = hold.report(byte_account::HoldStage::Serving, 0, 0);
        Self { body, hold }
    }
}

impl Drop for HeldReply {
    fn drop(&mut self) {
        let _pace = self.hold.report(byte_account::HoldStage::Incomplete, 0, 0);
    }
}

impl body::Body for HeldReply {
    type Data = bytes::Bytes;
    type Error = message_body::BodyError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<bytes::Bytes>, Self::Error>>> {
        pin::Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.body.size_hint()
    }
}
