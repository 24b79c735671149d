//! Handling of one call by the backend server stand-in.

use std::time;

use damasktrack_entity::{call_context, ids};
use serde_json::json;

use crate::answer_body;
use crate::backend_faults;
use crate::backend_slots;
use crate::backend_state;
use crate::http_exchange;
use crate::http_query;
use crate::next_call;

/// Response header that reports that the call did not run.
pub const NOT_RUN_HEADER: &str = "Damasktrack-Not-Run";

/// A response, and the slot that is held until the response is written.
#[derive(Debug)]
pub struct CallResponse {
    /// Response to write.
    pub response: http_exchange::HttpResponse,
    /// Ticket of the slot to release afterwards; `None` if the call did not run.
    pub ticket: Option<backend_slots::CallTicket>,
}

impl CallResponse {
    fn without_slot(response: http_exchange::HttpResponse) -> Self {
        Self { response, ticket: None }
    }
}

/// Attributes of an incoming call, from its context or its headers.
struct IncomingCall {
    request_id: String,
    /// Empty without a context.
    class: String,
    /// Id of the call at the daemon, 0 without a context.
    call_id: u64,
    deadline: Option<time::Instant>,
    has_context: bool,
}

/// Runs a call and returns its response. The deadline is counted from `arrived`.
pub fn run(
    state: &backend_state::BackendState,
    request: &http_exchange::HttpRequest,
    arrived: time::Instant,
) -> CallResponse {
    let incoming = match read_incoming(request, arrived) {
        Ok(incoming) => incoming,
        Err(error) => {
            return CallResponse::without_slot(http_exchange::HttpResponse::json(400, &json!({ "error": error })));
        }
    };
    let calls = match next_call::calls_of(&request.target, &state.options.next) {
        Ok(calls) => calls,
        Err(error) => {
            return CallResponse::without_slot(http_exchange::HttpResponse::json(400, &json!({ "error": error })));
        }
    };
    let faults = state.draw_faults();
    if faults.refuse {
        return not_run(state, "refused by a fault");
    }
    let acquired = state.slots.acquire(backend_slots::SlotRequest {
        call_id: incoming.call_id,
        deadline: incoming.deadline,
        refuse_when_full: state.options.refuse_when_full,
    });
    let ticket = match acquired {
        backend_slots::AcquireResult::Acquired(ticket) => ticket,
        backend_slots::AcquireResult::Full => return not_run(state, "all slots are taken"),
        backend_slots::AcquireResult::Draining => return not_run(state, "draining"),
        backend_slots::AcquireResult::DeadlinePassed => {
            state.count(|counts| counts.deadline_passed += 1);
            return not_run(state, "deadline passed before the start");
        }
        backend_slots::AcquireResult::Cancelled => {
            state.count(|counts| counts.cancelled += 1);
            return not_run(state, "cancelled before the start");
        }
    };
    CallResponse {
        response: execute(state, request, &incoming, &calls, ticket, faults),
        ticket: Some(ticket),
    }
}

fn read_incoming(request: &http_exchange::HttpRequest, arrived: time::Instant) -> Result<IncomingCall, String> {
    let Some(header) = request.header(call_context::CONTEXT_HEADER) else {
        return Ok(IncomingCall {
            request_id: request.header("Idempotency-Key").unwrap_or("none").to_owned(),
            class: String::new(),
            call_id: 0,
            deadline: None,
            has_context: false,
        });
    };
    let context = call_context::CallContext::from_header(header.as_bytes()).map_err(|error| error.to_string())?;
    Ok(IncomingCall {
        request_id: ids::text(&context.request_id).into_owned(),
        class: ids::text(&context.class).into_owned(),
        call_id: context.parent_call,
        deadline: Some(arrived + context.remaining),
        has_context: true,
    })
}

