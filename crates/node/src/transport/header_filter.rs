//! Headers that daemons pass on, add or keep to themselves.

use bytes::Bytes;
use damasktrack_entity::call_context;
use damasktrack_wire::call_frame;

/// Header with the tenant of a caller.
pub const TENANT_HEADER: &str = "damasktrack-tenant";
/// Header with a shorter deadline, in milliseconds.
pub const TIMEOUT_HEADER: &str = "damasktrack-timeout-ms";
/// Header with the request id that a caller chose or was issued.
pub const REQUEST_KEY_HEADER: &str = "idempotency-key";
/// Header of responses with the request id.
pub const REQUEST_ID_HEADER: &str = "damasktrack-request-id";
/// Header of responses with the outcome.
pub const OUTCOME_HEADER: &str = "damasktrack-outcome";
/// Header by which a backend server reports that a call did not run.
pub const NOT_RUN_HEADER: &str = "damasktrack-not-run";

/// Headers that concern one connection only, and the ones that each side of a daemon sets itself.
const HOP_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
const REQUEST_OWN_HEADERS: &[&str] = &[
    "host",
    "content-length",
    "expect",
    "damasktrack-context",
    TIMEOUT_HEADER,
];
const RESPONSE_OWN_HEADERS: &[&str] = &[REQUEST_ID_HEADER, OUTCOME_HEADER, NOT_RUN_HEADER, "damasktrack-context"];

/// Returns the headers of a request that the backend server gets.
#[must_use]
pub fn request_headers(headers: &ureq::http::HeaderMap) -> Vec<call_frame::HeaderPair> {
    passed_on(headers, REQUEST_OWN_HEADERS)
}

/// Returns the headers of a response that the caller gets.
#[must_use]
pub fn response_headers(headers: &ureq::http::HeaderMap) -> Vec<call_frame::HeaderPair> {
    passed_on(headers, RESPONSE_OWN_HEADERS)
}

fn passed_on(headers: &ureq::http::HeaderMap, own: &[&str]) -> Vec<call_frame::HeaderPair> {
    // Names that the Connection header lists concern this connection only.
    let listed: Vec<String> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    let mut pairs = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        let text = name.as_str();
        let kept = HOP_HEADERS.contains(&text) || own.contains(&text) || listed.iter().any(|other| other == text);
        if !kept {
            pairs.push((
                Bytes::copy_from_slice(text.as_bytes()),
                Bytes::copy_from_slice(value.as_bytes()),
            ));
        }
    }
    pairs
}

/// Returns the length that headers declare for a body.
#[must_use]
pub fn content_length(headers: &[call_frame::HeaderPair]) -> Option<u64> {
    let pair = headers.iter().find(|pair| pair.0.as_ref() == b"content-length")?;
    std::str::from_utf8(&pair.1).ok()?.parse().ok()
}

/// Name of the context header in lower case.
#[must_use]
pub fn context_header() -> String {
    call_context::CONTEXT_HEADER.to_ascii_lowercase()
}
