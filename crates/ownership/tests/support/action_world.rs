//! Simulation of owning daemons, a table service with faults, backend servers and callers, with an oracle that checks
//! executions, refusals and answers.

use std::collections;
use std::time::{Duration, Instant};

use bolero::TypeGenerator;
use bytes::Bytes;
use damasktrack_entity::{call_outcome, request_identity};
use damasktrack_ownership::action_ledger::{self, ActionLedger};
use damasktrack_ownership::action_step::{ActionResult, ActionStep, FinishStep, NextClaim, RetryStep, UnknownReason};
use damasktrack_ownership::claim_plan::{ClaimPlan, ClaimResult, ClaimRow};
use damasktrack_ownership::{action_key, action_step, answer_cache};

const DAEMONS: usize = 3;
const LIMITS: action_ledger::LedgerLimits = action_ledger::LedgerLimits {
    max_actions: 4,
    max_actions_per_request: 2,
    max_waiters: 8,
    max_waiters_per_action: 3,
    max_answer_bytes: 700,
};

/// Mechanism that the simulation disables, so that the oracle must report a violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// An opaque id counts as owned without a claim.
    SkipClaim,
    /// An insert without an answer counts as confirmed.
    TrustLostAnswer,
    /// Any row of the same incarnation counts as that of the current claim, regardless of its token.
    IgnoreToken,
    /// A restarted daemon keeps its incarnation.
    KeepIncarnation,
    /// An evicted bound id runs as if it were new.
    IgnoreFloor,
    /// An ambiguous result counts as not run.
    AmbiguousAsNotRun,
    /// A duplicate result counts as that of the latest dispatch.
    IgnoreAttempt,
    /// A call whose claim can't be settled is refused.
    RefuseUnsettledClaim,
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
pub enum StoreFault {
    None,
    Down,
    LoseRequest,
    LoseAnswer,
    WriteLate,
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
pub enum BackendResult {
    Done,
    LargeAnswer,
    NotRun,
    RanWithoutAnswer,
    LostBeforeRun,
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
pub enum Operation {
    Issue(DaemonSelector),
    /// Runs enough new actions for the ledger to evict older ones.
    Flood(DaemonSelector),
    /// Completes all pending store calls and dispatches of a daemon without faults.
    CompletePending(DaemonSelector),
    /// Daemon, id, path, body and timeout.
    Call(DaemonSelector, u8, bool, u8, u8),
    /// Daemon, number of calls to go back, and timeout.
    Repeat(DaemonSelector, u8, u8),
    Store(u8, StoreFault),
    LateWrite(u8),
    Send(u8),
    Backend(u8, BackendResult, bool),
    /// Retries or releases after a dispatch that did not run.
    Decide(u8, bool),
    /// Delivers a result a second time.
    DuplicateResult(u8),
    Cancel(u8),
    Advance(u8),
    Expire(DaemonSelector),
    Pause(DaemonSelector, u8),
    Resume(DaemonSelector),
    Restart(DaemonSelector, u8),
}

/// Daemon of an operation, modulo the number of daemons.
type DaemonSelector = u8;

struct DaemonState {
    incarnation: u64,
    ledger: ActionLedger,
    paused: bool,
}

/// Call of a caller, in order of arrival.
#[derive(Clone)]
struct Call {
    key: action_key::ActionKey,
    digest: action_key::Sha256Digest,
    /// Event of its arrival at the daemon that handles it. A refusal makes no statement about a repeat that another
    /// daemon is still forwarding, since the owner has not received it.
    arrived: usize,
    daemon: usize,
    incarnation: u64,
    outcomes: u32,
    /// The call was dispatched; its outcome is the result of its dispatch.
    driving: bool,
    /// The caller has disconnected; the call needs no outcome.
    cancelled: bool,
}

struct StoreCall {
    daemon: usize,
    incarnation: u64,
    plan: ClaimPlan,
    read: bool,
}

#[derive(Clone)]
struct Dispatch {
    daemon: usize,
    incarnation: u64,
    call: usize,
    attempt: u32,
}

impl Call {
    fn dispatch(&self, call: usize, attempt: u32) -> Dispatch {
        let (daemon, incarnation) = (self.daemon, self.incarnation);
        Dispatch {
            daemon,
            incarnation,
            call,
            attempt,
        }
    }
}

#[derive(Default)]
struct Oracle {
    event: usize,
    executions: collections::HashMap<action_key::ActionKey, (action_key::Sha256Digest, Bytes)>,
    refusals: collections::HashMap<action_key::ActionKey, (usize, action_key::Sha256Digest)>,
    violation: Option<String>,
}

pub struct World {
    fault: Fault,
    now: Instant,
    daemons: Vec<DaemonState>,
    incarnations: u64,
    ids: Vec<Bytes>,
    calls: Vec<Call>,
    rows: collections::HashMap<String, ClaimRow>,
    late_writes: Vec<(String, ClaimRow)>,
    store_calls: Vec<StoreCall>,
    /// Recorded by the owner and not sent yet.
    unsent: Vec<Dispatch>,
    sent: Vec<Dispatch>,
    /// Ended as not run; a retry is not decided yet.
    idle: Vec<Dispatch>,
    duplicates: Vec<(Dispatch, ActionResult)>,
    oracle: Oracle,
    coverage: Coverage,
}

impl Oracle {
    fn report_violation(&mut self, text: String) {
        self.violation.get_or_insert(text);
    }

