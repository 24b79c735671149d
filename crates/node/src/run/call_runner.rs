//! Execution of one call from this daemon to a backend server, over all its attempts.

use std::cell;
use std::rc;
use std::sync;
use std::time;

use bytes::Bytes;
use bytes::BytesMut;
use damasktrack_entity::call_outcome;
use damasktrack_entity::ids;
use damasktrack_ownership::answer_archive;
use damasktrack_ownership::answer_cache;
use damasktrack_wire::call_frame;
use damasktrack_wire::codec;
use damasktrack_wire::peer_message;

use crate::call::call_watch;
use crate::core::core_command;
use crate::core::core_routes;
use crate::core::node_core;
use crate::core::request_owner;
use crate::peer::peer_client;
use crate::run::call_begin;
use crate::run::call_hedge;
use crate::run::callee_runner;
use crate::shared::node_shared;
use crate::transport::frame_sink;

/// Time after the deadline for which the caller's daemon still waits for the callee's own report of the missed
/// deadline.
pub(crate) const DEADLINE_GRACE: time::Duration = time::Duration::from_millis(100);

/// Parts of a call that are the same for all its attempts.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// Service that is called.
    pub service: ids::ServiceName,
    /// HTTP method of the request.
    pub method: Bytes,
    /// Path and query of the request.
    pub path: Bytes,
    /// Headers that are forwarded to the backend server.
    pub headers: Vec<call_frame::HeaderPair>,
    /// Complete body of the request.
    pub body: Bytes,
}

/// State of an attempt, from the frames received so far.
#[derive(Debug, Default)]
struct AttemptState {
    keeps_answer: bool,
    head_relayed: bool,
    /// Received part of the answer for the owner's ledger; `None` if the ledger does not keep it or it is too large.
    answer: Option<AnswerBuffer>,
    bytes: u64,
    last: Option<call_frame::CallFrame>,
}

#[derive(Debug)]
struct AnswerBuffer {
    status: u16,
    headers: Vec<call_frame::HeaderPair>,
    body: BytesMut,
}

/// Runs a call and sends the frames of its response to `sink`; the last one is `End`, `Refused` or `Abort`.
pub fn run(
    shared: &sync::Arc<node_shared::NodeShared>,
    plan: core_command::CallPlan,
    request: &OutgoingRequest,
    cancelled: &call_watch::CancelFlag,
    sink: &frame_sink::FrameSink,
) -> core_command::CallSummary {
    let hedge = rc::Rc::new(cell::RefCell::new(call_hedge::CallHedge::new(shared, &plan, request)));
    let mut attempt = plan.attempt;
    let mut attempts = 0;
    loop {
        attempts += 1;
        let started = time::Instant::now();
        let state = rc::Rc::new(cell::RefCell::new(AttemptState {
            keeps_answer: plan.keeps_answer,
            ..AttemptState::default()
        }));
        let end = match attempt.target {
            core_routes::RouteTarget::Peer(address) => {
                let watch = new_watch(plan.deadline + DEADLINE_GRACE, cancelled, sink, &attempt, &hedge);
                let body = encode_call(shared, plan.call, &attempt, request);
                match body {
                    Ok(body) => shared.peers.call(address, plan.class.lane, body, watch, &mut |frame| {
                        if matches!(frame, call_frame::CallFrame::Head { .. }) {
                            hedge.borrow_mut().cancel_if_sent();
                        }
                        relay_frame(&state, sink, frame)
                    }),
                    Err(error) => {
                        log::error!(call:? = plan.call, error:% = error; "call can't be encoded");
                        peer_client::PeerEnd::NotSent
                    }
                }
            }
            core_routes::RouteTarget::Local => {
                run_local(shared, plan.call, &attempt, request, &state, sink);
                peer_client::PeerEnd::Ended
            }
        };
        let mut result = attempt_result(end, &state.borrow(), started, plan.deadline);
        if !state.borrow().head_relayed
            && let Some(end) = hedge
                .borrow_mut()
                .promote(result, cancelled, &mut |frame| relay_frame(&state, sink, frame))
        {
            attempts += 1;
            result = attempt_result(end, &state.borrow(), started, plan.deadline);
        }
        let mut state = state.borrow_mut();
        if matches!(result, core_command::AttemptResult::Completed { .. })
            && let Some(answer) = state.answer.take()
        {
            let command = request_owner::OwnerCommand::Answered(plan.call, Box::new(answer.into_stored()));
            shared.core.send(core_command::CoreCommand::Owner(command));
        }
        let next = next_step(shared, plan.call, result, &state, plan.class.idempotent);
        match next {
            core_command::RetryDecision::Again(next) => attempt = next,
            core_command::RetryDecision::GiveUp(end) => {
                let restored = is_incomplete_at_owner(end, &attempt, &state)
                    && send_archived(shared, &attempt.context.request_id, request, sink);
                let end = if restored { core_command::CallEnd::Done } else { end };
                let summary = core_command::CallSummary { end, attempts };
                if !restored {
                    frame_sink::send(sink, last_frame(end, result));
                }
                shared
                    .core
                    .send(core_command::CoreCommand::Finish(plan.call, result, summary));
                return summary;
            }
            core_command::RetryDecision::RequestGrant(..) => unreachable!("next_step resolves grants"),
        }
    }
}

