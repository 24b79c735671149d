//! Daemons with their clocks, the messages between them, and the oracle of spent credits.

use std::time::Duration;

use bytes::Bytes;
use damasktrack_quota::coordinator_choice;
use damasktrack_quota::credit_coordinator::CreditCoordinator;
use damasktrack_quota::credit_holder::{CreditHolder, HolderIdentity, SpentCredit, TakeResult};
use damasktrack_quota::credit_limit::{CreditLimit, QuotaBounds};
use damasktrack_quota::credit_message::{self, CreditReply, CreditReport};
use damasktrack_quota::credit_wait::{CreditWait, WaitStep};
use damasktrack_quota::holder_groups::HolderGroups;
use damasktrack_quota::known_daemons::KnownDaemons;
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};

/// Step of the virtual time.
pub const TICK: Duration = Duration::from_millis(5);
/// Time from the arrival of a request to its deadline.
pub const TIME_LEFT: Duration = Duration::from_secs(5);
/// Time after which a report without a reply counts as lost.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
pub const BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(5),
    over: 0.1,
    slack: 20.0,
};

/// Mechanism that the world disables, which the oracle has to detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Delegations count from the receipt of a report.
    UndatedReports,
    /// The clock of a holder doesn't count the time of a suspension.
    ClockWithoutSuspension,
    /// A restarted daemon owns its share at once.
    ShareAtOnce,
    /// Daemons without a coordinator use the whole limit.
    WholeLimitAlone,
    /// Links and reports of a holder that replaces another one have the same numbers again.
    ReusedNumbers,
    /// Refunds are charged only to the time since the report that contains them.
    UndatedRefunds,
    /// Requests don't wait for the end of an outage.
    NoHold,
}

pub struct SimDaemon {
    pub id: Bytes,
    pub groups: HolderGroups,
    identity: HolderIdentity,
    pub coordinator: CreditCoordinator,
    pub known: KnownDaemons,
    pub live: bool,
    pub paused: bool,
    /// Whether each daemon looks live from here.
    pub view: Vec<bool>,
    offset: Duration,
    suspended: Duration,
    incarnation: u64,
    open: Option<(u64, Duration)>,
    urgent: bool,
    waiting: Vec<WaitingRequest>,
}

struct WaitingRequest {
    tenant: usize,
    since: Duration,
    wait: CreditWait,
    /// Time of the next try, on the daemon's clock; a reply comes sooner.
    due: Duration,
}

enum Message {
    Report(CreditReport),
    /// The coordinator did not take the report.
    Refusal {
        incarnation: u64,
        sequence: u64,
    },
    Reply {
        incarnation: u64,
        sequence: u64,
        reply: CreditReply,
    },
}

struct Envelope {
    due: Duration,
    from: usize,
    to: usize,
    message: Message,
}

pub struct QuotaWorld {
    pub now: Duration,
    pub daemons: Vec<SimDaemon>,
    pub limits: Vec<CreditLimit>,
    pub rng: StdRng,
    pub loss: f64,
    pub repeat: f64,
    /// Longest one-way delay; each message draws its own.
    pub delay: Duration,
    /// Group of each daemon in a partition.
    pub sides: Vec<u8>,
    pub fault: Fault,
    /// Whether a holder learns at once that a report wasn't taken, and not only by its time limit.
    pub sends_refusals: bool,
    /// Times of the credits spent, by tenant, and whether they were given back.
    pub spent: Vec<Vec<Duration>>,
    pub refused: Vec<u64>,
    /// Requests that waited, with the result and the wait, by tenant.
    pub waits: Vec<Vec<(bool, Duration)>>,
    /// Credits of requests that waited.
    pub late_credits: Vec<(SpentCredit, Duration)>,
    pub reports: u64,
    pub bytes: u64,
    queue: Vec<Envelope>,
}

pub fn tenant_name(tenant: usize) -> Bytes {
    Bytes::from(format!("tenant{tenant}"))
}

impl SimDaemon {
    /// Returns whether the configuration of this daemon has limits.
    pub fn is_limited(&self) -> bool {
        !self.groups.is_empty()
    }

    pub fn holder(&self) -> &CreditHolder {
        self.groups.get(0).unwrap()
    }

    fn holder_mut(&mut self) -> &mut CreditHolder {
        self.groups.get_mut(0).unwrap()
    }
}

