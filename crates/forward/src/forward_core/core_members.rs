//! Membership, and the state of the backend server that other daemons see.

use std::net;
use std::time;

use damasktrack_entity::ids;
use damasktrack_membership::gossip_context;
use damasktrack_membership::member_record;
use damasktrack_membership::member_table;
use damasktrack_membership::row_filter;
use damasktrack_routing::route_candidate;
use rand::seq::SliceRandom;

use super::CoreEffect;
use super::ForwardCore;
use crate::forward_core;
use crate::peer_call;
use crate::server_hint;
use crate::server_notice;
use crate::server_report;

/// Maximum number of daemons that are contacted after a list of members; gossip reaches the others. With 312 daemons
/// the median daemon transfers 95 KB/s if each contacts all others, and 39 KB/s with this limit.
const MAX_CONTACTS: usize = 24;

/// Commands.
impl ForwardCore {
    /// Records that the backend server refused a connection.
    pub fn server_refused(&mut self, now: time::Instant) {
        if self.server.mark_unreachable() == server_report::ReportEffect::Changed {
            log::warn!(address:% = self.settings.server_address; "backend server refused the connection");
            self.announce_server(now);
        }
    }

    /// Records that the backend server responded.
    pub fn server_reached(&mut self, now: time::Instant) {
        if self.server.mark_reachable() == server_report::ReportEffect::Changed {
            log::info!(address:% = self.settings.server_address; "backend server responds again");
            self.announce_server(now);
        }
    }

    /// Applies a heartbeat of the backend server.
    pub fn apply_server_report(&mut self, report: server_report::ServerReport, now: time::Instant) {
        let slots = report.slots;
        let effect = self.server.apply_report(report);
        self.record_departure(now);
        match effect {
            server_report::ReportEffect::Changed => {
                self.gate.set_slots(slots);
                self.gate.set_start_rate(self.server.request_limit(), now);
                self.gossip.set_slots(slots, now);
                self.log_server("heartbeat");
                self.announce_server(now);
            }
            server_report::ReportEffect::Unchanged => {}
            server_report::ReportEffect::Stale | server_report::ReportEffect::Unknown => {
                log::info!("stale heartbeat of the backend server ignored");
            }
        }
    }

    /// Records that an instance of the backend server leaves. `started_ms` is `None` if the message has no start time.
    pub fn apply_server_departure(
        &mut self,
        instance: &server_report::InstanceId,
        started_ms: Option<u64>,
        now: time::Instant,
    ) -> server_report::ReportEffect {
        let effect = self.server.apply_departure(instance, started_ms);
        self.record_departure(now);
        if effect == server_report::ReportEffect::Changed {
            self.log_server("deregistered");
            self.announce_server(now);
        }
        effect
    }

    /// Applies the notices in a response of the backend server to a call with this permit. The caller logs a change.
    pub fn apply_server_notice(
        &mut self,
        permit: &forward_core::WorkPermit,
        notice: server_notice::ServerNotice,
        now: time::Instant,
    ) -> server_report::ReportEffect {
        let effect = self.server.apply_notice(&permit.instance, permit.started_ms, notice);
        if effect == server_report::ReportEffect::Changed {
            self.gate.set_start_rate(self.server.request_limit(), now);
            if notice.leaving {
                self.record_departure(now);
                self.announce_server(now);
            }
            self.poll_gate(now);
        }
        effect
    }

    /// Applies what the entry daemon of a call knows of the backend server.
    pub(super) fn apply_server_hint(&mut self, hint: &server_hint::ServerHint, now: time::Instant) {
        if self.server.apply_hint(hint) == server_report::ReportEffect::Changed {
            let instance = ids::text(&hint.instance);
            log::info!(
                instance:% = instance, limit:? = hint.request_limit, leaving = hint.leaving;
                "notices of the backend server learned from another daemon"
            );
            self.gate.set_start_rate(self.server.request_limit(), now);
            if hint.leaving {
                self.record_departure(now);
                self.announce_server(now);
            }
        }
    }

    /// Records the notices of the backend server beside another daemon in its reply to a call.
    pub fn note_reply(&mut self, daemon: &ids::DaemonId, reply: &peer_call::CallReply, now: time::Instant) {
        match reply.verdict {
            peer_call::CallVerdict::Answered => self.hints.note_response(daemon, reply.hint.clone(), now),
            peer_call::CallVerdict::NotRun(_) | peer_call::CallVerdict::MayHaveRun => {
                self.hints.note_refusal(daemon, reply.hint.clone(), now);
            }
        }
    }

    /// Merges the members that the store lists, and contacts a sample of them. The row of an earlier process of this
    /// daemon has the departure that it acknowledged. Returns the daemons of the rows that don't count, with the
    /// reason.
    pub fn merge_members(
        &mut self,
        records: &[member_record::MemberRecord],
        now: time::Instant,
    ) -> Vec<(ids::DaemonId, row_filter::RowVerdict)> {
        let rows = self.row_filter.sort_list(records);
        let output = self.gossip.learn_rows(&rows.valid, now);
        self.apply(output, now);
        if !self.members_listed {
            self.members_listed = true;
            self.announce_server(now);
        }
        // A held row may be that of a sound daemon, which then answers for itself by gossip.
        let mut contacts = self.choose_contacts(&rows.valid, MAX_CONTACTS);
        let left = MAX_CONTACTS.saturating_sub(contacts.len());
        contacts.extend(self.choose_contacts(&rows.held, left));
        self.contact(&contacts, now);
        rows.findings
    }