/// Returns whether a call that was forwarded to the owner of the request ended as incomplete before a response head was
/// relayed.
fn is_incomplete_at_owner(
    end: core_command::CallEnd,
    attempt: &core_command::AttemptPlan,
    state: &AttemptState,
) -> bool {
    let incomplete = matches!(end, core_command::CallEnd::Incomplete(_));
    incomplete && attempt.stage == call_frame::CallStage::Owner && !state.head_relayed
}

/// Sends the archived answer of an action whose owner is unreachable. Returns whether the object store has one.
fn send_archived(
    shared: &node_shared::NodeShared,
    request_id: &Bytes,
    request: &OutgoingRequest,
    sink: &frame_sink::FrameSink,
) -> bool {
    match call_begin::read_archive(shared, request_id, request) {
        Some(answer_archive::RestoreStep::Answer(answer)) => {
            call_begin::send_answer(answer, sink);
            true
        }
        _ => false,
    }
}

impl AnswerBuffer {
    fn into_stored(self) -> answer_cache::StoredAnswer {
        answer_cache::StoredAnswer {
            status: self.status,
            headers: self.headers,
            body: self.body.freeze(),
        }
    }
}

impl AttemptState {
    /// Records the parts of a relayed frame that the owner's ledger needs.
    fn record(&mut self, frame: &call_frame::CallFrame) {
        match frame {
            call_frame::CallFrame::Head { status, headers } if self.keeps_answer => {
                self.answer = Some(AnswerBuffer {
                    status: *status,
                    headers: headers.clone(),
                    body: BytesMut::new(),
                });
            }
            call_frame::CallFrame::Data(data) => {
                let fits = |answer: &mut AnswerBuffer| answer.body.len() + data.len() <= answer_cache::MAX_ANSWER_BYTES;
                self.answer = self.answer.take_if(fits);
                if let Some(answer) = &mut self.answer {
                    answer.body.extend_from_slice(data);
                }
            }
            _ => {}
        }
    }
}

