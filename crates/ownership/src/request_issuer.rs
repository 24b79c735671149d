//! Generation of bound request ids.

use bytes::Bytes;
use damasktrack_entity::request_identity;

/// Issuer of the bound ids of one daemon incarnation.
#[derive(Debug)]
pub struct RequestIssuer {
    owner: request_identity::RequestOwner,
    /// Sequence of the next id. It never decreases, so no two requests get the same id.
    next_sequence: u64,
}

impl RequestIssuer {
    /// Creates an issuer. `owner` must hold an incarnation that no earlier process of the daemon used.
    #[must_use]
    pub fn new(owner: request_identity::RequestOwner) -> Self {
        Self {
            owner,
            next_sequence: 1,
        }
    }

    /// Returns a bound id that was not issued before.
    #[must_use]
    pub fn issue(&mut self) -> Bytes {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        request_identity::bound_id(&self.owner, sequence)
    }
}

impl RequestIssuer {
    /// Returns the incarnation that owns the ids.
    #[must_use]
    pub fn owner(&self) -> &request_identity::RequestOwner {
        &self.owner
    }

    /// Returns whether this incarnation issued the sequence. The checksum in an id does not prevent forgery.
    #[must_use]
    pub fn has_issued(&self, sequence: u64) -> bool {
        (1..self.next_sequence).contains(&sequence)
    }
}
