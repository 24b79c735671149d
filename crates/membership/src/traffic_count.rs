//! Counters of the control traffic.

/// Bytes of the IPv4 and UDP headers of a datagram.
pub const DATAGRAM_OVERHEAD: u64 = 28;

/// Totals since the start of the daemon. Datagram bytes include [`DATAGRAM_OVERHEAD`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCount {
    /// Gossip datagrams sent.
    pub datagrams_sent: u64,
    /// Bytes of the gossip datagrams sent.
    pub bytes_sent: u64,
    /// Gossip datagrams received, including malformed ones.
    pub datagrams_received: u64,
    /// Bytes of the gossip datagrams received.
    pub bytes_received: u64,
    /// Datagrams received that could not be decoded.
    pub malformed: u64,
    /// Exchanges that this daemon requested.
    pub exchanges_started: u64,
    /// Exchanges that this daemon answered with members; refusals are not counted.
    pub exchanges_answered: u64,
    /// Bytes of encoded exchange messages sent, without HTTP headers.
    pub exchange_bytes_sent: u64,
    /// Bytes of encoded exchange messages received, without HTTP headers.
    pub exchange_bytes_received: u64,
}

impl TrafficCount {
    pub(crate) fn sent(&mut self, bytes: usize) {
        self.datagrams_sent += 1;
        self.bytes_sent += bytes as u64 + DATAGRAM_OVERHEAD;
    }

    pub(crate) fn received(&mut self, bytes: usize) {
        self.datagrams_received += 1;
        self.bytes_received += bytes as u64 + DATAGRAM_OVERHEAD;
    }

    /// Adds the encoded bytes of the messages of an exchange, which the caller sends.
    pub fn exchange(&mut self, sent: usize, received: usize) {
        self.exchange_bytes_sent += sent as u64;
        self.exchange_bytes_received += received as u64;
    }
}

impl TrafficCount {
    /// Returns all bytes of datagrams and exchanges, sent and received.
    #[must_use]
    pub fn total_bytes(&self) -> u64 {
        self.bytes_sent + self.bytes_received + self.exchange_bytes_sent + self.exchange_bytes_received
    }
}
