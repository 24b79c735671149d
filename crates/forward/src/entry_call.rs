//! Entry side of a caller's request: route, attempts, and the response to the caller.

use std::cell;
use std::rc;
use std::time;

use bytes::Bytes;
use damasktrack_entity::call_outcome;
use damasktrack_entity::ids;
use damasktrack_pipeline::chunk_list;
use damasktrack_pipeline::request_fault;
use damasktrack_pipeline::request_order;
use damasktrack_pipeline::server_connection;
use damasktrack_quarantine::quarantine_table;
use damasktrack_routing::round_policy;
use damasktrack_routing::route_candidate;
use hyper::header;
use hyper::http::request;
use rand::RngExt;

use crate::call_identity;
use crate::callee_call;
use crate::caller_key;
use crate::forward_core;
use crate::http_link;
use crate::local_reply;
use crate::log_limiter;
use crate::message_body;
use crate::node_context;
use crate::peer_call;
use crate::quarantine_state;
use crate::quota_gate;
use crate::request_end;
use crate::route_config;
use crate::server_hint;
use crate::stall_watch;
use crate::tenant_config;

/// Maximum number of daemons that are tried for one request. Each refusal costs a message, and after four refusals it
/// is unlikely that a fifth daemon accepts.
const MAX_DAEMONS: usize = 4;
/// Minimum time left until the deadline for another attempt.
const MIN_ATTEMPT_TIME: time::Duration = time::Duration::from_millis(50);
/// Class in metrics and logs of a request that no route matches.
const UNMATCHED_CLASS: &[u8] = b"none";
/// Time limit of a request without a deadline header on a route without a timeout.
const DEFAULT_DEADLINE: time::Duration = time::Duration::from_secs(10);
/// Largest request body while no configuration is in force, in bytes.
const DEFAULT_MAX_BODY_BYTES: usize = 8 << 20;
/// Route of a request, decided from its head.
#[derive(Debug)]
pub struct EntryRoute {
    matched: Result<MatchedRoute, local_reply::LocalReply>,
    /// Tenant of the request; `None` for the default tenant.
    pub tenant: Option<rc::Rc<tenant_config::TenantRule>>,
    /// Time from the arrival of the head to the latest time of the response.
    timeout: time::Duration,
}

#[derive(Debug)]
struct MatchedRoute {
    rule: rc::Rc<route_config::RouteRule>,
    service: ids::ServiceName,
}

/// Request that was read completely, with its route.
struct EntryRequest {
    rule: rc::Rc<route_config::RouteRule>,
    service: ids::ServiceName,
    tenant: Option<rc::Rc<tenant_config::TenantRule>>,
    request: callee_call::CallRequest,
    /// When the head was read.
    arrived: time::Instant,
    /// Latest time of the response to the caller.
    deadline: time::Instant,
    /// Whether the request is quarantined and sent once all the same.
    is_trial: cell::Cell<bool>,
}

impl EntryRequest {
    fn run_kind(&self) -> callee_call::RunKind {
        if self.is_trial.get() {
            callee_call::RunKind::Trial
        } else {
            callee_call::RunKind::Usual
        }
    }
}

