//! Byte counters of control traffic, and processor time and memory of the process.

use std::fs;
use std::sync;

use crate::call::byte_count;

/// Unit of the processor times in `/proc/self/stat`; Linux reports them in hundredths of a second on
/// every architecture.
const TICKS_PER_SECOND: f64 = 100.0;

/// Byte counters of each kind of control traffic.
#[derive(Clone, Debug, Default)]
pub struct ControlTraffic {
    /// Gossip datagrams.
    pub gossip: sync::Arc<byte_count::ByteCount>,
    /// Exchanges of member records.
    pub exchange: sync::Arc<byte_count::ByteCount>,
    /// Fetches and pushes of the configuration.
    pub configuration: sync::Arc<byte_count::ByteCount>,
    /// Calls to the platform's store.
    pub store: sync::Arc<byte_count::ByteCount>,
}

impl ControlTraffic {
    /// Returns each kind with its value of the metric label `kind`.
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

/// Returns the user and system time of this process in seconds, or `None` if `/proc/self/stat` can't be read.
#[must_use]
pub fn process_cpu_seconds() -> Option<f64> {
    let text = fs::read_to_string("/proc/self/stat").ok()?;
    // The process name in parentheses may contain spaces; user and system time are fields 12 and 13 after it.
    let mut fields = text.rsplit_once(')')?.1.split_whitespace().skip(11);
    let mut next = || fields.next()?.parse::<f64>().ok();
    Some((next()? + next()?) / TICKS_PER_SECOND)
}

/// Returns the resident memory of this process in bytes, or `None` if `/proc/self/status` can't be read.
#[must_use]
pub fn resident_bytes() -> Option<u64> {
    let text = fs::read_to_string("/proc/self/status").ok()?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib * 1024)
}
