//! Gossip of one daemon: what to send, and what changed.
//!
//! Failure detection follows "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol" (Das
//! et al., DSN 2002): one probe per period, indirect probes, suspicion, piggybacked updates.

use std::collections;
use std::net;
use std::time;

use bytes::Bytes;
use damasktrack_entity::ids;
use damasktrack_entity::server_location;
use rand::RngExt;
use rand::SeedableRng;

use crate::anti_entropy;
use crate::gossip_detector;
use crate::gossip_message;
use crate::member_record;
use crate::member_table;
use crate::traffic_count;
use crate::update_queue;

/// Time between two probes of a daemon.
pub const GOSSIP_PERIOD: time::Duration = time::Duration::from_secs(1);
/// Daemons that are told at once that this one takes calls, drains or has left.
const LEAVE_FANOUT: usize = 4;
/// Time after the start in which a daemon asks another member when its exchange was refused.
const JOIN_TIME: time::Duration = time::Duration::from_secs(30);
/// Bytes that the array header of the updates may need beyond that of an empty array.
const ARRAY_HEADER_BYTES: usize = 2;

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipSend {
    /// Receiver.
    pub to: net::SocketAddr,
    /// Encoded message, at most [`gossip_message::MAX_DATAGRAM_BYTES`].
    pub datagram: Bytes,
}

/// Change that the caller has to know of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipEvent {
    /// A member is new or its record changed.
    MemberChanged {
        /// Its key in the table.
        key: member_table::MemberKey,
        /// State before; `None` for a new member.
        before: Option<member_record::MemberState>,
    },
    /// Exchange members with this peer.
    ExchangeDue {
        /// Its peer address.
        address: net::SocketAddr,
    },
    /// A peer has a higher configuration revision.
    RevisionAhead {
        /// Its peer address.
        address: net::SocketAddr,
        /// Its revision.
        revision: ids::Revision,
    },
    /// This daemon was suspected or declared dead and raised its version; its row need not be rewritten.
    Refuted,
    /// Another process with this daemon's id started later. This one must stop.
    Superseded,
}

/// What a step produced.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GossipOutput {
    /// Datagrams to send.
    pub sends: Vec<GossipSend>,
    /// Changes.
    pub events: Vec<GossipEvent>,
}

/// Gossip state of one daemon.
///
/// Invariants: the table holds this daemon's own record under `own`; only `own` has its version raised here; each
/// datagram is at most [`gossip_message::MAX_DATAGRAM_BYTES`] long.
#[derive(Debug)]
pub struct GossipContext {
    pub(crate) table: member_table::MemberTable,
    pub(crate) own: member_table::MemberKey,
    pub(crate) queue: update_queue::UpdateQueue,
    pub(crate) detector: gossip_detector::DetectorState,
    pub(crate) limiter: anti_entropy::ExchangeLimiter,
    pub(crate) revision: ids::Revision,
    pub(crate) started: time::Instant,
    pub(crate) superseded: bool,
    /// Set by a join; the first answer starts an exchange.
    pub(crate) joining: bool,
    /// Least recent delay of probes, both ways, by location.
    pub(crate) delays: collections::HashMap<server_location::ServerLocation, time::Duration>,
    pub(crate) traffic: traffic_count::TrafficCount,
    pub(crate) rng: rand::rngs::StdRng,
    pub(crate) output: GossipOutput,
    /// Reused while a message is filled.
    order: Vec<member_table::MemberKey>,
}

/// Commands.
impl GossipContext {
    /// Creates the gossip of a starting daemon.
    ///
    /// # Panics
    /// Panics if the record is not live, which is a bug.
    #[must_use]
    pub fn new(mut record: member_record::MemberRecord, seed: u64, now: time::Instant) -> Self {
        record.state = member_record::MemberState::Joining;
        record.leaving = false;
        let mut table = member_table::MemberTable::new();
        let member_table::TableMerge::Added(own) = table.merge(&record, now) else {
            unreachable!("the table is empty and the record is live");
        };
        let mut queue = update_queue::UpdateQueue::default();
        queue.push(own);
        let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
        // A random phase spreads the probes of daemons that start together over the period.
        let phase = GOSSIP_PERIOD.mul_f64(rng.random_range(0.0..1.0));
        Self {
            table,
            own,
            queue,
            detector: gossip_detector::DetectorState::new(now, phase),
            limiter: anti_entropy::ExchangeLimiter::new(now),
            revision: 0,
            started: now,
            superseded: false,
            joining: false,
            delays: collections::HashMap::new(),
            traffic: traffic_count::TrafficCount::default(),
            rng,
            output: GossipOutput::default(),
            order: Vec::new(),
        }
    }