    fn execute(&mut self, call: &Call) -> Bytes {
        let answer = Bytes::from(format!("answer {}", self.event));
        if self.executions.contains_key(&call.key) {
            self.report_violation(format!("second execution of {:?}", call.key));
        }
        let refused = self.refusals.get(&call.key);
        if refused.is_some_and(|(event, digest)| *event > call.arrived && *digest == call.digest) {
            self.report_violation(format!("execution after a refusal of {:?}", call.key));
        }
        self.executions.insert(call.key.clone(), (call.digest, answer.clone()));
        answer
    }

    fn refuse(&mut self, call: &Call) {
        let executed = self.executions.get(&call.key);
        if executed.is_some_and(|executed| executed.0 == call.digest) {
            self.report_violation(format!("refusal after an execution of {:?}", call.key));
        }
        self.refusals.insert(call.key.clone(), (self.event, call.digest));
    }

    fn answer(&mut self, call: &Call, answer: &answer_cache::StoredAnswer) {
        let expected = self.executions.get(&call.key);
        if !expected.is_some_and(|(digest, body)| *digest == call.digest && *body == answer.body) {
            self.report_violation(format!("wrong answer for {:?}", call.key));
        }
    }
}

fn daemon_state(daemon: usize, incarnation: u64) -> DaemonState {
    let daemon_id = Bytes::from(format!("d{daemon}"));
    let owner = request_identity::RequestOwner { daemon_id, incarnation };
    DaemonState {
        incarnation,
        ledger: ActionLedger::new(owner, LIMITS),
        paused: false,
    }
}

fn daemon_index(daemon: DaemonSelector) -> usize {
    usize::from(daemon) % DAEMONS
}

fn action_key(request_id: Bytes, path: &'static str) -> action_key::ActionKey {
    action_key::ActionKey {
        request_id,
        service: Bytes::from_static(b"pairing"),
        method: Bytes::from_static(b"POST"),
        path: Bytes::from_static(path.as_bytes()),
    }
}

fn take_at<T>(list: &mut Vec<T>, selector: u8) -> Option<T> {
    if list.is_empty() {
        return None;
    }
    let index = usize::from(selector) % list.len();
    Some(list.remove(index))
}

/// Number of times that a run reached each kind of step, claim and execution. Tests require a minimum, since a run that
/// reaches few of them verifies little.
pub type Coverage = collections::BTreeMap<&'static str, usize>;

/// Runs the operations and returns the first violation that the oracle finds.
pub fn check(fault: Fault, operations: &[Operation], coverage: &mut Coverage) -> Result<(), String> {
    let mut world = World {
        fault,
        now: Instant::now(),
        daemons: (0..DAEMONS)
            .map(|daemon| daemon_state(daemon, daemon as u64 + 1))
            .collect(),
        incarnations: DAEMONS as u64,
        ids: (0..4).map(|index| Bytes::from(format!("opaque-{index}"))).collect(),
        calls: Vec::new(),
        rows: collections::HashMap::new(),
        late_writes: Vec::new(),
        store_calls: Vec::new(),
        unsent: Vec::new(),
        sent: Vec::new(),
        idle: Vec::new(),
        duplicates: Vec::new(),
        oracle: Oracle::default(),
        coverage: std::mem::take(coverage),
    };
    for operation in operations {
        world.apply(*operation);
        world.check_bounds();
        if let Some(violation) = world.oracle.violation.take() {
            return Err(violation);
        }
    }
    world.check_completion();
    *coverage = world.coverage;
    world.oracle.violation.map_or(Ok(()), Err)
}

impl World {
    fn apply(&mut self, operation: Operation) {
        self.oracle.event += 1;
        match operation {
            Operation::Issue(daemon) => {
                let id = self.daemons[daemon_index(daemon)].ledger.issue_id();
                self.ids.push(id);
            }
            Operation::Flood(daemon) => self.flood(daemon_index(daemon)),
            Operation::CompletePending(daemon) => self.complete_pending(daemon_index(daemon)),
            Operation::Call(daemon, id, path, body, timeout) => {
                let id = self.ids[usize::from(id) % self.ids.len()].clone();
                let path = if path { "/a" } else { "/b" };
                self.call(
                    daemon_index(daemon),
                    action_key(id, path),
                    [u8::from(body < 24); 32],
                    timeout,
                );
            }
            Operation::Repeat(daemon, back, timeout) => {
                let index = self.calls.len().checked_sub(1 + usize::from(back % 12));
                if let Some(earlier) = index.map(|index| self.calls[index].clone()) {
                    self.call(daemon_index(daemon), earlier.key, earlier.digest, timeout);
                }
            }
            Operation::Store(index, fault) => {
                if let Some(call) = take_at(&mut self.store_calls, index) {
                    self.execute_store_call(call, fault);
                }
            }
            Operation::LateWrite(index) => {
                if let Some((key, row)) = take_at(&mut self.late_writes, index) {
                    self.rows.entry(key).or_insert(row);
                }
            }
            Operation::Send(index) => {
                if let Some(dispatch) = take_at(&mut self.unsent, index) {
                    self.send(dispatch);
                }
            }
            Operation::Backend(index, result, duplicate) => {
                if let Some(dispatch) = take_at(&mut self.sent, index) {
                    self.run_backend(&dispatch, result, duplicate);
                }
            }
            Operation::Decide(index, retry) => {
                if let Some(dispatch) = take_at(&mut self.idle, index) {
                    self.decide(dispatch, retry);
                }
            }
            Operation::DuplicateResult(index) => {
                if let Some((dispatch, result)) = take_at(&mut self.duplicates, index) {
                    self.deliver_duplicate(&dispatch, &result);
                }
            }
            Operation::Cancel(index) => {
                let index = usize::from(index) % self.calls.len().max(1);
                if let Some(call) = self.calls.get_mut(index).filter(|call| call.outcomes == 0) {
                    call.cancelled = true;
                    self.daemons[call.daemon].ledger.cancel(&call.key, index as u64);
                }
            }
            Operation::Advance(steps) => self.now += Duration::from_millis(u64::from(steps) * 3),
            Operation::Expire(daemon) => self.expire(daemon_index(daemon)),
            Operation::Pause(daemon, draw) => self.daemons[daemon_index(daemon)].paused |= draw < 96,
            Operation::Resume(daemon) => self.daemons[daemon_index(daemon)].paused = false,
            Operation::Restart(daemon, draw) if draw < 64 => {
                self.incarnations += 1;
                let previous = self.daemons[daemon_index(daemon)].incarnation;
                let keeps_incarnation = self.fault == Fault::KeepIncarnation;
                self.daemons[daemon_index(daemon)] = daemon_state(
                    daemon_index(daemon),
                    if keeps_incarnation { previous } else { self.incarnations },
                );
            }
            Operation::Restart(..) => {}
        }
    }

