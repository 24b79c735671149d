//! Parsing of a caller's request, and its dispatch by decision of the core.

use std::cell;
use std::net;
use std::rc;
use std::sync;
use std::time;

use bytes::Bytes;
use damasktrack_entity::call_context;
use damasktrack_entity::call_outcome;
use damasktrack_entity::ids;
use damasktrack_entity::request_identity;
use damasktrack_ownership::action_step;
use damasktrack_ownership::answer_archive;
use damasktrack_ownership::answer_cache;
use damasktrack_wire::call_frame;
use damasktrack_wire::peer_message;
use tokio::sync::oneshot;

use crate::call::call_watch;
use crate::core::core_command;
use crate::core::request_owner;
use crate::entry::entry_response;
use crate::run::call_begin;
use crate::run::call_runner;
use crate::shared::node_shared;
use crate::transport::frame_sink;
use crate::transport::header_filter;
use crate::transport::worker_pool;

/// Request of a caller, ready to run.
#[derive(Debug)]
pub struct EntryRequest {
    /// Id of the call at this daemon.
    pub call: ids::CallId,
    /// Time at which the head of the request was read; the measured duration of the request starts here.
    pub arrived: time::Instant,
    /// Where the call came from.
    pub origin: core_command::CallOrigin,
    /// Request for the backend server.
    pub outgoing: call_runner::OutgoingRequest,
    /// Cancellation of the call.
    pub cancelled: call_watch::CancelFlag,
}

/// Error response to a request that can't be processed; the call did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestFault {
    /// HTTP status code.
    pub status: u16,
    /// Description of the fault, with a line end; it is the body of the response.
    pub text: &'static str,
}

/// Splits the path of a caller's URL into the service, which is its first segment, and the rest with the query, which
/// the backend server gets as path.
#[must_use]
pub fn split_path(uri: &hyper::Uri) -> (Bytes, Bytes) {
    let path = uri.path().strip_prefix('/').unwrap_or_default();
    let (service, rest) = path.split_once('/').unwrap_or((path, ""));
    let mut target = format!("/{rest}");
    if let Some(query) = uri.query() {
        target.push('?');
        target.push_str(query);
    }
    (Bytes::copy_from_slice(service.as_bytes()), Bytes::from(target))
}

/// Parses the headers for the daemon: context, timeout, request id and tenant. The context is ignored unless the
/// connection comes from the loopback address.
///
/// # Errors
/// Returns an error with status 400 for the first header that is not valid.
pub fn read_origin(headers: &hyper::HeaderMap, loopback: bool) -> Result<core_command::CallOrigin, RequestFault> {
    let context = match headers.get(call_context::CONTEXT_HEADER) {
        Some(value) if loopback => {
            let context = call_context::CallContext::from_header(value.as_bytes());
            Some(context.map_err(|_error| RequestFault {
                status: 400,
                text: "the Damasktrack-Context header is not valid; copy it unchanged\n",
            })?)
        }
        _ => None,
    };
    let timeout = headers.get(header_filter::TIMEOUT_HEADER).map(|value| {
        let text = value.to_str().ok();
        text.and_then(|text| text.parse::<u64>().ok())
    });
    if timeout == Some(None) {
        return Err(RequestFault {
            status: 400,
            text: "the Damasktrack-Timeout-Ms header is not a non-negative integer\n",
        });
    }
    let request_id = headers.get(header_filter::REQUEST_KEY_HEADER);
    if request_id.is_some_and(|value| value.is_empty() || value.len() > request_identity::MAX_REQUEST_ID_BYTES) {
        return Err(RequestFault {
            status: 400,
            text: "the Idempotency-Key header is empty or longer than 200 bytes\n",
        });
    }
    let tenant = headers.get(header_filter::TENANT_HEADER);
    Ok(core_command::CallOrigin::Caller {
        context,
        loopback,
        request_id: request_id.map(|value| Bytes::copy_from_slice(value.as_bytes())),
        tenant: tenant.map(|value| Bytes::copy_from_slice(value.as_bytes())),
        timeout: timeout.flatten().map(time::Duration::from_millis),
    })
}

