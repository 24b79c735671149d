//! Gossip protocol of one daemon: datagrams to send, and events for the caller.
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
use crate::gossip_merge;
use crate::gossip_message;
use crate::member_record;
use crate::member_table;
use crate::server_departure;
use crate::traffic_count;
use crate::update_queue;

/// Time between two probes of a daemon.
pub const GOSSIP_PERIOD: time::Duration = time::Duration::from_secs(1);
/// Random live members that get an immediate probe with a change of this daemon's state.
const ANNOUNCE_FANOUT: usize = 4;
/// Random live members that get an immediate probe with a new configuration revision. Those that all of these probes
/// miss learn it from a periodic one.
const REVISION_FANOUT: usize = 8;
/// Time after the start within which a daemon requests an exchange from another member when a member refused one.
const JOIN_RETRY_WINDOW: time::Duration = time::Duration::from_secs(30);
/// Bytes by which the array header of the updates may exceed that of an empty array.
const ARRAY_HEADER_BYTES: usize = 2;

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipSend {
    /// Gossip address of the receiver.
    pub to: net::SocketAddr,
    /// Encoded message, at most [`gossip_message::MAX_DATAGRAM_BYTES`].
    pub datagram: Bytes,
}

/// Event that the caller must handle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipEvent {
    /// A member is new or its record changed.
    MemberChanged {
        /// Key of the member in the table.
        key: member_table::MemberKey,
        /// State before the change; `None` for a new member.
        before: Option<member_record::MemberState>,
    },
    /// An exchange of members with a peer is due.
    ExchangeDue {
        /// Peer address.
        address: net::SocketAddr,
    },
    /// A peer has a higher configuration revision.
    RevisionAhead {
        /// Peer address.
        address: net::SocketAddr,
        /// Configuration revision in force at the peer.
        revision: ids::Revision,
    },
    /// A record of this daemon, in the store or at another daemon, had a later departure of the backend server than its
    /// own one, which has it now.
    DepartureLearned,
    /// Another daemon held a newer record of this daemon, for example as suspect or dead, and this daemon has
    /// overridden it. Its row need not be rewritten.
    Refuted,
    /// Another process with this daemon's id was started later, and has said so itself. This process must stop.
    Superseded,
}

/// Output of one call to a [`GossipContext`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GossipOutput {
    /// Datagrams to send.
    pub sends: Vec<GossipSend>,
    /// Events to handle, in order.
    pub events: Vec<GossipEvent>,
}

/// Gossip protocol state of one daemon.
///
/// Invariants: the table holds this daemon's own record under `own`; of all records, only that one has its
/// version raised by this daemon; each datagram is at most [`gossip_message::MAX_DATAGRAM_BYTES`] long.
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
    /// Claim that a later process with this daemon's id runs at another address, until that process confirms it.
    pub(crate) claim: Option<gossip_merge::SuccessorClaim>,
    /// Whether the next answer to a probe starts an exchange; set by a join.
    pub(crate) joining: bool,
    /// Round-trip time of direct probes by location: the minimum, which rises by at most `MAX_DELAY_RISE` per
    /// measurement.
    pub(crate) delays: collections::HashMap<server_location::ServerLocation, time::Duration>,
    pub(crate) traffic: traffic_count::TrafficCount,
    pub(crate) rng: rand::rngs::StdRng,
    pub(crate) output: GossipOutput,
    /// Buffer for the order of queued updates, reused between messages.
    order: Vec<member_table::MemberKey>,
}

