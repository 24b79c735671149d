//! Entry side of a caller's request: route, attempts, and the response to the caller.

use std::rc;
use std::time;

use bytes::Bytes;
use damasktrack_entity::call_outcome;
use damasktrack_entity::ids;
use damasktrack_routing::retry_budget;
use damasktrack_routing::route_candidate;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header;
use rand::RngExt;

use crate::callee_call;
use crate::forward_core;
use crate::http_link;
use crate::log_limiter;
use crate::message_body;
use crate::node_context;
use crate::peer_call;
use crate::route_config;

/// Maximum number of daemons that are tried for one request. Each refusal costs a message, and after four refusals it
/// is unlikely that a fifth daemon accepts.
const MAX_DAEMONS: usize = 4;
/// Minimum time left until the deadline for another attempt.
const MIN_ATTEMPT_TIME: time::Duration = time::Duration::from_millis(50);
/// Time limit of a request without a deadline header on a route without a timeout.
const DEFAULT_DEADLINE: time::Duration = time::Duration::from_secs(10);
/// Range of the `Retry-After` values, from which each is drawn at random to spread the retries of refused callers.
const RETRY_AFTER_SECONDS: std::ops::Range<f64> = 0.3..0.9;

/// Response that this daemon generates when there is no backend server's response to forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LocalReply {
    BadRequest,
    NoRoute,
    TooLarge,
    NotRun(call_outcome::RefusalReason),
    MayHaveRun,
    Timeout,
}

impl LocalReply {
    fn status(self) -> hyper::StatusCode {
        match self {
            Self::BadRequest => hyper::StatusCode::BAD_REQUEST,
            Self::NoRoute => hyper::StatusCode::NOT_FOUND,
            Self::TooLarge => hyper::StatusCode::PAYLOAD_TOO_LARGE,
            Self::NotRun(_reason) => hyper::StatusCode::SERVICE_UNAVAILABLE,
            Self::MayHaveRun => hyper::StatusCode::BAD_GATEWAY,
            Self::Timeout => hyper::StatusCode::GATEWAY_TIMEOUT,
        }
    }

    fn text(self) -> String {
        match self {
            Self::BadRequest => "malformed request".to_owned(),
            Self::NoRoute => "no route".to_owned(),
            Self::TooLarge => "body too large".to_owned(),
            Self::NotRun(reason) => reason.to_string(),
            Self::MayHaveRun => "no usable response".to_owned(),
            Self::Timeout => "timeout".to_owned(),
        }
    }
}

/// Request that was read completely, with its route.
struct EntryRequest {
    rule: rc::Rc<route_config::RouteRule>,
    service: ids::ServiceName,
    request: callee_call::CallRequest,
    /// Latest time of the response to the caller.
    deadline: time::Instant,
}