/// Counts a request as in flight until it is dropped.
struct InFlightGuard(rc::Rc<node_context::NodeContext>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// Matches the route of a request and plans how it is read.
pub fn plan(
    node: &node_context::NodeContext,
    parts: &mut request::Parts,
) -> server_connection::RequestPlan<EntryRoute> {
    // The key ends here, and the caller has no say in the tenant's name.
    let key = caller_key::CarriedKey::take(&mut parts.headers, &node.settings.headers.credential);
    parts.headers.remove(&node.settings.headers.tenant);
    let host = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| parts.uri.host());
    let (decision, max_body_bytes, waited) = node.core.ask(|core, _now| {
        let limits = core.config().map(|config| config.limits);
        let max_body_bytes = limits.map_or(DEFAULT_MAX_BODY_BYTES, |limits| limits.max_body_bytes);
        let now = stall_watch::boot_time();
        let decision = host.map(|host| core.route_request(host, parts.uri.path(), &key, now));
        let waited = core.longest_wait(now);
        (decision, max_body_bytes, waited)
    });
    let mut known_tenant = None;
    let matched = match decision {
        Some(forward_core::EntryDecision::Route { rule, service, tenant }) => {
            known_tenant = tenant;
            Ok(MatchedRoute { rule, service })
        }
        Some(forward_core::EntryDecision::Unauthorized) => Err(local_reply::LocalReply::Unauthorized),
        Some(forward_core::EntryDecision::Unconfirmed) => Err(local_reply::LocalReply::Unconfirmed),
        Some(forward_core::EntryDecision::NoRoute) => Err(local_reply::LocalReply::NoRoute),
        Some(forward_core::EntryDecision::NoConfig) => {
            Err(local_reply::LocalReply::NotRun(call_outcome::RefusalReason::Starting))
        }
        None => Err(local_reply::LocalReply::BadRequest),
    };
    let requested = parts.headers.get(&node.settings.headers.deadline_ms);
    let requested = requested.and_then(|value| value.to_str().ok()?.trim().parse().ok());
    let route_timeout = matched.as_ref().ok().and_then(|matched| matched.rule.timeout);
    let timeouts = [requested.map(time::Duration::from_millis), route_timeout];
    let timeout = timeouts.into_iter().flatten().min().unwrap_or(DEFAULT_DEADLINE);
    let order = match &matched {
        Ok(matched) if !matched.rule.is_repeatable() => request_order::StartOrder::InTurn,
        _ => request_order::StartOrder::Ahead,
    };
    server_connection::RequestPlan {
        max_body_bytes,
        body_timeout: timeout,
        order,
        refused: matches!(
            matched,
            Err(local_reply::LocalReply::Unauthorized | local_reply::LocalReply::Unconfirmed)
        ),
        route: EntryRoute {
            matched,
            tenant: known_tenant,
            timeout: timeout.saturating_sub(waited),
        },
    }
}

/// Returns the response to a request that was not read completely.
pub fn reject(
    node: &node_context::NodeContext,
    fault: request_fault::RequestFault,
) -> hyper::Response<message_body::ReplyBody> {
    let class = Bytes::from_static(UNMATCHED_CLASS);
    let ended = request_end::EndedRequest {
        attempt_id: None,
        class: &class,
        tenant: None,
        arrived: time::Instant::now(),
    };
    ended.finish_locally(node, local_reply::LocalReply::Rejected(fault))
}

/// Serves one request of a caller.
pub async fn serve(
    node: rc::Rc<node_context::NodeContext>,
    request: server_connection::CallerRequest<EntryRoute>,
) -> hyper::Response<message_body::ReplyBody> {
    let arrived = request.arrived;
    node.in_flight.set(node.in_flight.get() + 1);
    let _in_flight = InFlightGuard(rc::Rc::clone(&node));
    let attempt_id = request.parts.headers.get(&node.settings.headers.attempt_id).cloned();
    let deadline = arrived + request.route.timeout;
    let tenant = request.route.tenant;
    let (class, result) = match request.route.matched {
        Ok(matched) => {
            let class = matched.rule.name.clone();
            let call = call_request(&node, request.parts, request.body);
            let entry = EntryRequest {
                rule: matched.rule,
                service: matched.service,
                tenant: tenant.clone(),
                request: call,
                arrived,
                deadline,
                is_trial: cell::Cell::new(false),
            };
            (class, admit_until_stop(&node, &entry).await)
        }
        Err(reply) => (Bytes::from_static(UNMATCHED_CLASS), Err(reply)),
    };
    let ended = request_end::EndedRequest {
        attempt_id: attempt_id.as_ref(),
        class: &class,
        tenant: tenant.as_ref().map(|tenant| &tenant.name),
        arrived,
    };
    match result {
        Ok(response) => {
            ended.record_answer(&node, response.status());
            response
        }
        Err(reply) => ended.finish_locally(&node, reply),
    }
}

