//! Server for requests of other daemons: forwarded calls, member exchanges, and the configuration.

use std::rc;
use std::time;

use bytes::Bytes;
use damasktrack_entity::call_outcome;
use damasktrack_membership::anti_entropy;
use damasktrack_membership::gossip_context;
use damasktrack_pipeline::chunk_list;
use hyper::body::Incoming;
use hyper::header;

use crate::callee_call;
use crate::config_check;
use crate::http_server;
use crate::internal_body;
use crate::message_body;
use crate::node_context;
use crate::peer_call;
use crate::peer_client;
use crate::quarantine_tasks;
use crate::quota_tasks;
use crate::stall_watch;

/// Maximum body of a request between daemons, in bytes; equal to the largest body that callers may send.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Serves one request of another daemon.
pub async fn serve(
    node: rc::Rc<node_context::NodeContext>,
    request: hyper::Request<Incoming>,
    hold: rc::Rc<internal_body::InternalHold>,
) -> http_server::ServerResponse {
    let began = time::Instant::now();
    let waited = node.core.ask(|core, _now| core.longest_wait(stall_watch::boot_time()));
    let (parts, incoming) = request.into_parts();
    let body = match internal_body::receive(&hold, incoming, MAX_BODY_BYTES).await {
        internal_body::BodyResult::Complete(body) => body,
        internal_body::BodyResult::Malformed => return http_server::empty_response(hyper::StatusCode::BAD_REQUEST),
        // The entry daemon takes it for a refusal for want of capacity.
        internal_body::BodyResult::NoRoom => {
            let refused = callee_call::CallResult::NotRun(call_outcome::RefusalReason::QueueFull);
            return call_response(&node, None, refused);
        }
    };
    if let Some(value) = parts.headers.get(peer_call::CALL_HEADER) {
        return match peer_call::decode::<peer_call::CallHead>(value.as_bytes()) {
            Some(mut head) => {
                head.left = head.left.saturating_sub(waited + began.elapsed());
                serve_call(&node, &head, parts, body).await
            }
            None => http_server::empty_response(hyper::StatusCode::BAD_REQUEST),
        };
    }
    let body = body.into_bytes();
    match parts.uri.path() {
        peer_client::EXCHANGE_PATH => serve_exchange(&node, &body),
        peer_client::RETURN_PATH => {
            if let Ok(returned) = anti_entropy::decode::<anti_entropy::ExchangeReturn>(&body) {
                node.core.ask(|core, now| {
                    core.exchange(now, |gossip| ((), gossip.learn(&returned.records, now)));
                });
            }
            http_server::empty_response(hyper::StatusCode::OK)
        }
        quarantine_tasks::PUSH_PATH => quarantine_tasks::serve_push(&node, &body),
        quarantine_tasks::COMPARE_PATH => quarantine_tasks::serve_compare(&node, &body),
        quota_tasks::REPORT_PATH => quota_tasks::serve_report(&node, &body),
        peer_client::CONFIG_PATH => {
            let text = node.core.ask(|core, _now| core.config_text().bytes().clone());
            if text.is_empty() {
                return http_server::empty_response(hyper::StatusCode::NOT_FOUND);
            }
            hyper::Response::new(message_body::ReplyBody::whole(text))
        }
        peer_client::CONFIG_AGE_PATH => match config_check::reply(&node) {
            Some(bytes) => hyper::Response::new(message_body::ReplyBody::whole(Bytes::from(bytes))),
            None => http_server::empty_response(hyper::StatusCode::INTERNAL_SERVER_ERROR),
        },
        _ => http_server::empty_response(hyper::StatusCode::NOT_FOUND),
    }
}

async fn serve_call(
    node: &rc::Rc<node_context::NodeContext>,
    head: &peer_call::CallHead,
    parts: hyper::http::request::Parts,
    body: chunk_list::ChunkedBody,
) -> http_server::ServerResponse {
    let mut headers = parts.headers;
    let kind = if headers.contains_key(peer_call::TRIAL_HEADER) {
        callee_call::RunKind::Trial
    } else {
        callee_call::RunKind::Usual
    };
    message_body::strip_headers(&mut headers, &[&peer_call::CALL_HEADER, &peer_call::TRIAL_HEADER]);
    let request = callee_call::CallRequest {
        method: parts.method,
        uri: parts.uri,
        headers,
        body,
    };
    call_response(node, Some(head), callee_call::run(node, head, request, kind).await)
}

/// Returns the response to a call of an entry daemon. Without the `head` of the call, it reports no load.
fn call_response(
    node: &node_context::NodeContext,
    head: Option<&peer_call::CallHead>,
    result: callee_call::CallResult,
) -> http_server::ServerResponse {
    let (verdict, mut response) = match result {
        callee_call::CallResult::Answered(response) => (peer_call::CallVerdict::Answered, *response),
        callee_call::CallResult::NotRun(reason) => (
            peer_call::CallVerdict::NotRun(reason),
            http_server::empty_response(hyper::StatusCode::SERVICE_UNAVAILABLE),
        ),
        callee_call::CallResult::MayHaveRun => (
            peer_call::CallVerdict::MayHaveRun,
            http_server::empty_response(hyper::StatusCode::BAD_GATEWAY),
        ),
    };
    let (hint, load) = node.core.ask(|core, now| {
        let load = head.and_then(|head| core.own_load(&head.class, head.priority, now));
        (core.server().hint(), load)
    });
    let text = peer_call::encode(&peer_call::CallReply { verdict, hint }).ok();
    // The entry daemon treats a response without this header as one to a request that may have run.
    if let Some(value) = text.and_then(|text| header::HeaderValue::try_from(text).ok()) {
        response.headers_mut().insert(peer_call::REPLY_HEADER, value);
    }
    // The header of a backend server's response is not a report.
    response.headers_mut().remove(peer_call::LOAD_HEADER);
    let load = load.and_then(|load| peer_call::encode(&load).ok());
    if let Some(value) = load.and_then(|text| header::HeaderValue::try_from(text).ok()) {
        response.headers_mut().insert(peer_call::LOAD_HEADER, value);
    }
    response
}

fn serve_exchange(node: &node_context::NodeContext, body: &[u8]) -> http_server::ServerResponse {
    let Ok(request) = anti_entropy::decode::<anti_entropy::ExchangeRequest>(body) else {
        return http_server::empty_response(hyper::StatusCode::BAD_REQUEST);
    };
    let reply = node.core.ask(|core, now| {
        core.exchange(now, |gossip| {
            (
                gossip.exchange_reply(&request, now),
                gossip_context::GossipOutput::default(),
            )
        })
    });
    match anti_entropy::encode(&reply) {
        Ok(bytes) => hyper::Response::new(message_body::ReplyBody::whole(Bytes::from(bytes))),
        Err(error) => {
            log::warn!(error:% = error; "exchange reply can't be encoded");
            http_server::empty_response(hyper::StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}
