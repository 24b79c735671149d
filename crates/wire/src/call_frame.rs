//! Frames of a forwarded call and of its response.

use bytes::Bytes;
use damasktrack_entity::call_context;
use damasktrack_entity::call_outcome;
use damasktrack_entity::ids;
use damasktrack_entity::request_identity;

use crate::codec;

/// Maximum size of the body chunk in one frame, in bytes.
pub const MAX_DATA_BYTES: usize = 64 << 10;

/// Name and value of an HTTP header; names are in lower case.
pub type HeaderPair = (Bytes, Bytes);

/// Role of the receiver of a forwarded call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum CallStage {
    /// The receiver owns the request id: it records the call in its ledger and routes it.
    Owner,
    /// The receiver sends the call to its own backend server.
    Callee,
}

/// Properties of a forwarded call, sent before its body.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CallHead {
    /// Role of the receiver.
    pub stage: CallStage,
    /// Daemon and incarnation of the sender, for cancellation and logs.
    pub sender: request_identity::RequestOwner,
    /// Id of the call at the sender; a request to `/peer/cancel` refers to it.
    pub sender_call: ids::CallId,
    /// Context of the call for the callee.
    pub context: call_context::CallContext,
    /// Called service.
    pub service: ids::ServiceName,
    /// HTTP method.
    pub method: Bytes,
    /// Path and query as the backend server receives them.
    pub path: Bytes,
    /// Headers to pass on.
    pub headers: Vec<HeaderPair>,
}

/// Frame of a forwarded call or of its response.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum CallFrame {
    /// Start of a call; the first frame of a request.
    Call(Box<CallHead>),
    /// The call is queued or running. Sent at intervals, so that the sender can distinguish a slow call from a lost
    /// connection.
    Working,
    /// The call did not run; the only frame of the response besides `Working`.
    Refused {
        /// Reason for the refusal.
        reason: call_outcome::RefusalReason,
        /// Lowest admitted level for the class.
        report: Option<call_outcome::LevelReport>,
    },
    /// Status and headers of the response.
    Head {
        /// HTTP status.
        status: u16,
        /// Headers to pass on.
        headers: Vec<HeaderPair>,
    },
    /// Chunk of a body, at most [`MAX_DATA_BYTES`] long.
    Data(Bytes),
    /// The body is complete. A body without this frame is truncated, even if the transport reports a regular end.
    End {
        /// Lowest admitted level for the class; absent on requests.
        report: Option<call_outcome::LevelReport>,
    },
    /// The body stays incomplete, or the call may have run and there is no response.
    Abort {
        /// `Failed` or `Unknown`.
        outcome: call_outcome::CallOutcome,
    },
}

/// Size of the length prefix of a frame, in bytes.
const PREFIX_BYTES: usize = 4;

/// Appends a frame to a buffer: its length as four bytes in big-endian order, and its MessagePack form.
///
/// # Errors
/// Returns an error if the frame can't be encoded or is too large. The buffer then ends with a partial frame.
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
