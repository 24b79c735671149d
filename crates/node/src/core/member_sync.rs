//! Membership of this daemon: its gossip, and the plan by which it joins through the store and the seeds.
//!
//! The core owns this state. Operations that block, that is, calls to the store and exchanges with peers, run in
//! [`crate::members::member_jobs`].

use std::net;
use std::sync::mpsc;
use std::time;

use damasktrack_entity::ids;
use damasktrack_entity::request_identity;
use damasktrack_membership::anti_entropy;
use damasktrack_membership::gossip_context;
use damasktrack_membership::join_plan;
use damasktrack_membership::member_record;
use damasktrack_membership::member_row;
use damasktrack_resource::store_rows;
use damasktrack_settings::daemon_settings;
use rand::seq::IteratorRandom;

use crate::core::core_command;
use crate::core::peer_directory;
use crate::transport::gossip_socket;

/// Maximum number of members that are contacted at once, until a peer has sent its members.
const MAX_CONTACTS: usize = 3;
/// Interval between contacts of members.
const CONTACT_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Command about the membership.
#[derive(Debug)]
pub enum MemberCommand {
    /// A datagram arrived.
    Datagram(gossip_socket::ReceivedDatagram),
    /// The write of the own row ended.
    RowWritten(RowResult),
    /// The listing of all rows ended; `None` if it failed.
    RowsListed(Option<Vec<ListedMember>>),
    /// A peer requests an exchange.
    ExchangeRequested(
        anti_entropy::ExchangeRequest,
        core_command::ReplySender<anti_entropy::ExchangeReply>,
    ),
    /// A peer replied to an exchange that this daemon requested; the reply to this command holds the records that the
    /// peer lacks.
    ExchangeReplied(
        anti_entropy::ExchangeReply,
        core_command::ReplySender<anti_entropy::ExchangeReturn>,
    ),
    /// A peer sent the records that this daemon lacks, which ends an exchange that the peer requested.
    ExchangeReturned(anti_entropy::ExchangeReturn),
    /// Announces that this daemon has left; the reply follows once the datagrams are sent.
    Leave(core_command::ReplySender<()>),
    /// Requests all members in the member table, including this daemon and dead members.
    View(core_command::ReplySender<Vec<peer_directory::PeerIdentity>>),
}

/// Result of the write of the own row.
#[derive(Debug)]
pub struct RowResult {
    /// Whether the row holds the record that was to be written; it may have held it before.
    pub result: join_plan::StoreResult,
    /// Row of another process with this daemon's id, if one was found.
    pub other: Option<member_row::MemberRow>,
}

/// Row of a member from a listing.
#[derive(Clone, Debug)]
pub struct ListedMember {
    /// Record in the row.
    pub record: member_record::MemberRecord,
    /// Version of the row.
    pub version: store_rows::RowVersion,
}

/// Blocking operation that the core requests.
#[derive(Debug)]
pub enum MemberJob {
    /// Write the own row; [`MemberCommand::RowWritten`] follows.
    WriteRow(member_row::MemberRow),
    /// List all rows; [`MemberCommand::RowsListed`] follows.
    ListRows,
    /// Delete rows that still have these versions.
    RemoveRows(Vec<(ids::DaemonId, store_rows::RowVersion)>),
    /// Exchange members with a peer; [`MemberCommand::ExchangeReplied`] follows if it replies.
    Exchange(net::SocketAddr, anti_entropy::ExchangeRequest),
}

/// Progress of the join since the start of this daemon. It is never reset, since gossip delivers members that join
/// later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JoinProgress {
    /// No members are known yet.
    Pending,
    /// The store listed no other live member.
    Alone,
    /// A peer has sent its members.
    Exchanged,
}

/// Membership state of the core.
#[derive(Debug)]
pub struct MemberSync {
    gossip: gossip_context::GossipContext,
    plan: join_plan::JoinPlan,
    socket: gossip_socket::GossipSocket,
    jobs: mpsc::Sender<MemberJob>,
    seeds: Vec<net::SocketAddr>,
    has_store: bool,
    progress: JoinProgress,
    /// Time of the next contact of members.
    contact_due: time::Instant,
    leaving: bool,
}

/// Commands.
impl MemberSync {
    /// Creates the membership of a starting daemon.
    #[must_use]
    pub fn new(
        settings: &daemon_settings::DaemonSettings,
        identity: &request_identity::RequestOwner,
        address: net::SocketAddr,
        socket: gossip_socket::GossipSocket,
        jobs: mpsc::Sender<MemberJob>,
    ) -> Self {
        let now = time::Instant::now();
        let record = own_record(settings, identity, address);
        let seeds: Vec<_> = settings.seeds.iter().copied().filter(|seed| *seed != address).collect();
        Self {
            gossip: gossip_context::GossipContext::new(record, rand::random(), now),
            plan: join_plan::JoinPlan::new(!seeds.is_empty(), now, &mut rand::rng()),
            socket,
            jobs,
            seeds,
            has_store: settings.store_address.is_some(),
            progress: JoinProgress::Pending,
            contact_due: now,
            leaving: false,
        }
    }