/// Builds the request for the backend server from that of a caller.
fn call_request(
    node: &node_context::NodeContext,
    parts: request::Parts,
    body: chunk_list::ChunkedBody,
) -> callee_call::CallRequest {
    let names = &node.settings.headers;
    let mut headers = parts.headers;
    let has_length = headers.contains_key(header::CONTENT_LENGTH);
    let others = [
        &names.target_instance,
        &names.caller_service,
        &names.not_executed,
        &names.response_seal,
        &peer_call::CALL_HEADER,
        &peer_call::TRIAL_HEADER,
        &header::EXPECT,
    ];
    message_body::strip_headers(&mut headers, &others);
    if body.is_empty() && !has_length {
        headers.remove(header::CONTENT_LENGTH);
    } else {
        headers.insert(header::CONTENT_LENGTH, header::HeaderValue::from(body.len()));
    }
    let uri = parts
        .uri
        .path_and_query()
        .map_or_else(|| parts.uri.clone(), |path| path.clone().into());
    callee_call::CallRequest {
        method: parts.method,
        uri,
        headers,
        body,
    }
}

/// Sends a request unless a planned stop leaves too little time. At the end of the stop, the request may have run.
async fn admit_until_stop(
    node: &rc::Rc<node_context::NodeContext>,
    entry: &EntryRequest,
) -> Result<hyper::Response<message_body::ReplyBody>, local_reply::LocalReply> {
    if node.stop.is_late(time::Instant::now()) {
        return Err(local_reply::LocalReply::NotRun(call_outcome::RefusalReason::Leaving));
    }
    if let quarantine_state::QuarantineDecision::Refuse { digest, trial } = decide_quarantine(node, entry) {
        let is_due = trial == quarantine_table::TrialDecision::Due;
        if !is_due || !node.core.ask(|core, _now| core.tries_request(digest)) {
            return Err(quarantine_refusal(node, entry));
        }
        node.record_trial(digest);
        entry.is_trial.set(true);
    }
    tokio::select! {
        biased;
        result = admit(node, entry) => result,
        () = node.stop.ended() => Err(local_reply::LocalReply::Timeout),
    }
}

/// Sends a request if its tenant's quota admits it.
async fn admit(
    node: &rc::Rc<node_context::NodeContext>,
    entry: &EntryRequest,
) -> Result<hyper::Response<message_body::ReplyBody>, local_reply::LocalReply> {
    let time_left = entry.deadline.saturating_duration_since(time::Instant::now());
    let credit = match quota_gate::admit(node, entry.tenant.as_deref(), time_left).await {
        quota_gate::QuotaDecision::Admitted(credit) => credit,
        quota_gate::QuotaDecision::Refused(refusal) => return Err(local_reply::LocalReply::OverQuota(refusal)),
    };
    let result = attempt(node, entry).await;
    let not_run = local_reply::LocalReply::is_not_run;
    if result.as_ref().is_err_and(not_run) {
        credit.give_back(node);
    }
    result
}

/// Sends a request in rounds of attempts until a server responds or no further round is allowed.
async fn attempt(
    node: &rc::Rc<node_context::NodeContext>,
    entry: &EntryRequest,
) -> Result<hyper::Response<message_body::ReplyBody>, local_reply::LocalReply> {
    if time::Instant::now() >= entry.deadline {
        return Err(local_reply::LocalReply::NotRun(
            call_outcome::RefusalReason::DeadlineTooShort,
        ));
    }
    node.core.ask(|core, now| core.count_request(&entry.service, now));
    let limit = entry.deadline.saturating_duration_since(entry.arrived);
    let mut sent = 0;
    loop {
        let reply = match attempt_round(node, entry, &mut sent).await {
            Ok(response) => return Ok(response),
            Err(reply) => reply,
        };
        let local_reply::LocalReply::NotRun(reason) = reply else {
            return Err(reply);
        };
        let draw = rand::rng().random();
        match round_policy::next_round(reason, entry.arrived.elapsed(), limit, draw) {
            round_policy::RoundStep::Pause(pause) => {
                node.metrics.count_round(&entry.rule.name);
                tokio::time::sleep(pause).await;
            }
            round_policy::RoundStep::GiveUp => return Err(reply),
        }
    }
}

