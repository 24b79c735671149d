//! Claim of an opaque request id in the table service.

use std::fmt::Write as _;

use bytes::Bytes;
use damasktrack_entity::ids;
use damasktrack_entity::request_identity;

use crate::action_key;

/// Table of the claims.
pub const CLAIM_TABLE: &str = "actions";

/// Number of a claim within one incarnation.
///
/// It tells the row of a claim that is being settled from the row of an earlier claim of the same incarnation whose
/// ledger entry was forgotten: only the former proves that nothing was dispatched.
pub type ClaimToken = u64;

/// Value of a row in [`CLAIM_TABLE`]. A row is never changed after its insert.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimRow {
    /// Daemon that owns the id.
    pub daemon_id: String,
    /// Incarnation of that daemon, 16 hexadecimal digits; JSON readers may round numbers of 64 bits.
    pub incarnation: String,
    /// Claim of that incarnation.
    pub token: ClaimToken,
    /// Digest of the action that made the claim, for operators who look into a dispute.
    pub digest: String,
}

/// Conditional insert: the row is written only if its key does not exist (version 0).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimPlan {
    /// Claimed request id.
    pub request_id: Bytes,
    /// Token to give back with the result.
    pub token: ClaimToken,
    /// Key in [`CLAIM_TABLE`].
    pub key: String,
    /// Value of the row.
    pub row: ClaimRow,
}

/// Result of an insert or a read of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The insert was confirmed.
    Inserted,
    /// The insert met a row; read it.
    Conflict,
    /// The read found this row.
    Found(ClaimRow),
    /// The read found a row that is not a [`ClaimRow`].
    Unreadable,
    /// The read found no row.
    Absent,
    /// The insert or read was not sent.
    Unavailable,
    /// No answer came; an insert may have taken effect.
    Unsettled,
}

/// Who owns a claimed id, as seen by one claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimHolder {
    /// The claim that asked.
    ThisClaim,
    /// An earlier claim of the same incarnation, forgotten since.
    EarlierClaim,
    /// An earlier incarnation of this daemon.
    EarlierIncarnation,
    /// Another daemon.
    Peer(request_identity::RequestOwner),
    /// The row does not name a daemon and an incarnation.
    Unreadable,
}

impl ClaimPlan {
    /// Makes the claim of an id.
    #[must_use]
    pub fn new(
        owner: &request_identity::RequestOwner,
        request_id: &Bytes,
        token: ClaimToken,
        digest: &action_key::Sha256Digest,
    ) -> Self {
        Self {
            request_id: request_id.clone(),
            token,
            key: row_key(request_id),
            row: ClaimRow {
                daemon_id: ids::text(&owner.daemon_id).into_owned(),
                incarnation: format!("{:016x}", owner.incarnation),
                token,
                digest: hexadecimal(digest),
            },
        }
    }
}

impl ClaimRow {
    /// Returns who holds the id that this row binds.
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

/// Returns the key of an id's row: its bytes, those outside `[A-Za-z0-9_-]` as `%` and two digits.
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

/// Returns the lower-case hexadecimal form.
pub(crate) fn hexadecimal(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        // Writing to a string can't fail.
        let _infallible = write!(text, "{byte:02x}");
    }
    text
}
