//! Failure detector: which members to probe, and when a member that doesn't answer becomes suspect and dead.

use std::net;
use std::time;

use bytes::Bytes;
use damasktrack_entity::ids;
use rand::RngExt;
use rand::seq::SliceRandom;

use crate::anti_entropy;
use crate::gossip_context;
use crate::gossip_context::GossipContext;
use crate::gossip_message;
use crate::member_record;
use crate::member_table;

/// Time after which a direct probe counts as unanswered. The longest round-trip time between regions is 60 ms.
const DIRECT_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Time after the direct probe at which it and its indirect probes have failed.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Number of members that are requested to probe a member on behalf of this daemon.
const INDIRECT_PROBES: usize = 3;
/// Time after which a suspect that hasn't refuted becomes dead.
pub const SUSPICION_TIME: time::Duration = time::Duration::from_secs(3);
/// Mean time between two probes of dead members. These probes reconnect a region after a partition.
const DEAD_PROBE_INTERVAL: time::Duration = time::Duration::from_secs(10);
/// Time for which dead members are probed once per gossip period after one of them became live again, since others
/// probably did as well.
const REJOIN_TIME: time::Duration = time::Duration::from_mins(1);
/// Time between two ticks above which this process is taken to have been paused. Probes that went unanswered during the
/// pause must not lead to suspicion.
const PAUSE_LIMIT: time::Duration = time::Duration::from_secs(2);
/// Time for which dead and left members are kept. A row of the store is removed after 24 h, and must be removed before
/// its member is forgotten, since it would otherwise add the member again.
pub const FORGET_TIME: time::Duration = time::Duration::from_hours(25);
/// Time between two removals of members older than [`FORGET_TIME`].
const FORGET_INTERVAL: time::Duration = time::Duration::from_mins(10);
/// Largest number of death claims that are queued for verification. Further claims are dropped; exchanges deliver them
/// again.
const MAX_DEATH_CLAIMS: usize = 1024;
/// Number of outstanding probes from which on requests for indirect probes are dropped, to bound memory and traffic
/// under a flood of requests.
const MAX_OUTSTANDING: usize = 64;
/// Largest relative rise of a measured network delay per measurement. It lets the minimum follow a changed path.
const MAX_DELAY_RISE: f64 = 0.05;

/// Purpose of a probe, which decides what a missing answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbePurpose {
    /// Failure detection; a missing answer leads to suspicion.
    Detect,
    /// Contact with a dead member or a seed, or a probe on behalf of another daemon; a missing answer has no effect.
    Contact,
    /// Prompt delivery of this daemon's own changes, or of a suspicion to the suspect; a missing answer has no effect.
    Announce,
}

/// A probe that has been neither answered nor timed out.
#[derive(Clone, Debug)]
struct OutstandingProbe {
    sequence: u64,
    /// Probed member; `None` if it is not in the table, as for a seed, whose id is unknown.
    key: Option<member_table::MemberKey>,
    purpose: ProbePurpose,
    sent: time::Instant,
    indirect: bool,
    /// Address of the daemon on whose behalf the probe was sent, and the sequence number of its request.
    requester: Option<(net::SocketAddr, u64)>,
}

/// State of the failure detector.
#[derive(Debug)]
pub(crate) struct DetectorState {
    sequence: u64,
    outstanding: Vec<OutstandingProbe>,
    /// Members still to be probed in this round, in random order; each is probed once before any is probed twice.
    round: Vec<member_table::MemberKey>,
    next_probe: time::Instant,
    next_dead_probe: time::Instant,
    rejoin_until: Option<time::Instant>,
    last_tick: time::Instant,
    next_forget: time::Instant,
    /// Suspects, and whether a probe of this daemon raised the suspicion.
    suspects: Vec<(member_table::MemberKey, bool)>,
    /// Members that are live in this table and that others claim to be dead.
    death_claims: Vec<member_table::MemberKey>,
}

impl DetectorState {
    pub(crate) fn new(now: time::Instant, phase: time::Duration) -> Self {
        Self {
            sequence: 0,
            outstanding: Vec::new(),
            round: Vec::new(),
            next_probe: now + phase,
            next_dead_probe: now + DEAD_PROBE_INTERVAL + phase,
            rejoin_until: None,
            last_tick: now,
            next_forget: now + FORGET_INTERVAL,
            suspects: Vec::new(),
            death_claims: Vec::new(),
        }
    }

    pub(crate) fn add_suspect(&mut self, key: member_table::MemberKey, own_probe: bool) {
        match self.suspects.iter_mut().find(|(other, _own)| *other == key) {
            Some((_key, own)) => *own |= own_probe,
            None => self.suspects.push((key, own_probe)),
        }
    }