    fn send(&mut self, dispatch: Dispatch) {
        if self.is_running(dispatch.daemon, dispatch.incarnation) {
            self.sent.push(dispatch);
        } else if self.daemons[dispatch.daemon].paused {
            self.unsent.push(dispatch);
        }
    }

    fn complete_pending(&mut self, daemon: usize) {
        if self.daemons[daemon].paused {
            return;
        }
        while let Some(index) = self.store_calls.iter().position(|call| call.daemon == daemon) {
            let call = self.store_calls.remove(index);
            self.execute_store_call(call, StoreFault::None);
        }
        let at_daemon = |dispatch: &mut Dispatch| dispatch.daemon == daemon;
        let unsent: Vec<_> = self.unsent.extract_if(.., at_daemon).collect();
        for dispatch in unsent {
            self.send(dispatch);
        }
        let sent: Vec<_> = self.sent.extract_if(.., at_daemon).collect();
        for dispatch in sent {
            self.run_backend(&dispatch, BackendResult::Done, false);
        }
    }

    fn flood(&mut self, daemon: usize) {
        for _ in 0..LIMITS.max_actions {
            let key = action_key(self.daemons[daemon].ledger.issue_id(), "/a");
            self.call(daemon, key, [0; 32], 100);
        }
        self.complete_pending(daemon);
    }

