//! Frames of a forwarded call and of its answer.

use bytes::Bytes;
use damasktrack_entity::call_context;
use damasktrack_entity::call_outcome;
use damasktrack_entity::ids;
use damasktrack_entity::request_identity;

use crate::codec;

/// Largest piece of a body in one frame, in bytes.
pub const MAX_DATA_BYTES: usize = 64 << 10;

/// HTTP header as name and value; names are lower case.
pub type HeaderPair = (Bytes, Bytes);

/// Part of the path that the receiver of a call plays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum CallStage {
    /// The receiver owns the request id, keeps its ledger and routes the call on.
    Owner,
    /// The receiver hands the call to its own backend server.
    Callee,
}

/// Start of a forwarded call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CallHead {
    /// Part that the receiver plays.
    pub stage: CallStage,
    /// Sender's daemon and incarnation, for cancellation and logs.
    pub sender: request_identity::RequestOwner,
    /// Id of the call at the sender; `/peer/cancel` names it.
    pub sender_call: ids::CallId,
    /// Context of the chain as the callee sees it.
    pub context: call_context::CallContext,
    /// Service that is called.
    pub service: ids::ServiceName,
    /// HTTP method.
    pub method: Bytes,
    /// Path and query as the backend server receives them.
    pub path: Bytes,
    /// Headers to pass on.
    pub headers: Vec<HeaderPair>,
}

/// Piece of a forwarded call or of its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum CallFrame {
    /// Start of a call; the first frame of a request.
    Call(Box<CallHead>),
    /// The call is queued or runs; sent at intervals so that silence can be told from slow work.
    Working,
    /// The call did not run; the only frame of its answer besides `Working`.
    Refused {
        /// Why.
        reason: call_outcome::RefusalReason,
        /// Level that the path admits for the class.
        report: Option<call_outcome::LevelReport>,
    },
    /// Status and headers of the answer.
    Head {
        /// HTTP status.
        status: u16,
        /// Headers to pass on.
        headers: Vec<HeaderPair>,
    },
    /// Piece of a body, at most [`MAX_DATA_BYTES`].
    Data(Bytes),
    /// The body is complete. A body without this frame is truncated, whatever the transport says.
    End {
        /// Level that the path admits for the class; absent on requests.
        report: Option<call_outcome::LevelReport>,
    },
    /// The body stays incomplete, or the call ran without an answer.
    Abort {
        /// `Failed` or `Unknown`.
        outcome: call_outcome::CallOutcome,
    },
}

/// Length of the prefix of a frame, in bytes.
const PREFIX_BYTES: usize = 4;

/// Appends a frame to a buffer: its length as four bytes, big endian, and its MessagePack form.
///
/// # Errors
/// Returns an error if the frame can't be encoded or is too large; the buffer then ends in a part of the frame.
pub fn encode_frame(frame: &CallFrame, buffer: &mut Vec<u8>) -> Result<(), codec::CodecError> {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; PREFIX_BYTES]);
    rmp_serde::encode::write_named(buffer, frame)?;
    let length = buffer.len() - start - PREFIX_BYTES;
    let prefix = u32::try_from(length).ok();
    let prefix = prefix.filter(|_prefix| length <= codec::MAX_MESSAGE_BYTES);
    let prefix = prefix.ok_or(codec::CodecError::TooLarge { length })?;
    buffer[start..start + PREFIX_BYTES].copy_from_slice(&prefix.to_be_bytes());
    Ok(())
}