    pub(crate) fn add_death_claim(&mut self, key: member_table::MemberKey) {
        if self.death_claims.len() < MAX_DEATH_CLAIMS && !self.death_claims.contains(&key) {
            self.death_claims.push(key);
        }
    }

    /// Raises the rate of probes to dead members for [`REJOIN_TIME`], since one of them became live again.
    pub(crate) fn start_rejoin(&mut self, now: time::Instant) {
        self.rejoin_until = Some(now + REJOIN_TIME);
    }
}

/// Timers.
impl GossipContext {
    pub(crate) fn detect(&mut self, now: time::Instant) {
        let paused = now.saturating_duration_since(self.detector.last_tick) > PAUSE_LIMIT;
        self.detector.last_tick = now;
        if paused {
            self.resume(now);
        }
        self.check_outstanding(now);
        self.check_suspects(now);
        if now >= self.detector.next_probe {
            // After a late tick, missed probes are skipped rather than sent in a burst.
            self.detector.next_probe = (self.detector.next_probe + gossip_context::GOSSIP_PERIOD).max(now);
            self.probe_next(now);
            self.probe_claimed(now);
            self.check_claim(now);
        }
        if now >= self.detector.next_dead_probe {
            self.probe_dead(now);
        }
        if now >= self.detector.next_forget {
            self.detector.next_forget = now + FORGET_INTERVAL;
            self.table.forget(FORGET_TIME, now);
        }
    }

    pub(crate) fn next_due(&self) -> time::Instant {
        let detector = &self.detector;
        let mut due = detector.next_probe.min(detector.next_dead_probe);
        for probe in &detector.outstanding {
            let timeout = if probe.indirect { PROBE_TIMEOUT } else { DIRECT_TIMEOUT };
            due = due.min(probe.sent + timeout);
        }
        for (key, _own) in &detector.suspects {
            if let Some(entry) = self.table.get(*key) {
                due = due.min(entry.since + SUSPICION_TIME);
            }
        }
        due
    }

    /// Discards outstanding probes and restarts suspicions after a pause, whose missing answers prove no failure.
    fn resume(&mut self, now: time::Instant) {
        self.detector.outstanding.clear();
        for (key, _own) in &self.detector.suspects {
            self.table.restart_state(*key, now);
        }
    }

    fn check_outstanding(&mut self, now: time::Instant) {
        let mut position = 0;
        while position < self.detector.outstanding.len() {
            let probe = self.detector.outstanding[position].clone();
            let waited = now.saturating_duration_since(probe.sent);
            if waited >= PROBE_TIMEOUT {
                self.detector.outstanding.swap_remove(position);
                self.probe_failed(&probe, now);
                continue;
            }
            if waited >= DIRECT_TIMEOUT && !probe.indirect {
                self.detector.outstanding[position].indirect = true;
                if probe.purpose == ProbePurpose::Detect {
                    self.send_indirect_probes(&probe);
                }
            }
            position += 1;
        }
    }

    fn probe_failed(&mut self, probe: &OutstandingProbe, now: time::Instant) {
        if probe.purpose != ProbePurpose::Detect {
            return;
        }
        let Some((key, entry)) = probe.key.and_then(|key| Some((key, self.table.get(key)?))) else {
            return;
        };
        let before = entry.record.state;
        if !before.is_live() || before == member_record::MemberState::Suspect {
            return;
        }
        let mut record = entry.record.clone();
        record.state = member_record::MemberState::Suspect;
        self.table.replace(key, record, now);
        self.queue.push(key);
        self.detector.add_suspect(key, true);
        self.emit_member_changed(key, Some(before));
    }

    fn check_suspects(&mut self, now: time::Instant) {
        let mut position = 0;
        while position < self.detector.suspects.len() {
            let (key, own_probe) = self.detector.suspects[position];
            let entry = self.table.get(key);
            let entry = entry.filter(|entry| entry.record.state == member_record::MemberState::Suspect);
            let Some(entry) = entry else {
                self.detector.suspects.swap_remove(position);
                continue;
            };
            if now.saturating_duration_since(entry.since) < SUSPICION_TIME {
                position += 1;
                continue;
            }
            let mut record = entry.record.clone();
            record.state = member_record::MemberState::Dead;
            self.table.replace(key, record, now);
            // Members that received the suspicion run timers of their own, so only those that raised it gossip the
            // death.
            if own_probe {
                self.queue.push(key);
            } else {
                self.queue.remove(key);
            }
            self.detector.suspects.swap_remove(position);
            self.emit_member_changed(key, Some(member_record::MemberState::Suspect));
        }
    }

    fn probe_next(&mut self, now: time::Instant) {
        if self.own_record().state == member_record::MemberState::Left {
            return;
        }
        // At most one refill, since all members of a new round may be dead.
        for _refill in 0..2 {
            while let Some(key) = self.detector.round.pop() {
                if self.is_live_other(key) {
                    self.probe_member(key, ProbePurpose::Detect, now);
                    return;
                }
            }
            let keys = self.table.iter().map(|(key, _entry)| key);
            self.detector.round = keys.filter(|key| *key != self.own).collect();
            self.detector.round.shuffle(&mut self.rng);
        }
    }