/// Sends a request to one server after the other until one responds or no further attempt is allowed. A refusal for
/// want of capacity is returned only if no backend server may have run the request. `sent` counts the backend servers
/// that got it in all rounds.
async fn attempt_round(
    node: &rc::Rc<node_context::NodeContext>,
    entry: &EntryRequest,
    sent: &mut u32,
) -> Result<hyper::Response<message_body::ReplyBody>, local_reply::LocalReply> {
    let mut tried: Vec<route_candidate::ServerKey> = Vec::new();
    let mut last = local_reply::LocalReply::NotRun(call_outcome::RefusalReason::NoCandidate);
    while tried.len() < MAX_DAEMONS {
        let may_have_run = last == local_reply::LocalReply::MayHaveRun;
        // It may have crashed servers since the last attempt. A trial lasts until a server has got the request.
        if !tried.is_empty()
            && (may_have_run || !entry.is_trial.get())
            && decide_quarantine(node, entry) != quarantine_state::QuarantineDecision::Admit
        {
            let refusal = quarantine_refusal(node, entry);
            return Err(if may_have_run { last } else { refusal });
        }
        let choice = node
            .core
            .ask(|core, now| core.begin_attempt(&entry.rule, &entry.service, &tried, now));
        let began = time::Instant::now();
        let (server, peer, result) = match choice {
            forward_core::AttemptChoice::None => return Err(last),
            forward_core::AttemptChoice::Local { server, call } => {
                let guard = AttemptGuard::new(node, call);
                let head = call_head(node, entry, None);
                let work = callee_call::run(node, &head, entry.request.clone(), entry.run_kind());
                let awaited = tokio::time::timeout_at(entry.deadline.into(), work).await;
                (server, None, finish_attempt(awaited, guard))
            }
            forward_core::AttemptChoice::Peer {
                server,
                call,
                daemon_id,
                address,
                distance,
                for_capacity,
            } => {
                node.metrics.count_attempt(&entry.rule.name, distance);
                if for_capacity {
                    node.metrics.count_capacity_spillover(&entry.rule.name);
                }
                let guard = AttemptGuard::new(node, call);
                let work = call_peer(node, entry, &daemon_id, address);
                let awaited = tokio::time::timeout_at(entry.deadline.into(), work).await;
                (server, Some(address), finish_attempt(awaited, guard))
            }
        };
        tried.push(server);
        let repeat = match result {
            None => {
                ended_attempt(node, entry, began).log_timeout(node, peer);
                return Err(local_reply::LocalReply::Timeout);
            }
            Some(callee_call::CallResult::Answered(response)) => return Ok(*response),
            Some(callee_call::CallResult::NotRun(reason)) => {
                // A refusal of a later attempt does not show that an earlier attempt did not run.
                if last != local_reply::LocalReply::MayHaveRun {
                    last = not_run_reply(node, entry, reason);
                }
                match reason {
                    call_outcome::RefusalReason::DeadlineTooShort | call_outcome::RefusalReason::Quarantined => false,
                    // The request reached a backend server, so the next attempt uses the retry budget although the
                    // request did not run.
                    call_outcome::RefusalReason::ShedByBackendServer => {
                        *sent += 1;
                        *sent < entry.rule.max_attempts && repeat_allowed(node, entry)
                    }
                    call_outcome::RefusalReason::RateReached => {
                        node.core.ask(|core, now| core.hold_server(server, now));
                        true
                    }
                    _ => true,
                }
            }
            Some(callee_call::CallResult::MayHaveRun) => {
                last = local_reply::LocalReply::MayHaveRun;
                *sent += 1;
                entry.rule.is_repeatable() && *sent < entry.rule.max_attempts && repeat_allowed(node, entry)
            }
        };
        let left = entry.deadline.saturating_duration_since(time::Instant::now());
        if !repeat || left < MIN_ATTEMPT_TIME {
            return Err(last);
        }
    }
    Err(last)
}

