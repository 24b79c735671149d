//! Names of headers, and selection of the headers that a daemon forwards.

use bytes::Bytes;
use damasktrack_entity::call_context;
use damasktrack_wire::call_frame;

/// Request header with the tenant of a caller.
pub const TENANT_HEADER: &str = "damasktrack-tenant";
/// Request header with a shorter deadline, in milliseconds.
pub const TIMEOUT_HEADER: &str = "damasktrack-timeout-ms";
/// Request header with the request id, chosen by the caller or issued by a daemon.
pub const REQUEST_KEY_HEADER: &str = "idempotency-key";
/// Response header with the request id.
pub const REQUEST_ID_HEADER: &str = "damasktrack-request-id";
/// Response header with the outcome of the call.
pub const OUTCOME_HEADER: &str = "damasktrack-outcome";
/// Response header by which a backend server reports that a call did not run.
pub const NOT_RUN_HEADER: &str = "damasktrack-not-run";

/// Headers that apply to a single connection and are never forwarded.
const HOP_BY_HOP_HEADERS: &[&str] = &[
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
/// Further request headers that are not forwarded, since each side of the daemon has its own.
const REQUEST_DAEMON_HEADERS: &[&str] = &[
    "host",
    "content-length",
    "expect",
    "damasktrack-context",
    TIMEOUT_HEADER,
];
/// Further response headers that are not forwarded, since each side of the daemon has its own.
const RESPONSE_DAEMON_HEADERS: &[&str] = &[REQUEST_ID_HEADER, OUTCOME_HEADER, NOT_RUN_HEADER, "damasktrack-context"];

/// Returns the headers of a request that are forwarded to the backend server.
#[must_use]
pub fn request_headers(headers: &ureq::http::HeaderMap) -> Vec<call_frame::HeaderPair> {
    forwarded_headers(headers, REQUEST_DAEMON_HEADERS)
}

/// Returns the headers of a response that are forwarded to the caller.
#[must_use]
pub fn response_headers(headers: &ureq::http::HeaderMap) -> Vec<call_frame::HeaderPair> {
    forwarded_headers(headers, RESPONSE_DAEMON_HEADERS)
}

fn forwarded_headers(headers: &ureq::http::HeaderMap, daemon_headers: &[&str]) -> Vec<call_frame::HeaderPair> {
    // Headers that the `Connection` header names apply to this connection only.
    let connection_headers: Vec<String> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    let mut pairs = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        let text = name.as_str();
        let excluded = HOP_BY_HOP_HEADERS.contains(&text)
            || daemon_headers.contains(&text)
            || connection_headers.iter().any(|other| other == text);
        if !excluded {
            pairs.push((
                Bytes::copy_from_slice(text.as_bytes()),
                Bytes::copy_from_slice(value.as_bytes()),
            ));
        }
    }
    pairs
}

/// Returns the value of `Content-Length`, if it is present and valid.
#[must_use]
pub fn content_length(headers: &[call_frame::HeaderPair]) -> Option<u64> {
    let pair = headers.iter().find(|pair| pair.0.as_ref() == b"content-length")?;
    std::str::from_utf8(&pair.1).ok()?.parse().ok()
}

/// Returns the name of the context header in lower case.
#[must_use]
pub fn context_header() -> String {
    call_context::CONTEXT_HEADER.to_ascii_lowercase()
}