fn execute(
    state: &backend_state::BackendState,
    request: &http_exchange::HttpRequest,
    incoming: &IncomingCall,
    calls: &[next_call::NextCall],
    ticket: backend_slots::CallTicket,
    faults: backend_faults::CallFaults,
) -> http_exchange::HttpResponse {
    let (path, query) = http_query::split(&request.target);
    state.count_execution(&incoming.request_id, path);
    let service_time = state.draw_service_time(&incoming.class, faults.slow_factor);
    if let Some(response) = stopped_response(state, state.slots.work(ticket, service_time, incoming.deadline)) {
        return response;
    }
    for call in calls {
        if let Some(response) = make_call(state, request, incoming, call) {
            return response;
        }
        if let Some(response) =
            stopped_response(state, state.slots.work(ticket, time::Duration::ZERO, incoming.deadline))
        {
            return response;
        }
    }
    if let Some(status) = faults.status {
        return http_exchange::HttpResponse::json(status, &json!({ "error": "status set by a fault" }));
    }
    let length = http_query::value(query, "bytes").and_then(|bytes| bytes.parse().ok());
    let length = length.unwrap_or(state.options.answer_bytes);
    let mut headers = vec![("Standin-Server", state.options.name.clone())];
    if !incoming.has_context {
        // A caller that reaches the stand-in without a daemon needs the id to verify the body.
        headers.push(("Damasktrack-Request-Id", incoming.request_id.clone()));
    }
    http_exchange::HttpResponse {
        status: 200,
        headers,
        body: http_exchange::HttpBody::Pattern {
            seed: answer_body::seed(&incoming.request_id, path),
            length,
        },
        framing: match http_query::value(query, "framing").as_deref() {
            Some("chunked") => http_exchange::BodyFraming::Chunked,
            Some("close") => http_exchange::BodyFraming::Close,
            _ => http_exchange::BodyFraming::Length,
        },
        truncate_after: faults.cut_body.then_some(length / 2),
    }
}

/// Makes a next call. Returns the response to the incoming call if the next call did not complete, otherwise `None`.
fn make_call(
    state: &backend_state::BackendState,
    request: &http_exchange::HttpRequest,
    incoming: &IncomingCall,
    call: &next_call::NextCall,
) -> Option<http_exchange::HttpResponse> {
    let Some(daemon) = state.options.daemon else {
        let error = json!({ "error": "a next call requires --daemon" });
        return Some(http_exchange::HttpResponse::json(500, &error));
    };
    let context = request.header(call_context::CONTEXT_HEADER);
    match next_call::send(&state.agent, daemon, call, context, incoming.deadline) {
        next_call::NextResult::Completed => None,
        next_call::NextResult::Failed(status, text) => {
            state.count(|counts| counts.next_failed += 1);
            let error = format!("{}{}: status {status}, {text}", call.service, call.target);
            Some(http_exchange::HttpResponse::json(502, &json!({ "error": error })))
        }
    }
}

/// Returns the response to a call that was cancelled or whose deadline passed while it ran, hence without
/// `Damasktrack-Not-Run`; `None` if its work finished.
fn stopped_response(
    state: &backend_state::BackendState,
    result: backend_slots::WorkResult,
) -> Option<http_exchange::HttpResponse> {
    match result {
        backend_slots::WorkResult::Finished => None,
        backend_slots::WorkResult::Cancelled => {
            state.count(|counts| counts.cancelled += 1);
            Some(http_exchange::HttpResponse::json(499, &json!({ "error": "cancelled" })))
        }
        backend_slots::WorkResult::DeadlinePassed => {
            state.count(|counts| counts.deadline_passed += 1);
            Some(http_exchange::HttpResponse::json(
                504,
                &json!({ "error": "deadline passed" }),
            ))
        }
    }
}

fn not_run(state: &backend_state::BackendState, reason: &str) -> CallResponse {
    state.count(|counts| counts.refused += 1);
    let mut response = http_exchange::HttpResponse::json(503, &json!({ "error": reason }));
    response.headers.push((NOT_RUN_HEADER, "true".to_owned()));
    CallResponse::without_slot(response)
}