    /// Handles a command; returns the events that the core has to handle.
    pub fn handle(&mut self, command: MemberCommand, now: time::Instant) -> Vec<gossip_context::GossipEvent> {
        match command {
            MemberCommand::Datagram(datagram) => {
                let output = self.gossip.receive(datagram.from, &datagram.content, now);
                self.emit(output)
            }
            MemberCommand::RowWritten(result) => self.row_written(result, now),
            MemberCommand::RowsListed(Some(rows)) => self.rows_listed(&rows, now),
            MemberCommand::RowsListed(None) => {
                self.finish_store_call(join_plan::StoreResult::Failed, now);
                Vec::new()
            }
            MemberCommand::ExchangeRequested(request, reply) => {
                let _delivered = reply.send(self.gossip.exchange_reply(&request, now));
                Vec::new()
            }
            MemberCommand::ExchangeReplied(peer_reply, reply) => {
                if matches!(peer_reply, anti_entropy::ExchangeReply::Members { .. }) {
                    self.progress = JoinProgress::Exchanged;
                    self.plan.contacted();
                }
                let (newer, output) = self.gossip.exchange_finish(&peer_reply, now);
                let _delivered = reply.send(newer);
                self.emit(output)
            }
            MemberCommand::ExchangeReturned(returned) => {
                let output = self.gossip.learn(&returned.records, now);
                self.emit(output)
            }
            MemberCommand::Leave(reply) => {
                let output = self.gossip.leave(now);
                let events = self.emit(output);
                let _delivered = reply.send(());
                events
            }
            MemberCommand::View(reply) => {
                let members = self.gossip.table().iter();
                let members = members.map(|(_key, entry)| peer_directory::PeerIdentity::of(&entry.record));
                let _delivered = reply.send(members.collect());
                Vec::new()
            }
        }
    }

    /// Runs the steps of gossip and of the join plan that are due; returns the events that the core has to handle.
    pub fn wake(&mut self, now: time::Instant) -> Vec<gossip_context::GossipEvent> {
        let output = self.gossip.tick(now);
        let mut events = self.emit(output);
        while !self.leaving {
            match self.plan.next_step(now) {
                join_plan::JoinStep::WriteRow if self.has_store => {
                    // Version 0 is below every gossiped version, so a record from a row never replaces a state from
                    // gossip.
                    let mut row = member_row::MemberRow::from_record(self.gossip.own_record());
                    row.version = 0;
                    self.submit(MemberJob::WriteRow(row));
                }
                join_plan::JoinStep::ListRows if self.has_store => self.submit(MemberJob::ListRows),
                join_plan::JoinStep::WriteRow | join_plan::JoinStep::ListRows => {
                    self.finish_store_call(join_plan::StoreResult::Failed, now);
                }
                join_plan::JoinStep::AskSeeds => {
                    let output = self.gossip.join(&self.seeds, now);
                    events.extend(self.emit(output));
                }
                join_plan::JoinStep::Wait(_until) => break,
            }
        }
        let alone = self.gossip.table().live_count() <= 1 && self.plan.has_listed();
        if alone && self.progress == JoinProgress::Pending {
            self.progress = JoinProgress::Alone;
        }
        if self.progress != JoinProgress::Exchanged && !self.leaving && now >= self.contact_due {
            events.extend(self.contact_members(now));
        }
        events
    }

    /// Announces whether the daemon accepts calls.
    pub fn set_ready(&mut self, ready: bool, now: time::Instant) {
        let output = if ready {
            self.gossip.set_up(now)
        } else {
            self.gossip.set_waiting(now)
        };
        self.emit(output);
    }

    /// Announces that this daemon accepts no new calls, and stops the join plan.
    pub fn drain(&mut self, now: time::Instant) {
        self.leaving = true;
        let output = self.gossip.drain(now);
        self.emit(output);
    }

    /// Sets the configuration revision that probes carry.
    pub fn set_revision(&mut self, revision: ids::Revision) {
        self.gossip.set_revision(revision);
    }

    /// Requests an exchange of members with a peer.
    pub fn exchange_with(&mut self, peer: net::SocketAddr) {
        let request = self.gossip.exchange_request();
        self.submit(MemberJob::Exchange(peer, request));
    }

    /// Resumes the probes to the seeds if no other live member is known.
    pub fn check_isolation(&mut self, now: time::Instant) {
        if self.gossip.table().live_count() <= 1 {
            self.plan.isolated(now);
        }
    }