/// Decides how to proceed after an attempt. An attempt whose response head was relayed can't be retried.
fn next_step(
    shared: &node_shared::NodeShared,
    call: ids::CallId,
    result: core_command::AttemptResult,
    state: &AttemptState,
    idempotent: bool,
) -> core_command::RetryDecision {
    if matches!(result, core_command::AttemptResult::Completed { .. }) {
        return core_command::RetryDecision::GiveUp(core_command::CallEnd::Done);
    }
    if state.head_relayed {
        let end = match result {
            core_command::AttemptResult::Cancelled => core_command::CallEnd::Cancelled,
            _ => core_command::CallEnd::Incomplete(node_core::incomplete_outcome(idempotent)),
        };
        return core_command::RetryDecision::GiveUp(end);
    }
    let decision = shared
        .core
        .ask(|reply| core_command::CoreCommand::Retry(call, result, reply));
    let resolved = match decision {
        Some(core_command::RetryDecision::RequestGrant(address, request)) => {
            let reply = shared.peers.message(address, "/peer/grant", &request);
            let grant = reply.unwrap_or(peer_message::GrantReply::Denied);
            shared
                .core
                .ask(|reply| core_command::CoreCommand::Granted(call, grant, reply))
        }
        other => other,
    };
    let incomplete = core_command::CallEnd::Incomplete(node_core::incomplete_outcome(idempotent));
    resolved.unwrap_or(core_command::RetryDecision::GiveUp(incomplete))
}

fn new_watch(
    deadline: time::Instant,
    cancelled: &call_watch::CancelFlag,
    sink: &frame_sink::FrameSink,
    attempt: &core_command::AttemptPlan,
    hedge: &rc::Rc<cell::RefCell<call_hedge::CallHedge>>,
) -> call_watch::CallWatch {
    let wait_sink = rc::Rc::clone(sink);
    let hedge = rc::Rc::clone(hedge);
    let mut last_working = time::Instant::now();
    call_watch::CallWatch {
        deadline,
        silence_timeout: Some(call_watch::PEER_SILENCE_TIMEOUT),
        cancelled: sync::Arc::clone(cancelled),
        poll_interval: attempt
            .hedge_after
            .unwrap_or(call_watch::POLL_INTERVAL)
            .min(call_watch::POLL_INTERVAL),
        on_wait: Box::new(move || {
            // The copy is polled more often than `Working` frames are needed.
            if last_working.elapsed() >= call_watch::POLL_INTERVAL {
                last_working = time::Instant::now();
                if frame_sink::send(&wait_sink, call_frame::CallFrame::Working) == frame_sink::SinkStep::Stop {
                    return call_watch::WatchStep::Stop;
                }
            }
            match hedge.borrow_mut().poll() {
                call_hedge::HedgePoll::PollAfter(delay) => call_watch::WatchStep::ContinueWithin(delay),
                call_hedge::HedgePoll::Responded => call_watch::WatchStep::Stop,
                call_hedge::HedgePoll::Ended => call_watch::WatchStep::Continue,
            }
        }),
    }
}

fn run_local(
    shared: &node_shared::NodeShared,
    call: ids::CallId,
    attempt: &core_command::AttemptPlan,
    request: &OutgoingRequest,
    state: &rc::Rc<cell::RefCell<AttemptState>>,
    sink: &frame_sink::FrameSink,
) {
    let work = callee_runner::WorkRequest {
        sender: (shared.identity.clone(), call),
        context: attempt.context.clone(),
        service: request.service.clone(),
        method: request.method.clone(),
        path: request.path.clone(),
        headers: request.headers.clone(),
        body: request.body.clone(),
    };
    let state = rc::Rc::clone(state);
    let outer = rc::Rc::clone(sink);
    let inner: frame_sink::FrameSink = rc::Rc::new(cell::RefCell::new(move |frame| relay_frame(&state, &outer, frame)));
    callee_runner::run(shared, &work, &inner);
}