    /// Probes one member that others claim to be dead, and one that a probe of this daemon made suspect, so that they
    /// receive the claim and refute it.
    fn probe_claimed(&mut self, now: time::Instant) {
        while let Some(key) = self.detector.death_claims.pop() {
            if self.is_live_other(key) {
                self.probe_member(key, ProbePurpose::Detect, now);
                break;
            }
        }
        let suspects = &self.detector.suspects;
        let own: Vec<member_table::MemberKey> = suspects
            .iter()
            .filter(|(_key, own)| *own)
            .map(|(key, _)| *key)
            .collect();
        if !own.is_empty() {
            let key = own[self.rng.random_range(0..own.len())];
            self.probe_member(key, ProbePurpose::Announce, now);
        }
    }

    fn probe_dead(&mut self, now: time::Instant) {
        let rejoin = self.detector.rejoin_until.is_some_and(|until| now < until);
        let interval = if rejoin {
            gossip_context::GOSSIP_PERIOD
        } else {
            DEAD_PROBE_INTERVAL
        };
        self.detector.next_dead_probe = now + interval.mul_f64(self.rng.random_range(0.8..1.2));
        if self.own_record().state == member_record::MemberState::Left {
            return;
        }
        let members = self.table.iter();
        let dead = members.filter(|(_key, entry)| entry.record.state == member_record::MemberState::Dead);
        let dead: Vec<member_table::MemberKey> = dead.map(|(key, _entry)| key).collect();
        if !dead.is_empty() {
            let key = dead[self.rng.random_range(0..dead.len())];
            self.probe_member(key, ProbePurpose::Contact, now);
        }
    }

    fn send_indirect_probes(&mut self, probe: &OutstandingProbe) {
        let Some(target) = probe.key.and_then(|key| self.table.get(key)) else {
            return;
        };
        let kind = gossip_message::GossipKind::IndirectProbe {
            sequence: probe.sequence,
            target: target.record.daemon_id.clone(),
            address: target.record.address,
        };
        for key in self.random_live(INDIRECT_PROBES, probe.key) {
            if let Some(entry) = self.table.get(key) {
                let address = entry.record.address;
                self.send(address, kind.clone(), &[]);
            }
        }
    }

    pub(crate) fn random_live(
        &mut self,
        count: usize,
        except: Option<member_table::MemberKey>,
    ) -> Vec<member_table::MemberKey> {
        let members = self.table.iter();
        let members = members.filter(|(key, entry)| {
            let state = entry.record.state;
            let live = state.is_live() && state != member_record::MemberState::Suspect;
            live && *key != self.own && Some(*key) != except
        });
        let mut keys: Vec<member_table::MemberKey> = members.map(|(key, _entry)| key).collect();
        let (chosen, _rest) = keys.partial_shuffle(&mut self.rng, count);
        chosen.to_vec()
    }

    fn is_live_other(&self, key: member_table::MemberKey) -> bool {
        key != self.own && self.table.get(key).is_some_and(|entry| entry.record.state.is_live())
    }
}

/// Messages.
impl GossipContext {
    pub(crate) fn probe_member(&mut self, key: member_table::MemberKey, purpose: ProbePurpose, now: time::Instant) {
        let Some(entry) = self.table.get(key) else {
            return;
        };
        let (address, target) = (entry.record.address, entry.record.daemon_id.clone());
        let sequence = self.start_probe(Some(key), purpose, None, now);
        let about = self.record_to_refute(key);
        let kind = gossip_message::GossipKind::Probe { sequence, target };
        self.send(address, kind, about.as_slice());
    }

    pub(crate) fn probe_address(&mut self, address: net::SocketAddr, now: time::Instant) {
        let sequence = self.start_probe(None, ProbePurpose::Contact, None, now);
        let kind = gossip_message::GossipKind::Probe {
            sequence,
            target: Bytes::new(),
        };
        self.send(address, kind, &[self.own]);
    }

    pub(crate) fn handle(&mut self, from: net::SocketAddr, message: gossip_message::GossipMessage, now: time::Instant) {
        if message.sender == self.own_record().daemon_id {
            self.apply_from_namesake(from, &message.updates, now);
            // An earlier process asks whether this one has replaced it.
            if let gossip_message::GossipKind::Probe { sequence, target } = message.kind
                && from != self.own_record().address
            {
                self.answer_probe(from, &message.sender, sequence, &target);
            }
            return;
        }
        for record in &message.updates {
            self.apply(record, now);
        }
        match message.kind {
            gossip_message::GossipKind::Probe { sequence, target } => {
                self.answer_probe(from, &message.sender, sequence, &target);
            }
            gossip_message::GossipKind::ProbeAck { sequence, subject } => {
                self.handle_ack(from, sequence, &subject, now);
            }
            gossip_message::GossipKind::IndirectProbe {
                sequence,
                target,
                address,
            } => self.relay_probe(from, sequence, target, address, now),
        }
        self.compare_with_peer(from, message.digest, message.revision, now);
    }

