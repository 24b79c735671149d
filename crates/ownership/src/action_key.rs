//! Identity of an action and digest of its request body.

use bytes::Bytes;
use damasktrack_entity::ids;
use sha2::Digest;

/// SHA-256 digest in binary form.
pub type Sha256Digest = [u8; 32];

/// Identity of an action: a non-idempotent call that one request makes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ActionKey {
    /// Id of the root request.
    pub request_id: Bytes,
    /// Called service.
    pub service: ids::ServiceName,
    /// HTTP method, as received.
    pub method: Bytes,
    /// Request target: path with query string.
    pub path: Bytes,
}

impl ActionKey {
    /// Returns a digest of service, method and path. The action ledger stores it instead of the parts, so that its
    /// memory does not depend on the length of paths.
    #[must_use]
    pub fn call_digest(&self) -> Sha256Digest {
        digest_parts(&[&self.service, &self.method, &self.path])
    }

    /// Returns a digest of request id, service, method and path.
    #[must_use]
    pub fn digest(&self) -> Sha256Digest {
        digest_parts(&[&self.request_id, &self.service, &self.method, &self.path])
    }
}

/// Incremental digest of a request body.
#[derive(Clone, Debug, Default)]
pub struct BodyDigest {
    hasher: sha2::Sha256,
}

impl BodyDigest {
    /// Adds the next piece of the body.
    pub fn update(&mut self, piece: &[u8]) {
        self.hasher.update(piece);
    }

    /// Returns the digest of all pieces.
    #[must_use]
    pub fn finish(self) -> Sha256Digest {
        self.hasher.finalize().into()
    }
}

/// Digests each part with a length prefix, so that moving bytes from one part to the next changes the digest.
fn digest_parts(parts: &[&Bytes]) -> Sha256Digest {
    let mut hasher = sha2::Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}
