//! Messages and bytes of the control traffic.

/// Bytes that IPv4 and UDP add to each datagram.
pub const DATAGRAM_OVERHEAD: u64 = 28;

/// Totals since the start of the daemon. Bytes of datagrams include [`DATAGRAM_OVERHEAD`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCount {
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Bytes in datagrams sent.
    pub bytes_sent: u64,
    /// Datagrams received.
    pub datagrams_received: u64,
    /// Bytes in datagrams received.
    pub bytes_received: u64,
    /// Datagrams received that could not be read.
    pub malformed: u64,
    /// Exchanges that this daemon asked for.
    pub exchanges_started: u64,
    /// Exchanges that this daemon answered.
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

    /// Counts the encoded messages of an exchange, which the caller sends.
    pub fn exchange(&mut self, sent: usize, received: usize) {
        self.exchange_bytes_sent += sent as u64;
        self.exchange_bytes_received += received as u64;
    }
}

impl TrafficCount {
    /// Returns all bytes, sent and received.
    #[must_use]
    pub fn total_bytes(&self) -> u64 {
        self.bytes_sent + self.bytes_received + self.exchange_bytes_sent + self.exchange_bytes_received
    }
}
