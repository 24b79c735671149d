//! Callee side of a call, on the daemon beside the backend server: admission, the request to the backend server, and
//! whether the response shows that the request ran.

use std::rc;
use std::time;

use damasktrack_admission::gate_report;
use damasktrack_admission::pressure_throttle;
use damasktrack_entity::call_outcome;
use damasktrack_entity::ids;
use damasktrack_pipeline::chunk_list;
use hyper::header;
use tokio::sync::oneshot;
use tokio::task;

use crate::call_identity;
use crate::crash_watch;
use crate::forward_core;
use crate::http_link;
use crate::log_limiter;
use crate::message_body;
use crate::node_context;
use crate::peer_call;
use crate::quarantine_state;
use crate::server_notice;
use crate::server_report;

/// Time past the deadline after which the request to a backend server, or the rest of its response, times out. The
/// backend server itself responds with 504 at the deadline.
const DEADLINE_SLACK: time::Duration = time::Duration::from_millis(100);
/// Share of the time between sending and deadline after which a call cancelled by its caller counts as failed.
const TIMED_OUT_SHARE: f64 = 0.9;
/// Longest idle time of a connection that is reused for a request which must not run twice. If the backend server
/// closes an idle connection while the request is in transit, it is unknown whether the request ran.
const NON_REPEATABLE_MAX_IDLE: time::Duration = time::Duration::from_secs(1);

/// Request to a backend server.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// HTTP method, as the caller sent it.
    pub method: hyper::Method,
    /// Path and query as the caller sent them.
    pub uri: hyper::Uri,
    /// End-to-end headers.
    pub headers: header::HeaderMap,
    /// Complete body.
    pub body: chunk_list::ChunkedBody,
}

/// Result of a call.
#[derive(Debug)]
pub enum CallResult {
    /// The backend server's response.
    Answered(Box<hyper::Response<message_body::ReplyBody>>),
    /// The request did not run and will not run later.
    NotRun(call_outcome::RefusalReason),
    /// The request was sent, and no usable response was received.
    MayHaveRun,
}

/// Whether a call may reach the backend server although its request is quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunKind {
    /// It may not.
    Usual,
    /// It is the trial of a quarantined request.
    Trial,
}

/// Records the end of a call when it is dropped, which includes cancellation by the caller.
struct WorkGuard {
    node: rc::Rc<node_context::NodeContext>,
    class: ids::ClassName,
    call: ids::CallId,
    /// When the call was sent to the backend server, and its deadline.
    sent: Option<(time::Instant, time::Instant)>,
    result: gate_report::FinishResult,
    outcome: pressure_throttle::PressureOutcome,
}

impl WorkGuard {
    /// Returns whether the caller cancelled after most of its time had passed. Such a call counts as failed, since the
    /// caller has given up waiting.
    fn timed_out(&self, now: time::Instant) -> bool {
        self.sent.is_some_and(|(sent, deadline)| {
            let (elapsed, total) = (
                now.saturating_duration_since(sent),
                deadline.saturating_duration_since(sent),
            );
            elapsed >= total.mul_f64(TIMED_OUT_SHARE)
        })
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        let (call, result) = (self.call, self.result);
        let cancelled = result == gate_report::FinishResult::Cancelled;
        let timed_out = cancelled && self.timed_out(time::Instant::now());
        let outcome = if timed_out {
            pressure_throttle::PressureOutcome::Failed
        } else {
            self.outcome
        };
        self.node.core.ask(|core, now| {
            if let Some((started, _deadline)) = self.sent {
                core.note_outcome(&self.class, outcome, started, now);
            }
            core.end_work(call, result, now);
        });
    }
}