    /// Contacts seeds, or members read from the store. The first that answers is asked for all members.
    pub fn join(&mut self, seeds: &[net::SocketAddr], now: time::Instant) -> GossipOutput {
        self.joining = true;
        let own = self.own_record().address;
        for seed in seeds.iter().filter(|seed| **seed != own) {
            self.probe_address(*seed, now);
        }
        self.take_output()
    }

    /// Does what is due. Call it at [`Self::next_wake`] or at least every 100 ms.
    pub fn tick(&mut self, now: time::Instant) -> GossipOutput {
        self.detect(now);
        self.take_output()
    }

    /// Handles a datagram.
    pub fn receive(&mut self, from: net::SocketAddr, datagram: &[u8], now: time::Instant) -> GossipOutput {
        self.traffic.received(datagram.len());
        match gossip_message::decode(datagram) {
            Ok(message) => self.handle(from, message, now),
            Err(_error) => self.traffic.malformed += 1,
        }
        self.take_output()
    }

    /// Announces that this daemon takes calls.
    pub fn set_up(&mut self, now: time::Instant) -> GossipOutput {
        if self.own_record().state == member_record::MemberState::Joining {
            self.change_own(now, |record| record.state = member_record::MemberState::Up);
            self.tell_some(now);
        }
        self.take_output()
    }

    /// Announces that this daemon takes no calls for now, for example since its backend server is down.
    pub fn set_waiting(&mut self, now: time::Instant) -> GossipOutput {
        if self.own_record().state == member_record::MemberState::Up {
            self.change_own(now, |record| record.state = member_record::MemberState::Joining);
            self.tell_some(now);
        }
        self.take_output()
    }

    /// Announces another number of slots of the backend server.
    pub fn set_slots(&mut self, slots: u32, now: time::Instant) {
        if self.own_record().slots != slots {
            self.change_own(now, |record| record.slots = slots);
        }
    }

    /// Announces that this daemon takes no new calls. Final for the incarnation.
    pub fn drain(&mut self, now: time::Instant) -> GossipOutput {
        if !self.own_record().leaving {
            self.change_own(now, |record| {
                record.state = member_record::MemberState::Draining;
                record.leaving = true;
            });
            self.tell_some(now);
        }
        self.take_output()
    }

    /// Announces that this daemon has left. Nothing is sent afterwards besides answers.
    pub fn leave(&mut self, now: time::Instant) -> GossipOutput {
        if self.own_record().state != member_record::MemberState::Left {
            self.change_own(now, |record| {
                record.state = member_record::MemberState::Left;
                record.leaving = true;
            });
            self.tell_some(now);
        }
        self.take_output()
    }

