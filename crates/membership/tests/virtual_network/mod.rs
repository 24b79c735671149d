//! Harness that runs gossip contexts in virtual time over a network that loses, duplicates and reorders datagrams.

#![allow(dead_code, reason = "each test file uses a part of the harness")]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use damasktrack_entity::server_location::ServerLocation;
use damasktrack_membership::anti_entropy;
use damasktrack_membership::gossip_context::{GossipContext, GossipEvent, GossipOutput};
use damasktrack_membership::gossip_message::{self, GossipKind, GossipMessage};
use damasktrack_membership::member_record::{MemberRecord, MemberState};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

pub const TICK: Duration = Duration::from_millis(100);
pub const SERVICE: &[u8] = b"profiles";

/// Injected fault, which disables one mechanism so that a test can show that its check fails without it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Piggybacked records are removed from all datagrams.
    NoUpdates,
    /// Records of leaving members are removed from all datagrams.
    NoLeaving,
    /// Records of the receiver are removed from datagrams, and exchanges are suppressed, so that no suspect receives
    /// the suspicion.
    NoRefutation,
    /// Probes to members that are dead in the sender's table are lost.
    NoDeadProbes,
    /// The timers of the gossip contexts don't run.
    NoTicks,
    /// Piggybacked records are removed from all datagrams, and exchanges are suppressed.
    NoUpdatesOrExchanges,
}

pub struct Node {
    pub context: GossipContext,
    pub address: SocketAddr,
    pub running: bool,
    pub paused: bool,
    pub events: Vec<GossipEvent>,
}

/// Datagram in transit: arrival time, order among equal arrival times, sender, receiver, content.
type Transit = (Instant, u64, usize, usize, Bytes);

pub struct Network {
    pub nodes: Vec<Node>,
    pub now: Instant,
    pub started: Instant,
    pub loss: f64,
    pub duplication: f64,
    pub fault: Fault,
    /// Whether datagrams between regions are lost.
    pub cut: bool,
    pub exchanges: u64,
    pub largest_datagram: usize,
    pub rng: StdRng,
    by_address: HashMap<SocketAddr, usize>,
    queue: BinaryHeap<Reverse<Transit>>,
    sequence: u64,
    next_tick: Instant,
}

pub fn address(index: usize) -> SocketAddr {
    let index = u16::try_from(index).unwrap();
    let [high, low] = index.to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7000))
}

pub fn record(index: usize, started_ms: u64) -> MemberRecord {
    let regions: [&[u8]; 3] = [b"dk-east", b"dk-west", b"dk-fyn"];
    MemberRecord {
        daemon_id: Bytes::from(format!("vm-{index}")),
        started_ms,
        incarnation: started_ms.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ index as u64,
        version: 0,
        state: MemberState::Joining,
        leaving: false,
        address: address(index),
        service: Bytes::from_static(SERVICE),
        location: ServerLocation {
            region: Bytes::from_static(regions[index % 3]),
            data_centre: Bytes::from(format!("dc-{}", index % 6)),
        },
        slots: 70,
        departure: None,
    }
}

/// Region of a node; a cut separates region 0 from the others.
pub fn region(index: usize) -> usize {
    index % 3
}

impl Network {
    pub fn empty(seed: u64) -> Self {
        let now = Instant::now();
        Self {
            nodes: Vec::new(),
            now,
            started: now,
            loss: 0.0,
            duplication: 0.0,
            fault: Fault::None,
            cut: false,
            exchanges: 0,
            largest_datagram: 0,
            rng: StdRng::seed_from_u64(seed),
            by_address: HashMap::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            next_tick: now,
        }
    }

    /// Creates a network in which all members are up in all tables and their start has been gossiped.
    pub fn steady(members: usize, seed: u64) -> Self {
        let mut network = Self::empty(seed);
        for index in 0..members {
            network.add(record(index, 1000));
        }
        let now = network.now;
        for node in &mut network.nodes {
            node.context.set_up(now);
        }
        let records: Vec<MemberRecord> = network
            .nodes
            .iter()
            .map(|node| node.context.own_record().clone())
            .collect();
        for node in &mut network.nodes {
            node.context.learn_rows(&records, now);
        }
        network.run(Duration::from_secs(5));
        for node in &mut network.nodes {
            node.events.clear();
        }
        network
    }

