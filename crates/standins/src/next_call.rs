//! Calls of a backend server to the next services, through its daemon on loopback.

use std::io;
use std::net;
use std::time;

use damasktrack_entity::call_context;

use crate::http_query;

/// Bound on a next call for a request without a deadline.
const DEFAULT_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// A call to make: `[METHOD@]SERVICE:/PATH`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NextCall {
    /// Method, `GET` if none was given.
    pub method: String,
    /// Service to call.
    pub service: String,
    /// Path and query at that service.
    pub target: String,
}

/// Calls that requests below a path prefix make: `[/PREFIX=][METHOD@]SERVICE:/PATH`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NextRule {
    /// Path prefix of the requests, `/` for all.
    pub prefix: String,
    /// Call that is made for each such request.
    pub call: NextCall,
}

/// How a next call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextResult {
    /// The response was read whole and has a status below 400.
    Completed,
    /// The call did not complete: status (0 without a response), and the outcome reported by the daemon or the error.
    Failed(u16, String),
}

/// Parses `[METHOD@]SERVICE:/PATH`.
///
/// # Errors
/// Returns a message that quotes the malformed text.
pub fn parse_call(text: &str) -> Result<NextCall, String> {
    let (method, rest) = match text.split_once('@') {
        Some((method, rest)) if !method.contains(['/', ':']) => (method, rest),
        _ => ("GET", text),
    };
    let (service, target) = rest
        .split_once(':')
        .ok_or_else(|| format!("'{text}' is not [METHOD@]SERVICE:/PATH"))?;
    if service.is_empty() || !target.starts_with('/') {
        return Err(format!("'{text}' is not [METHOD@]SERVICE:/PATH"));
    }
    Ok(NextCall {
        method: method.to_owned(),
        service: service.to_owned(),
        target: target.to_owned(),
    })
}

/// Parses `[/PREFIX=][METHOD@]SERVICE:/PATH`.
///
/// # Errors
/// Returns a message that quotes the malformed text.
pub fn parse_rule(text: &str) -> Result<NextRule, String> {
    let (prefix, call) = match text.split_once('=') {
        Some((prefix, call)) if prefix.starts_with('/') => (prefix, call),
        _ => ("/", text),
    };
    Ok(NextRule {
        prefix: prefix.to_owned(),
        call: parse_call(call)?,
    })
}

/// Returns the calls that a request makes: each `next=` of its query, the first of its `chain=`, otherwise those of the
/// rules with the longest matching prefix.
///
/// `chain=a:/x,b:/y` calls `a` and forwards the rest as its `chain=`, so that `a` calls `b`.
///
/// # Errors
/// Returns a message that quotes the malformed query parameter.
pub fn calls_of(target: &str, rules: &[NextRule]) -> Result<Vec<NextCall>, String> {
    let (path, query) = http_query::split(target);
    let mut calls = Vec::new();
    for text in http_query::values(query, "next") {
        calls.push(parse_call(&text)?);
    }
    if let Some(chain) = http_query::value(query, "chain").filter(|chain| !chain.is_empty()) {
        let (first, rest) = chain.split_once(',').unwrap_or((&chain, ""));
        let mut call = parse_call(first)?;
        if !rest.is_empty() {
            let separator = if call.target.contains('?') { '&' } else { '?' };
            call.target = format!("{}{separator}chain={}", call.target, http_query::percent_encode(rest));
        }
        calls.push(call);
    }
    if !calls.is_empty() {
        return Ok(calls);
    }
    let matching = rules.iter().filter(|rule| path.starts_with(&rule.prefix));
    let longest = matching.map(|rule| rule.prefix.len()).max();
    let rules = rules
        .iter()
        .filter(|rule| path.starts_with(&rule.prefix) && Some(rule.prefix.len()) == longest);
    Ok(rules.map(|rule| rule.call.clone()).collect())
}

/// Makes a call through the daemon and reads the whole response. The deadline bounds the call from connecting to the
/// end of the body.
#[must_use]
pub fn send(
    agent: &ureq::Agent,
    daemon: net::SocketAddr,
    call: &NextCall,
    context: Option<&str>,
    deadline: Option<time::Instant>,
) -> NextResult {
    let timeout = deadline.map(|deadline| deadline.saturating_duration_since(time::Instant::now()));
    let timeout = timeout.unwrap_or(DEFAULT_TIMEOUT).max(time::Duration::from_millis(1));
    let mut request = ureq::http::Request::builder()
        .method(call.method.as_str())
        .uri(format!("http://{daemon}/{}{}", call.service, call.target));
    if let Some(context) = context {
        request = request.header(call_context::CONTEXT_HEADER, context);
    }
    let body: &[u8] = match call.method.as_str() {
        "POST" | "PUT" | "PATCH" => b"{}",
        _ => b"",
    };
    let Ok(request) = request.body(body) else {
        return NextResult::Failed(0, format!("request for '{}' can't be built", call.target));
    };
    let request = agent
        .configure_request(request)
        .timeout_global(Some(timeout))
        .http_status_as_error(false)
        .build();
    match agent.run(request) {
        Ok(response) => read_response(response),
        Err(error) => NextResult::Failed(0, error.to_string()),
    }
}

fn read_response(response: ureq::http::Response<ureq::Body>) -> NextResult {
    let status = response.status().as_u16();
    let outcome = response.headers().get("Damasktrack-Outcome");
    let outcome = outcome
        .and_then(|value| value.to_str().ok())
        .unwrap_or("none")
        .to_owned();
    if let Err(error) = io::copy(&mut response.into_body().into_reader(), &mut io::sink()) {
        return NextResult::Failed(status, error.to_string());
    }
    if status >= 400 {
        return NextResult::Failed(status, outcome);
    }
    NextResult::Completed
}