/// Counts a request as in flight until it is dropped.
struct InFlightGuard(rc::Rc<node_context::NodeContext>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// Serves one request of a caller.
pub async fn serve(
    node: rc::Rc<node_context::NodeContext>,
    request: hyper::Request<Incoming>,
) -> hyper::Response<message_body::ReplyBody> {
    let arrived = time::Instant::now();
    node.in_flight.set(node.in_flight.get() + 1);
    let _in_flight = InFlightGuard(rc::Rc::clone(&node));
    let attempt_id = request.headers().get(&node.settings.headers.attempt_id).cloned();
    let mut class = Bytes::from_static(b"none");
    let result = match accept(&node, request, arrived, &mut class).await {
        Ok(entry) => attempt(&node, &entry).await,
        Err(reply) => Err(reply),
    };
    let mut response = match result {
        Ok(response) => {
            node.metrics.record_request(&class, "answered", arrived.elapsed());
            let outcome = response.status().as_str().to_owned();
            let category = if response.status().is_server_error() {
                log_limiter::LogCategory::Failure
            } else {
                log_limiter::LogCategory::Success
            };
            log_end(
                &node,
                category,
                "request answered",
                attempt_id.as_ref(),
                &class,
                &outcome,
                arrived,
            );
            response
        }
        Err(reply) => {
            let status = reply.status();
            node.metrics
                .record_request(&class, outcome_label(reply), arrived.elapsed());
            let text = format!("{} {}", status.as_str(), reply.text());
            let category = log_limiter::LogCategory::Failure;
            log_end(
                &node,
                category,
                "request not served",
                attempt_id.as_ref(),
                &class,
                &text,
                arrived,
            );
            local_response(reply)
        }
    };
    if node.core.ask(|core, _now| core.phase()) == forward_core::LifePhase::Stopping {
        response
            .headers_mut()
            .insert(header::CONNECTION, header::HeaderValue::from_static("close"));
    }
    response
}

fn log_end(
    node: &node_context::NodeContext,
    category: log_limiter::LogCategory,
    message: &str,
    attempt_id: Option<&header::HeaderValue>,
    class: &ids::ClassName,
    outcome: &str,
    arrived: time::Instant,
) {
    let line = node_context::RequestLog {
        message,
        attempt_id,
        class,
        outcome,
        elapsed: arrived.elapsed(),
    };
    node.log_request(category, &line);
}

/// Matches the route of a request and reads its body.
async fn accept(
    node: &rc::Rc<node_context::NodeContext>,
    request: hyper::Request<Incoming>,
    arrived: time::Instant,
    class: &mut ids::ClassName,
) -> Result<EntryRequest, LocalReply> {
    let (parts, incoming) = request.into_parts();
    let names = &node.settings.headers;
    let host = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).ok_or(LocalReply::BadRequest)?;
    let decision = node.core.ask(|core, _now| core.route_request(host, parts.uri.path()));
    let (rule, service, max_body_bytes) = match decision {
        forward_core::EntryDecision::Route {
            rule,
            service,
            max_body_bytes,
        } => (rule, service, max_body_bytes),
        forward_core::EntryDecision::NoRoute => return Err(LocalReply::NoRoute),
        forward_core::EntryDecision::NoConfig => {
            return Err(LocalReply::NotRun(call_outcome::RefusalReason::Starting));
        }
    };
    class.clone_from(&rule.name);
    let mut headers = message_body::end_to_end_headers(&parts.headers);
    let deadline_ms = headers
        .get(&names.deadline_ms)
        .and_then(|value| value.to_str().ok()?.trim().parse().ok());
    let requested = deadline_ms.map(time::Duration::from_millis);
    let timeout = [requested, rule.timeout]
        .into_iter()
        .flatten()
        .min()
        .unwrap_or(DEFAULT_DEADLINE);
    for name in [
        &names.target_instance,
        &names.caller_service,
        &names.not_executed,
        &names.response_seal,
    ] {
        headers.remove(name);
    }
    headers.remove(peer_call::CALL_HEADER);
    headers.remove(header::EXPECT);
    let deadline = arrived + timeout;
    let limited = http_body_util::Limited::new(incoming, max_body_bytes);
    let body = match tokio::time::timeout_at(deadline.into(), limited.collect()).await {
        Ok(Ok(collected)) => collected.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => return Err(LocalReply::TooLarge),
        Ok(Err(_failed)) => return Err(LocalReply::BadRequest),
        Err(_elapsed) => return Err(LocalReply::Timeout),
    };
    if body.is_empty() && !parts.headers.contains_key(header::CONTENT_LENGTH) {
        headers.remove(header::CONTENT_LENGTH);
    } else {
        headers.insert(header::CONTENT_LENGTH, header::HeaderValue::from(body.len()));
    }
    let uri = parts
        .uri
        .path_and_query()
        .map_or_else(|| parts.uri.clone(), |path| path.clone().into());
    Ok(EntryRequest {
        rule,
        service,
        request: callee_call::CallRequest {
            method: parts.method,
            uri,
            headers,
            body,
        },
        deadline,
    })
}