/// Commands.
impl GossipContext {
    /// Creates the state of a starting daemon. `record` is set to joining, and `seed` seeds the random number
    /// generator.
    ///
    /// # Panics
    /// Panics if the table rejects the record, which is a bug: the table is empty and the record is live.
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
            claim: None,
            joining: false,
            delays: collections::HashMap::new(),
            traffic: traffic_count::TrafficCount::default(),
            rng,
            output: GossipOutput::default(),
            order: Vec::new(),
        }
    }

    /// Probes seeds, or members read from the store. The first answer causes an exchange with its sender.
    pub fn join(&mut self, seeds: &[net::SocketAddr], now: time::Instant) -> GossipOutput {
        self.joining = true;
        let own = self.own_record().address;
        for seed in seeds.iter().filter(|seed| **seed != own) {
            self.probe_address(*seed, now);
        }
        self.take_output()
    }

    /// Runs the timers that are due. Must be called at [`Self::next_wake`] or at least every 100 ms.
    pub fn tick(&mut self, now: time::Instant) -> GossipOutput {
        self.detect(now);
        self.take_output()
    }

    /// Handles a received datagram. Malformed ones are counted and dropped.
    pub fn receive(&mut self, from: net::SocketAddr, datagram: &[u8], now: time::Instant) -> GossipOutput {
        self.traffic.received(datagram.len());
        match gossip_message::decode(datagram) {
            Ok(message) => self.handle(from, message, now),
            Err(_error) => self.traffic.malformed += 1,
        }
        self.take_output()
    }

    /// Announces that this daemon accepts calls.
    pub fn set_up(&mut self, now: time::Instant) -> GossipOutput {
        if self.own_record().state == member_record::MemberState::Joining {
            self.change_own(now, |record| record.state = member_record::MemberState::Up);
            self.announce(now);
        }
        self.take_output()
    }

    /// Announces that this daemon accepts no calls for now, for example because its backend server is down.
    pub fn set_waiting(&mut self, now: time::Instant) -> GossipOutput {
        if self.own_record().state == member_record::MemberState::Up {
            self.change_own(now, |record| record.state = member_record::MemberState::Joining);
            self.announce(now);
        }
        self.take_output()
    }

    /// Announces a changed number of slots of the backend server.
    pub fn set_slots(&mut self, slots: u32, now: time::Instant) {
        if self.own_record().slots != slots {
            self.change_own(now, |record| record.slots = slots);
        }
    }

    /// Announces the departure of the backend server, unless a later one is known.
    pub fn set_departure(&mut self, departure: &server_departure::ServerDeparture, now: time::Instant) -> GossipOutput {
        if self.adopt_departure(Some(departure), now) {
            self.announce(now);
        }
        self.take_output()
    }

    /// Announces that this daemon accepts no new calls. Final for the incarnation.
    pub fn drain(&mut self, now: time::Instant) -> GossipOutput {
        if !self.own_record().leaving {
            self.change_own(now, |record| {
                record.state = member_record::MemberState::Draining;
                record.leaving = true;
            });
            self.announce(now);
        }
        self.take_output()
    }

    /// Announces that this daemon has left. Afterwards it only answers probes.
    pub fn leave(&mut self, now: time::Instant) -> GossipOutput {
        if self.own_record().state != member_record::MemberState::Left {
            self.change_own(now, |record| {
                record.state = member_record::MemberState::Left;
                record.leaving = true;
            });
            self.announce(now);
        }
        self.take_output()
    }

    /// Sets the configuration revision that messages carry. Lower revisions than the current one are ignored.
    pub fn set_revision(&mut self, revision: ids::Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Sets the configuration revision like [`Self::set_revision`], and announces a change of it at once.
    pub fn announce_revision(&mut self, revision: ids::Revision, now: time::Instant) -> GossipOutput {
        let before = self.revision;
        self.set_revision(revision);
        // A joining daemon learns its first revision; the others have it.
        if before != 0 && before < self.revision {
            self.announce_to(REVISION_FANOUT, now);
        }
        self.take_output()
    }

    /// Merges rows of the table service. They are not gossiped on, since all daemons read them.
    pub fn learn_rows(&mut self, records: &[member_record::MemberRecord], now: time::Instant) -> GossipOutput {
        for record in records {
            self.apply_row(record, now);
        }
        self.take_output()
    }

    /// Returns the request of an exchange after [`GossipEvent::ExchangeDue`].
    pub fn exchange_request(&mut self) -> anti_entropy::ExchangeRequest {
        self.traffic.exchanges_started += 1;
        anti_entropy::request(&self.own_record().daemon_id, &self.table)
    }

    /// Returns the reply to an exchange that a peer requested.
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

    /// Merges the records of a reply, and returns the records that the peer lacks; an empty return need not be sent.
    pub fn exchange_finish(
        &mut self,
        reply: &anti_entropy::ExchangeReply,
        now: time::Instant,
    ) -> (anti_entropy::ExchangeReturn, GossipOutput) {
        let anti_entropy::ExchangeReply::Members { differing, records } = reply else {
            // A joining daemon requests an exchange from the next member that answers a probe; others wait until the
            // limiter allows one.
            self.joining = now.saturating_duration_since(self.started) < JOIN_RETRY_WINDOW;
            return (anti_entropy::ExchangeReturn::default(), GossipOutput::default());
        };
        let newer = anti_entropy::newer_than(differing, records, &self.table);
        (newer, self.learn(records, now))
    }

    /// Merges records of an exchange, and gossips those that changed the table.
    pub fn learn(&mut self, records: &[member_record::MemberRecord], now: time::Instant) -> GossipOutput {
        for record in records {
            self.apply(record, now);
        }
        self.take_output()
    }

    /// Adds the encoded bytes of exchange messages, which the caller sends, to the traffic totals.
    pub fn count_exchange(&mut self, sent: usize, received: usize) {
        self.traffic.exchange(sent, received);
    }

    /// Puts a departure into the own record if it is later than the one there. Returns whether it is.
    pub(crate) fn adopt_departure(
        &mut self,
        departure: Option<&server_departure::ServerDeparture>,
        now: time::Instant,
    ) -> bool {
        let known = self.own_record().departure.as_ref();
        let later = server_departure::later(known, departure);
        if later.as_ref() == known {
            return false;
        }
        self.change_own(now, |own| own.departure = later);
        true
    }

    pub(crate) fn change_own(&mut self, now: time::Instant, change: impl FnOnce(&mut member_record::MemberRecord)) {
        let mut record = self.own_record().clone();
        record.version = record.version.saturating_add(1);
        change(&mut record);
        self.table.replace(self.own, record, now);
        self.queue.push(self.own);
    }

    /// Sends a message with as many queued updates as fit. The records of `about` come first, queued or not.
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
        let mut remaining_bytes = gossip_message::MAX_DATAGRAM_BYTES.saturating_sub(empty.len() + ARRAY_HEADER_BYTES);
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
            if length > remaining_bytes {
                break;
            }
            remaining_bytes -= length;
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

    fn announce(&mut self, now: time::Instant) {
        self.announce_to(ANNOUNCE_FANOUT, now);
    }

    fn announce_to(&mut self, members: usize, now: time::Instant) {
        for key in self.random_live(members, None) {
            self.probe_member(key, gossip_detector::ProbePurpose::Announce, now);
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

    /// Returns when the next timer of [`Self::tick`] is due.
    #[must_use]
    pub fn next_wake(&self) -> time::Instant {
        self.next_due()
    }

    /// Returns the measured network round-trip time to daemons at a location.
    #[must_use]
    pub fn network_delay(&self, location: &server_location::ServerLocation) -> Option<time::Duration> {
        self.delays.get(location).copied()
    }

    /// Returns all measured network round-trip times.
    pub fn network_delays(&self) -> impl Iterator<Item = (&server_location::ServerLocation, time::Duration)> {
        self.delays.iter().map(|(location, delay)| (location, *delay))
    }

    /// Returns the configuration revision that messages carry.
    #[must_use]
    pub fn revision(&self) -> ids::Revision {
        self.revision
    }

    /// Returns the totals of the control traffic.
    #[must_use]
    pub fn traffic(&self) -> &traffic_count::TrafficCount {
        &self.traffic
    }

    /// Returns the number of members whose change is still queued for piggybacking.
    #[must_use]
    pub fn queued_updates(&self) -> usize {
        self.queue.len()
    }
}
