//! Identity of an action and of its request body.

use bytes::Bytes;
use damasktrack_entity::ids;
use sha2::Digest;

/// SHA-256 digest.
pub type Sha256Digest = [u8; 32];

/// Identity of an action: a non-idempotent call that one request makes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ActionKey {
    /// Id of the root request.
    pub request_id: Bytes,
    /// Called service.
    pub service: ids::ServiceName,
    /// HTTP method.
    pub method: Bytes,
    /// Path and query.
    pub path: Bytes,
}

impl ActionKey {
    /// Returns a digest of service, method and path. Ledgers keep it in place of the parts, so that long paths don't
    /// take memory.
    #[must_use]
    pub fn call_digest(&self) -> Sha256Digest {
        digest_parts(&[&self.service, &self.method, &self.path])
    }

    /// Returns a digest of the whole key.
    #[must_use]
    pub fn digest(&self) -> Sha256Digest {
        digest_parts(&[&self.request_id, &self.service, &self.method, &self.path])
    }
}

/// Digest of a request body that arrives in pieces.
#[derive(Clone, Debug, Default)]
pub struct BodyDigest {
    hasher: sha2::Sha256,
}

impl BodyDigest {
    /// Adds a piece of the body.
    pub fn update(&mut self, piece: &[u8]) {
        self.hasher.update(piece);
    }

    /// Returns the digest of all pieces.
    #[must_use]
    pub fn finish(self) -> Sha256Digest {
        self.hasher.finalize().into()
    }
}

/// Digests the parts with their lengths, so that bytes moved from one part to the next change the digest.
fn digest_parts(parts: &[&Bytes]) -> Sha256Digest {
    let mut hasher = sha2::Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}
