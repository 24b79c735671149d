//! Parsing of a request head, and the framing of the body behind it.

use bytes::Bytes;
use bytes::BytesMut;
use hyper::header;
use hyper::http::request;

use crate::request_fault;

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 100;

/// How the end of a request body is marked (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// By its length in bytes; 0 without a body.
    Length(u64),
    /// By a chunk of size 0.
    Chunked,
}

/// A parsed head.
#[derive(Debug)]
pub struct RequestHead {
    /// Method, URI, version and headers.
    pub parts: request::Parts,
    /// Framing of the body.
    pub framing: BodyFraming,
    /// Whether the connection ends with the response.
    pub closes: bool,
    /// Whether the caller sends the body only after `100 Continue`.
    pub expects_continue: bool,
}

/// Result of [`take`].
#[derive(Debug)]
pub enum HeadStep {
    /// The buffer ends within the head.
    NeedInput,
    /// The head was removed from the buffer.
    Complete(Box<RequestHead>),
    /// The head is rejected.
    Fault(request_fault::RequestFault),
}

/// Takes a head from the start of `buffer`, if it is there completely.
pub fn take(buffer: &mut BytesMut, max_bytes: usize) -> HeadStep {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    match parsed.parse(buffer) {
        Ok(httparse::Status::Partial) if buffer.len() > max_bytes => {
            HeadStep::Fault(request_fault::RequestFault::HeadTooLarge)
        }
        Ok(httparse::Status::Partial) => HeadStep::NeedInput,
        Ok(httparse::Status::Complete(length)) if length > max_bytes => {
            HeadStep::Fault(request_fault::RequestFault::HeadTooLarge)
        }
        Ok(httparse::Status::Complete(length)) => {
            let bytes = buffer.split_to(length).freeze();
            match decode(&bytes) {
                Ok(head) => HeadStep::Complete(Box::new(head)),
                Err(fault) => HeadStep::Fault(fault),
            }
        }
        Err(httparse::Error::TooManyHeaders) => HeadStep::Fault(request_fault::RequestFault::HeadTooLarge),
        Err(_malformed) => HeadStep::Fault(request_fault::RequestFault::Malformed),
    }
}

/// Decodes a complete head. The values of the headers share its memory.
fn decode(bytes: &Bytes) -> Result<RequestHead, request_fault::RequestFault> {
    let malformed = request_fault::RequestFault::Malformed;
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let complete = parsed.parse(bytes).is_ok_and(|status| status.is_complete());
    let (true, Some(method), Some(path), Some(version)) = (complete, parsed.method, parsed.path, parsed.version) else {
        return Err(malformed);
    };
    let (mut parts, ()) = hyper::Request::new(()).into_parts();
    parts.method = hyper::Method::from_bytes(method.as_bytes()).map_err(|_invalid| malformed)?;
    parts.uri = hyper::Uri::try_from(path).map_err(|_invalid| malformed)?;
    parts.version = if version == 0 {
        hyper::Version::HTTP_10
    } else {
        hyper::Version::HTTP_11
    };
    parts.headers.reserve(parsed.headers.len());
    for field in parsed.headers.iter() {
        let name = header::HeaderName::from_bytes(field.name.as_bytes()).map_err(|_invalid| malformed)?;
        let value = header::HeaderValue::from_maybe_shared(bytes.slice_ref(field.value));
        parts.headers.append(name, value.map_err(|_invalid| malformed)?);
    }
    if parts.headers.get_all(header::HOST).iter().count() > 1 {
        return Err(malformed);
    }
    Ok(RequestHead {
        framing: framing(&parts)?,
        closes: parts.version == hyper::Version::HTTP_10 || has_token(&parts.headers, &header::CONNECTION, "close"),
        expects_continue: has_token(&parts.headers, &header::EXPECT, "100-continue"),
        parts,
    })
}

/// Determines the framing of the body. Contradictory lengths are rejected, since another reader of the same bytes could
/// find a request hidden in the body.
fn framing(parts: &request::Parts) -> Result<BodyFraming, request_fault::RequestFault> {
    let codings: Vec<_> = parts.headers.get_all(header::TRANSFER_ENCODING).iter().collect();
    let lengths: Vec<_> = parts.headers.get_all(header::CONTENT_LENGTH).iter().collect();
    match (&*codings, &*lengths) {
        ([], []) => Ok(BodyFraming::Length(0)),
        ([], [first, others @ ..]) if others.iter().all(|other| other == first) => parse_length(first.as_bytes())
            .map(BodyFraming::Length)
            .ok_or(request_fault::RequestFault::Malformed),
        ([coding], []) if parts.version == hyper::Version::HTTP_11 => {
            if coding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked") {
                Ok(BodyFraming::Chunked)
            } else {
                Err(request_fault::RequestFault::UnsupportedCoding)
            }
        }
        _ => Err(request_fault::RequestFault::Malformed),
    }
}

/// Parses a length of decimal digits only. The `parse` of integers accepts a plus sign as well.
fn parse_length(text: &[u8]) -> Option<u64> {
    if text.is_empty() || !text.iter().all(u8::is_ascii_digit) {
        return None;
    }
    str::from_utf8(text).ok()?.parse().ok()
}

/// Returns whether a header has this token in one of its comma-separated lists.
pub(crate) fn has_token(headers: &header::HeaderMap, name: &header::HeaderName, token: &str) -> bool {
    let values = headers.get_all(name).iter();
    let mut tokens = values.flat_map(|value| value.as_bytes().split(|byte| *byte == b','));
    tokens.any(|found| found.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
}
