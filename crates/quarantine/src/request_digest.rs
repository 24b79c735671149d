//! Identity of a request across attempts, clients' retries and machines.

use bytes::Bytes;
use damasktrack_entity::ids;
use xxhash_rust::xxh3;

/// Digest of the parts of a request that make it the same one when it is sent again: 128 bits of BLAKE3. With fewer bits, or a
/// digest that isn't cryptographic, a caller could craft a request with the digest of another caller's, and get that one
/// quarantined.
pub type RequestDigest = u128;

const DIGEST_BYTES: usize = size_of::<RequestDigest>();

/// Parts of a request that its digest covers. Attempt id, deadline and other headers differ between attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestIdentity<'a> {
    /// Service at which the request began.
    pub caller: &'a ids::ServiceName,
    /// Tenant of the caller; `None` for the default tenant.
    pub tenant: Option<&'a ids::TenantName>,
    /// HTTP method.
    pub method: &'a str,
    /// Host that the caller named; empty if there is none.
    pub host: &'a [u8],
    /// Path and query.
    pub target: &'a str,
}

impl RequestIdentity<'_> {
    /// Returns the digest of the request with this body, whose division into chunks doesn't matter.
    #[must_use]
    pub fn digest(&self, body: impl Iterator<Item = Bytes>) -> RequestDigest {
        let tenant = self.tenant.map_or(&[][..], |tenant| tenant);
        let parts = [
            self.caller.as_ref(),
            tenant,
            self.method.as_bytes(),
            self.host,
            self.target.as_bytes(),
        ];
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            // The length separates the parts.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        for chunk in body {
            hasher.update(&chunk);
        }
        let mut digest = [0; DIGEST_BYTES];
        hasher.finalize_xof().fill(&mut digest);
        RequestDigest::from_le_bytes(digest)
    }
}

/// Returns the weight of a daemon for a request in rendezvous hashing.
#[must_use]
pub fn daemon_weight(digest: RequestDigest, daemon: &ids::DaemonId) -> u64 {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(&digest.to_le_bytes());
    hasher.update(daemon);
    hasher.digest()
}