    fn is_running(&self, daemon: usize, incarnation: u64) -> bool {
        !self.daemons[daemon].paused && self.daemons[daemon].incarnation == incarnation
    }

    fn call(&mut self, daemon: usize, key: action_key::ActionKey, digest: action_key::Sha256Digest, timeout: u8) {
        if self.daemons[daemon].paused {
            return;
        }
        let index = self.calls.len();
        self.calls.push(Call {
            key,
            digest,
            arrived: self.oracle.event,
            daemon,
            incarnation: self.daemons[daemon].incarnation,
            outcomes: 0,
            driving: false,
            cancelled: false,
        });
        self.begin(daemon, index, timeout, false);
    }

    fn begin(&mut self, daemon: usize, index: usize, timeout: u8, forwarded: bool) {
        let call = &mut self.calls[index];
        call.daemon = daemon;
        call.arrived = self.oracle.event;
        call.incarnation = self.daemons[daemon].incarnation;
        let request = action_step::ActionRequest {
            key: call.key.clone(),
            body_digest: call.digest,
            waiter: index as u64,
            deadline: self.now + Duration::from_millis(u64::from(timeout) * 10),
            forwarded,
        };
        let step = self.daemons[daemon].ledger.begin(&request, self.now);
        self.apply_step(daemon, index, step);
    }

    /// Carries out the ledger's step for one call.
    fn apply_step(&mut self, daemon: usize, index: usize, step: ActionStep) {
        let call = self.calls[index].clone();
        let coverage_key = match &step {
            ActionStep::Refuse(_) => "refusals",
            ActionStep::Answer(_) => "answers",
            ActionStep::Forward(_) => "forwards",
            ActionStep::Unknown(UnknownReason::Forgotten) => "forgotten",
            _ => "others",
        };
        *self.coverage.entry(coverage_key).or_default() += 1;
        match step {
            ActionStep::Claim(plan) => self.call_store(daemon, plan, false),
            ActionStep::ReadBack(plan) => self.call_store(daemon, plan, true),
            ActionStep::Dispatch(attempt) => {
                self.calls[index].driving = true;
                self.unsent.push(call.dispatch(index, attempt));
            }
            ActionStep::Wait => {}
            ActionStep::Forward(owner) => {
                let text = owner.daemon_id[1..].to_vec();
                let target: usize = String::from_utf8(text).unwrap().parse().unwrap();
                assert_ne!(target, daemon, "a daemon forwarded to itself");
                if self.daemons[target].paused {
                    self.end_call(index);
                } else {
                    self.begin(target, index, 100, true);
                }
            }
            ActionStep::Answer(answer) => {
                self.oracle.answer(&call, &answer);
                self.end_call(index);
            }
            ActionStep::Unknown(UnknownReason::Forgotten) if self.fault == Fault::IgnoreFloor => {
                self.unsent.push(call.dispatch(index, 1));
            }
            ActionStep::Unknown(UnknownReason::StoreUnavailable) if self.fault == Fault::RefuseUnsettledClaim => {
                self.oracle.refuse(&call);
                self.end_call(index);
            }
            ActionStep::Unknown(_) => self.end_call(index),
            ActionStep::Refuse(_) => {
                self.oracle.refuse(&call);
                self.end_call(index);
            }
        }
    }