/// Relays head, body and `Working` frames, and retains the last frame for the decision that follows the attempt.
fn relay_frame(
    state: &cell::RefCell<AttemptState>,
    sink: &frame_sink::FrameSink,
    frame: call_frame::CallFrame,
) -> frame_sink::SinkStep {
    match &frame {
        call_frame::CallFrame::Working => return frame_sink::send(sink, frame),
        call_frame::CallFrame::Head { .. } if !state.borrow().head_relayed => {
            state.borrow_mut().head_relayed = true;
            state.borrow_mut().record(&frame);
            return frame_sink::send(sink, frame);
        }
        call_frame::CallFrame::Data(data) if state.borrow().head_relayed => {
            state.borrow_mut().bytes += data.len() as u64;
            state.borrow_mut().record(&frame);
            return frame_sink::send(sink, frame);
        }
        // A frame out of order counts as an abort of the attempt.
        call_frame::CallFrame::Head { .. } | call_frame::CallFrame::Data(_) | call_frame::CallFrame::Call(_) => {
            state.borrow_mut().last = Some(call_frame::CallFrame::Abort {
                outcome: call_outcome::CallOutcome::Unknown,
            });
            return frame_sink::SinkStep::Stop;
        }
        call_frame::CallFrame::Refused { .. }
        | call_frame::CallFrame::End { .. }
        | call_frame::CallFrame::Abort { .. } => {}
    }
    state.borrow_mut().last = Some(frame);
    frame_sink::SinkStep::Continue
}

fn attempt_result(
    end: peer_client::PeerEnd,
    state: &AttemptState,
    started: time::Instant,
    deadline: time::Instant,
) -> core_command::AttemptResult {
    let now = time::Instant::now();
    match (end, &state.last) {
        (peer_client::PeerEnd::Ended, Some(call_frame::CallFrame::End { report })) if state.head_relayed => {
            core_command::AttemptResult::Completed {
                latency: now - started,
                bytes: state.bytes,
                report: *report,
            }
        }
        (peer_client::PeerEnd::Ended, Some(call_frame::CallFrame::Refused { reason, report }))
            if !state.head_relayed =>
        {
            core_command::AttemptResult::Refused {
                reason: *reason,
                report: *report,
            }
        }
        (peer_client::PeerEnd::NotSent, _) => core_command::AttemptResult::NotSent,
        (peer_client::PeerEnd::Silent, _) => core_command::AttemptResult::Silent,
        (peer_client::PeerEnd::Deadline, _) => core_command::AttemptResult::Deadline,
        (peer_client::PeerEnd::Cancelled, None) => core_command::AttemptResult::Cancelled,
        _ if now >= deadline => core_command::AttemptResult::Deadline,
        _ => core_command::AttemptResult::Failed,
    }
}

fn last_frame(end: core_command::CallEnd, result: core_command::AttemptResult) -> call_frame::CallFrame {
    let report = match result {
        core_command::AttemptResult::Completed { report, .. } | core_command::AttemptResult::Refused { report, .. } => {
            report
        }
        _ => None,
    };
    match end {
        core_command::CallEnd::Done => call_frame::CallFrame::End { report },
        core_command::CallEnd::Refused(reason) => call_frame::CallFrame::Refused { reason, report },
        core_command::CallEnd::Incomplete(outcome) => call_frame::CallFrame::Abort { outcome },
        core_command::CallEnd::Cancelled => call_frame::CallFrame::Abort {
            outcome: call_outcome::CallOutcome::Unknown,
        },
    }
}

pub(crate) fn encode_call(
    shared: &node_shared::NodeShared,
    call: ids::CallId,
    attempt: &core_command::AttemptPlan,
    request: &OutgoingRequest,
) -> Result<Vec<u8>, codec::CodecError> {
    let mut bytes = Vec::new();
    let head = call_frame::CallFrame::Call(Box::new(call_frame::CallHead {
        stage: attempt.stage,
        sender: shared.identity.clone(),
        sender_call: call,
        context: attempt.context.clone(),
        service: request.service.clone(),
        method: request.method.clone(),
        path: request.path.clone(),
        headers: request.headers.clone(),
    }));
    call_frame::encode_frame(&head, &mut bytes)?;
    let mut remaining = request.body.clone();
    while !remaining.is_empty() {
        let chunk = remaining.split_to(remaining.len().min(call_frame::MAX_DATA_BYTES));
        call_frame::encode_frame(&call_frame::CallFrame::Data(chunk), &mut bytes)?;
    }
    call_frame::encode_frame(&call_frame::CallFrame::End { report: None }, &mut bytes)?;
    Ok(bytes)
}
