//! Merging of received records into the member table.

use std::cmp;
use std::net;
use std::time;

use crate::gossip_context;
use crate::gossip_context::GossipContext;
use crate::member_record;
use crate::member_table;

/// Time after the start of the process within which a record of this daemon with a later start is attributed to an
/// earlier process and a clock that was set back since. Afterwards it is attributed to a later process with the same
/// id.
const CLOCK_STEP_WINDOW: time::Duration = time::Duration::from_secs(30);
/// Time for which a claimed successor is probed before its record is overridden. A record of another writer hides this
/// daemon from the others meanwhile.
const SUCCESSOR_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Record of a later process with this daemon's id, which came from somebody else than that process.
#[derive(Debug)]
pub(crate) struct SuccessorClaim {
    record: member_record::MemberRecord,
    since: time::Instant,
}

/// Who sent a record of this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RecordSource {
    /// A row, or another daemon.
    Other,
    /// The process that the record describes, from the record's address.
    Itself,
}

impl GossipContext {
    /// Merges a gossiped or exchanged record and queues it for gossip if it changed the table. An implausible one
    /// counts as malformed.
    pub(crate) fn apply(&mut self, record: &member_record::MemberRecord, now: time::Instant) {
        if !record.is_plausible() {
            self.traffic.malformed += 1;
            return;
        }
        if record.daemon_id == self.own_record().daemon_id {
            self.apply_own(record, RecordSource::Other, now);
            return;
        }
        if let Some(key) = self.disputed_death(record) {
            self.detector.add_death_claim(key);
            return;
        }
        if let Some(key) = self.merge(record, now) {
            self.queue.push(key);
        }
    }

    /// Merges a row of the table service. It is not gossiped on, since its member may have been dead for hours. An
    /// implausible one, which another writer left, is ignored.
    pub(crate) fn apply_row(&mut self, record: &member_record::MemberRecord, now: time::Instant) {
        if !record.is_plausible_row() {
            return;
        }
        if record.daemon_id == self.own_record().daemon_id {
            self.apply_own(record, RecordSource::Other, now);
        } else {
            self.merge(record, now);
        }
    }

    /// Returns the key of a member that is live here and that a record of the same incarnation claims to be dead.
    ///
    /// After a partition the members of each side are dead in the tables of the other side. If such claims were merged
    /// at once, all members would be dead everywhere until each had refuted, so a claim only causes a probe. Claims
    /// about suspects are merged, since the time within which a suspect can refute is already running.
    fn disputed_death(&self, record: &member_record::MemberRecord) -> Option<member_table::MemberKey> {
        if record.state != member_record::MemberState::Dead {
            return None;
        }
        let key = self.table.key_of(&record.daemon_id)?;
        let known = &self.table.get(key)?.record;
        let live = known.state.is_live() && known.state != member_record::MemberState::Suspect;
        let same = known.compare_incarnation(record) == cmp::Ordering::Equal;
        (live && same && record.version >= known.version).then_some(key)
    }

    fn merge(&mut self, record: &member_record::MemberRecord, now: time::Instant) -> Option<member_table::MemberKey> {
        let (key, before) = match self.table.merge(record, now) {
            member_table::TableMerge::Ignored => return None,
            member_table::TableMerge::Added(key) => (key, None),
            member_table::TableMerge::Changed(key, before) => (key, Some(before)),
        };
        let state = self.table.get(key).map(|entry| entry.record.state);
        if state == Some(member_record::MemberState::Suspect) {
            self.detector.add_suspect(key, false);
        }
        let revived = before == Some(member_record::MemberState::Dead);
        if revived && state.is_some_and(member_record::MemberState::is_live) {
            self.detector.start_rejoin(now);
        }
        self.emit_member_changed(key, before);
        Some(key)
    }

    /// Merges the records of a message whose sender has this daemon's id: an earlier or later process, or a reflection.
    pub(crate) fn apply_from_namesake(
        &mut self,
        from: net::SocketAddr,
        records: &[member_record::MemberRecord],
        now: time::Instant,
    ) {
        let own_id = self.own_record().daemon_id.clone();
        for record in records {
            if record.daemon_id == own_id && record.address == from && record.is_plausible() {
                self.apply_own(record, RecordSource::Itself, now);
            } else {
                self.apply(record, now);
            }
        }
    }

    fn apply_own(&mut self, record: &member_record::MemberRecord, source: RecordSource, now: time::Instant) {
        if self.adopt_departure(record.departure.as_ref(), now) {
            self.output.events.push(gossip_context::GossipEvent::DepartureLearned);
        }
        let own = self.own_record();
        match own.compare_incarnation(record) {
            cmp::Ordering::Greater => {}
            cmp::Ordering::Less => self.handle_later_start(record, source, now),
            cmp::Ordering::Equal => {
                let newer = own.clone().merge(record) == member_record::MergeResult::Changed;
                if newer {
                    let version = own.version.max(record.version);
                    self.change_own(now, |own| own.version = version.saturating_add(1));
                    self.output.events.push(gossip_context::GossipEvent::Refuted);
                } else if matches!(
                    record.state,
                    member_record::MemberState::Suspect | member_record::MemberState::Dead
                ) {
                    // This daemon has refuted already, but the sender lacks the refutation.
                    self.queue.push(self.own);
                }
            }
        }
    }

    /// Decides about a record of this daemon with a later start. Rows and gossip may carry one that another writer
    /// made, so only the later process itself is believed. While this process runs, it holds the sockets of its own
    /// address, so no other process has replaced it there.
    fn handle_later_start(&mut self, record: &member_record::MemberRecord, source: RecordSource, now: time::Instant) {
        let starting = now.saturating_duration_since(self.started) < CLOCK_STEP_WINDOW;
        if starting || record.address == self.own_record().address {
            self.override_start(record, now);
        } else if source == RecordSource::Itself {
            if !self.superseded {
                self.superseded = true;
                self.output.events.push(gossip_context::GossipEvent::Superseded);
            }
        } else {
            let known = self.claim.as_ref();
            if known.is_none_or(|claim| claim.record.compare_incarnation(record) == cmp::Ordering::Less) {
                let since = known.map_or(now, |claim| claim.since);
                self.claim = Some(SuccessorClaim {
                    record: record.clone(),
                    since,
                });
                self.probe_address(record.address, now);
            }
        }
    }

    /// Probes a claimed successor again, or overrides its record if it has not answered in time.
    pub(crate) fn check_claim(&mut self, now: time::Instant) {
        let Some(claim) = self.claim.take() else {
            return;
        };
        if claim.record.compare_incarnation(self.own_record()) != cmp::Ordering::Greater {
            return;
        }
        if now.saturating_duration_since(claim.since) >= SUCCESSOR_TIMEOUT {
            self.override_start(&claim.record, now);
            return;
        }
        self.probe_address(claim.record.address, now);
        self.claim = Some(claim);
    }

    fn override_start(&mut self, record: &member_record::MemberRecord, now: time::Instant) {
        let started_ms = record.started_ms.saturating_add(1);
        self.change_own(now, |own| own.started_ms = started_ms);
        self.output.events.push(gossip_context::GossipEvent::Refuted);
    }
}
