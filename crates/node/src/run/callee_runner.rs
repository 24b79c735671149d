//! Execution of one call at the local backend server, from admission to the end of the response.

use std::rc;
use std::sync;
use std::sync::mpsc;
use std::time;

use bytes::Bytes;
use damasktrack_admission::gate_report;
use damasktrack_entity::call_context;
use damasktrack_entity::call_outcome;
use damasktrack_entity::ids;
use damasktrack_wire::call_frame;
use damasktrack_wire::peer_message;

use crate::backend::backend_client;
use crate::call::call_class;
use crate::call::call_watch;
use crate::core::call_table;
use crate::core::core_command;
use crate::core::node_core;
use crate::shared::node_shared;
use crate::transport::frame_sink;

/// Call as received by its callee daemon.
#[derive(Clone, Debug)]
pub struct WorkRequest {
    /// Daemon that sent the call, and the id of the call there.
    pub sender: call_table::SenderCall,
    /// Context of the call, as its sender set it.
    pub context: call_context::CallContext,
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

/// Properties of an admitted call.
struct WorkStart {
    lane: call_class::CallLane,
    idempotent: bool,
    close_delimited: bool,
}

/// Runs a call and sends the frames of its response to `sink`; the last one is `End`, `Refused` or `Abort`.
pub fn run(shared: &node_shared::NodeShared, request: &WorkRequest, sink: &frame_sink::FrameSink) {
    let call = shared.next_call();
    let deadline = time::Instant::now() + request.context.remaining;
    let cancelled = call_watch::CancelFlag::default();
    let start = match admit(shared, request, call, deadline, &cancelled, sink) {
        core_command::WorkDecision::Start {
            lane,
            idempotent,
            close_delimited,
        } => WorkStart {
            lane,
            idempotent,
            close_delimited,
        },
        core_command::WorkDecision::Refuse { reason, report } => {
            frame_sink::send(sink, call_frame::CallFrame::Refused { reason, report });
            return;
        }
    };
    let end = dispatch(shared, request, call, deadline, cancelled, &start, sink);
    if matches!(
        end,
        backend_client::BackendEnd::Deadline | backend_client::BackendEnd::Cancelled
    ) {
        shared.effects.cancel_at_backend_server(call);
    }
    if end == backend_client::BackendEnd::CloseDelimited {
        log::warn!(
            service:% = ids::text(&request.service),
            request_id:% = ids::text(&request.context.request_id),
            class:% = ids::text(&request.context.class);
            "response without a length can't be told from a truncated one; the service does not declare close_delimited"
        );
    }
    // The level is read after the work, since its nested calls may have reported a worse one.
    let report = shared
        .core
        .ask(|reply| core_command::CoreCommand::FinishWork(call, finish_result(end), reply));
    frame_sink::send(sink, last_frame(end, &start, report.flatten()));
}

/// Waits for the admission of the call and sends a `Working` frame at intervals.
fn admit(
    shared: &node_shared::NodeShared,
    request: &WorkRequest,
    call: ids::CallId,
    deadline: time::Instant,
    cancelled: &call_watch::CancelFlag,
    sink: &frame_sink::FrameSink,
) -> core_command::WorkDecision {
    let (reply, decision) = core_command::ReplySender::channel();
    let arrival = core_command::WorkArrival {
        call,
        sender: request.sender.clone(),
        service: request.service.clone(),
        method: request.method.clone(),
        path: request.path.clone(),
        context: request.context.clone(),
        deadline,
        cancelled: sync::Arc::clone(cancelled),
    };
    shared
        .core
        .send(core_command::CoreCommand::Arrive(Box::new(arrival), reply));
    loop {
        match decision.recv_timeout(call_watch::POLL_INTERVAL) {
            Ok(decision) => return decision,
            Err(mpsc::RecvTimeoutError::Disconnected) => {
                return core_command::WorkDecision::Refuse {
                    reason: call_outcome::RefusalReason::Leaving,
                    report: None,
                };
            }
            Err(mpsc::RecvTimeoutError::Timeout) => {}
        }
        if frame_sink::send(sink, call_frame::CallFrame::Working) == frame_sink::SinkStep::Stop {
            // The core then refuses the queued call, which ends this loop.
            let (sender, sender_call) = request.sender.clone();
            let cancel = peer_message::CancelRequest { sender, sender_call };
            shared.core.send(core_command::CoreCommand::CancelFromPeer(cancel));
        }
    }
}

fn dispatch(
    shared: &node_shared::NodeShared,
    request: &WorkRequest,
    call: ids::CallId,
    deadline: time::Instant,
    cancelled: call_watch::CancelFlag,
    start: &WorkStart,
    sink: &frame_sink::FrameSink,
) -> backend_client::BackendEnd {
    let Some(backend) = &shared.backend else {
        return backend_client::BackendEnd::NotSent;
    };
    let context = call_context::CallContext {
        parent_call: call,
        remaining: deadline.saturating_duration_since(time::Instant::now()),
        ..request.context.clone()
    };
    let backend_request = backend_client::BackendRequest {
        method: &request.method,
        path: &request.path,
        headers: &request.headers,
        context: context.to_header(),
        body: request.body.clone(),
        lane: start.lane,
        close_delimited: start.close_delimited,
    };
    let wait_sink = rc::Rc::clone(sink);
    let watch = call_watch::CallWatch {
        deadline,
        silence_timeout: None,
        cancelled,
        poll_interval: call_watch::POLL_INTERVAL,
        on_wait: Box::new(
            move || match frame_sink::send(&wait_sink, call_frame::CallFrame::Working) {
                frame_sink::SinkStep::Continue => call_watch::WatchStep::Continue,
                frame_sink::SinkStep::Stop => call_watch::WatchStep::Stop,
            },
        ),
    };
    backend.call(&backend_request, watch, &mut |frame| frame_sink::send(sink, frame))
}

fn finish_result(end: backend_client::BackendEnd) -> gate_report::FinishResult {
    match end {
        backend_client::BackendEnd::Complete => gate_report::FinishResult::Completed,
        backend_client::BackendEnd::NotRun => gate_report::FinishResult::ShedByBackendServer,
        backend_client::BackendEnd::Cancelled => gate_report::FinishResult::Cancelled,
        backend_client::BackendEnd::NotSent
        | backend_client::BackendEnd::Failed
        | backend_client::BackendEnd::CloseDelimited
        | backend_client::BackendEnd::Deadline => gate_report::FinishResult::Failed,
    }
}

fn last_frame(
    end: backend_client::BackendEnd,
    start: &WorkStart,
    report: Option<call_outcome::LevelReport>,
) -> call_frame::CallFrame {
    match end {
        backend_client::BackendEnd::Complete => call_frame::CallFrame::End { report },
        backend_client::BackendEnd::NotRun => call_frame::CallFrame::Refused {
            reason: call_outcome::RefusalReason::ShedByBackendServer,
            report,
        },
        backend_client::BackendEnd::NotSent => call_frame::CallFrame::Refused {
            reason: call_outcome::RefusalReason::BackendServerDown,
            report,
        },
        backend_client::BackendEnd::Failed
        | backend_client::BackendEnd::CloseDelimited
        | backend_client::BackendEnd::Deadline
        | backend_client::BackendEnd::Cancelled => call_frame::CallFrame::Abort {
            outcome: node_core::incomplete_outcome(start.idempotent),
        },
    }
}