    fn end_call(&mut self, index: usize) {
        self.calls[index].outcomes += 1;
        if self.calls[index].outcomes > 1 && self.fault == Fault::None {
            self.oracle.report_violation(format!("call {index} ended twice"));
        }
    }

    fn apply_replies(&mut self, daemon: usize, replies: Vec<action_step::WaiterReply>) {
        for reply in replies {
            self.apply_step(daemon, usize::try_from(reply.waiter).unwrap(), reply.step);
        }
    }

    fn call_store(&mut self, daemon: usize, plan: ClaimPlan, read: bool) {
        let incarnation = self.daemons[daemon].incarnation;
        let call = StoreCall {
            daemon,
            incarnation,
            plan,
            read,
        };
        if self.fault == Fault::SkipClaim {
            return self.settle(&call, &ClaimResult::Inserted);
        }
        self.store_calls.push(call);
    }

    fn execute_store_call(&mut self, call: StoreCall, fault: StoreFault) {
        if !self.is_running(call.daemon, call.incarnation) {
            // A request that a paused or ended daemon sent earlier may still reach the store.
            if !call.read && matches!(fault, StoreFault::None | StoreFault::WriteLate) {
                self.late_writes.push((call.plan.key.clone(), call.plan.row.clone()));
            }
            if self.daemons[call.daemon].incarnation == call.incarnation {
                self.store_calls.push(call);
            }
            return;
        }
        let found = self.rows.get(&call.plan.key).cloned();
        let result = match fault {
            StoreFault::Down => ClaimResult::Unavailable,
            StoreFault::LoseRequest => ClaimResult::Unsettled,
            _ if call.read => match (found, fault) {
                (_, StoreFault::LoseAnswer | StoreFault::WriteLate) => ClaimResult::Unsettled,
                (Some(row), _) => ClaimResult::Found(row),
                (None, _) => ClaimResult::Absent,
            },
            StoreFault::WriteLate => {
                self.late_writes.push((call.plan.key.clone(), call.plan.row.clone()));
                ClaimResult::Unsettled
            }
            _ => {
                let inserted = found.is_none();
                let (key, row) = (call.plan.key.clone(), call.plan.row.clone());
                self.rows.entry(key).or_insert(row);
                match fault {
                    StoreFault::LoseAnswer => ClaimResult::Unsettled,
                    _ if inserted => ClaimResult::Inserted,
                    _ => ClaimResult::Conflict,
                }
            }
        };
        self.settle(&call, &result);
    }

    fn settle(&mut self, call: &StoreCall, result: &ClaimResult) {
        let mut result = result.clone();
        if self.fault == Fault::TrustLostAnswer && result == ClaimResult::Unsettled && !call.read {
            result = ClaimResult::Inserted;
        }
        if let ClaimResult::Found(row) = &mut result
            && self.fault == Fault::IgnoreToken
        {
            row.token = call.plan.token;
        }
        let ledger = &mut self.daemons[call.daemon].ledger;
        let step = ledger.claim_settled(&call.plan.request_id, call.plan.token, &result, self.now);
        *self.coverage.entry("claims").or_default() += usize::from(result == ClaimResult::Inserted);
        match step.next {
            NextClaim::Idle => {}
            NextClaim::Insert(plan) => self.call_store(call.daemon, plan, false),
            NextClaim::Read(plan) => self.call_store(call.daemon, plan, true),
        }
        self.apply_replies(call.daemon, step.replies);
    }

    fn run_backend(&mut self, dispatch: &Dispatch, result: BackendResult, duplicate: bool) {
        let call = self.calls[dispatch.call].clone();
        let not_run = ActionResult::NotRun(call_outcome::RefusalReason::ShedByBackendServer);
        let ambiguous_as_not_run = self.fault == Fault::AmbiguousAsNotRun;
        let ambiguous = if ambiguous_as_not_run {
            not_run.clone()
        } else {
            ActionResult::Ambiguous
        };
        let result = match result {
            BackendResult::Done | BackendResult::LargeAnswer => {
                *self.coverage.entry("executions").or_default() += 1;
                let body = self.oracle.execute(&call);
                let large = matches!(result, BackendResult::LargeAnswer);
                let headers = vec![(Bytes::from_static(b"a"), Bytes::from(vec![0; 600]))];
                ActionResult::Done(answer_cache::StoredAnswer {
                    status: 200,
                    headers: if large { headers } else { Vec::new() },
                    body,
                })
            }
            BackendResult::RanWithoutAnswer => {
                self.oracle.execute(&call);
                ambiguous
            }
            BackendResult::LostBeforeRun => ambiguous,
            BackendResult::NotRun => not_run,
        };
        if !self.is_running(dispatch.daemon, dispatch.incarnation) {
            // The owner has restarted, or is paused and its connection timed out.
            return;
        }
        if duplicate {
            self.duplicates.push((dispatch.clone(), result.clone()));
        }
        self.finish(dispatch, result);
    }

