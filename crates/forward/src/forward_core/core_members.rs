//! Members, and the backend server as the others see it.

use std::net;
use std::time;

use damasktrack_entity::ids;
use damasktrack_membership::gossip_context;
use damasktrack_membership::member_record;
use damasktrack_membership::member_table;
use damasktrack_routing::route_candidate;
use rand::seq::SliceRandom;

use super::CoreEffect;
use super::ForwardCore;
use crate::server_report;

/// Daemons that are contacted after a list of members; the gossip reaches the others. In a sweep of the users' bench
/// with 312 daemons the middle one moved 95 KB/s while each contacted all others, and 39 KB/s with this sample.
const MAX_CONTACTS: usize = 24;

/// Commands.
impl ForwardCore {
    /// Notes that the backend server refused a connection.
    pub fn server_refused(&mut self, now: time::Instant) {
        if self.server.refuse_connection() == server_report::ReportEffect::Changed {
            log::warn!(address:% = self.settings.server_address; "backend server refused the connection");
            self.announce_server(now);
        }
    }

    /// Notes that the backend server answered.
    pub fn server_reached(&mut self, now: time::Instant) {
        if self.server.reached() == server_report::ReportEffect::Changed {
            log::info!(address:% = self.settings.server_address; "backend server answers again");
            self.announce_server(now);
        }
    }

    /// Takes over a heartbeat of the backend server.
    pub fn learn_server(&mut self, report: server_report::ServerReport, now: time::Instant) {
        let slots = report.slots;
        match self.server.learn(report) {
            server_report::ReportEffect::Changed => {
                self.gate.set_slots(slots);
                self.gossip.set_slots(slots, now);
                self.log_server("heartbeat");
                self.announce_server(now);
            }
            server_report::ReportEffect::Unchanged => {}
            server_report::ReportEffect::Stale => log::info!("stale heartbeat of the backend server ignored"),
        }
    }

    /// Takes over that an instance of the backend server leaves.
    pub fn depart_server(&mut self, instance: &server_report::InstanceId, started_ms: Option<u64>, now: time::Instant) {
        if self.server.depart(instance, started_ms) == server_report::ReportEffect::Changed {
            self.log_server("deregistered");
            self.announce_server(now);
        }
    }

    /// Takes over members that the store lists.
    pub fn learn_members(&mut self, records: &[member_record::MemberRecord], now: time::Instant) {
        self.listed = true;
        let output = self.gossip.learn_rows(records, now);
        self.apply(output, now);
        let contacts = self.choose_contacts(records);
        self.contact(&contacts, now);
    }

    /// Draws [`MAX_CONTACTS`] addresses, two thirds of them from the own region as far as it has so many.
    fn choose_contacts(&mut self, records: &[member_record::MemberRecord]) -> Vec<net::SocketAddr> {
        let others = records
            .iter()
            .filter(|record| record.daemon_id != self.settings.daemon_id);
        let region = &self.settings.location.region;
        let (mut near, mut far): (Vec<_>, Vec<_>) = others.partition(|record| record.location.region == *region);
        near.shuffle(&mut self.rng);
        far.shuffle(&mut self.rng);
        let near_count = near
            .len()
            .min((MAX_CONTACTS * 2 / 3).max(MAX_CONTACTS.saturating_sub(far.len())));
        let chosen = near.iter().take(near_count).chain(&far).take(MAX_CONTACTS);
        chosen.map(|record| record.address).collect()
    }

    /// Contacts daemons at these addresses.
    pub fn contact(&mut self, addresses: &[net::SocketAddr], now: time::Instant) {
        let output = self.gossip.join(addresses, now);
        self.apply(output, now);
    }

    /// Handles a datagram of the gossip.
    pub fn receive_gossip(&mut self, from: net::SocketAddr, datagram: &[u8], now: time::Instant) {
        let output = self.gossip.receive(from, datagram, now);
        self.apply(output, now);
    }

    /// Does what is due in the gossip.
    pub fn gossip_tick(&mut self, now: time::Instant) {
        let output = self.gossip.tick(now);
        self.apply(output, now);
    }