    /// Sets the configuration revision that probes carry. It never falls.
    pub fn set_revision(&mut self, revision: ids::Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Takes over rows of the table service. They are not gossiped on, since all daemons read them.
    pub fn learn_rows(&mut self, records: &[member_record::MemberRecord], now: time::Instant) -> GossipOutput {
        for record in records {
            self.apply_row(record, now);
        }
        self.take_output()
    }

    /// Returns the request of an exchange that [`GossipEvent::ExchangeDue`] asked for.
    pub fn exchange_request(&mut self) -> anti_entropy::ExchangeRequest {
        self.traffic.exchanges_started += 1;
        anti_entropy::request(&self.own_record().daemon_id, &self.table)
    }

    /// Answers an exchange that a peer asked for.
    pub fn exchange_reply(
        &mut self,
        request: &anti_entropy::ExchangeRequest,
        now: time::Instant,
    ) -> anti_entropy::ExchangeReply {
        if !self.limiter.may_answer(now) {
            return anti_entropy::ExchangeReply::Busy;
        }
        self.traffic.exchanges_answered += 1;
        anti_entropy::reply(request, &self.table)
    }

    /// Takes over a reply, and returns what the peer lacks; an empty return need not be sent.
    pub fn exchange_finish(
        &mut self,
        reply: &anti_entropy::ExchangeReply,
        now: time::Instant,
    ) -> (anti_entropy::ExchangeReturn, GossipOutput) {
        let anti_entropy::ExchangeReply::Members { differing, records } = reply else {
            // A joining daemon asks the next member that answers a probe; others wait for their next exchange.
            self.joining = now.saturating_duration_since(self.started) < JOIN_TIME;
            return (anti_entropy::ExchangeReturn::default(), GossipOutput::default());
        };
        let newer = anti_entropy::newer_than(differing, records, &self.table);
        (newer, self.learn(records, now))
    }

    /// Takes over records of an [`anti_entropy::ExchangeReturn`].
    pub fn learn(&mut self, records: &[member_record::MemberRecord], now: time::Instant) -> GossipOutput {
        for record in records {
            self.apply(record, now);
        }
        self.take_output()
    }

    /// Counts the encoded bytes of exchange messages, which the caller sends.
    pub fn count_exchange(&mut self, sent: usize, received: usize) {
        self.traffic.exchange(sent, received);
    }

    pub(crate) fn change_own(&mut self, now: time::Instant, change: impl FnOnce(&mut member_record::MemberRecord)) {
        let mut record = self.own_record().clone();
        record.version = record.version.saturating_add(1);
        change(&mut record);
        self.table.replace(self.own, record, now);
        self.queue.push(self.own);
    }

    /// Sends a message with as many queued updates as fit. The record of `about` is sent first whether queued or not.
    pub(crate) fn send(
        &mut self,
        to: net::SocketAddr,
        kind: gossip_message::GossipKind,
        about: &[member_table::MemberKey],
    ) {
        let mut message = gossip_message::GossipMessage {
            sender: self.own_record().daemon_id.clone(),
            digest: self.table.digest(),
            revision: self.revision,
            kind,
            updates: Vec::new(),
        };
        let Ok(empty) = gossip_message::encode(&message) else {
            return;
        };
        let mut room = gossip_message::MAX_DATAGRAM_BYTES.saturating_sub(empty.len() + ARRAY_HEADER_BYTES);
        let mut order = std::mem::take(&mut self.order);
        self.queue.order_into(&mut order);
        order.retain(|key| !about.contains(key));
        let limit = update_queue::transmission_limit(self.table.live_count());
        for key in about.iter().chain(&order) {
            let Some(entry) = self.table.get(*key) else {
                self.queue.remove(*key);
                continue;
            };
            let length = gossip_message::record_length(&entry.record);
            if length > room {
                break;
            }
            room -= length;
            message.updates.push(entry.record.clone());
            self.queue.transmitted(*key, limit);
        }
        self.order = order;
        let Ok(datagram) = gossip_message::encode(&message) else {
            return;
        };
        self.traffic.sent(datagram.len());
        self.output.sends.push(GossipSend {
            to,
            datagram: Bytes::from(datagram),
        });
    }

    fn tell_some(&mut self, now: time::Instant) {
        for key in self.random_live(LEAVE_FANOUT, None) {
            self.probe_member(key, gossip_detector::ProbePurpose::Tell, now);
        }
    }

    pub(crate) fn take_output(&mut self) -> GossipOutput {
        std::mem::take(&mut self.output)
    }
}

/// Queries.
impl GossipContext {
    /// Returns the member table.
    #[must_use]
    pub fn table(&self) -> &member_table::MemberTable {
        &self.table
    }

    /// Returns this daemon's own record.
    ///
    /// # Panics
    /// Panics if the own record is missing, which is a bug.
    #[must_use]
    pub fn own_record(&self) -> &member_record::MemberRecord {
        &self
            .table
            .get(self.own)
            .expect("the own record is never removed")
            .record
    }

    /// Returns when [`Self::tick`] has something to do next.
    #[must_use]
    pub fn next_wake(&self) -> time::Instant {
        self.next_due()
    }

    /// Returns the measured network delay, both ways, to servers at a location.
    #[must_use]
    pub fn network_delay(&self, location: &server_location::ServerLocation) -> Option<time::Duration> {
        self.delays.get(location).copied()
    }

    /// Returns all measured network delays.
    pub fn network_delays(&self) -> impl Iterator<Item = (&server_location::ServerLocation, time::Duration)> {
        self.delays.iter().map(|(location, delay)| (location, *delay))
    }

    /// Returns the configuration revision that probes carry.
    #[must_use]
    pub fn revision(&self) -> ids::Revision {
        self.revision
    }

    /// Returns the totals of the control traffic.
    #[must_use]
    pub fn traffic(&self) -> &traffic_count::TrafficCount {
        &self.traffic
    }

    /// Returns the number of changes that are still piggybacked.
    #[must_use]
    pub fn queued_updates(&self) -> usize {
        self.queue.len()
    }
}
