//! Messages in which daemons tell each other about crashes of servers.

use std::time;

use crate::request_digest;

/// Identifies one crash of one server. Drawn at random by the daemon beside the server.
pub type CrashId = u64;

/// Most requests of one crash that are kept. More were in flight at none of the servers that the design is made for.
pub const MAX_SUSPECTS: usize = 512;
/// Most crashes that a daemon keeps.
pub const MAX_CRASHES: usize = 256;

/// What a record stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum RecordKind {
    /// A server crashed.
    Crash,
    /// A quarantined request is sent once more. The record is made before that and counts as a crash until the request
    /// completes, so that a daemon which is killed meanwhile doesn't send it again.
    Trial,
}

/// Crash of a server while requests were in flight there, or trial of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CrashRecord {
    /// Identifies the crash.
    pub id: CrashId,
    /// What the record stands for.
    pub kind: RecordKind,
    /// Time since the crash.
    pub age: time::Duration,
    /// Time since the crash, or since one of its requests was last refused.
    pub idle: time::Duration,
    /// Requests in flight that no server has completed since, in ascending order, each once; at most [`MAX_SUSPECTS`].
    /// The list only shrinks.
    pub suspects: Vec<request_digest::RequestDigest>,
}

/// Crashes that a daemon knows, or a part of them.
pub type CrashReport = Vec<CrashRecord>;

/// Comparison of two tables by their summaries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CompareRequest {
    /// Summary of the sender's table.
    pub summary: u64,
}

/// Reply to a [`CompareRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum CompareReply {
    /// The tables are the same.
    Same,
    /// The receiver's table.
    Differs(CrashReport),
}

/// Encodes a message, with fields by position to keep it short.
///
/// # Errors
/// Returns an error if the message can't be encoded.
pub fn encode<T: serde::Serialize>(message: &T) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    rmp_serde::to_vec(message)
}

/// Decodes a message; `None` if it is malformed.
#[must_use]
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    rmp_serde::from_slice(bytes).ok()
}
