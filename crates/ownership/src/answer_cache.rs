//! In-memory cache of answers to completed actions.

use std::collections;

use bytes::Bytes;

/// Largest body that is stored, in bytes. Larger answers are rare for actions, and one of them must not evict hundreds
/// of small ones.
pub const MAX_ANSWER_BYTES: usize = 64 << 10;
/// Bytes counted for an answer in addition to its headers and body: map nodes and allocation headers.
const ANSWER_OVERHEAD: usize = 256;

/// Complete answer of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct StoredAnswer {
    /// HTTP status code of the response.
    pub status: u16,
    /// Header names and values that the caller receives.
    pub headers: Vec<(Bytes, Bytes)>,
    /// Body, never truncated.
    pub body: Bytes,
}

/// Number of a stored answer; increases with each insertion.
pub type AnswerNumber = u64;

/// Cache with a memory bound that evicts the oldest answers first.
#[derive(Debug)]
pub struct AnswerCache {
    /// Numbers are never reused, so the number of an evicted answer never refers to a later one.
    answers: collections::BTreeMap<AnswerNumber, StoredAnswer>,
    next_number: AnswerNumber,
    /// Sum of the sizes of `answers`; at most `max_bytes`.
    bytes: usize,
    max_bytes: usize,
}

impl StoredAnswer {
    /// Returns the memory that the answer counts for, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        let headers: usize = self.headers.iter().map(|pair| pair.0.len() + pair.1.len() + 64).sum();
        headers + self.body.len() + ANSWER_OVERHEAD
    }

    /// Returns a copy that does not keep larger shared buffers alive.
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
    /// Creates an empty cache that holds at most `max_bytes`.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            answers: collections::BTreeMap::new(),
            next_number: 0,
            bytes: 0,
            max_bytes,
        }
    }

    /// Stores an answer, evicting the oldest ones to make room. Returns `None` if the answer is too large.
    pub fn insert(&mut self, answer: &StoredAnswer) -> Option<AnswerNumber> {
        let size = answer.size();
        if answer.body.len() > MAX_ANSWER_BYTES || size > self.max_bytes || size > 2 * MAX_ANSWER_BYTES {
            return None;
        }
        while self.bytes + size > self.max_bytes {
            let (_, evicted) = self.answers.pop_first()?;
            self.bytes -= evicted.size();
        }
        let number = self.next_number;
        self.next_number += 1;
        self.bytes += size;
        self.answers.insert(number, answer.compact());
        Some(number)
    }

    /// Removes an answer, if it is still stored.
    pub fn remove(&mut self, number: AnswerNumber) {
        if let Some(evicted) = self.answers.remove(&number) {
            self.bytes -= evicted.size();
        }
    }
}

impl AnswerCache {
    /// Returns an answer unless it was evicted or removed.
    #[must_use]
    pub fn get(&self, number: AnswerNumber) -> Option<&StoredAnswer> {
        self.answers.get(&number)
    }

    /// Returns the memory that all stored answers count for, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
