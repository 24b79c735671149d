//! Issue of bound request ids.

use bytes::Bytes;
use damasktrack_entity::request_identity;

/// Issuer of the bound ids of one daemon incarnation.
#[derive(Debug)]
pub struct RequestIssuer {
    owner: request_identity::RequestOwner,
    /// Sequence of the next id. It only rises, so that no two callers get one id.
    next: u64,
}

impl RequestIssuer {
    /// Makes an issuer; `owner` holds an incarnation that no earlier process of the daemon used.
    #[must_use]
    pub fn new(owner: request_identity::RequestOwner) -> Self {
        Self { owner, next: 1 }
    }

    /// Issues an id.
    #[must_use]
    pub fn issue(&mut self) -> Bytes {
        let sequence = self.next;
        self.next += 1;
        request_identity::bound_id(&self.owner, sequence)
    }
}

impl RequestIssuer {
    /// Returns the incarnation that owns the ids.
    #[must_use]
    pub fn owner(&self) -> &request_identity::RequestOwner {
        &self.owner
    }

    /// Returns whether this incarnation issued the sequence. The check in an id does not prevent forgery.
    #[must_use]
    pub fn has_issued(&self, sequence: u64) -> bool {
        (1..self.next).contains(&sequence)
    }
}