    fn deliver_duplicate(&mut self, dispatch: &Dispatch, result: &ActionResult) {
        if !self.is_running(dispatch.daemon, dispatch.incarnation) {
            return;
        }
        self.finish(dispatch, result.clone());
        if self.fault == Fault::IgnoreAttempt {
            for attempt in 1..6 {
                let call = &self.calls[dispatch.call];
                self.finish(&call.dispatch(dispatch.call, attempt), result.clone());
            }
        }
    }

    fn finish(&mut self, dispatch: &Dispatch, result: ActionResult) {
        let key = self.calls[dispatch.call].key.clone();
        let ledger = &mut self.daemons[dispatch.daemon].ledger;
        match ledger.finish(&key, dispatch.attempt, result) {
            FinishStep::Ended(replies) => {
                self.end_call(dispatch.call);
                self.apply_replies(dispatch.daemon, replies);
            }
            FinishStep::Ready => self.idle.push(dispatch.clone()),
            FinishStep::Stale => {}
        }
    }

    fn decide(&mut self, dispatch: Dispatch, retry: bool) {
        if !self.is_running(dispatch.daemon, dispatch.incarnation) {
            if self.daemons[dispatch.daemon].incarnation == dispatch.incarnation {
                self.idle.push(dispatch);
            }
            return;
        }
        let call = self.calls[dispatch.call].clone();
        let ledger = &mut self.daemons[dispatch.daemon].ledger;
        if retry && let RetryStep::Dispatch(attempt) = ledger.retry(&call.key, dispatch.attempt, self.now) {
            self.unsent.push(Dispatch { attempt, ..dispatch });
            return;
        }
        let reason = call_outcome::RefusalReason::ShedByBackendServer;
        match ledger.release(&call.key, dispatch.attempt, reason) {
            FinishStep::Ended(replies) => {
                self.oracle.refuse(&call);
                self.end_call(dispatch.call);
                self.apply_replies(dispatch.daemon, replies);
            }
            FinishStep::Ready | FinishStep::Stale => self.end_call(dispatch.call),
        }
    }

    fn expire(&mut self, daemon: usize) {
        if !self.daemons[daemon].paused {
            let replies = self.daemons[daemon].ledger.expire(self.now);
            self.apply_replies(daemon, replies);
        }
    }

    fn check_bounds(&mut self) {
        for daemon in &self.daemons {
            let counts = daemon.ledger.counts();
            let within = counts.actions <= LIMITS.max_actions
                && counts.requests <= counts.actions
                && counts.waiters <= LIMITS.max_waiters
                && counts.answer_bytes <= LIMITS.max_answer_bytes;
            if !within {
                self.oracle
                    .report_violation(format!("memory bound exceeded: {counts:?}"));
            }
        }
    }

    /// Advances the time past all deadlines: no ledger may retain a waiter, and each call must have an outcome.
    fn check_completion(&mut self) {
        self.now += Duration::from_hours(1);
        for daemon in 0..DAEMONS {
            self.daemons[daemon].paused = false;
            self.expire(daemon);
            let waiters = self.daemons[daemon].ledger.counts().waiters;
            if waiters > 0 {
                self.oracle
                    .report_violation(format!("{waiters} calls still wait after all deadlines"));
            }
        }
        for (index, call) in self.calls.iter().enumerate() {
            let lost = call.incarnation != self.daemons[call.daemon].incarnation;
            if self.fault == Fault::None && call.outcomes == 0 && !call.driving && !call.cancelled && !lost {
                self.oracle.report_violation(format!("call {index} got no outcome"));
            }
        }
    }
}
