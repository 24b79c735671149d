//! Handling of membership events in the core.

use std::time;

use damasktrack_entity::ids;
use damasktrack_membership::gossip_context;
use damasktrack_membership::member_record;
use damasktrack_membership::member_table;

use crate::core::member_sync;
use crate::core::node_core;
use crate::core::peer_directory;

/// Commands.
impl node_core::NodeCore {
    pub(crate) fn handle_member(&mut self, command: member_sync::MemberCommand, now: time::Instant) {
        let events = self.members.handle(command, now);
        self.handle_member_events(events, now);
    }

    /// Returns when [`Self::wake_members`] has to be called.
    #[must_use]
    pub fn next_member_wake(&self, now: time::Instant) -> time::Instant {
        self.members.next_wake(now)
    }

    /// Runs the membership timers that are due.
    pub fn wake_members(&mut self, now: time::Instant) {
        let events = self.members.wake(now);
        self.handle_member_events(events, now);
        self.announce_readiness(now);
    }

    /// Announces `Up` once this daemon may accept calls, and `Joining` once it may not. Does nothing while it drains.
    pub(crate) fn announce_readiness(&mut self, now: time::Instant) {
        let ready = self.is_ready();
        let announced = self.members.gossip().own_record().state == member_record::MemberState::Up;
        if ready != announced && !self.draining {
            log::info!(ready = ready; "readiness changed");
            self.members.set_ready(ready, now);
        }
    }

    fn handle_member_events(&mut self, events: Vec<gossip_context::GossipEvent>, now: time::Instant) {
        for event in events {
            match event {
                gossip_context::GossipEvent::MemberChanged { key, before } => self.member_changed(key, before, now),
                gossip_context::GossipEvent::ExchangeDue { address } => self.members.exchange_with(address),
                gossip_context::GossipEvent::RevisionAhead { address, .. } => {
                    self.effects.config_signal().report_ahead(address);
                }
                // This daemon checks its backend server itself and announces no departures.
                gossip_context::GossipEvent::DepartureLearned => {}
                gossip_context::GossipEvent::Refuted => log::info!("refuted a suspicion, or an earlier start"),
                gossip_context::GossipEvent::Superseded => {
                    log::error!(
                        daemon:% = ids::text(&self.identity.daemon_id);
                        "another process with this daemon's id started later; this one stops"
                    );
                    self.effects.stop_process();
                }
            }
        }
    }

    fn member_changed(
        &mut self,
        key: member_table::MemberKey,
        before: Option<member_record::MemberState>,
        now: time::Instant,
    ) {
        let Some(entry) = self.members.gossip().table().get(key) else {
            return;
        };
        let record = entry.record.clone();
        if record.daemon_id == self.identity.daemon_id {
            return;
        }
        if before != Some(record.state) {
            let name = ids::text(&record.daemon_id);
            log::info!(peer:% = name, address:% = record.address, state:? = record.state; "member changed");
        }
        if record.state.is_live() {
            self.directory.insert(peer_directory::PeerIdentity::of(&record));
        } else {
            self.directory.remove(&record.daemon_id);
            self.members.check_isolation(now);
        }
        let mut peer = peer_directory::PeerIdentity::of(&record);
        if record.leaving && record.state.is_live() {
            // A suspicion replaces the state, but must not hide that the server is leaving.
            peer.state = member_record::MemberState::Draining;
        }
        self.routes.update_peer(&peer, now);
    }
}
