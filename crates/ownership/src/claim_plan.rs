//! Claim of an opaque request id by a row in the table service.

use std::fmt::Write as _;

use bytes::Bytes;
use damasktrack_entity::ids;
use damasktrack_entity::request_identity;

use crate::action_key;

/// Name of the table that holds the claims.
pub const CLAIM_TABLE: &str = "actions";

/// Number of a claim within one incarnation.
///
/// It distinguishes the row of the current claim from that of an earlier claim of the same incarnation whose ledger
/// entry was evicted: only the former proves that nothing was dispatched.
pub type ClaimToken = u64;

/// Value of a row in [`CLAIM_TABLE`]. A row is never changed after its insert.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimRow {
    /// Daemon that owns the id.
    pub daemon_id: String,
    /// Incarnation of that daemon as 16 hexadecimal digits, since JSON parsers may round 64-bit numbers.
    pub incarnation: String,
    /// Token of the claim within that incarnation.
    pub token: ClaimToken,
    /// Body digest, in hexadecimal, of a call that waited for the claim. Informational, for operators who investigate a
    /// disputed request; no decision depends on it.
    pub digest: String,
}

/// Conditional insert of a claim: the row is written only if its key does not exist (version 0).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimPlan {
    /// Opaque request id that the row claims.
    pub request_id: Bytes,
    /// Token to pass to `claim_settled` with the result.
    pub token: ClaimToken,
    /// Key of the row in [`CLAIM_TABLE`]; see [`row_key`].
    pub key: String,
    /// Value that the insert writes; a read ignores it.
    pub row: ClaimRow,
}

/// Result of an insert or a read of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The store confirmed the insert.
    Inserted,
    /// The insert failed since a row exists; the row must be read.
    Conflict,
    /// The read returned this row.
    Found(ClaimRow),
    /// The read returned a row that can't be decoded as a [`ClaimRow`].
    Unreadable,
    /// The read found no row.
    Absent,
    /// The insert or read was not sent.
    Unavailable,
    /// The store did not answer; an insert may have taken effect or may still do so.
    Unsettled,
}

/// Owner of a claimed id, relative to one claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimHolder {
    /// The claim itself.
    ThisClaim,
    /// An earlier claim of the same incarnation, whose ledger entry was evicted.
    EarlierClaim,
    /// An earlier incarnation of this daemon.
    EarlierIncarnation,
    /// Another daemon.
    Peer(request_identity::RequestOwner),
    /// The row can't be decoded or does not hold a valid incarnation.
    Unreadable,
}

impl ClaimPlan {
    /// Creates the claim of an id for `owner`.
    #[must_use]
    pub fn new(
        owner: &request_identity::RequestOwner,
        request_id: &Bytes,
        token: ClaimToken,
        body_digest: &action_key::Sha256Digest,
    ) -> Self {
        Self {
            request_id: request_id.clone(),
            token,
            key: row_key(request_id),
            row: ClaimRow {
                daemon_id: ids::text(&owner.daemon_id).into_owned(),
                incarnation: format!("{:016x}", owner.incarnation),
                token,
                digest: hexadecimal(body_digest),
            },
        }
    }
}

impl ClaimRow {
    /// Returns who holds the id of this row, relative to the claim of `owner` with `token`.
    #[must_use]
    pub fn holder(&self, owner: &request_identity::RequestOwner, token: ClaimToken) -> ClaimHolder {
        let Ok(incarnation) = u64::from_str_radix(&self.incarnation, 16) else {
            return ClaimHolder::Unreadable;
        };
        if self.daemon_id.as_bytes() != owner.daemon_id {
            return ClaimHolder::Peer(request_identity::RequestOwner {
                daemon_id: Bytes::copy_from_slice(self.daemon_id.as_bytes()),
                incarnation,
            });
        }
        if incarnation != owner.incarnation {
            return ClaimHolder::EarlierIncarnation;
        }
        if self.token == token {
            ClaimHolder::ThisClaim
        } else {
            ClaimHolder::EarlierClaim
        }
    }
}

/// Returns the row key of a request id. Bytes outside `[A-Za-z0-9_-]` are written as `%` and two hexadecimal digits, so
/// that distinct ids have distinct keys.
#[must_use]
pub fn row_key(request_id: &[u8]) -> String {
    let mut key = String::with_capacity(request_id.len());
    for byte in request_id {
        if byte.is_ascii_alphanumeric() || *byte == b'-' || *byte == b'_' {
            key.push(char::from(*byte));
        } else {
            // Writing to a string can't fail.
            let _infallible = write!(key, "%{byte:02x}");
        }
    }
    key
}

/// Encodes bytes in lower-case hexadecimal.
pub(crate) fn hexadecimal(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        // Writing to a string can't fail.
        let _infallible = write!(text, "{byte:02x}");
    }
    text
}
