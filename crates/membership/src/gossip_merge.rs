//! Taking over records that others sent.

use std::cmp;
use std::time;

use crate::gossip_context;
use crate::gossip_context::GossipContext;
use crate::member_record;
use crate::member_table;

/// Time after the start of the process in which a record with a later start comes from a clock that was set back. After
/// it, it comes from a later process with the same id.
const START_WINDOW: time::Duration = time::Duration::from_secs(30);

impl GossipContext {
    /// Takes over a gossiped or exchanged record and passes it on if it was new.
    pub(crate) fn apply(&mut self, record: &member_record::MemberRecord, now: time::Instant) {
        if record.daemon_id == self.own_record().daemon_id {
            self.apply_own(record, now);
            return;
        }
        if let Some(key) = self.dead_claim(record) {
            self.detector.claim(key);
            return;
        }
        if let Some(key) = self.merge(record, now) {
            self.queue.push(key);
        }
    }

    /// Takes over a row of the table service. It is not passed on: its member may have been dead for hours.
    pub(crate) fn apply_row(&mut self, record: &member_record::MemberRecord, now: time::Instant) {
        if record.daemon_id == self.own_record().daemon_id {
            self.apply_own(record, now);
        } else {
            self.merge(record, now);
        }
    }

    /// Returns the member if a record claims that it is dead while it is live here.
    ///
    /// After a partition each side holds the other's members for dead. If such claims were taken over at once, all
    /// members would be dead everywhere until each had refuted, so a claim only leads to a probe. Suspects are
    /// different: their time to refute has begun.
    fn dead_claim(&self, record: &member_record::MemberRecord) -> Option<member_table::MemberKey> {
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
            self.detector.suspect(key, false);
        }
        let revived = before == Some(member_record::MemberState::Dead);
        if revived && state.is_some_and(member_record::MemberState::is_live) {
            self.detector.expect_returns(now);
        }
        self.changed(key, before);
        Some(key)
    }

    fn apply_own(&mut self, record: &member_record::MemberRecord, now: time::Instant) {
        let own = self.own_record();
        match own.compare_incarnation(record) {
            cmp::Ordering::Greater => {}
            cmp::Ordering::Less => self.meet_later_start(record, now),
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
                    // Refuted before, but the sender has not heard of it.
                    self.queue.push(self.own);
                }
            }
        }
    }

    fn meet_later_start(&mut self, record: &member_record::MemberRecord, now: time::Instant) {
        if now.saturating_duration_since(self.started) < START_WINDOW {
            let started_ms = record.started_ms.saturating_add(1);
            self.change_own(now, |own| own.started_ms = started_ms);
            self.output.events.push(gossip_context::GossipEvent::Refuted);
        } else if !self.superseded {
            self.superseded = true;
            self.output.events.push(gossip_context::GossipEvent::Superseded);
        }
    }
}