/// Decides whether a request crashed too many servers.
fn decide_quarantine(node: &node_context::NodeContext, entry: &EntryRequest) -> quarantine_state::QuarantineDecision {
    node.quarantine.decide_with(|| identity(node, entry))
}

/// Returns the identity of a request, as the callee daemon sees it.
fn identity(node: &node_context::NodeContext, entry: &EntryRequest) -> call_identity::CallIdentity {
    call_identity::CallIdentity::new(
        &node.settings.service,
        entry.tenant.as_ref().map(|tenant| &tenant.name),
        &entry.request.method,
        &entry.request.uri,
        &entry.request.headers,
        &entry.request.body,
    )
}

fn quarantine_refusal(node: &node_context::NodeContext, entry: &EntryRequest) -> local_reply::LocalReply {
    node.metrics.count_quarantine_refusal(&entry.rule.name);
    not_run_reply(node, entry, call_outcome::RefusalReason::Quarantined)
}

fn not_run_reply(
    node: &node_context::NodeContext,
    entry: &EntryRequest,
    reason: call_outcome::RefusalReason,
) -> local_reply::LocalReply {
    match reason {
        call_outcome::RefusalReason::Quarantined => local_reply::LocalReply::Quarantined {
            hold: node.quarantine.policy().hold,
            digest: identity(node, entry).digest(),
        },
        reason => local_reply::LocalReply::NotRun(reason),
    }
}

/// Returns an attempt as an ended request, for its log line.
fn ended_attempt<'a>(
    node: &node_context::NodeContext,
    entry: &'a EntryRequest,
    began: time::Instant,
) -> request_end::EndedRequest<'a> {
    request_end::EndedRequest {
        attempt_id: entry.request.headers.get(&node.settings.headers.attempt_id),
        class: &entry.rule.name,
        tenant: entry.tenant.as_ref().map(|tenant| &tenant.name),
        arrived: began,
    }
}

fn repeat_allowed(node: &node_context::NodeContext, entry: &EntryRequest) -> bool {
    let tenant = entry.tenant.as_ref().map(|tenant| &tenant.name);
    let decision = node.core.ask(|core, now| core.may_repeat(&entry.service, tenant, now));
    match decision {
        forward_core::RepeatDecision::Allowed => node.metrics.count_repeat(&entry.rule.name),
        forward_core::RepeatDecision::NoBudget => {}
        forward_core::RepeatDecision::OthersFirst => record_yielded_repeat(node, entry),
    }
    decision == forward_core::RepeatDecision::Allowed
}

