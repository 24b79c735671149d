//! Byte counters of one kind of control traffic.

use std::sync::atomic;

/// Totals since the start of the daemon: bodies of messages, and datagrams with their IP and UDP headers. HTTP and TCP
/// headers are not counted.
#[derive(Debug, Default)]
pub struct ByteCount {
    sent: atomic::AtomicU64,
    received: atomic::AtomicU64,
}

/// Commands.
impl ByteCount {
    /// Adds bytes to both totals; `sent` and `received` are sizes of single messages.
    pub fn add(&self, sent: usize, received: usize) {
        self.sent.fetch_add(sent as u64, atomic::Ordering::Relaxed);
        self.received.fetch_add(received as u64, atomic::Ordering::Relaxed);
    }
}

/// Queries.
impl ByteCount {
    /// Returns the total of bytes sent.
    #[must_use]
    pub fn sent(&self) -> u64 {
        self.sent.load(atomic::Ordering::Relaxed)
    }

    /// Returns the total of bytes received.
    #[must_use]
    pub fn received(&self) -> u64 {
        self.received.load(atomic::Ordering::Relaxed)
    }
}