    /// Merges rows that a configuration made valid. Their daemons have been contacted with the list.
    pub(super) fn merge_released(&mut self, records: &[member_record::MemberRecord], now: time::Instant) {
        if records.is_empty() {
            return;
        }
        log::info!(members = records.len(); "members of a service that the configuration names");
        let output = self.gossip.learn_rows(records, now);
        self.apply(output, now);
    }

    /// Draws at most `limit` addresses, two thirds of them from this daemon's region if it has enough members. If
    /// either group is too small, the other one supplies the rest.
    fn choose_contacts(&mut self, records: &[member_record::MemberRecord], limit: usize) -> Vec<net::SocketAddr> {
        let others = records
            .iter()
            .filter(|record| record.daemon_id != self.settings.daemon_id);
        let region = &self.settings.location.region;
        let (mut in_region, mut cross_region): (Vec<_>, Vec<_>) =
            others.partition(|record| record.location.region == *region);
        in_region.shuffle(&mut self.rng);
        cross_region.shuffle(&mut self.rng);
        let in_region_count = in_region
            .len()
            .min((limit * 2 / 3).max(limit.saturating_sub(cross_region.len())));
        let chosen = in_region.iter().take(in_region_count).chain(&cross_region).take(limit);
        chosen.map(|record| record.address).collect()
    }

    /// Starts a gossip join with the daemons at these addresses.
    pub fn contact(&mut self, addresses: &[net::SocketAddr], now: time::Instant) {
        let output = self.gossip.join(addresses, now);
        self.apply(output, now);
    }

    /// Handles a gossip datagram.
    pub fn receive_gossip(&mut self, from: net::SocketAddr, datagram: &[u8], now: time::Instant) {
        let output = self.gossip.receive(from, datagram, now);
        self.apply(output, now);
    }

    /// Runs the gossip timers that are due.
    pub fn gossip_tick(&mut self, now: time::Instant) {
        let output = self.gossip.tick(now);
        self.apply(output, now);
    }

    /// Runs one step of a member exchange and applies its output.
    pub fn exchange<R>(
        &mut self,
        now: time::Instant,
        step: impl FnOnce(&mut gossip_context::GossipContext) -> (R, gossip_context::GossipOutput),
    ) -> R {
        let (result, output) = step(&mut self.gossip);
        self.apply(output, now);
        result
    }

    /// Puts the departure of the backend server into the own member record, from which the store and the other daemons
    /// know it.
    fn record_departure(&mut self, now: time::Instant) {
        if let Some(departure) = self.server.departure() {
            let output = self.gossip.set_departure(&departure, now);
            self.apply(output, now);
        }
    }

    /// Applies a departure that an earlier process of this daemon acknowledged.
    fn recall_departure(&mut self, now: time::Instant) {
        let Some(departure) = self.gossip.own_record().departure.clone() else {
            return;
        };
        log::info!(
            instance:% = ids::text(&departure.instance), started_ms = departure.started_ms;
            "departure of the backend server recalled"
        );
        let effect = self
            .server
            .apply_departure(&departure.instance, Some(departure.started_ms));
        if effect == server_report::ReportEffect::Changed {
            self.announce_server(now);
        }
    }

    /// Announces the backend server if it became usable without a message of its own, by the end of the wait for the
    /// list of members.
    pub(super) fn announce_waiting_server(&mut self, now: time::Instant) {
        let waiting = self.gossip.own_record().state == member_record::MemberState::Joining;
        if waiting && self.server.is_up() && self.is_joined(now) {
            self.announce_server(now);
        }
    }

    /// Announces to the other members whether the backend server accepts calls, and updates the local route.
    fn announce_server(&mut self, now: time::Instant) {
        let output = if self.server.is_up() && self.is_joined(now) {
            self.gossip.set_up(now)
        } else {
            self.gossip.set_waiting(now)
        };
        self.apply(output, now);
        self.sync_own_route(now);
    }

    pub(super) fn apply(&mut self, output: gossip_context::GossipOutput, now: time::Instant) {
        for send in output.sends {
            self.emit(CoreEffect::Send(send));
        }
        for event in output.events {
            match event {
                gossip_context::GossipEvent::MemberChanged { key, before } => self.member_changed(key, before, now),
                gossip_context::GossipEvent::ExchangeDue { address } => self.emit(CoreEffect::Exchange(address)),
                gossip_context::GossipEvent::RevisionAhead { address, .. } => {
                    self.emit(CoreEffect::FetchConfig(address));
                }
                gossip_context::GossipEvent::DepartureLearned => self.recall_departure(now),
                gossip_context::GossipEvent::Refuted => log::info!("refuted a suspicion, or an earlier start"),
                gossip_context::GossipEvent::Superseded => self.emit(CoreEffect::Superseded),
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
        if let Some(departure) = &record.departure {
            self.hints.note_departure(&record.daemon_id, departure, now);
        }
        if before != Some(record.state) {
            let name = ids::text(&record.daemon_id);
            log::info!(peer:% = name, state:? = record.state, before:? = before; "member changed");
        }
        if !record.state.is_live() {
            if let Some(server) = self.routes.key_of(&record.daemon_id) {
                self.routes.remove(server);
            }
            self.emit(CoreEffect::CloseLinks(record.address));
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
