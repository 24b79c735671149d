//! Reading of a caller's request, and the job that runs it.

use std::cell;
use std::rc;
use std::sync;
use std::time;

use bytes::Bytes;
use damasktrack_entity::call_context;
use damasktrack_entity::call_outcome;
use damasktrack_entity::ids;
use damasktrack_wire::call_frame;
use tokio::sync::oneshot;

use crate::call_runner;
use crate::call_watch;
use crate::core_command;
use crate::entry_response;
use crate::frame_sink;
use crate::header_filter;
use crate::node_shared;

/// Longest request id that a caller may choose.
const MAX_REQUEST_ID_BYTES: usize = 256;

/// Request of a caller, ready to run.
#[derive(Debug)]
pub struct EntryRequest {
    /// Id of the call at this daemon.
    pub call: ids::CallId,
    /// Start of the call's time.
    pub arrived: time::Instant,
    /// Where the call came from.
    pub origin: core_command::CallOrigin,
    /// Call to send on.
    pub outgoing: call_runner::OutgoingRequest,
    /// Cancellation of the call.
    pub cancelled: call_watch::CancelFlag,
}

/// Why a request can't be read, with its HTTP status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestFault {
    /// HTTP status.
    pub status: u16,
    /// What is wrong.
    pub text: &'static str,
}

/// Splits the path of a caller's URL into service and the path that the backend server gets.
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

/// Reads the headers that concern damasktrack.
///
/// # Errors
/// Returns the first fault.
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
            text: "the Damasktrack-Timeout-Ms header is not a number\n",
        });
    }
    let request_id = headers.get(header_filter::REQUEST_KEY_HEADER);
    if request_id.is_some_and(|value| value.is_empty() || value.len() > MAX_REQUEST_ID_BYTES) {
        return Err(RequestFault {
            status: 400,
            text: "the Idempotency-Key header is empty or longer than 256 bytes\n",
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

/// Runs a request on a worker thread and answers it.
pub fn run(
    shared: &sync::Arc<node_shared::NodeShared>,
    request: EntryRequest,
    answer: oneshot::Sender<entry_response::EntryAnswer>,
) {
    let start = core_command::CallStart {
        call: request.call,
        origin: request.origin,
        service: request.outgoing.service.clone(),
        method: request.outgoing.method.clone(),
        path: request.outgoing.path.clone(),
        body_digest: xxhash_rust::xxh3::xxh3_64(&request.outgoing.body),
        cancelled: sync::Arc::clone(&request.cancelled),
    };
    let decision = shared
        .core
        .ask(|reply| core_command::CoreCommand::Begin(Box::new(start), reply));
    let (request_id, frame) = match decision {
        Some(core_command::CallDecision::Run(plan)) => {
            run_plan(
                shared,
                *plan,
                &request.outgoing,
                &request.cancelled,
                request.arrived,
                answer,
            );
            return;
        }
        Some(core_command::CallDecision::Refuse { request_id, reason }) => {
            (request_id, call_frame::CallFrame::Refused { reason, report: None })
        }
        Some(core_command::CallDecision::Unknown { request_id }) => (
            request_id,
            call_frame::CallFrame::Abort {
                outcome: call_outcome::CallOutcome::Unknown,
            },
        ),
        None => (
            Bytes::new(),
            call_frame::CallFrame::Refused {
                reason: call_outcome::RefusalReason::Leaving,
                report: None,
            },
        ),
    };
    let outcome = match &frame {
        call_frame::CallFrame::Refused { .. } => call_outcome::CallOutcome::Refused,
        _ => call_outcome::CallOutcome::Unknown,
    };
    shared.metrics.count_undispatched(outcome);
    entry_response::EntryResponder::new(request_id, request.arrived, answer).push(frame);
}

fn run_plan(
    shared: &sync::Arc<node_shared::NodeShared>,
    plan: core_command::CallPlan,
    outgoing: &call_runner::OutgoingRequest,
    cancelled: &call_watch::CancelFlag,
    arrived: time::Instant,
    answer: oneshot::Sender<entry_response::EntryAnswer>,
) {
    let class = plan.class.clone();
    let request_id = plan.attempt.context.request_id.clone();
    let mut responder = entry_response::EntryResponder::new(request_id.clone(), plan.deadline, answer);
    let sink: frame_sink::FrameSink = rc::Rc::new(cell::RefCell::new(move |frame| responder.push(frame)));
    let summary = call_runner::run(shared, plan, outgoing, cancelled, &sink);
    let outcome = match summary.end {
        core_command::CallEnd::Done => "done",
        core_command::CallEnd::Refused(_) => "refused",
        core_command::CallEnd::Lost(call_outcome::CallOutcome::Failed) => "failed",
        core_command::CallEnd::Lost(_) => "unknown",
        core_command::CallEnd::Cancelled => "cancelled",
    };
    shared.metrics.record_call(&class, outcome, arrived.elapsed());
    log::debug!(
        request_id:% = ids::text(&request_id),
        class:% = ids::text(&class.name),
        outcome = outcome,
        attempts = summary.attempts;
        "call ended"
    );
}
