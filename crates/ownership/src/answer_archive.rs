//! Answers of opaque actions in the object store, for repeats after the owner's end.

use std::time;

use bytes::Bytes;
use damasktrack_entity::request_identity;

use crate::action_key;
use crate::answer_cache;
use crate::claim_plan;

/// Limits of an [`AnswerArchive`].
#[derive(Clone, Copy, Debug)]
pub struct ArchiveLimits {
    /// Most writes per second of one daemon.
    pub writes_per_second: f64,
    /// Writes per second of all daemons together, which [`AnswerArchive::share`] divides among them. The store takes
    /// several hundred writes per second for everything.
    pub writes_of_all_per_second: f64,
    /// Writes that may be made at once after a pause.
    pub burst: f64,
}

impl Default for ArchiveLimits {
    fn default() -> Self {
        Self {
            writes_per_second: 5.0,
            writes_of_all_per_second: 200.0,
            burst: 10.0,
        }
    }
}

/// Object in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ArchivedAnswer {
    /// Digest of the action's whole key; a read under a wrong key is not taken for an answer.
    #[serde(with = "serde_bytes")]
    action: Vec<u8>,
    /// Digest of the request body.
    #[serde(with = "serde_bytes")]
    body_digest: Vec<u8>,
    /// The answer.
    answer: answer_cache::StoredAnswer,
}

/// What to do with a completed answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ArchiveStep {
    /// Write the object; a failure is ignored.
    Write {
        /// Key of the object.
        key: String,
        /// Content of the object.
        content: Vec<u8>,
    },
    /// Write nothing.
    Skip(SkipReason),
}

/// Why an answer is not archived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(derive_more::Display)]
pub enum SkipReason {
    /// A bound id can't be asked for after its owner's end.
    #[display("bound_id")]
    BoundId,
    /// The body is larger than [`answer_cache::MAX_ANSWER_BYTES`].
    #[display("too_large")]
    TooLarge,
    /// The rate is spent.
    #[display("rate_limited")]
    RateLimited,
    /// The answer can't be encoded.
    #[display("not_encodable")]
    NotEncodable,
}

/// What an object says about a repeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RestoreStep {
    /// The complete answer.
    Answer(answer_cache::StoredAnswer),
    /// The action ran with another body: refuse the repeat as a body mismatch.
    OtherBody,
    /// The object is cut short or belongs to another action: the outcome is unknown.
    Unreadable,
}

/// Chooser of the answers that go to the object store.
#[derive(Debug)]
pub struct AnswerArchive {
    limits: ArchiveLimits,
    /// Writes per second now; at most `limits.writes_per_second`.
    rate: f64,
    /// Writes that may be made now, within [0, `limits.burst`].
    tokens: f64,
    refilled: time::Instant,
}

impl AnswerArchive {
    /// Makes an archive with a full burst.
    #[must_use]
    pub fn new(limits: ArchiveLimits, now: time::Instant) -> Self {
        Self {
            limits,
            rate: limits.writes_per_second,
            tokens: limits.burst,
            refilled: now,
        }
    }

    /// Takes the number of daemons that share the store, this one included.
    pub fn share(&mut self, daemons: usize) {
        let share = self.limits.writes_of_all_per_second / daemons.max(1) as f64;
        self.rate = share.min(self.limits.writes_per_second);
    }

    /// Decides about an answer that is complete.
    pub fn offer(
        &mut self,
        key: &action_key::ActionKey,
        digest: &action_key::Sha256Digest,
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
            body_digest: digest.to_vec(),
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

/// Returns the key of an action's object.
#[must_use]
pub fn object_key(key: &action_key::ActionKey) -> String {
    format!("answers/{}", claim_plan::hexadecimal(&key.digest()))
}

/// Reads an object for a repeat whose owner is gone.
#[must_use]
pub fn restore(key: &action_key::ActionKey, digest: &action_key::Sha256Digest, content: &Bytes) -> RestoreStep {
    let Ok(archived) = rmp_serde::from_slice::<ArchivedAnswer>(content) else {
        return RestoreStep::Unreadable;
    };
    if archived.action != key.digest() {
        return RestoreStep::Unreadable;
    }
    if archived.body_digest != digest {
        return RestoreStep::OtherBody;
    }
    RestoreStep::Answer(archived.answer)
}