impl QuotaWorld {
    pub fn new(daemons: usize, limits: Vec<CreditLimit>, seed: u64, fault: Fault) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        let tenants = limits.len();
        let mut world = Self {
            now: Duration::from_secs(10),
            daemons: Vec::new(),
            limits,
            rng,
            loss: 0.0,
            repeat: 0.0,
            delay: Duration::from_millis(35),
            sides: vec![0; daemons],
            fault,
            sends_refusals: false,
            spent: vec![Vec::new(); tenants],
            refused: vec![0; tenants],
            waits: vec![Vec::new(); tenants],
            late_credits: Vec::new(),
            reports: 0,
            bytes: 0,
            queue: Vec::new(),
        };
        for index in 0..daemons {
            let daemon = world.new_daemon(index, daemons);
            world.daemons.push(daemon);
        }
        world
    }

    fn new_daemon(&mut self, index: usize, daemons: usize) -> SimDaemon {
        let offset = Duration::from_millis(self.rng.random_range(0..10_000_000));
        let local = self.now + offset;
        let id = Bytes::from(format!("vm{index}"));
        let incarnation = self.rng.next_u64();
        let identity = HolderIdentity {
            daemon_id: id.clone(),
            incarnation,
            started_ms: credit_message::millis(self.now),
        };
        let mut known = KnownDaemons::default();
        let ids: Vec<Bytes> = (0..daemons).map(|index| Bytes::from(format!("vm{index}"))).collect();
        known.note(ids.iter(), local);
        if self.fault == Fault::ShareAtOnce {
            known.note_list(local.saturating_sub(Duration::from_secs(9)));
        } else {
            known.note_list(local);
        }
        let mut groups = HolderGroups::default();
        groups.resize(1, &identity, &mut known, local);
        SimDaemon {
            id,
            groups,
            identity,
            coordinator: CreditCoordinator::new(self.rng.next_u64(), local),
            known,
            live: true,
            paused: false,
            view: vec![true; daemons],
            offset,
            suspended: Duration::ZERO,
            incarnation,
            open: None,
            urgent: false,
            waiting: Vec::new(),
        }
    }

    /// Returns the time on the clock of a daemon's holder.
    fn local(&self, index: usize) -> Duration {
        let daemon = &self.daemons[index];
        let time = self.now + daemon.offset;
        if self.fault == Fault::ClockWithoutSuspension {
            time.saturating_sub(daemon.suspended)
        } else {
            time
        }
    }

    /// Replaces the process of a daemon.
    pub fn restart(&mut self, index: usize) {
        let view = self.daemons[index].view.clone();
        let daemon = self.new_daemon(index, self.daemons.len());
        self.daemons[index] = SimDaemon { view, ..daemon };
    }

    /// Puts a configuration in force at a daemon whose tenants have limits, or none.
    pub fn set_limited(&mut self, index: usize, limited: bool) {
        let local = self.local(index);
        let fault = self.fault;
        let daemon = &mut self.daemons[index];
        if fault == Fault::ReusedNumbers && daemon.is_limited() != limited {
            daemon.known.withhold(local);
            daemon.groups = HolderGroups::default();
        }
        if daemon.is_limited() != limited {
            daemon.open = None;
        }
        let groups = usize::from(limited);
        daemon.groups.resize(groups, &daemon.identity, &mut daemon.known, local);
    }

    /// Returns the credits of a tenant that may be spent without a further message: those that holders have, and the
    /// tokens of the shares that daemons use themselves.
    pub fn spendable(&self, tenant: usize) -> f64 {
        let name = tenant_name(tenant);
        let daemons =
            (0..self.daemons.len()).filter(|index| self.daemons[*index].live && self.daemons[*index].is_limited());
        let sum = daemons.map(|index| {
            let (holder, local) = (self.daemons[index].holder(), self.local(index));
            holder.held_of(&name, local) as f64 + holder.own_tokens(&name, &self.limits[tenant], local)
        });
        sum.sum()
    }

    /// Sends a request; returns its credit, or `None` if it waits or was refused.
    pub fn request(&mut self, index: usize, tenant: usize) -> Option<SpentCredit> {
        if !self.daemons[index].live || self.daemons[index].paused {
            return None;
        }
        let local = self.local(index);
        let request = WaitingRequest {
            tenant,
            since: self.now,
            wait: CreditWait::new(TIME_LEFT, local),
            due: local,
        };
        self.try_credit(index, request, true)
    }

    /// Takes a credit for a request, or lets it wait or refuses it.
    fn try_credit(&mut self, index: usize, mut request: WaitingRequest, first: bool) -> Option<SpentCredit> {
        let local = self.local(index);
        let tenant = request.tenant;
        let name = tenant_name(tenant);
        if !self.daemons[index].is_limited() {
            // The request is sent, and counts for no limit.
            return None;
        }
        let may_hold = self.fault != Fault::NoHold;
        let daemon = &mut self.daemons[index];
        let result = daemon.holder_mut().take(&name, &self.limits[tenant], local);
        let step = request.wait.decide(&result, may_hold, local);
        let (urgent, pause) = match step {
            Some(WaitStep::Report(pause)) => (true, pause),
            Some(WaitStep::Pause(pause)) => (false, pause),
            Some(WaitStep::Refuse(_)) | None => {
                let waited = self.now.saturating_sub(request.since);
                if !first {
                    daemon.holder_mut().end_wait(&name);
                    self.waits[tenant].push((step.is_none(), waited));
                }
                let TakeResult::Granted(credit) = result else {
                    self.refused[tenant] += 1;
                    return None;
                };
                self.spent[tenant].push(self.now);
                if !first {
                    self.late_credits.push((credit, self.now));
                }
                return Some(credit);
            }
        };
        if first {
            daemon.holder_mut().begin_wait(&name);
        }
        daemon.urgent |= urgent && (first || daemon.open.is_none());
        request.due = local + pause;
        daemon.waiting.push(request);
        None
    }

    /// Ends a request that has not run.
    pub fn refund(&mut self, index: usize, tenant: usize, credit: SpentCredit, spent: Duration) {
        let local = self.local(index);
        if self.daemons[index].is_limited() {
            let holder = self.daemons[index].holder_mut();
            holder.refund(&tenant_name(tenant), credit, local);
        }
        let times = &mut self.spent[tenant];
        let position = times.iter().rposition(|time| *time == spent).unwrap();
        times.remove(position);
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }

    pub fn tick(&mut self) {
        self.now += TICK;
        for index in 0..self.daemons.len() {
            if self.daemons[index].paused {
                self.daemons[index].suspended += TICK;
            } else if self.daemons[index].live {
                self.send_report(index);
            }
        }
        self.deliver();
        for index in 0..self.daemons.len() {
            if self.daemons[index].live && !self.daemons[index].paused {
                self.serve_waiting(index);
            }
        }
    }

    fn send_report(&mut self, index: usize) {
        if !self.daemons[index].is_limited() {
            return;
        }
        let local = self.local(index);
        let fault = self.fault;
        let daemon = &mut self.daemons[index];
        let mut share = daemon.known.share(local);
        if fault == Fault::WholeLimitAlone && daemon.holder_mut().coordinator(local).is_none() {
            share = share.signum();
        }
        let expected = daemon.known.settled_at();
        daemon.holder_mut().set_share(share, expected, local);
        daemon.open = daemon
            .open
            .filter(|(_sequence, sent)| self.now.saturating_sub(*sent) < REPORT_TIMEOUT);
        let due = daemon.urgent || daemon.holder_mut().next_report() <= local;
        if daemon.open.is_some() || !due {
            return;
        }
        daemon.urgent = false;
        let ids: Vec<(usize, &Bytes)> = self.daemons.iter().map(|other| &other.id).enumerate().collect();
        let view = &self.daemons[index].view;
        let live = ids.iter().filter(|(other, _id)| view[*other] || *other == index);
        let chosen = coordinator_choice::choose(0, live.map(|(_other, id)| *id))
            .unwrap()
            .clone();
        let to = self.daemons.iter().position(|other| other.id == chosen).unwrap();
        let daemon = &mut self.daemons[index];
        let mut report = daemon.holder_mut().begin_report(&chosen, local);
        daemon.open = Some((report.sequence, self.now));
        if self.fault == Fault::UndatedReports {
            report.sent_ms = u64::MAX;
        }
        if self.fault == Fault::UndatedRefunds {
            let lines = report.tenants.iter_mut();
            lines
                .flat_map(|line| &mut line.refund_ages)
                .for_each(|refund| refund.slots = 0);
        }
        self.reports += 1;
        self.bytes += credit_message::encode_report((0, 1), &report).unwrap().len() as u64;
        self.send(index, to, || Message::Report(report.clone()));
    }

    fn send(&mut self, from: usize, to: usize, message: impl Fn() -> Message) {
        let copies = usize::from(from == to || !self.rng.random_bool(self.loss));
        let copies = copies + usize::from(from != to && self.rng.random_bool(self.repeat));
        for _copy in 0..copies {
            let delay = if from == to {
                Duration::ZERO
            } else {
                self.delay.mul_f64(self.rng.random())
            };
            let (due, message) = (self.now + delay, message());
            self.queue.push(Envelope { due, from, to, message });
        }
    }

    fn deliver(&mut self) {
        loop {
            let position = self.queue.iter().position(|envelope| {
                let to = &self.daemons[envelope.to];
                envelope.due <= self.now && !to.paused
            });
            let Some(position) = position else {
                return;
            };
            let envelope = self.queue.swap_remove(position);
            let reachable = self.sides[envelope.from] == self.sides[envelope.to] && self.daemons[envelope.to].live;
            if reachable {
                self.receive(envelope);
            }
        }
    }

    fn receive(&mut self, envelope: Envelope) {
        let local = self.now + self.daemons[envelope.to].offset;
        let holder_time = self.local(envelope.to);
        let limits = &self.limits;
        let daemon = &mut self.daemons[envelope.to];
        match envelope.message {
            Message::Report(report) => {
                let limit = |name: &Bytes| std::str::from_utf8(&name[6..]).unwrap().parse::<usize>().ok();
                let incarnation = report.incarnation;
                let sequence = report.sequence;
                let limited = daemon.is_limited();
                let limit = |name: &Bytes| limit(name).map(|tenant| limits[tenant]).filter(|_limit| limited);
                let Some(reply) = daemon.coordinator.report(&report, limit, local) else {
                    self.send(envelope.to, envelope.from, || Message::Refusal {
                        incarnation,
                        sequence,
                    });
                    return;
                };
                self.bytes += credit_message::encode(&reply).unwrap().len() as u64;
                self.send(envelope.to, envelope.from, || Message::Reply {
                    incarnation,
                    sequence,
                    reply: reply.clone(),
                });
            }
            Message::Refusal { incarnation, sequence } => {
                if daemon.incarnation == incarnation {
                    daemon.open.take_if(|(open, _sent)| *open == sequence);
                }
            }
            Message::Reply {
                incarnation,
                sequence,
                reply,
            } => {
                if daemon.incarnation != incarnation || !daemon.is_limited() {
                    return;
                }
                let matched = daemon.open.is_some_and(|(open, _sent)| open == sequence);
                daemon.holder_mut().finish_report(sequence, &reply, holder_time);
                if matched {
                    daemon.open = None;
                    let waiting = daemon.waiting.iter_mut();
                    waiting.for_each(|request| request.due = Duration::ZERO);
                }
            }
        }
    }

    fn serve_waiting(&mut self, index: usize) {
        let waiting = std::mem::take(&mut self.daemons[index].waiting);
        let local = self.local(index);
        for request in waiting {
            if request.due <= local {
                self.try_credit(index, request, false);
            } else {
                self.daemons[index].waiting.push(request);
            }
        }
    }

    /// Returns the first window in which more credits were spent than the bucket allows.
    pub fn check(&self) -> Result<(), String> {
        for (tenant, limit) in self.limits.iter().enumerate() {
            let most = limit.rate * BOUNDS.window.as_secs_f64() + limit.capacity;
            let counted = max_in_window(&self.spent[tenant], BOUNDS.window);
            if counted as f64 > most + 1e-6 {
                return Err(format!(
                    "tenant {tenant}: {counted} credits in a window, {most} allowed"
                ));
            }
        }
        Ok(())
    }
}

/// Returns the largest number of times in any window of this length.
pub fn max_in_window(times: &[Duration], window: Duration) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (index, time) in times.iter().enumerate() {
        while times[first] + window <= *time {
            first += 1;
        }
        most = most.max(index - first + 1);
    }
    most
}
