//! Identity of a request across attempts, clients' retries and machines.

use bytes::Bytes;
use damasktrack_entity::ids;
use xxhash_rust::xxh3;

/// Digest of the parts of a request that make it the same one when it is sent again.
pub type RequestDigest = u64;

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
        let mut hasher = xxh3::Xxh3::new();
        for part in parts {
            // The length separates the parts.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        for chunk in body {
            hasher.update(&chunk);
        }
        hasher.digest()
    }
}

/// Returns the weight of a daemon for a request in rendezvous hashing.
#[must_use]
pub fn daemon_weight(digest: RequestDigest, daemon: &ids::DaemonId) -> u64 {
    xxh3::xxh3_64_with_seed(daemon, digest)
}