fn record_yielded_repeat(node: &node_context::NodeContext, entry: &EntryRequest) {
    node.metrics.count_yielded_repeat(&entry.rule.name);
    let decision = node
        .log_limiter
        .decide(log_limiter::LogCategory::Failure, time::Instant::now());
    if let log_limiter::LogDecision::Write { left_out } = decision {
        let tenant = entry.tenant.as_ref().map(|tenant| ids::text(&tenant.name));
        let tenant = tenant.unwrap_or_default();
        log::info!(
            tenant:% = tenant, service:% = ids::text(&entry.service), left_out = left_out;
            "request not sent again, since another tenant has the next repeat"
        );
    }
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

/// Records the result of an attempt and returns it; `None` if the request's deadline passed.
fn finish_attempt(
    awaited: Result<callee_call::CallResult, tokio::time::error::Elapsed>,
    mut guard: AttemptGuard<'_>,
) -> Option<callee_call::CallResult> {
    let result = awaited.ok()?;
    guard.result = match &result {
        callee_call::CallResult::Answered(_response) => route_candidate::RouteResult::Completed,
        callee_call::CallResult::NotRun(reason) => route_candidate::RouteResult::Refused(*reason),
        callee_call::CallResult::MayHaveRun => route_candidate::RouteResult::Failed,
    };
    Some(result)
}

fn call_head(
    node: &node_context::NodeContext,
    entry: &EntryRequest,
    hint: Option<server_hint::ServerHint>,
) -> peer_call::CallHead {
    peer_call::CallHead {
        service: entry.service.clone(),
        class: entry.rule.name.clone(),
        priority: tenant_config::priority(&entry.rule, entry.tenant.as_deref()),
        repeatable: entry.rule.is_repeatable(),
        left: entry.deadline.saturating_duration_since(time::Instant::now()),
        caller_service: node.settings.service.clone(),
        hint,
        tenant: entry.tenant.as_ref().map(|tenant| tenant.name.clone()),
    }
}

async fn call_peer(
    node: &rc::Rc<node_context::NodeContext>,
    entry: &EntryRequest,
    daemon_id: &ids::DaemonId,
    address: std::net::SocketAddr,
) -> callee_call::CallResult {
    let hint = node.core.ask(|core, _now| core.hint(daemon_id).cloned());
    let head = peer_call::encode(&call_head(node, entry, hint)).ok();
    let Some(value) = head.and_then(|text| header::HeaderValue::try_from(text).ok()) else {
        return callee_call::CallResult::NotRun(call_outcome::RefusalReason::NotDeclared);
    };
    let mut headers = entry.request.headers.clone();
    headers.insert(peer_call::CALL_HEADER, value);
    if entry.is_trial.get() {
        headers.insert(peer_call::TRIAL_HEADER, header::HeaderValue::from_static("1"));
    }
    let request = http_link::request_of(
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
        Err(http_link::LinkError::NoSlot) => {
            return callee_call::CallResult::NotRun(call_outcome::RefusalReason::QueueFull);
        }
        Err(http_link::LinkError::NoResponse(error)) => {
            let (category, outcome) = (log_limiter::LogCategory::Failure, format!("{address}: {error}"));
            ended_attempt(node, entry, began).log(node, category, "daemon gave no response", &outcome);
            return callee_call::CallResult::MayHaveRun;
        }
    };
    let reply = response
        .headers()
        .get(peer_call::REPLY_HEADER)
        .and_then(|value| peer_call::decode::<peer_call::CallReply>(value.as_bytes()));
    let load = response
        .headers()
        .get(peer_call::LOAD_HEADER)
        .and_then(|value| peer_call::decode::<peer_call::ReportedLoad>(value.as_bytes()));
    if let Some(reply) = &reply {
        node.core.ask(|core, now| {
            core.note_reply(daemon_id, reply, now);
            if let Some(load) = load {
                core.note_load(daemon_id, &entry.rule.name, load, now);
            }
        });
    }
    let Ok((mut parts, body)) = message_body::receive(response, lease, entry.deadline, &node.account).await else {
        return callee_call::CallResult::MayHaveRun;
    };
    parts.headers.remove(peer_call::REPLY_HEADER);
    parts.headers.remove(peer_call::LOAD_HEADER);
    match reply.map(|reply| reply.verdict) {
        Some(peer_call::CallVerdict::Answered) => {
            callee_call::CallResult::Answered(Box::new(callee_call::forwarded_response(parts, body)))
        }
        Some(peer_call::CallVerdict::NotRun(reason)) => callee_call::CallResult::NotRun(reason),
        Some(peer_call::CallVerdict::MayHaveRun) | None => callee_call::CallResult::MayHaveRun,
    }
}