/// Sends a request to one server after the other until one responds or no further attempt is allowed.
async fn attempt(
    node: &rc::Rc<node_context::NodeContext>,
    entry: &EntryRequest,
) -> Result<hyper::Response<message_body::ReplyBody>, LocalReply> {
    node.core.ask(|core, now| core.count_request(&entry.service, now));
    let mut tried: Vec<route_candidate::ServerKey> = Vec::new();
    let mut sent = 0;
    let mut last = LocalReply::NotRun(call_outcome::RefusalReason::NoCandidate);
    while tried.len() < MAX_DAEMONS {
        let choice = node
            .core
            .ask(|core, now| core.begin_attempt(&entry.rule, &entry.service, &tried, now));
        let (server, result) = match choice {
            forward_core::AttemptChoice::None => return Err(last),
            forward_core::AttemptChoice::Local { server, call } => {
                let guard = AttemptGuard::new(node, call);
                let head = call_head(node, entry);
                let work = callee_call::run(node, &head, entry.request.clone());
                (server, await_attempt(work, entry.deadline, guard).await)
            }
            forward_core::AttemptChoice::Peer {
                server,
                call,
                address,
                distance,
            } => {
                node.metrics.count_attempt(&entry.rule.name, distance);
                let guard = AttemptGuard::new(node, call);
                let work = call_peer(node, entry, address);
                (server, await_attempt(work, entry.deadline, guard).await)
            }
        };
        tried.push(server);
        let repeat = match result {
            None => return Err(LocalReply::Timeout),
            Some(callee_call::CallResult::Answered(response)) => return Ok(*response),
            Some(callee_call::CallResult::NotRun(reason)) => {
                // A refusal of a later attempt does not show that an earlier attempt did not run.
                if last != LocalReply::MayHaveRun {
                    last = LocalReply::NotRun(reason);
                }
                match reason {
                    call_outcome::RefusalReason::DeadlineTooShort => false,
                    // The request reached a backend server, so the next attempt uses the retry budget although the
                    // request did not run.
                    call_outcome::RefusalReason::ShedByBackendServer => {
                        sent += 1;
                        sent < entry.rule.max_attempts && repeat_allowed(node, entry)
                    }
                    _ => true,
                }
            }
            Some(callee_call::CallResult::MayHaveRun) => {
                last = LocalReply::MayHaveRun;
                sent += 1;
                entry.rule.is_repeatable() && sent < entry.rule.max_attempts && repeat_allowed(node, entry)
            }
        };
        let left = entry.deadline.saturating_duration_since(time::Instant::now());
        if !repeat || left < MIN_ATTEMPT_TIME {
            return Err(last);
        }
    }
    Err(last)
}

fn repeat_allowed(node: &node_context::NodeContext, entry: &EntryRequest) -> bool {
    let decision = node.core.ask(|core, now| core.may_repeat(&entry.service, now));
    if decision == retry_budget::RetryDecision::Allowed {
        node.metrics.count_repeat(&entry.rule.name);
    }
    decision == retry_budget::RetryDecision::Allowed
}

/// Records the end of an attempt when it is dropped, which includes cancellation by the caller.
struct AttemptGuard<'a> {
    node: &'a node_context::NodeContext,
    call: route_candidate::CallKey,
    result: route_candidate::RouteResult,
}

impl<'a> AttemptGuard<'a> {
    fn new(node: &'a node_context::NodeContext, call: route_candidate::CallKey) -> Self {
        Self {
            node,
            call,
            result: route_candidate::RouteResult::Cancelled,
        }
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        let (call, result) = (self.call, self.result);
        self.node.core.ask(|core, now| core.end_attempt(call, result, now));
    }
}

