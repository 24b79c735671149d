//! Answers of completed actions, kept in bounded memory.

use std::collections;

use bytes::Bytes;

/// Largest body that is kept, in bytes. Larger answers are rare for actions, and one must not push out hundreds.
pub const MAX_ANSWER_BYTES: usize = 64 << 10;
/// Memory counted for an answer besides its text: map nodes and allocation headers.
const ANSWER_OVERHEAD: usize = 256;

/// Complete answer of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers to pass on.
    pub headers: Vec<(Bytes, Bytes)>,
    /// Complete body.
    pub body: Bytes,
}

/// Number of a kept answer; rises with each answer.
pub type AnswerNumber = u64;

/// Kept answers; the oldest are dropped first.
#[derive(Debug)]
pub struct AnswerCache {
    /// Numbers are never reused, so a dropped answer can't be taken for a later one.
    answers: collections::BTreeMap<AnswerNumber, StoredAnswer>,
    next: AnswerNumber,
    /// Sum of the sizes of `answers`; at most `max_bytes`.
    bytes: usize,
    max_bytes: usize,
}

impl StoredAnswer {
    /// Returns the memory that the answer takes.
    #[must_use]
    pub fn size(&self) -> usize {
        let headers: usize = self.headers.iter().map(|pair| pair.0.len() + pair.1.len() + 64).sum();
        headers + self.body.len() + ANSWER_OVERHEAD
    }

    /// Returns a copy whose parts don't keep larger shared buffers alive.
    #[must_use]
    fn compact(&self) -> Self {
        let copy = |text: &Bytes| Bytes::copy_from_slice(text);
        Self {
            status: self.status,
            headers: self.headers.iter().map(|pair| (copy(&pair.0), copy(&pair.1))).collect(),
            body: copy(&self.body),
        }
    }
}

impl AnswerCache {
    /// Makes an empty cache that holds at most `max_bytes`.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            answers: collections::BTreeMap::new(),
            next: 0,
            bytes: 0,
            max_bytes,
        }
    }

    /// Keeps an answer if it is small enough, and drops the oldest ones to make room.
    pub fn keep(&mut self, answer: &StoredAnswer) -> Option<AnswerNumber> {
        let size = answer.size();
        if answer.body.len() > MAX_ANSWER_BYTES || size > self.max_bytes || size > 2 * MAX_ANSWER_BYTES {
            return None;
        }
        while self.bytes + size > self.max_bytes {
            let (_, dropped) = self.answers.pop_first()?;
            self.bytes -= dropped.size();
        }
        let number = self.next;
        self.next += 1;
        self.bytes += size;
        self.answers.insert(number, answer.compact());
        Some(number)
    }

    /// Drops an answer.
    pub fn remove(&mut self, number: AnswerNumber) {
        if let Some(dropped) = self.answers.remove(&number) {
            self.bytes -= dropped.size();
        }
    }
}

impl AnswerCache {
    /// Returns an answer unless it was dropped.
    #[must_use]
    pub fn get(&self, number: AnswerNumber) -> Option<&StoredAnswer> {
        self.answers.get(&number)
    }

    /// Returns the memory that all answers take.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