    fn answer_probe(&mut self, from: net::SocketAddr, sender: &ids::DaemonId, sequence: u64, target: &ids::DaemonId) {
        let own = self.own_record().daemon_id.clone();
        if !target.is_empty() && *target != own {
            return;
        }
        let mut about = Vec::new();
        match self.table.key_of(sender) {
            Some(key) => about.extend(self.record_to_refute(key)),
            None => about.push(self.own),
        }
        if target.is_empty() {
            about = vec![self.own];
        }
        let kind = gossip_message::GossipKind::ProbeAck { sequence, subject: own };
        self.send(from, kind, &about);
    }

    fn handle_ack(&mut self, from: net::SocketAddr, sequence: u64, subject: &ids::DaemonId, now: time::Instant) {
        let found = self
            .detector
            .outstanding
            .iter()
            .position(|probe| probe.sequence == sequence);
        let Some(position) = found else {
            return;
        };
        let probe = &self.detector.outstanding[position];
        let subject_key = self.table.key_of(subject);
        if probe.key.is_some() && probe.key != subject_key {
            return;
        }
        let probe = self.detector.outstanding.swap_remove(position);
        if let Some((address, sequence)) = probe.requester {
            let kind = gossip_message::GossipKind::ProbeAck {
                sequence,
                subject: subject.clone(),
            };
            self.send(address, kind, &[]);
        } else if !probe.indirect
            && let Some(key) = subject_key
        {
            self.record_delay(key, now.saturating_duration_since(probe.sent));
        }
        if self.joining {
            self.joining = false;
            let event = gossip_context::GossipEvent::ExchangeDue { address: from };
            self.output.events.push(event);
        }
    }

    fn relay_probe(
        &mut self,
        from: net::SocketAddr,
        sequence: u64,
        target: ids::DaemonId,
        address: net::SocketAddr,
        now: time::Instant,
    ) {
        if self.detector.outstanding.len() >= MAX_OUTSTANDING {
            return;
        }
        let key = self.table.key_of(&target);
        let own = self.start_probe(key, ProbePurpose::Contact, Some((from, sequence)), now);
        let kind = gossip_message::GossipKind::Probe { sequence: own, target };
        let about = key.and_then(|key| self.record_to_refute(key));
        self.send(address, kind, about.as_slice());
    }

    fn compare_with_peer(&mut self, from: net::SocketAddr, digest: u64, revision: ids::Revision, now: time::Instant) {
        let equal = digest == self.table.digest();
        if self.limiter.observe(equal, now, &mut self.rng) == anti_entropy::ExchangeDecision::Start {
            let event = gossip_context::GossipEvent::ExchangeDue { address: from };
            self.output.events.push(event);
        }
        if revision > self.revision {
            let event = gossip_context::GossipEvent::RevisionAhead {
                address: from,
                revision,
            };
            self.output.events.push(event);
        }
    }

    fn start_probe(
        &mut self,
        key: Option<member_table::MemberKey>,
        purpose: ProbePurpose,
        requester: Option<(net::SocketAddr, u64)>,
        now: time::Instant,
    ) -> u64 {
        self.detector.sequence += 1;
        self.detector.outstanding.push(OutstandingProbe {
            sequence: self.detector.sequence,
            key,
            purpose,
            sent: now,
            indirect: false,
            requester,
        });
        self.detector.sequence
    }

    /// Returns the key if the member is suspect or dead here. Probes and answers to the member carry that record, so
    /// that it can refute.
    fn record_to_refute(&self, key: member_table::MemberKey) -> Option<member_table::MemberKey> {
        let state = self.table.get(key)?.record.state;
        let claimed = matches!(
            state,
            member_record::MemberState::Suspect | member_record::MemberState::Dead
        );
        claimed.then_some(key)
    }

    fn record_delay(&mut self, key: member_table::MemberKey, delay: time::Duration) {
        let Some(entry) = self.table.get(key) else {
            return;
        };
        let known = self.delays.entry(entry.record.location.clone()).or_insert(delay);
        *known = delay.min(known.mul_f64(1.0 + MAX_DELAY_RISE));
    }

    pub(crate) fn emit_member_changed(
        &mut self,
        key: member_table::MemberKey,
        before: Option<member_record::MemberState>,
    ) {
        let event = gossip_context::GossipEvent::MemberChanged { key, before };
        self.output.events.push(event);
    }
}
