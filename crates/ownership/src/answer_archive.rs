//! Archive in the object store of answers to actions under opaque ids, for repeats that the action ledger can't answer:
//! the owning incarnation has ended, or the entry or its answer was evicted.

use std::time;

use bytes::Bytes;
use damasktrack_entity::request_identity;

use crate::action_key;
use crate::answer_cache;
use crate::claim_plan;

/// Limits of an [`AnswerArchive`].
#[derive(Clone, Copy, Debug)]
pub struct ArchiveLimits {
    /// Most writes per second of this daemon.
    pub writes_per_second: f64,
    /// Most writes per second of all daemons together; [`AnswerArchive::set_daemon_count`] divides them. The store
    /// handles several hundred writes per second for all uses.
    pub total_writes_per_second: f64,
    /// Capacity of the token bucket, in writes.
    pub burst: f64,
}

impl Default for ArchiveLimits {
    fn default() -> Self {
        Self {
            writes_per_second: 5.0,
            total_writes_per_second: 200.0,
            burst: 10.0,
        }
    }
}

/// Content of an object in the store, encoded as a MessagePack map.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ArchivedAnswer {
    /// Digest of the whole [`ActionKey`](action_key::ActionKey); an object of another action is rejected.
    #[serde(with = "serde_bytes")]
    action: Vec<u8>,
    /// Digest of the request body.
    #[serde(with = "serde_bytes")]
    body_digest: Vec<u8>,
    /// Answer of the backend server.
    answer: answer_cache::StoredAnswer,
}

/// Decision about a complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ArchiveStep {
    /// Write the object. The archive is best effort, so a failed write needs no retry.
    Write {
        /// Key of the object.
        key: String,
        /// Encoded [`ArchivedAnswer`].
        content: Vec<u8>,
    },
    /// Don't write the answer.
    Skip(SkipReason),
}

/// Why an answer is not archived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(derive_more::Display)]
pub enum SkipReason {
    /// The id is bound: no daemon can answer repeats after the end of the incarnation that issued it.
    #[display("bound_id")]
    BoundId,
    /// The body is larger than [`answer_cache::MAX_ANSWER_BYTES`].
    #[display("too_large")]
    TooLarge,
    /// The write rate of this daemon is exhausted.
    #[display("rate_limited")]
    RateLimited,
    /// The answer can't be encoded.
    #[display("not_encodable")]
    NotEncodable,
}

/// Result of restoring an answer for a repeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RestoreStep {
    /// The object holds the complete answer.
    Answer(answer_cache::StoredAnswer),
    /// The action ran with another body; the repeat must be refused as a body mismatch.
    OtherBody,
    /// The object can't be decoded or belongs to another action; the outcome is unknown.
    Unreadable,
}

/// Selects answers for the object store and limits the write rate with a token bucket.
#[derive(Debug)]
pub struct AnswerArchive {
    limits: ArchiveLimits,
    /// Refill rate in writes per second; at most `limits.writes_per_second`.
    rate: f64,
    /// Writes available now, within [0, `limits.burst`].
    tokens: f64,
    refilled: time::Instant,
}

impl AnswerArchive {
    /// Creates an archive with a full token bucket.
    #[must_use]
    pub fn new(limits: ArchiveLimits, now: time::Instant) -> Self {
        Self {
            limits,
            rate: limits.writes_per_second,
            tokens: limits.burst,
            refilled: now,
        }
    }

    /// Sets the write rate to this daemon's share; `daemons` is the number of daemons that write to the store, this one
    /// included.
    pub fn set_daemon_count(&mut self, daemons: usize) {
        let share = self.limits.total_writes_per_second / daemons.max(1) as f64;
        self.rate = share.min(self.limits.writes_per_second);
    }

    /// Decides whether a complete answer is written; a write takes one token.
    pub fn offer(
        &mut self,
        key: &action_key::ActionKey,
        body_digest: &action_key::Sha256Digest,
        answer: &answer_cache::StoredAnswer,
        now: time::Instant,
    ) -> ArchiveStep {
        if request_identity::parse(&key.request_id) != request_identity::RequestIdentity::Opaque {
            return ArchiveStep::Skip(SkipReason::BoundId);
        }
        if answer.body.len() > answer_cache::MAX_ANSWER_BYTES {
            return ArchiveStep::Skip(SkipReason::TooLarge);
        }
        if !self.take_token(now) {
            return ArchiveStep::Skip(SkipReason::RateLimited);
        }
        let archived = ArchivedAnswer {
            action: key.digest().to_vec(),
            body_digest: body_digest.to_vec(),
            answer: answer.clone(),
        };
        match rmp_serde::to_vec_named(&archived) {
            Ok(content) => ArchiveStep::Write {
                key: object_key(key),
                content,
            },
            Err(_) => ArchiveStep::Skip(SkipReason::NotEncodable),
        }
    }

    fn take_token(&mut self, now: time::Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.refilled = self.refilled.max(now);
        self.tokens = (self.tokens + elapsed * self.rate).min(self.limits.burst);
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }
}

/// Returns the key of an action's object: `answers/` and the digest of the action in hexadecimal.
#[must_use]
pub fn object_key(key: &action_key::ActionKey) -> String {
    format!("answers/{}", claim_plan::hexadecimal(&key.digest()))
}

/// Restores an answer from an object, for a repeat that the action ledger can't answer.
#[must_use]
pub fn restore(key: &action_key::ActionKey, body_digest: &action_key::Sha256Digest, content: &Bytes) -> RestoreStep {
    let Ok(archived) = rmp_serde::from_slice::<ArchivedAnswer>(content) else {
        return RestoreStep::Unreadable;
    };
    if archived.action != key.digest() {
        return RestoreStep::Unreadable;
    }
    if archived.body_digest != body_digest {
        return RestoreStep::OtherBody;
    }
    RestoreStep::Answer(archived.answer)
}
