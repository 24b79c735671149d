//! What daemons tell each other about a call, beside the request and response that they pass on.

use std::time;

use base64::Engine;
use damasktrack_entity::call_outcome;
use damasktrack_entity::ids;

/// Header of a forwarded request that carries a [`CallHead`]. Callers can't set it: the entry drops it.
pub const CALL_HEADER: &str = "damasktrack-peer-call";
/// Header of a response between daemons that carries a [`CallReply`].
pub const REPLY_HEADER: &str = "damasktrack-peer-reply";

/// What the entry daemon tells the callee daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CallHead {
    /// Service that has to run the request.
    pub service: ids::ServiceName,
    /// Route of the request.
    pub class: ids::ClassName,
    /// Rank of the route; 0 is the most important.
    pub priority: u8,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Time that is left for the response.
    pub left: time::Duration,
    /// Service beside the entry daemon.
    pub caller_service: ids::ServiceName,
}

/// What became of a call at the callee daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum CallReply {
    /// The response is the backend server's.
    Answered,
    /// The request did not run and never will.
    NotRun(call_outcome::RefusalReason),
    /// The request was sent to the backend server, and no usable response came back.
    MayHaveRun,
}

/// Returns the header text of a message.
///
/// # Errors
/// Returns an error if the message can't be encoded.
pub fn encode<T: serde::Serialize>(message: &T) -> Result<String, rmp_serde::encode::Error> {
    let bytes = rmp_serde::to_vec(message)?;
    Ok(base64::engine::general_purpose::STANDARD_NO_PAD.encode(bytes))
}

/// Returns the message of a header text; `None` if it is not one.
#[must_use]
pub fn decode<T: serde::de::DeserializeOwned>(text: &[u8]) -> Option<T> {
    let bytes = base64::engine::general_purpose::STANDARD_NO_PAD.decode(text).ok()?;
    rmp_serde::from_slice(&bytes).ok()
}
