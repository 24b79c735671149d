//! Request ids: bound ids name the daemon that owns them, opaque ids are chosen by callers.

use bytes::Bytes;
use xxhash_rust::xxh3;

use crate::ids;

/// Maximum length of an accepted request id, in bytes.
pub const MAX_REQUEST_ID_BYTES: usize = 200;
/// First part of the text form of a bound id.
const BOUND_PREFIX: &str = "dt1";

/// Incarnation of a daemon, as the owner of bound request ids.
///
/// Only the owner may authorise executions under a bound id. Ownership is never transferred.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RequestOwner {
    /// Daemon that owns the id.
    pub daemon_id: ids::DaemonId,
    /// Incarnation of that daemon; a later incarnation does not own the id.
    pub incarnation: ids::Incarnation,
}

/// Parsed form of a request id.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RequestIdentity {
    /// Id that a daemon issued.
    Bound {
        /// The daemon and incarnation that issued the id.
        owner: RequestOwner,
        /// Sequence number, which increases with each id that the incarnation issues.
        sequence: u64,
    },
    /// Id that a caller chose; it names no owner.
    Opaque,
}

/// Returns the text form of a bound id: `dt1.<daemon>.<incarnation>.<sequence>.<checksum>`, with numbers in
/// hexadecimal.
///
/// The checksum detects mistyped and truncated ids. It is no protection against forgery.
#[must_use]
pub fn bound_id(owner: &RequestOwner, sequence: u64) -> Bytes {
    let body = format!(
        "{BOUND_PREFIX}.{}.{:016x}.{sequence:x}",
        ids::text(&owner.daemon_id),
        owner.incarnation
    );
    Bytes::from(format!("{body}.{:08x}", checksum(&body)))
}

/// Parses a request id; anything that is not a well-formed bound id is opaque.
#[must_use]
pub fn parse(request_id: &[u8]) -> RequestIdentity {
    parse_bound(request_id).unwrap_or(RequestIdentity::Opaque)
}

fn parse_bound(request_id: &[u8]) -> Option<RequestIdentity> {
    let text = std::str::from_utf8(request_id).ok()?;
    let (body, digits) = text.rsplit_once('.')?;
    if digits != format!("{:08x}", checksum(body)) {
        return None;
    }
    let rest = body.strip_prefix(BOUND_PREFIX)?.strip_prefix('.')?;
    let (rest, sequence) = rest.rsplit_once('.')?;
    let (daemon_id, incarnation) = rest.rsplit_once('.')?;
    Some(RequestIdentity::Bound {
        owner: RequestOwner {
            daemon_id: Bytes::copy_from_slice(daemon_id.as_bytes()),
            incarnation: u64::from_str_radix(incarnation, 16).ok()?,
        },
        sequence: u64::from_str_radix(sequence, 16).ok()?,
    })
}

fn checksum(body: &str) -> u32 {
    u32::try_from(xxh3::xxh3_64(body.as_bytes()) >> 32).unwrap_or(0)
}