/// Awaits an attempt until the request's deadline; `None` on timeout.
async fn await_attempt(
    work: impl Future<Output = callee_call::CallResult>,
    deadline: time::Instant,
    mut guard: AttemptGuard<'_>,
) -> Option<callee_call::CallResult> {
    let result = tokio::time::timeout_at(deadline.into(), work).await.ok()?;
    guard.result = match &result {
        callee_call::CallResult::Answered(_response) => route_candidate::RouteResult::Completed,
        callee_call::CallResult::NotRun(reason) => route_candidate::RouteResult::Refused(*reason),
        callee_call::CallResult::MayHaveRun => route_candidate::RouteResult::Failed,
    };
    Some(result)
}

fn call_head(node: &node_context::NodeContext, entry: &EntryRequest) -> peer_call::CallHead {
    peer_call::CallHead {
        service: entry.service.clone(),
        class: entry.rule.name.clone(),
        priority: entry.rule.priority,
        repeatable: entry.rule.is_repeatable(),
        left: entry.deadline.saturating_duration_since(time::Instant::now()),
        caller_service: node.settings.service.clone(),
    }
}

async fn call_peer(
    node: &rc::Rc<node_context::NodeContext>,
    entry: &EntryRequest,
    address: std::net::SocketAddr,
) -> callee_call::CallResult {
    let head = peer_call::encode(&call_head(node, entry)).ok();
    let Some(value) = head.and_then(|text| header::HeaderValue::try_from(text).ok()) else {
        return callee_call::CallResult::NotRun(call_outcome::RefusalReason::NotDeclared);
    };
    let mut headers = entry.request.headers.clone();
    headers.insert(peer_call::CALL_HEADER, value);
    let request = callee_call::request_of(
        entry.request.method.clone(),
        entry.request.uri.clone(),
        headers,
        entry.request.body.clone(),
    );
    let began = time::Instant::now();
    let (response, lease) = match node.peer(address).send(request, time::Duration::MAX).await {
        Ok(sent) => sent,
        Err(http_link::LinkError::NotSent(_error)) => {
            return callee_call::CallResult::NotRun(call_outcome::RefusalReason::BackendServerDown);
        }
        Err(http_link::LinkError::NoResponse(error)) => {
            let id = entry.request.headers.get(&node.settings.headers.attempt_id);
            let (class, outcome) = (&entry.rule.name, format!("{address}: {error}"));
            let category = log_limiter::LogCategory::Failure;
            log_end(node, category, "daemon gave no response", id, class, &outcome, began);
            return callee_call::CallResult::MayHaveRun;
        }
    };
    let reply = response
        .headers()
        .get(peer_call::REPLY_HEADER)
        .and_then(|value| peer_call::decode::<peer_call::CallReply>(value.as_bytes()));
    let Ok((mut parts, body)) = message_body::receive(response, lease).await else {
        return callee_call::CallResult::MayHaveRun;
    };
    parts.headers.remove(peer_call::REPLY_HEADER);
    match reply {
        Some(peer_call::CallReply::Answered) => {
            callee_call::CallResult::Answered(Box::new(callee_call::forwarded_response(&parts, body)))
        }
        Some(peer_call::CallReply::NotRun(reason)) => callee_call::CallResult::NotRun(reason),
        Some(peer_call::CallReply::MayHaveRun) | None => callee_call::CallResult::MayHaveRun,
    }
}

fn outcome_label(reply: LocalReply) -> &'static str {
    match reply {
        LocalReply::BadRequest | LocalReply::TooLarge => "rejected",
        LocalReply::NoRoute => "no_route",
        LocalReply::NotRun(_reason) => "refused",
        LocalReply::MayHaveRun => "failed",
        LocalReply::Timeout => "timeout",
    }
}

fn local_response(reply: LocalReply) -> hyper::Response<message_body::ReplyBody> {
    let mut response = hyper::Response::new(message_body::ReplyBody::whole(Bytes::new()));
    *response.status_mut() = reply.status();
    if matches!(reply, LocalReply::NotRun(_)) {
        let seconds = rand::rng().random_range(RETRY_AFTER_SECONDS);
        if let Ok(value) = header::HeaderValue::try_from(format!("{seconds:.2}")) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}
