//! Parsing of a request head, and the framing of the body behind it.

use std::mem;
use std::ops;

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

/// Takes a head from the start of `buffer`, if it is there completely. The values of the headers share its memory.
pub fn take(buffer: &mut BytesMut, max_bytes: usize) -> HeadStep {
    let mut headers = [const { mem::MaybeUninit::uninit() }; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut []);
    match parsed.parse_with_uninit_headers(buffer, &mut headers) {
        Ok(httparse::Status::Partial) if buffer.len() > max_bytes => {
            HeadStep::Fault(request_fault::RequestFault::HeadTooLarge)
        }
        Ok(httparse::Status::Partial) => HeadStep::NeedInput,
        Ok(httparse::Status::Complete(length)) if length > max_bytes => {
            HeadStep::Fault(request_fault::RequestFault::HeadTooLarge)
        }
        Ok(httparse::Status::Complete(length)) => {
            let decoded = decode(&parsed, buffer);
            let bytes = buffer.split_to(length).freeze();
            match decoded.and_then(|(parts, fields)| complete(parts, fields, &bytes)) {
                Ok(head) => HeadStep::Complete(Box::new(head)),
                Err(fault) => HeadStep::Fault(fault),
            }
        }
        Err(httparse::Error::TooManyHeaders) => HeadStep::Fault(request_fault::RequestFault::HeadTooLarge),
        Err(_malformed) => HeadStep::Fault(request_fault::RequestFault::Malformed),
    }
}

/// Name of a header, and the position of its value in the head.
type FieldPosition = (header::HeaderName, ops::Range<usize>);

/// Decodes a head that was parsed from the start of `buffer`, except for the values of its headers.
fn decode(
    parsed: &httparse::Request<'_, '_>,
    buffer: &[u8],
) -> Result<(request::Parts, Vec<FieldPosition>), request_fault::RequestFault> {
    let malformed = request_fault::RequestFault::Malformed;
    let (Some(method), Some(path), Some(version)) = (parsed.method, parsed.path, parsed.version) else {
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
    let mut fields = Vec::with_capacity(parsed.headers.len());
    for field in parsed.headers.iter() {
        let name = header::HeaderName::from_bytes(field.name.as_bytes()).map_err(|_invalid| malformed)?;
        let start = if field.value.is_empty() {
            0
        } else {
            field.value.as_ptr().addr() - buffer.as_ptr().addr()
        };
        fields.push((name, start..start + field.value.len()));
    }
    Ok((parts, fields))
}

/// Adds the headers to a head, whose text is `bytes`.
fn complete(
    mut parts: request::Parts,
    fields: Vec<FieldPosition>,
    bytes: &Bytes,
) -> Result<RequestHead, request_fault::RequestFault> {
    let malformed = request_fault::RequestFault::Malformed;
    parts.headers.reserve(fields.len());
    for (name, position) in fields {
        let value = header::HeaderValue::from_maybe_shared(bytes.slice(position));
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