    pub fn add(&mut self, record: MemberRecord) -> usize {
        let index = self.nodes.len();
        self.by_address.insert(record.address, index);
        let address = record.address;
        let seed = self.rng.random();
        self.nodes.push(Node {
            context: GossipContext::new(record, seed, self.now),
            address,
            running: true,
            paused: false,
            events: Vec::new(),
        });
        index
    }

    /// Replaces a node by a new process at its address.
    pub fn restart(&mut self, index: usize, started_ms: u64, seeds: &[SocketAddr]) {
        let seed = self.rng.random();
        let node = &mut self.nodes[index];
        node.context = GossipContext::new(record(index, started_ms), seed, self.now);
        (node.running, node.paused) = (true, false);
        let mut output = node.context.join(seeds, self.now);
        let up = node.context.set_up(self.now);
        output.sends.extend(up.sends);
        self.handle(index, output);
    }

    /// Runs one command of a node and handles its output.
    pub fn command(&mut self, index: usize, command: impl FnOnce(&mut GossipContext, Instant) -> GossipOutput) {
        let output = command(&mut self.nodes[index].context, self.now);
        self.handle(index, output);
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Counts periods until a condition holds; `None` if it doesn't within `limit`.
    pub fn periods_until(&mut self, limit: u32, condition: impl Fn(&Self) -> bool) -> Option<u32> {
        for period in 0..=limit {
            if condition(self) {
                return Some(period);
            }
            self.run(Duration::from_secs(1));
        }
        None
    }

    /// Delivers the datagrams due until the next tick, then ticks all active nodes.
    pub fn step(&mut self) {
        self.next_tick += TICK;
        while let Some(Reverse((due, ..))) = self.queue.peek()
            && *due <= self.next_tick
        {
            let Some(Reverse((due, _sequence, from, to, datagram))) = self.queue.pop() else {
                break;
            };
            self.now = due.max(self.now);
            self.deliver(from, to, &datagram);
        }
        self.now = self.next_tick;
        for index in 0..self.nodes.len() {
            if self.active(index) && self.fault != Fault::NoTicks {
                let output = self.nodes[index].context.tick(self.now);
                self.handle(index, output);
            }
        }
    }

    /// Returns the state of a member in the table of each other node that runs and is not paused.
    pub fn views(&self, index: usize) -> impl Iterator<Item = (usize, Option<MemberState>)> {
        let id = record(index, 0).daemon_id;
        let nodes = self.nodes.iter().enumerate();
        let nodes = nodes.filter(move |(other, node)| *other != index && node.running && !node.paused);
        nodes.map(move |(other, node)| (other, node.context.table().find(&id).map(|entry| entry.record.state)))
    }

    pub fn all_see(&self, index: usize, state: MemberState) -> bool {
        self.views(index).all(|(_node, seen)| seen == Some(state))
    }

    pub fn candidate_count(&self, index: usize) -> usize {
        let id = record(index, 0).daemon_id;
        let service = Bytes::from_static(SERVICE);
        let seen = self.nodes.iter().enumerate().filter(|(other, node)| {
            let mut candidates = node.context.table().candidates(&service);
            *other != index && candidates.any(|(_key, entry)| entry.record.daemon_id == id)
        });
        seen.count()
    }

    pub fn all_up(&self) -> bool {
        (0..self.nodes.len()).all(|index| !self.nodes[index].running || self.all_see(index, MemberState::Up))
    }

    pub fn equal_digests(&self) -> bool {
        let mut digests = self
            .nodes
            .iter()
            .filter(|node| node.running)
            .map(|node| node.context.table().digest());
        let first = digests.next();
        digests.all(|digest| Some(digest) == first)
    }

    fn active(&self, index: usize) -> bool {
        self.nodes[index].running && !self.nodes[index].paused
    }

    fn connected(&self, from: usize, to: usize) -> bool {
        !self.cut || (region(from) == 0) == (region(to) == 0)
    }

    fn deliver(&mut self, from: usize, to: usize, datagram: &Bytes) {
        if !self.nodes[to].running {
            return;
        }
        if self.nodes[to].paused {
            // The socket buffer keeps datagrams that arrive during a short pause.
            let later = self.now + Duration::from_millis(500);
            self.push(later, from, to, datagram.clone());
            return;
        }
        let sender = self.nodes[from].address;
        let output = self.nodes[to].context.receive(sender, datagram, self.now);
        self.handle(to, output);
    }

    fn handle(&mut self, index: usize, output: GossipOutput) {
        for send in output.sends {
            self.largest_datagram = self.largest_datagram.max(send.datagram.len());
            if let Some(to) = self.by_address.get(&send.to).copied() {
                self.transmit(index, to, send.datagram);
            }
        }
        for event in output.events {
            if let GossipEvent::ExchangeDue { address } = &event {
                self.exchange(index, *address);
            }
            self.nodes[index].events.push(event);
        }
    }

    fn transmit(&mut self, from: usize, to: usize, datagram: Bytes) {
        let Some(datagram) = self.apply_fault(from, to, datagram) else {
            return;
        };
        let copies = if self.rng.random_bool(self.duplication) { 2 } else { 1 };
        for _copy in 0..copies {
            if !self.connected(from, to) || self.rng.random_bool(self.loss) {
                continue;
            }
            let base = if region(from) == region(to) { 1000 } else { 30_000 };
            let delay = Duration::from_micros(base + self.rng.random_range(0..5000));
            self.push(self.now + delay, from, to, datagram.clone());
        }
    }

    fn push(&mut self, due: Instant, from: usize, to: usize, datagram: Bytes) {
        self.sequence += 1;
        self.queue.push(Reverse((due, self.sequence, from, to, datagram)));
    }

    fn apply_fault(&self, from: usize, to: usize, datagram: Bytes) -> Option<Bytes> {
        if matches!(self.fault, Fault::None | Fault::NoTicks) {
            return Some(datagram);
        }
        let mut message: GossipMessage = gossip_message::decode(&datagram).unwrap();
        let target = record(to, 0).daemon_id;
        let target_state = self.nodes[from]
            .context
            .table()
            .find(&target)
            .map(|entry| entry.record.state);
        match self.fault {
            Fault::NoUpdates | Fault::NoUpdatesOrExchanges => message.updates.clear(),
            Fault::NoLeaving => message.updates.retain(|record| !record.leaving),
            Fault::NoRefutation => message.updates.retain(|record| record.daemon_id != target),
            Fault::NoDeadProbes
                if target_state == Some(MemberState::Dead) && matches!(message.kind, GossipKind::Probe { .. }) =>
            {
                return None;
            }
            _ => {}
        }
        Some(Bytes::from(gossip_message::encode(&message).unwrap()))
    }

    fn exchange(&mut self, index: usize, address: SocketAddr) {
        let Some(peer) = self.by_address.get(&address).copied() else {
            return;
        };
        let stopped = matches!(self.fault, Fault::NoUpdatesOrExchanges | Fault::NoRefutation);
        if stopped || !self.connected(index, peer) || !self.active(peer) {
            return;
        }
        self.exchanges += 1;
        let request = self.nodes[index].context.exchange_request();
        let reply = self.nodes[peer].context.exchange_reply(&request, self.now);
        let (newer, output) = self.nodes[index].context.exchange_finish(&reply, self.now);
        let asked = encoded(&request) + if newer.records.is_empty() { 0 } else { encoded(&newer) };
        let answered = encoded(&reply);
        self.nodes[index].context.count_exchange(asked, answered);
        self.nodes[peer].context.count_exchange(answered, asked);
        self.handle(index, output);
        let output = self.nodes[peer].context.learn(&newer.records, self.now);
        self.handle(peer, output);
    }
}

/// Returns the encoded length of an exchange message, after checking that decoding restores the message.
pub fn encoded<T: serde::Serialize + serde::de::DeserializeOwned + PartialEq>(message: &T) -> usize {
    let bytes = anti_entropy::encode(message).unwrap();
    assert!(anti_entropy::decode::<T>(&bytes).unwrap() == *message);
    bytes.len()
}