/// Requests the decision of the core about a request and returns at once; the result is sent through `response`. The
/// thread of the core itself submits a call that may run to a worker, which saves a thread switch.
pub fn begin(
    shared: &sync::Arc<node_shared::NodeShared>,
    request: EntryRequest,
    response: oneshot::Sender<entry_response::EntryResponse>,
    runtime: &tokio::runtime::Handle,
) {
    let start = core_command::CallStart {
        call: request.call,
        origin: request.origin,
        service: request.outgoing.service.clone(),
        method: request.outgoing.method.clone(),
        path: request.outgoing.path.clone(),
        body_digest: request_owner::body_digest(&request.outgoing.body),
        cancelled: sync::Arc::clone(&request.cancelled),
    };
    let pending = PendingRequest {
        arrived: request.arrived,
        runtime: runtime.clone(),
        outgoing: request.outgoing,
        cancelled: request.cancelled,
        response,
    };
    let job_shared = sync::Arc::clone(shared);
    let reply = core_command::ReplySender::new(move |decision| {
        apply_decision(&job_shared, decision, pending);
        core_command::ReplyStep::Delivered
    });
    shared
        .core
        .send(core_command::CoreCommand::Begin(Box::new(start), reply));
}

/// Parts of a request that are needed after the decision of the core.
struct PendingRequest {
    arrived: time::Instant,
    runtime: tokio::runtime::Handle,
    outgoing: call_runner::OutgoingRequest,
    cancelled: call_watch::CancelFlag,
    response: oneshot::Sender<entry_response::EntryResponse>,
}

/// Executes the decision about a request. This can run on the thread of the core and must not block.
fn apply_decision(
    shared: &sync::Arc<node_shared::NodeShared>,
    decision: core_command::CallDecision,
    request: PendingRequest,
) {
    let (request_id, frame) = match decision {
        core_command::CallDecision::Run(plan) if shared.pool.is_full() => {
            let reason = call_outcome::RefusalReason::QueueFull;
            abandon(shared, plan.call, reason);
            (
                plan.attempt.context.request_id,
                call_frame::CallFrame::Refused { reason, report: None },
            )
        }
        core_command::CallDecision::Run(plan) => {
            let call = plan.call;
            let job_shared = sync::Arc::clone(shared);
            let submitted = shared.pool.submit(move || run_plan(&job_shared, *plan, request));
            if submitted == worker_pool::SubmitResult::Full {
                // No thread could be started. The response sender is dropped with the job, and the listener reports an
                // unknown outcome.
                abandon(shared, call, call_outcome::RefusalReason::QueueFull);
            }
            return;
        }
        core_command::CallDecision::Refuse { request_id, reason } => {
            (request_id, call_frame::CallFrame::Refused { reason, report: None })
        }
        core_command::CallDecision::RequestGrant(call, address, grant_request) => {
            request_arrival_grant(shared, call, address, grant_request, request);
            return;
        }
        core_command::CallDecision::Answer { request_id, answer } => {
            shared.metrics.count_undispatched(call_outcome::CallOutcome::Done);
            send_stored(request_id, *answer, request);
            return;
        }
        core_command::CallDecision::Unknown { request_id, reason } => {
            respond_unknown(shared, request_id, reason, request);
            return;
        }
    };
    shared.metrics.count_undispatched(call_outcome::CallOutcome::Refused);
    entry_response::EntryResponder::new(request_id, request.arrived, request.response).push(frame);
}

fn request_arrival_grant(
    shared: &sync::Arc<node_shared::NodeShared>,
    call: ids::CallId,
    address: net::SocketAddr,
    grant_request: peer_message::GrantRequest,
    request: PendingRequest,
) {
    let job_shared = sync::Arc::clone(shared);
    let job = move || {
        let decision = call_begin::request_grant(&job_shared, call, address, &grant_request);
        match decision {
            Some(core_command::CallDecision::Run(plan)) => run_plan(&job_shared, *plan, request),
            Some(decision) => apply_decision(&job_shared, decision, request),
            None => {}
        }
    };
    if shared.pool.submit(job) == worker_pool::SubmitResult::Full {
        // The response sender is dropped with the job, and the listener reports an unknown outcome. The denial makes
        // the core remove the call.
        let discard = core_command::ReplySender::new(|_decision| core_command::ReplyStep::Dropped);
        let denied = peer_message::GrantReply::Denied;
        let command = request_owner::OwnerCommand::ArrivalGranted(call, denied, discard);
        shared.core.send(core_command::CoreCommand::Owner(command));
    }
}

