//! Single messages of the peer protocol.

use bytes::Bytes;
use damasktrack_entity::ids;
use damasktrack_entity::request_identity;

/// Tells the receiver that the sender no longer waits for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CancelRequest {
    /// Daemon that forwarded the call.
    pub sender: request_identity::RequestOwner,
    /// Id of the call at the sender.
    pub sender_call: ids::CallId,
}

/// Asks the owner of a request for one more attempt of one of its calls.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct GrantRequest {
    /// Id of the root request.
    pub request_id: Bytes,
    /// Class of the root request; its chain declares the allowance.
    pub class: ids::ClassName,
    /// Depth of the call that would be attempted again.
    pub depth: u32,
    /// The call arrived from the caller under an id of the caller's: the first arrival costs nothing.
    #[serde(default)]
    pub arrival: bool,
}

/// Answer to a [`GrantRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum GrantReply {
    /// One more attempt may be made.
    Granted {
        /// Retries left for the whole request.
        left: u32,
    },
    /// The allowance of the request is spent, or the receiver does not own the request.
    Denied,
}

/// Asks a peer for configuration after a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ConfigRequest {
    /// Revision in force at the sender.
    pub after: ids::Revision,
}
