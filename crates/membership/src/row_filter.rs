//! Decides which rows of the table of members count.
//!
//! A row of another writer can replace the record of a daemon until that daemon overrides it. Records that daemons
//! gossip aren't checked, so a sound daemon whose row is held back is still known by gossip.

use std::collections;

use damasktrack_entity::ids;

use crate::member_record;
use crate::member_table;

/// Decision about a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowVerdict {
    /// The row counts.
    Valid,
    /// No configuration has been seen yet, so the service can't be judged.
    Undecided,
    /// No configuration that was seen names the service.
    UnknownService,
    /// The port isn't the peer port of the deployment.
    ForeignPort,
}

/// Rows of a list by verdict.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SortedRows {
    /// Rows that count.
    pub valid: Vec<member_record::MemberRecord>,
    /// Rows whose daemons may be contacted, but whose contents don't count: those held for a later configuration.
    pub held: Vec<member_record::MemberRecord>,
    /// Daemons of the rows that don't count, with the reason; without the undecided ones.
    pub findings: Vec<(ids::DaemonId, RowVerdict)>,
}

/// Services that the configurations name, and the rows that wait for one that names theirs.
///
/// Services are never removed: a daemon of a service that the newest configuration no longer names may still run, and
/// configurations reach the daemons in any order.
#[derive(Debug)]
pub struct RowFilter {
    daemon_id: ids::DaemonId,
    service: ids::ServiceName,
    peer_port: u16,
    services: collections::HashSet<ids::ServiceName>,
    configured: bool,
    /// Rows of the newest list that wait; at most [`member_table::MAX_MEMBERS`].
    held: Vec<member_record::MemberRecord>,
}

/// Commands.
impl RowFilter {
    /// Creates the filter of the daemon with this record.
    #[must_use]
    pub fn new(own: &member_record::MemberRecord) -> Self {
        Self {
            daemon_id: own.daemon_id.clone(),
            service: own.service.clone(),
            peer_port: own.address.port(),
            services: collections::HashSet::new(),
            configured: false,
            held: Vec::new(),
        }
    }

    /// Sorts the rows of a list, which replace the held rows of the list before.
    pub fn sort_list(&mut self, records: &[member_record::MemberRecord]) -> SortedRows {
        let mut sorted = SortedRows::default();
        for record in records {
            let verdict = self.judge(record);
            match verdict {
                RowVerdict::Valid => sorted.valid.push(record.clone()),
                RowVerdict::Undecided | RowVerdict::UnknownService => sorted.held.push(record.clone()),
                RowVerdict::ForeignPort => {}
            }
            if matches!(verdict, RowVerdict::UnknownService | RowVerdict::ForeignPort) {
                sorted.findings.push((record.daemon_id.clone(), verdict));
            }
        }
        sorted.held.truncate(member_table::MAX_MEMBERS);
        self.held.clone_from(&sorted.held);
        sorted
    }

    /// Adds the services of a configuration, and returns the held rows that count from now on.
    pub fn add_services<'a>(
        &mut self,
        services: impl Iterator<Item = &'a ids::ServiceName>,
    ) -> Vec<member_record::MemberRecord> {
        self.configured = true;
        self.services.extend(services.cloned());
        let held = std::mem::take(&mut self.held);
        let (valid, held) = held
            .into_iter()
            .partition(|record| self.judge(record) == RowVerdict::Valid);
        self.held = held;
        valid
    }
}

/// Queries.
impl RowFilter {
    /// Returns the decision about a row. A row of this daemon counts whatever its service: it contains the departure
    /// that an earlier process acknowledged, and a successor that it claims is probed first.
    #[must_use]
    pub fn judge(&self, record: &member_record::MemberRecord) -> RowVerdict {
        if record.address.port() != self.peer_port {
            return RowVerdict::ForeignPort;
        }
        let own = record.daemon_id == self.daemon_id || record.service == self.service;
        if own || self.services.contains(&record.service) {
            RowVerdict::Valid
        } else if self.configured {
            RowVerdict::UnknownService
        } else {
            RowVerdict::Undecided
        }
    }
}