/// Runs a call at the backend server beside this daemon.
pub async fn run(
    node: &rc::Rc<node_context::NodeContext>,
    head: &peer_call::CallHead,
    request: CallRequest,
    kind: RunKind,
) -> CallResult {
    let arrived = time::Instant::now();
    let deadline = arrived + head.left;
    let attempt_id = request.headers.get(&node.settings.headers.attempt_id).cloned();
    let refuse = |reason| refuse(node, head, attempt_id.as_ref(), arrived, reason);
    let identity =
        call_identity::CallIdentity::of_call(head, &request.method, &request.uri, &request.headers, &request.body);
    let is_quarantined =
        || kind == RunKind::Usual && node.quarantine.decide(&identity) != quarantine_state::QuarantineDecision::Admit;
    if is_quarantined() {
        return refuse(call_outcome::RefusalReason::Quarantined);
    }
    let decision = node.core.ask(|core, now| core.offer_work(head, deadline, now));
    let guard = |call| WorkGuard {
        node: rc::Rc::clone(node),
        class: head.class.clone(),
        call,
        sent: None,
        result: gate_report::FinishResult::Cancelled,
        outcome: pressure_throttle::PressureOutcome::Unknown,
    };
    let (permit, guard) = match decision {
        forward_core::WorkDecision::Refuse(reason) => return refuse(reason),
        forward_core::WorkDecision::Start(permit) => {
            let guard = guard(permit.call);
            (permit, guard)
        }
        forward_core::WorkDecision::Wait(call, receiver) => {
            let guard = guard(call);
            match await_permit(node, receiver).await {
                // It may have ended servers during its wait.
                Ok(_permit) if is_quarantined() => {
                    return refuse(call_outcome::RefusalReason::Quarantined);
                }
                Ok(permit) => (permit, guard),
                Err(reason) => return refuse(reason),
            }
        }
    };
    let result = send(node, head, &permit, request, identity, deadline, guard).await;
    let outcome = match &result {
        CallResult::Answered(response) => response.status().as_str().to_owned(),
        CallResult::NotRun(reason) => reason.to_string(),
        CallResult::MayHaveRun => "may have run".to_owned(),
    };
    node.metrics.count_work(outcome);
    result
}

/// Awaits the end of a queued call's wait.
async fn await_permit(
    node: &node_context::NodeContext,
    mut receiver: oneshot::Receiver<Result<forward_core::WorkPermit, call_outcome::RefusalReason>>,
) -> Result<forward_core::WorkPermit, call_outcome::RefusalReason> {
    loop {
        let Some(due) = node.core.ask(|core, now| core.release_due(now)) else {
            return receiver.await.unwrap_or(Err(call_outcome::RefusalReason::Cancelled));
        };
        match tokio::time::timeout_at(due.into(), &mut receiver).await {
            Ok(result) => return result.unwrap_or(Err(call_outcome::RefusalReason::Cancelled)),
            Err(_elapsed) => node.core.ask(forward_core::ForwardCore::release_work),
        }
    }
}

fn refuse(
    node: &node_context::NodeContext,
    head: &peer_call::CallHead,
    attempt_id: Option<&header::HeaderValue>,
    arrived: time::Instant,
    reason: call_outcome::RefusalReason,
) -> CallResult {
    let outcome = reason.to_string();
    let line = node_context::RequestLog {
        message: "call refused before the backend server",
        attempt_id,
        class: &head.class,
        tenant: head.tenant.as_ref(),
        outcome: &outcome,
        elapsed: arrived.elapsed(),
    };
    node.log_request(log_limiter::LogCategory::Failure, &line);
    node.metrics.count_work(outcome);
    CallResult::NotRun(reason)
}

