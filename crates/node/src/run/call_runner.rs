//! One call from this daemon to a backend server, over all its attempts.

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

/// Time past the deadline in which the callee's own report of it is awaited.
pub(crate) const DEADLINE_GRACE: time::Duration = time::Duration::from_millis(100);

/// Call without its context, the same for all attempts.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// Service that is called.
    pub service: ids::ServiceName,
    /// HTTP method.
    pub method: Bytes,
    /// Path and query.
    pub path: Bytes,
    /// Headers to pass on.
    pub headers: Vec<call_frame::HeaderPair>,
    /// Body.
    pub body: Bytes,
}

/// What the frames of an attempt have shown so far.
#[derive(Debug, Default)]
struct AttemptState {
    keeps_answer: bool,
    head_passed: bool,
    /// Answer for the owner's ledger, as far as it arrived; absent if it is not kept or too large.
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

/// Runs a call and writes the frames of its response; the last one is `End`, `Refused` or `Abort`.
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
                            hedge.borrow_mut().lose_if_sent();
                        }
                        pass_frame(&state, sink, frame)
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
        if !state.borrow().head_passed
            && let Some(end) = hedge
                .borrow_mut()
                .take_over(result, cancelled, &mut |frame| pass_frame(&state, sink, frame))
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
                let restored = is_lost_forward(end, &attempt, &state)
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
            core_command::RetryDecision::RequestGrant(..) => unreachable!("next_step settles grants"),
        }
    }
}

fn is_lost_forward(end: core_command::CallEnd, attempt: &core_command::AttemptPlan, state: &AttemptState) -> bool {
    let lost = matches!(end, core_command::CallEnd::Lost(_));
    lost && attempt.stage == call_frame::CallStage::Owner && !state.head_passed
}

/// Gives the answer of an action whose owner can't be reached, if the object store has it.
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
    /// Keeps what an owner's ledger needs of a frame that is passed on.
    fn keep(&mut self, frame: &call_frame::CallFrame) {
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

/// Decides what follows an attempt; a response whose head was passed on can't be replaced by another attempt.
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
    if state.head_passed {
        let end = match result {
            core_command::AttemptResult::Cancelled => core_command::CallEnd::Cancelled,
            _ => core_command::CallEnd::Lost(node_core::lost_outcome(idempotent)),
        };
        return core_command::RetryDecision::GiveUp(end);
    }
    let decision = shared
        .core
        .ask(|reply| core_command::CoreCommand::Retry(call, result, reply));
    let settled = match decision {
        Some(core_command::RetryDecision::RequestGrant(address, request)) => {
            let answer = shared.peers.message(address, "/peer/grant", &request);
            let grant = answer.unwrap_or(peer_message::GrantReply::Denied);
            shared
                .core
                .ask(|reply| core_command::CoreCommand::Granted(call, grant, reply))
        }
        other => other,
    };
    let lost = core_command::CallEnd::Lost(node_core::lost_outcome(idempotent));
    settled.unwrap_or(core_command::RetryDecision::GiveUp(lost))
}

fn new_watch(
    deadline: time::Instant,
    cancelled: &call_watch::CancelFlag,
    sink: &frame_sink::FrameSink,
    attempt: &core_command::AttemptPlan,
    hedge: &rc::Rc<cell::RefCell<call_hedge::CallHedge>>,
) -> call_watch::CallWatch {
    let waiting = rc::Rc::clone(sink);
    let hedge = rc::Rc::clone(hedge);
    let mut reported = time::Instant::now();
    call_watch::CallWatch {
        deadline,
        silence: Some(call_watch::PEER_SILENCE),
        cancelled: sync::Arc::clone(cancelled),
        slice: attempt
            .hedge_after
            .unwrap_or(call_watch::WAIT_SLICE)
            .min(call_watch::WAIT_SLICE),
        on_wait: Box::new(move || {
            // Looks at a copy come more often than `Working` frames are needed.
            if reported.elapsed() >= call_watch::WAIT_SLICE {
                reported = time::Instant::now();
                if frame_sink::send(&waiting, call_frame::CallFrame::Working) == frame_sink::SinkStep::Gone {
                    return call_watch::WatchStep::Stop;
                }
            }
            match hedge.borrow_mut().look() {
                call_hedge::HedgeLook::Wait(time) => call_watch::WatchStep::ContinueWithin(time),
                call_hedge::HedgeLook::Won => call_watch::WatchStep::Stop,
                call_hedge::HedgeLook::Over => call_watch::WatchStep::Continue,
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
    let inner: frame_sink::FrameSink = rc::Rc::new(cell::RefCell::new(move |frame| pass_frame(&state, &outer, frame)));
    callee_runner::run(shared, &work, &inner);
}

/// Passes head, body and `Working` on, and keeps the last frame for the decision.
fn pass_frame(
    state: &cell::RefCell<AttemptState>,
    sink: &frame_sink::FrameSink,
    frame: call_frame::CallFrame,
) -> frame_sink::SinkStep {
    match &frame {
        call_frame::CallFrame::Working => return frame_sink::send(sink, frame),
        call_frame::CallFrame::Head { .. } if !state.borrow().head_passed => {
            state.borrow_mut().head_passed = true;
            state.borrow_mut().keep(&frame);
            return frame_sink::send(sink, frame);
        }
        call_frame::CallFrame::Data(data) if state.borrow().head_passed => {
            state.borrow_mut().bytes += data.len() as u64;
            state.borrow_mut().keep(&frame);
            return frame_sink::send(sink, frame);
        }
        // Frames out of order end the attempt as an abort.
        call_frame::CallFrame::Head { .. } | call_frame::CallFrame::Data(_) | call_frame::CallFrame::Call(_) => {
            state.borrow_mut().last = Some(call_frame::CallFrame::Abort {
                outcome: call_outcome::CallOutcome::Unknown,
            });
            return frame_sink::SinkStep::Gone;
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
        (peer_client::PeerEnd::Ended, Some(call_frame::CallFrame::End { report })) if state.head_passed => {
            core_command::AttemptResult::Completed {
                latency: now - started,
                bytes: state.bytes,
                report: *report,
            }
        }
        (peer_client::PeerEnd::Ended, Some(call_frame::CallFrame::Refused { reason, report }))
            if !state.head_passed =>
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
        core_command::CallEnd::Lost(outcome) => call_frame::CallFrame::Abort { outcome },
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
    let mut rest = request.body.clone();
    while !rest.is_empty() {
        let piece = rest.split_to(rest.len().min(call_frame::MAX_DATA_BYTES));
        call_frame::encode_frame(&call_frame::CallFrame::Data(piece), &mut bytes)?;
    }
    call_frame::encode_frame(&call_frame::CallFrame::End { report: None }, &mut bytes)?;
    Ok(bytes)
}