    /// Runs a step of a member exchange.
    pub fn exchange<R>(
        &mut self,
        now: time::Instant,
        step: impl FnOnce(&mut gossip_context::GossipContext) -> (R, gossip_context::GossipOutput),
    ) -> R {
        let (result, output) = step(&mut self.gossip);
        self.apply(output, now);
        result
    }

    /// Tells other daemons whether the backend server takes work.
    fn announce_server(&mut self, now: time::Instant) {
        let output = if self.server.is_up() {
            self.gossip.set_up(now)
        } else {
            self.gossip.set_waiting(now)
        };
        self.apply(output, now);
        self.sync_own_route(now);
    }

    pub(super) fn apply(&mut self, output: gossip_context::GossipOutput, now: time::Instant) {
        for send in output.sends {
            self.effect(CoreEffect::Send(send));
        }
        for event in output.events {
            match event {
                gossip_context::GossipEvent::MemberChanged { key, before } => self.member_changed(key, before, now),
                gossip_context::GossipEvent::ExchangeDue { address } => self.effect(CoreEffect::Exchange(address)),
                gossip_context::GossipEvent::RevisionAhead { address, .. } => {
                    self.effect(CoreEffect::FetchConfig(address));
                }
                gossip_context::GossipEvent::Refuted => log::info!("refuted a suspicion, or an earlier start"),
                gossip_context::GossipEvent::Superseded => self.effect(CoreEffect::Superseded),
            }
        }
    }

    fn member_changed(
        &mut self,
        key: member_table::MemberKey,
        before: Option<member_record::MemberState>,
        now: time::Instant,
    ) {
        let Some(entry) = self.gossip.table().get(key) else {
            return;
        };
        let record = entry.record.clone();
        if record.daemon_id == self.settings.daemon_id {
            return;
        }
        if before != Some(record.state) {
            let name = ids::text(&record.daemon_id);
            log::info!(peer:% = name, state:? = record.state, before:? = before; "member changed");
        }
        if !record.state.is_live() {
            if let Some(server) = self.routes.key_of(&record.daemon_id) {
                self.routes.remove(server);
            }
            self.effect(CoreEffect::Unlink(record.address));
            return;
        }
        let ready_since = match before {
            Some(member_record::MemberState::Joining) => Some(now),
            _ => None,
        };
        self.routes.upsert(candidate_of(&record, ready_since));
    }

    pub(super) fn sync_own_route(&mut self, now: time::Instant) {
        let mut record = self.gossip.own_record().clone();
        if let Some(report) = self.server.report() {
            record.service = report.service.clone();
        }
        let cold = self.server.report().is_some_and(|report| !report.cold_left.is_zero());
        self.routes.upsert(candidate_of(&record, cold.then_some(now)));
    }

    fn log_server(&self, cause: &str) {
        let Some(report) = self.server.report() else {
            return;
        };
        let instance = ids::text(&report.instance);
        log::info!(
            cause = cause, instance:% = instance, condition:? = report.condition, up = self.server.is_up(),
            slots = report.slots, sequence = report.sequence;
            "backend server changed"
        );
    }
}

fn candidate_of(
    record: &member_record::MemberRecord,
    ready_since: Option<time::Instant>,
) -> route_candidate::RouteCandidate {
    let state = match record.state {
        _ if record.leaving => route_candidate::CandidateState::Leaving,
        member_record::MemberState::Joining => route_candidate::CandidateState::Starting,
        member_record::MemberState::Up => route_candidate::CandidateState::Ready,
        member_record::MemberState::Suspect => route_candidate::CandidateState::Suspect,
        member_record::MemberState::Draining | member_record::MemberState::Dead | member_record::MemberState::Left => {
            route_candidate::CandidateState::Leaving
        }
    };
    route_candidate::RouteCandidate {
        daemon_id: record.daemon_id.clone(),
        incarnation: record.incarnation,
        service: record.service.clone(),
        address: record.address,
        location: record.location.clone(),
        slots: record.slots,
        state,
        ready_since,
    }
}