async fn send(
    node: &rc::Rc<node_context::NodeContext>,
    head: &peer_call::CallHead,
    permit: &forward_core::WorkPermit,
    request: CallRequest,
    identity: call_identity::CallIdentity,
    deadline: time::Instant,
    mut guard: WorkGuard,
) -> CallResult {
    let now = time::Instant::now();
    guard.sent = Some((now, deadline));
    let left = deadline.saturating_duration_since(now);
    let attempt_id = request.headers.get(&node.settings.headers.attempt_id).cloned();
    let Some(outgoing) = server_request(node, head, permit, request, left) else {
        return CallResult::NotRun(call_outcome::RefusalReason::NotDeclared);
    };
    let max_idle = if head.repeatable {
        time::Duration::MAX
    } else {
        NON_REPEATABLE_MAX_IDLE
    };
    // It keeps the body, since the connection may still have to send the last chunks when hyper has dropped it.
    let mut ticket = crash_watch::begin(node, identity, permit.started_ms);
    let exchange = async {
        let (response, lease) = node.server.send(outgoing, max_idle).await?;
        let checked = check_response(node, &response, attempt_id.as_ref(), lease.origin());
        if checked.is_ok() || checked == Err(ResponseFault::NotExecuted) {
            note_notices(node, permit, response.headers());
        }
        if let Err(fault) = checked {
            return Ok(Err(fault));
        }
        match message_body::receive(response, lease, deadline + DEADLINE_SLACK, &node.account).await {
            Ok(received) => Ok(Ok(received)),
            Err(error) => Err(http_link::LinkError::NoResponse(error.to_string())),
        }
    };
    let sent = tokio::time::timeout(left + DEADLINE_SLACK, exchange).await;
    let (fault, result) = match sent {
        Ok(Ok(Ok((parts, mut body)))) => {
            node.core.ask(forward_core::ForwardCore::server_reached);
            guard.result = gate_report::FinishResult::Completed;
            guard.outcome = if parts.status.is_server_error() {
                pressure_throttle::PressureOutcome::Failed
            } else {
                pressure_throttle::PressureOutcome::Completed
            };
            if !body.is_whole() {
                ticket.release_body();
            }
            body.at_end(Box::new(move |end| {
                if end != message_body::BodyEnd::Complete {
                    guard.result = gate_report::FinishResult::Cancelled;
                }
                drop(guard);
                end_ticket(ticket, end);
            }));
            return CallResult::Answered(Box::new(forwarded_response(parts, body)));
        }
        Ok(Ok(Err(ResponseFault::NotExecuted | ResponseFault::OtherInstance))) => {
            guard.result = gate_report::FinishResult::ShedByBackendServer;
            ticket.discard();
            let reason = call_outcome::RefusalReason::ShedByBackendServer;
            ("not executed".to_owned(), CallResult::NotRun(reason))
        }
        Ok(Ok(Err(ResponseFault::Unusable(fault)))) => {
            guard.result = gate_report::FinishResult::Failed;
            ticket.discard();
            (fault.to_owned(), CallResult::MayHaveRun)
        }
        Ok(Err(http_link::LinkError::NotSent(error))) => {
            node.core.ask(forward_core::ForwardCore::server_refused);
            ticket.discard();
            task::spawn_local(crash_watch::check(rc::Rc::clone(node)));
            let reason = call_outcome::RefusalReason::BackendServerDown;
            (error, CallResult::NotRun(reason))
        }
        // Says nothing about the backend server.
        Ok(Err(error @ http_link::LinkError::NoSlot)) => {
            ticket.discard();
            let reason = call_outcome::RefusalReason::QueueFull;
            (error.to_string(), CallResult::NotRun(reason))
        }
        Ok(Err(http_link::LinkError::NoResponse(error))) => {
            guard.result = gate_report::FinishResult::Failed;
            end_ticket(ticket, message_body::BodyEnd::Broken);
            (error, CallResult::MayHaveRun)
        }
        Err(_elapsed) => {
            guard.result = gate_report::FinishResult::Failed;
            guard.outcome = pressure_throttle::PressureOutcome::Failed;
            ("no response by the deadline".to_owned(), CallResult::MayHaveRun)
        }
    };
    let line = node_context::RequestLog {
        message: "call at the backend server failed",
        attempt_id: attempt_id.as_ref(),
        class: &head.class,
        tenant: head.tenant.as_ref(),
        outcome: &fault,
        elapsed: now.elapsed(),
    };
    node.log_request(log_limiter::LogCategory::Failure, &line);
    result
}

/// Ends the watch of a call. If its connection broke, the server may have ended.
fn end_ticket(ticket: crash_watch::CallTicket, end: message_body::BodyEnd) {
    match end {
        message_body::BodyEnd::Complete => ticket.complete(),
        message_body::BodyEnd::Cancelled => drop(ticket),
        message_body::BodyEnd::Broken => ticket.lose(),
    }
}

