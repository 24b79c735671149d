//! Single messages of the peer protocol.

use bytes::Bytes;
use damasktrack_entity::ids;
use damasktrack_entity::request_identity;

/// Request to cancel a forwarded call, since the sender no longer waits for its response.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CancelRequest {
    /// Daemon that forwarded the call.
    pub sender: request_identity::RequestOwner,
    /// Id of the call at the sender.
    pub sender_call: ids::CallId,
}

/// Request to the owner of a request id to grant one more attempt of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct GrantRequest {
    /// Id of the root request.
    pub request_id: Bytes,
    /// Class of the root request; its chain declares the retry allowance.
    pub class: ids::ClassName,
    /// Depth of the call that the attempt is for.
    pub depth: u32,
    /// Whether the call arrived from the caller under an id that the caller chose. The first arrival of an id does not
    /// count against the retry allowance.
    #[serde(default)]
    pub arrival: bool,
}

/// Reply to a [`GrantRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum GrantReply {
    /// One more attempt may be made.
    Granted {
        /// Retries left for the whole request.
        left: u32,
    },
    /// No attempt is granted, for example since the retry allowance is spent or the receiver does not own the request.
    Denied,
}

/// Request to a peer for the configuration changes after a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ConfigRequest {
    /// Revision in force at the sender. [`ids::Revision::MAX`] requests only the revision of the peer.
    pub after: ids::Revision,
}
