//! Limits of a process, and the bounds of its account that follow from them.

use damasktrack_pipeline::byte_account;

/// Memory of a daemon without callers, in bytes: 13 MB for itself with logs and metrics, under 1 MB for the tables of
/// 100 daemons, and as much again as a reserve.
const BASE_BYTES: usize = 28_000_000;
/// Share of the remaining memory that the account may count. The rest is for what is not counted: fragmentation of the
/// heap, buffers between two reports, and outgoing connections. At 70 % the peak came within 14 % of the limit. A body
/// of 64 MiB at a limit of 160 MB needs 58 %.
const ACCOUNT_PERCENT: usize = 62;
/// The account is never bounded below this, so that small requests are served.
const MIN_ACCOUNT_BYTES: usize = 4_000_000;
/// Descriptors that are reserved for files.
const FILE_FDS: usize = 200;
/// Connections of a listener kind are never bounded below this.
const MIN_CONNECTIONS: usize = 16;

/// Limits of a process, as the settings state them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory in megabytes; `None` if it is not limited.
    pub memory_mb: Option<u64>,
    /// Open descriptors; `None` if they are not limited.
    pub max_fds: Option<u64>,
}

impl ProcessLimits {
    /// Returns the bounds of the account; `None` if nothing is limited.
    #[must_use]
    pub fn account_bounds(&self) -> Option<byte_account::AccountBounds> {
        if self.memory_mb.is_none() && self.max_fds.is_none() {
            return None;
        }
        let bytes = self.memory_mb.map_or(usize::MAX, |memory_mb| {
            let memory = usize::try_from(memory_mb.saturating_mul(1_000_000)).unwrap_or(usize::MAX);
            (memory.saturating_sub(BASE_BYTES) / 100 * ACCOUNT_PERCENT).max(MIN_ACCOUNT_BYTES)
        });
        // Half of the descriptors is for callers, a quarter for the internal and the control listeners, and the rest
        // for outgoing connections.
        let connections = self.connections().unwrap_or(usize::MAX);
        Some(byte_account::AccountBounds {
            bytes,
            caller_connections: (connections / 2).max(MIN_CONNECTIONS),
            internal_connections: (connections / 16 * 3).max(MIN_CONNECTIONS),
            control_connections: (connections / 16).max(MIN_CONNECTIONS),
        })
    }

    /// Returns how many connections to the backend server, and how many to other daemons, may be open; `None` if they
    /// are not limited. The parts are apart, since daemons whose connections to each other have no end before a backend
    /// server answers would otherwise wait for each other.
    #[must_use]
    pub fn outgoing_connections(&self) -> Option<usize> {
        self.connections()
            .map(|connections| (connections / 8).max(MIN_CONNECTIONS))
    }

    fn connections(&self) -> Option<usize> {
        let max_fds = usize::try_from(self.max_fds?).unwrap_or(usize::MAX);
        Some(max_fds.saturating_sub(FILE_FDS))
    }
}