/// Applies the notices of the backend server in the headers of its response to a call.
fn note_notices(node: &node_context::NodeContext, permit: &forward_core::WorkPermit, headers: &header::HeaderMap) {
    let notice = server_notice::ServerNotice::read(&node.settings.headers, headers);
    let (effect, started) = node.core.ask(|core, now| {
        let effect = core.apply_server_notice(permit, notice, now);
        (effect, core.gate_counts().started)
    });
    if effect != server_report::ReportEffect::Changed {
        return;
    }
    // A server may name another limit in each response.
    let decision = node
        .log_limiter
        .decide(log_limiter::LogCategory::Failure, time::Instant::now());
    if let log_limiter::LogDecision::Write { left_out } = decision {
        log::info!(
            instance:% = ids::text(&permit.instance), limit:? = notice.limit, leaving = notice.leaving,
            calls_started = started, left_out = left_out;
            "notices of the backend server changed"
        );
    }
}

/// Returns the request for the backend server; `None` if a header value contains invalid bytes.
fn server_request(
    node: &node_context::NodeContext,
    head: &peer_call::CallHead,
    permit: &forward_core::WorkPermit,
    request: CallRequest,
    left: time::Duration,
) -> Option<hyper::Request<http_link::LinkBody>> {
    let names = &node.settings.headers;
    let mut headers = request.headers;
    let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(names.deadline_ms.clone(), header::HeaderValue::from(left_ms));
    headers.insert(
        names.target_instance.clone(),
        header::HeaderValue::from_bytes(&permit.instance).ok()?,
    );
    headers.insert(
        names.caller_service.clone(),
        header::HeaderValue::from_bytes(&head.caller_service).ok()?,
    );
    match &head.tenant {
        Some(tenant) => {
            headers.insert(names.tenant.clone(), header::HeaderValue::from_bytes(tenant).ok()?);
        }
        None => {
            headers.remove(&names.tenant);
        }
    }
    Some(http_link::request_of(
        request.method,
        request.uri,
        headers,
        request.body,
    ))
}

/// Why a response is not forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResponseFault {
    /// The backend server states that it did not run the request.
    NotExecuted,
    /// Another instance runs at the address, which did not run the request.
    OtherInstance,
    /// The response is not the backend server's response to this request.
    Unusable(&'static str),
}

fn check_response(
    node: &node_context::NodeContext,
    response: &hyper::Response<hyper::body::Incoming>,
    attempt_id: Option<&header::HeaderValue>,
    origin: http_link::LinkOrigin,
) -> Result<(), ResponseFault> {
    let (names, headers, status) = (&node.settings.headers, response.headers(), response.status());
    let echoed = headers.get(&names.attempt_id);
    if echoed.is_some() && echoed != attempt_id {
        return Err(ResponseFault::Unusable("response to another request"));
    }
    // A server may write an earlier refusal once more, which then arrives in place of the response.
    let is_refusal = status == hyper::StatusCode::MISDIRECTED_REQUEST || headers.contains_key(&names.not_executed);
    if is_refusal && echoed.is_none() && origin == http_link::LinkOrigin::Kept {
        return Err(ResponseFault::Unusable(
            "refusal without attempt id on a kept connection",
        ));
    }
    if status == hyper::StatusCode::MISDIRECTED_REQUEST {
        return Err(ResponseFault::OtherInstance);
    }
    if headers.contains_key(&names.not_executed) {
        return Err(ResponseFault::NotExecuted);
    }
    if !headers.contains_key(&names.response_seal) || echoed.is_none() {
        return Err(ResponseFault::Unusable("response without signature or attempt id"));
    }
    if !is_final(status) {
        return Err(ResponseFault::Unusable("response without a final status of HTTP"));
    }
    if headers.contains_key(header::CONTENT_ENCODING) {
        return Err(ResponseFault::Unusable("response with a content encoding"));
    }
    Ok(())
}

/// Returns whether a response with this status may end a request. Informational ones don't, and no others are defined.
fn is_final(status: hyper::StatusCode) -> bool {
    status.is_success() || status.is_redirection() || status.is_client_error() || status.is_server_error()
}

/// Builds the response to forward, without hop-by-hop headers. A complete body loses its `Content-Length` header, which
/// hyper sets from the size of the body.
pub fn forwarded_response(
    parts: hyper::http::response::Parts,
    body: message_body::ReplyBody,
) -> hyper::Response<message_body::ReplyBody> {
    let mut headers = parts.headers;
    message_body::strip_headers(&mut headers, &[]);
    if body.is_whole() {
        headers.remove(header::CONTENT_LENGTH);
    }
    let mut response = hyper::Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = headers;
    response
}
