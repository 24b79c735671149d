//! Bytes of the control work, and what the process takes of its VM.

use std::fs;
use std::sync;

use crate::call::byte_count;

/// Unit of the processor times in `/proc/self/stat`; Linux reports them in hundredths of a second everywhere.
const TICKS_PER_SECOND: f64 = 100.0;

/// Bytes of each kind of control work.
#[derive(Clone, Debug, Default)]
pub struct ControlTraffic {
    /// Gossip datagrams.
    pub gossip: sync::Arc<byte_count::ByteCount>,
    /// Exchanges of members.
    pub exchange: sync::Arc<byte_count::ByteCount>,
    /// Configuration, fetched and pushed.
    pub configuration: sync::Arc<byte_count::ByteCount>,
    /// Calls to the platform's store.
    pub store: sync::Arc<byte_count::ByteCount>,
}

impl ControlTraffic {
    /// Returns all kinds by name.
    #[must_use]
    pub fn kinds(&self) -> [(&'static str, &sync::Arc<byte_count::ByteCount>); 4] {
        [
            ("gossip", &self.gossip),
            ("exchange", &self.exchange),
            ("configuration", &self.configuration),
            ("store", &self.store),
        ]
    }
}

/// Returns the processor time of this process in seconds, if the system tells it.
#[must_use]
pub fn process_cpu_seconds() -> Option<f64> {
    let text = fs::read_to_string("/proc/self/stat").ok()?;
    // The name in parentheses may hold spaces; the user and system times are fields 12 and 13 after it.
    let mut fields = text.rsplit_once(')')?.1.split_whitespace().skip(11);
    let mut next = || fields.next()?.parse::<f64>().ok();
    Some((next()? + next()?) / TICKS_PER_SECOND)
}

/// Returns the resident memory of this process in bytes, if the system tells it.
#[must_use]
pub fn resident_bytes() -> Option<u64> {
    let text = fs::read_to_string("/proc/self/status").ok()?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib * 1024)
}