fn send_stored(request_id: Bytes, answer: answer_cache::StoredAnswer, request: PendingRequest) {
    let head = entry_response::ResponseHead {
        request_id,
        status: answer.status,
        headers: answer.headers,
    };
    let body = vec![answer.body];
    let _delivered = request
        .response
        .send(entry_response::EntryResponse::Complete { head, body });
}

/// Responds to a call whose outcome is not known to the ledger. The answer of an action with an opaque request id may
/// be in the object store.
fn respond_unknown(
    shared: &sync::Arc<node_shared::NodeShared>,
    request_id: Bytes,
    reason: Option<action_step::UnknownReason>,
    request: PendingRequest,
) {
    let ran_before = matches!(
        reason,
        Some(
            action_step::UnknownReason::OwnerGone
                | action_step::UnknownReason::Forgotten
                | action_step::UnknownReason::AnswerNotKept
        )
    );
    if ran_before && shared.store.is_some() && !shared.pool.is_full() {
        let job_shared = sync::Arc::clone(shared);
        let job = move || restore(&job_shared, request_id, reason, request);
        // If the pool drops the job, the response sender is dropped with it, and the listener reports an unknown
        // outcome.
        let _submitted = shared.pool.submit(job);
        return;
    }
    shared.metrics.count_undispatched(call_outcome::CallOutcome::Unknown);
    let response = entry_response::EntryResponse::Unknown { request_id, reason };
    let _delivered = request.response.send(response);
}

/// Responds to a call with the archived answer, or as unknown if there is none.
fn restore(
    shared: &node_shared::NodeShared,
    request_id: Bytes,
    reason: Option<action_step::UnknownReason>,
    request: PendingRequest,
) {
    let outcome = match call_begin::read_archive(shared, &request_id, &request.outgoing) {
        Some(answer_archive::RestoreStep::Answer(answer)) => {
            send_stored(request_id, answer, request);
            call_outcome::CallOutcome::Done
        }
        Some(answer_archive::RestoreStep::OtherBody) => {
            let reason = call_outcome::RefusalReason::BodyMismatch;
            let response = entry_response::EntryResponse::Refused { request_id, reason };
            let _delivered = request.response.send(response);
            call_outcome::CallOutcome::Refused
        }
        Some(answer_archive::RestoreStep::Unreadable) | None => {
            let response = entry_response::EntryResponse::Unknown { request_id, reason };
            let _delivered = request.response.send(response);
            call_outcome::CallOutcome::Unknown
        }
    };
    shared.metrics.count_undispatched(outcome);
}

/// Ends a call as refused because no worker can run it.
fn abandon(shared: &node_shared::NodeShared, call: ids::CallId, reason: call_outcome::RefusalReason) {
    let result = core_command::AttemptResult::Refused { reason, report: None };
    let summary = core_command::CallSummary {
        end: core_command::CallEnd::Refused(reason),
        attempts: 0,
    };
    shared
        .core
        .send(core_command::CoreCommand::Finish(call, result, summary));
}

fn run_plan(shared: &sync::Arc<node_shared::NodeShared>, plan: core_command::CallPlan, request: PendingRequest) {
    let class = plan.class.clone();
    let request_id = plan.attempt.context.request_id.clone();
    let mut responder = entry_response::EntryResponder::new(request_id.clone(), plan.deadline, request.response);
    responder.set_stall_timeout(request.runtime, shared.settings.stall_timeout);
    let sink: frame_sink::FrameSink = rc::Rc::new(cell::RefCell::new(move |frame| responder.push(frame)));
    let summary = call_runner::run(shared, plan, &request.outgoing, &request.cancelled, &sink);
    let outcome = match summary.end {
        core_command::CallEnd::Done => "done",
        core_command::CallEnd::Refused(_) => "refused",
        core_command::CallEnd::Incomplete(call_outcome::CallOutcome::Failed) => "failed",
        core_command::CallEnd::Incomplete(_) => "unknown",
        core_command::CallEnd::Cancelled => "cancelled",
    };
    shared.metrics.record_call(&class, outcome, request.arrived.elapsed());
    log::debug!(
        request_id:% = ids::text(&request_id),
        class:% = ids::text(&class.name),
        outcome = outcome,
        attempts = summary.attempts;
        "call ended"
    );
}
