//! One call at the backend server's stand-in.

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

/// Header of an answer that reports that the call did not run.
pub const NOT_RUN_HEADER: &str = "Damasktrack-Not-Run";

/// An answer, and the slot that is held until it is written.
#[derive(Debug)]
pub struct CallAnswer {
    /// What to write.
    pub answer: http_exchange::HttpAnswer,
    /// Slot to give back afterwards.
    pub ticket: Option<backend_slots::CallTicket>,
}

impl CallAnswer {
    fn without_slot(answer: http_exchange::HttpAnswer) -> Self {
        Self { answer, ticket: None }
    }
}

/// What is known of a call when it arrives.
struct CallFacts {
    request_id: String,
    class: String,
    call_id: u64,
    deadline: Option<time::Instant>,
    has_context: bool,
}

/// Runs a call and returns its answer.
pub fn run(
    state: &backend_state::BackendState,
    request: &http_exchange::HttpRequest,
    arrived: time::Instant,
) -> CallAnswer {
    let facts = match read_facts(request, arrived) {
        Ok(facts) => facts,
        Err(error) => {
            return CallAnswer::without_slot(http_exchange::HttpAnswer::json(400, &json!({ "error": error })));
        }
    };
    let calls = match next_call::calls_of(&request.target, &state.options.next) {
        Ok(calls) => calls,
        Err(error) => {
            return CallAnswer::without_slot(http_exchange::HttpAnswer::json(400, &json!({ "error": error })));
        }
    };
    let faults = state.draw_faults();
    if faults.refuse {
        return not_run(state, "refused by a fault");
    }
    let entered = state.slots.enter(backend_slots::SlotRequest {
        call_id: facts.call_id,
        deadline: facts.deadline,
        refuse_when_full: state.options.refuse_when_full,
    });
    let ticket = match entered {
        backend_slots::EnterResult::Entered(ticket) => ticket,
        backend_slots::EnterResult::Full => return not_run(state, "all slots are taken"),
        backend_slots::EnterResult::Draining => return not_run(state, "draining"),
        backend_slots::EnterResult::DeadlinePassed => {
            state.count(|counts| counts.deadline_passed += 1);
            return not_run(state, "deadline passed before the start");
        }
        backend_slots::EnterResult::Cancelled => {
            state.count(|counts| counts.cancelled += 1);
            return not_run(state, "cancelled before the start");
        }
    };
    CallAnswer {
        answer: execute(state, request, &facts, &calls, ticket, faults),
        ticket: Some(ticket),
    }
}

fn read_facts(request: &http_exchange::HttpRequest, arrived: time::Instant) -> Result<CallFacts, String> {
    let Some(header) = request.header(call_context::CONTEXT_HEADER) else {
        return Ok(CallFacts {
            request_id: request.header("Idempotency-Key").unwrap_or("none").to_owned(),
            class: String::new(),
            call_id: 0,
            deadline: None,
            has_context: false,
        });
    };
    let context = call_context::CallContext::from_header(header.as_bytes()).map_err(|error| error.to_string())?;
    Ok(CallFacts {
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
    facts: &CallFacts,
    calls: &[next_call::NextCall],
    ticket: backend_slots::CallTicket,
    faults: backend_faults::CallFaults,
) -> http_exchange::HttpAnswer {
    let (path, query) = http_query::split(&request.target);
    state.count_execution(&facts.request_id, path);
    let length = state.draw_service_time(&facts.class, faults.slow_factor);
    if let Some(answer) = stopped(state, state.slots.work(ticket, length, facts.deadline)) {
        return answer;
    }
    for call in calls {
        if let Some(answer) = make_call(state, request, facts, call) {
            return answer;
        }
        if let Some(answer) = stopped(state, state.slots.work(ticket, time::Duration::ZERO, facts.deadline)) {
            return answer;
        }
    }
    if let Some(status) = faults.status {
        return http_exchange::HttpAnswer::json(status, &json!({ "error": "status set by a fault" }));
    }
    let length = http_query::value(query, "bytes").and_then(|bytes| bytes.parse().ok());
    let length = length.unwrap_or(state.options.answer_bytes);
    let mut headers = vec![("Standin-Server", state.options.name.clone())];
    if !facts.has_context {
        // A caller that reaches the stand-in without a daemon needs the id to check the answer.
        headers.push(("Damasktrack-Request-Id", facts.request_id.clone()));
    }
    http_exchange::HttpAnswer {
        status: 200,
        headers,
        body: http_exchange::HttpBody::Pattern {
            seed: answer_body::seed(&facts.request_id, path),
            length,
        },
        framing: match http_query::value(query, "framing").as_deref() {
            Some("chunked") => http_exchange::BodyFraming::Chunked,
            Some("close") => http_exchange::BodyFraming::Close,
            _ => http_exchange::BodyFraming::Length,
        },
        cut_after: faults.cut_body.then_some(length / 2),
    }
}

fn make_call(
    state: &backend_state::BackendState,
    request: &http_exchange::HttpRequest,
    facts: &CallFacts,
    call: &next_call::NextCall,
) -> Option<http_exchange::HttpAnswer> {
    let Some(daemon) = state.options.daemon else {
        let error = json!({ "error": "a next call needs --daemon" });
        return Some(http_exchange::HttpAnswer::json(500, &error));
    };
    let context = request.header(call_context::CONTEXT_HEADER);
    match next_call::send(&state.agent, daemon, call, context, facts.deadline) {
        next_call::NextResult::Completed => None,
        next_call::NextResult::Failed(status, text) => {
            state.count(|counts| counts.next_failed += 1);
            let error = format!("{}{}: status {status}, {text}", call.service, call.target);
            Some(http_exchange::HttpAnswer::json(502, &json!({ "error": error })))
        }
    }
}

/// Returns the answer to work that was stopped; it ran, so it does not say `Damasktrack-Not-Run`.
fn stopped(
    state: &backend_state::BackendState,
    result: backend_slots::WorkResult,
) -> Option<http_exchange::HttpAnswer> {
    match result {
        backend_slots::WorkResult::Finished => None,
        backend_slots::WorkResult::Cancelled => {
            state.count(|counts| counts.cancelled += 1);
            Some(http_exchange::HttpAnswer::json(499, &json!({ "error": "cancelled" })))
        }
        backend_slots::WorkResult::DeadlinePassed => {
            state.count(|counts| counts.deadline_passed += 1);
            Some(http_exchange::HttpAnswer::json(
                504,
                &json!({ "error": "deadline passed" }),
            ))
        }
    }
}

fn not_run(state: &backend_state::BackendState, reason: &str) -> CallAnswer {
    state.count(|counts| counts.refused += 1);
    let mut answer = http_exchange::HttpAnswer::json(503, &json!({ "error": reason }));
    answer.headers.push((NOT_RUN_HEADER, "true".to_owned()));
    CallAnswer::without_slot(answer)
}