    fn row_written(&mut self, written: RowResult, now: time::Instant) -> Vec<gossip_context::GossipEvent> {
        self.finish_store_call(written.result, now);
        let Some(record) = written.other.and_then(|row| row.to_record()) else {
            return Vec::new();
        };
        let output = self.gossip.learn_rows(std::slice::from_ref(&record), now);
        let mut events = self.emit(output);
        // Contacting an earlier process directly sends it the record of this one at once if it still runs, even if no
        // other daemon has both records.
        if !self.leaving {
            let output = self.gossip.join(&[record.address], now);
            events.extend(self.emit(output));
        }
        events
    }

    fn rows_listed(&mut self, rows: &[ListedMember], now: time::Instant) -> Vec<gossip_context::GossipEvent> {
        self.finish_store_call(join_plan::StoreResult::Done, now);
        let own = self.gossip.own_record();
        if !rows.iter().any(|row| row.record.daemon_id == own.daemon_id) {
            self.plan.row_lost(now, &mut rand::rng());
        }
        let records: Vec<_> = rows.iter().map(|row| row.record.clone()).collect();
        let output = self.gossip.learn_rows(&records, now);
        let mut events = self.emit(output);
        let table = self.gossip.table();
        let removable = |row: &&ListedMember| join_plan::may_remove_row(&row.record, table, now, &mut rand::rng());
        let old: Vec<_> = rows
            .iter()
            .filter(removable)
            .map(|row| (row.record.daemon_id.clone(), row.version))
            .collect();
        if !old.is_empty() {
            self.submit(MemberJob::RemoveRows(old));
        }
        if self.progress != JoinProgress::Exchanged {
            events.extend(self.contact_members(now));
        }
        events
    }

    fn contact_members(&mut self, now: time::Instant) -> Vec<gossip_context::GossipEvent> {
        self.contact_due = now + CONTACT_INTERVAL;
        let own = self.gossip.own_record().daemon_id.clone();
        let live = self.gossip.table().iter().map(|(_key, entry)| &entry.record);
        let others = live.filter(|record| record.state.is_live() && record.daemon_id != own);
        let contacts = others
            .map(|record| record.address)
            .sample(&mut rand::rng(), MAX_CONTACTS);
        if contacts.is_empty() {
            return Vec::new();
        }
        let output = self.gossip.join(&contacts, now);
        self.emit(output)
    }

    fn finish_store_call(&mut self, result: join_plan::StoreResult, now: time::Instant) {
        self.plan.finish(result, now, &mut rand::rng());
    }

    fn submit(&self, job: MemberJob) {
        if self.jobs.send(job).is_err() {
            log::debug!("the thread of member jobs has ended; job dropped");
        }
    }

    fn emit(&self, output: gossip_context::GossipOutput) -> Vec<gossip_context::GossipEvent> {
        for send in output.sends {
            self.socket.send(send.to, &send.datagram);
        }
        output.events
    }
}

/// Queries.
impl MemberSync {
    /// Returns the gossip state, which includes the member table.
    #[must_use]
    pub fn gossip(&self) -> &gossip_context::GossipContext {
        &self.gossip
    }

    /// Returns whether the join is complete: a peer has sent its members, the store listed no other live member, or
    /// there is neither a store nor a seed.
    #[must_use]
    pub fn has_joined(&self) -> bool {
        self.progress != JoinProgress::Pending || !self.has_store && self.seeds.is_empty()
    }

    /// Returns when [`Self::wake`] has to be called.
    #[must_use]
    pub fn next_wake(&self, now: time::Instant) -> time::Instant {
        let mut due = self.gossip.next_wake();
        if !self.leaving {
            due = due.min(self.plan.next_wake(now));
            if self.progress != JoinProgress::Exchanged {
                due = due.min(self.contact_due);
            }
        }
        due
    }
}

fn own_record(
    settings: &daemon_settings::DaemonSettings,
    identity: &request_identity::RequestOwner,
    address: net::SocketAddr,
) -> member_record::MemberRecord {
    let started = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    member_record::MemberRecord {
        daemon_id: identity.daemon_id.clone(),
        started_ms: started.map_or(0, |time| u64::try_from(time.as_millis()).unwrap_or(u64::MAX)),
        incarnation: identity.incarnation,
        version: 1,
        state: member_record::MemberState::Joining,
        leaving: false,
        address,
        // A daemon without a backend server has no service and gets no calls.
        service: settings
            .service
            .clone()
            .filter(|_service| settings.backend_server.is_some())
            .unwrap_or_default(),
        location: settings.location(),
        slots: settings.backend_server.as_ref().map_or(0, |backend| backend.slots),
        departure: None,
    }
}
