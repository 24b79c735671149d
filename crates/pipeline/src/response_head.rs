//! Encoding of a response head, and the framing of the body behind it.

use std::io::Write;
use std::time;

use bytes::Bytes;
use hyper::body;
use hyper::header;
use hyper::http::response;

use crate::output_queue;
use crate::request_order;

/// How the end of a response body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFraming {
    /// There is no body.
    Empty,
    /// By the declared length.
    Length,
    /// By a chunk of size 0.
    Chunked,
    /// By the end of the connection; only an HTTP/1.0 caller gets such a response.
    Close,
}

/// What a response answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnsweredRequest {
    /// Whether the method is `HEAD`, whose responses have no body.
    pub is_head: bool,
    /// Whether the caller speaks HTTP/1.0, which has no chunked bodies.
    pub is_http10: bool,
}

/// Determines the framing of a response.
#[must_use]
pub fn framing(status: hyper::StatusCode, size: &body::SizeHint, answered: AnsweredRequest) -> ResponseFraming {
    let bodiless = [hyper::StatusCode::NO_CONTENT, hyper::StatusCode::NOT_MODIFIED];
    if answered.is_head || status.is_informational() || bodiless.contains(&status) {
        ResponseFraming::Empty
    } else if size.exact().is_some() {
        ResponseFraming::Length
    } else if answered.is_http10 {
        ResponseFraming::Close
    } else {
        ResponseFraming::Chunked
    }
}

/// Appends a response head. The headers that concern the connection or the framing are those of this connection, not
/// those of `parts`; a response without a body keeps its length, which is that of the body left out.
pub fn encode(
    out: &mut output_queue::OutputQueue,
    parts: &response::Parts,
    size: &body::SizeHint,
    framing: ResponseFraming,
    persistence: request_order::Persistence,
) {
    let mut text = Vec::with_capacity(512);
    let reason = parts.status.canonical_reason().unwrap_or("");
    append(
        &mut text,
        format_args!("HTTP/1.1 {} {reason}\r\n", parts.status.as_str()),
    );
    for (name, value) in &parts.headers {
        let connection = [header::CONNECTION, header::TRANSFER_ENCODING].contains(name);
        let length = name == header::CONTENT_LENGTH && framing != ResponseFraming::Empty;
        if connection || length {
            continue;
        }
        for piece in [name.as_str().as_bytes(), b": ", value.as_bytes(), b"\r\n"] {
            text.extend_from_slice(piece);
        }
    }
    match (framing, size.exact()) {
        (ResponseFraming::Length, Some(length)) => append(&mut text, format_args!("content-length: {length}\r\n")),
        (ResponseFraming::Chunked, _) => text.extend_from_slice(b"transfer-encoding: chunked\r\n"),
        _ => {}
    }
    if persistence == request_order::Persistence::Close {
        text.extend_from_slice(b"connection: close\r\n");
    }
    if !parts.headers.contains_key(header::DATE) {
        let date = httpdate::HttpDate::from(time::SystemTime::now());
        append(&mut text, format_args!("date: {date}\r\n"));
    }
    text.extend_from_slice(b"\r\n");
    out.copy(&text);
}

/// Appends bytes of a body.
pub fn encode_data(out: &mut output_queue::OutputQueue, framing: ResponseFraming, data: Bytes) {
    if data.is_empty() || framing == ResponseFraming::Empty {
        return;
    }
    if framing != ResponseFraming::Chunked {
        out.push(data);
        return;
    }
    out.copy(format!("{:x}\r\n", data.len()).as_bytes());
    out.push(data);
    out.copy(b"\r\n");
}

/// Appends the end of a body.
pub fn encode_end(out: &mut output_queue::OutputQueue, framing: ResponseFraming) {
    if framing == ResponseFraming::Chunked {
        out.copy(b"0\r\n\r\n");
    }
}

fn append(text: &mut Vec<u8>, arguments: std::fmt::Arguments<'_>) {
    text.write_fmt(arguments).expect("writing to a vector never fails");
}
