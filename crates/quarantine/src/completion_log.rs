//! Requests that servers completed lately.

use std::collections;
use std::time;

use crate::quarantine_table;
use crate::request_digest;

/// Least time for which a completed request is known. A request that doesn't come as often is hardly in flight at several
/// crashes of servers by chance.
const LIFETIME: time::Duration = time::Duration::from_secs(10);
/// Most requests of one generation; later ones are left out.
const MAX_REQUESTS: usize = 8_192;

/// Digests of the requests that were completed in the last [`LIFETIME`], up to twice of it.
///
/// A popular request is in flight at most crashes of servers. That it was completed shortly before shows that it isn't their
/// cause, also when they follow each other faster than servers complete it.
#[derive(Debug, Default)]
pub struct CompletionLog {
    current: collections::HashSet<request_digest::RequestDigest>,
    previous: collections::HashSet<request_digest::RequestDigest>,
    /// Start of the current generation.
    since: quarantine_table::TableTime,
}

impl CompletionLog {
    /// Records a completed request.
    pub fn note(&mut self, digest: request_digest::RequestDigest, now: quarantine_table::TableTime) {
        self.advance(now);
        if self.current.len() < MAX_REQUESTS {
            self.current.insert(digest);
        }
    }

    /// Returns whether a request was completed lately.
    pub fn contains(&mut self, digest: request_digest::RequestDigest, now: quarantine_table::TableTime) -> bool {
        self.advance(now);
        self.current.contains(&digest) || self.previous.contains(&digest)
    }

    fn advance(&mut self, now: quarantine_table::TableTime) {
        let age = now.saturating_sub(self.since);
        if age < LIFETIME {
            return;
        }
        std::mem::swap(&mut self.previous, &mut self.current);
        self.current.clear();
        if age >= LIFETIME * 2 {
            self.previous.clear();
        }
        self.since = now;
    }
}
