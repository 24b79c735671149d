//! Minimal HTTP/1.1 server side over plain sockets. Unlike `tiny_http`, it can close a connection in the middle of a
//! body.

use std::io;
use std::io::{BufRead, Read, Write};

use crate::answer_body;

/// Largest accepted request line and headers together.
const MAX_HEAD_BYTES: u64 = 64 * 1024;
/// Largest accepted body of a request.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;
/// Most bytes of a body that are generated and written at once.
const BLOCK_BYTES: u64 = 64 * 1024;

/// A request with its whole body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpRequest {
    /// Method, for example `GET`.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Names and values of the headers, in the order of the request.
    pub headers: Vec<(String, String)>,
    /// The body, without its framing.
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// Returns the first value of a header; the name is compared without regard to case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|header| header.0.eq_ignore_ascii_case(name));
        header.map(|header| header.1.as_str())
    }

    /// Returns whether the request has `Connection: close`.
    #[must_use]
    pub fn closes(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// How the end of a response's body is marked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BodyFraming {
    /// `Content-Length`.
    #[default]
    Length,
    /// `Transfer-Encoding: chunked`.
    Chunked,
    /// The connection closes.
    Close,
}

/// Body of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HttpBody {
    /// Text, sent in UTF-8.
    Text(String),
    /// Bytes of [`answer_body`], generated block by block while they are written.
    Pattern {
        /// Seed of the bytes.
        seed: u64,
        /// Number of bytes.
        length: u64,
    },
}

/// A response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpResponse {
    /// Status code; the reason phrase is always `-`.
    pub status: u16,
    /// Headers besides those of the framing.
    pub headers: Vec<(&'static str, String)>,
    /// Body, whose length [`Self::length`] returns.
    pub body: HttpBody,
    /// How the end of the body is marked.
    pub framing: BodyFraming,
    /// Number of bytes of the body after which the connection is closed; `None` sends the whole body.
    pub truncate_after: Option<u64>,
}

impl HttpResponse {
    /// Returns a response with a JSON body.
    #[must_use]
    pub fn json(status: u16, value: &serde_json::Value) -> Self {
        Self {
            status,
            headers: vec![("Content-Type", "application/json".to_owned())],
            body: HttpBody::Text(value.to_string()),
            framing: BodyFraming::Length,
            truncate_after: None,
        }
    }

    /// Returns the number of bytes of the body.
    #[must_use]
    pub fn length(&self) -> u64 {
        match &self.body {
            HttpBody::Text(text) => text.len() as u64,
            HttpBody::Pattern { length, .. } => *length,
        }
    }
}

/// Whether the connection can carry another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionStep {
    /// The response is complete and its end is marked.
    KeepOpen,
    /// The connection must be closed, since the body was truncated or its end is marked by the close.
    Close,
}

/// Reads a request; `None` if the client closed the connection between requests.
///
/// # Errors
/// Returns the error of the socket, or one of kind `InvalidData` for a malformed request.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<HttpRequest>> {
    let mut head = reader.by_ref().take(MAX_HEAD_BYTES);
    let mut line = String::new();
    if head.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut parts = line.split_whitespace();
    let (Some(method), Some(target)) = (parts.next(), parts.next()) else {
        return Err(malformed("request line"));
    };
    let mut request = HttpRequest {
        method: method.to_owned(),
        target: target.to_owned(),
        ..HttpRequest::default()
    };
    loop {
        line.clear();
        if head.read_line(&mut line)? == 0 {
            return Err(malformed("head"));
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':').ok_or_else(|| malformed("header"))?;
        request.headers.push((name.to_owned(), value.trim().to_owned()));
    }
    request.body = read_body(reader, &request)?;
    Ok(Some(request))
}

fn read_body(reader: &mut impl BufRead, request: &HttpRequest) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    let chunked = request.header("transfer-encoding");
    if chunked.is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
        let decoder = chunked_transfer::Decoder::new(reader);
        decoder.take(MAX_BODY_BYTES + 1).read_to_end(&mut body)?;
        if body.len() as u64 > MAX_BODY_BYTES {
            return Err(malformed("chunked body, which is too large"));
        }
        return Ok(body);
    }
    let Some(length) = request.header("content-length") else {
        return Ok(body);
    };
    let length: u64 = length.parse().ok().ok_or_else(|| malformed("content-length"))?;
    if length > MAX_BODY_BYTES {
        return Err(malformed("content-length"));
    }
    reader.take(length).read_to_end(&mut body)?;
    if body.len() as u64 != length {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
    }
    Ok(body)
}

fn malformed(part: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("malformed {part}"))
}

/// Writes a response, and returns whether the connection can carry another request.
///
/// # Errors
/// Returns the error of the socket.
pub fn write_response(writer: &mut impl Write, response: &HttpResponse) -> io::Result<ConnectionStep> {
    let mut block = format!("HTTP/1.1 {} -\r\n", response.status).into_bytes();
    for (name, value) in &response.headers {
        write!(block, "{name}: {value}\r\n")?;
    }
    match response.framing {
        BodyFraming::Length => write!(block, "Content-Length: {}\r\n\r\n", response.length())?,
        BodyFraming::Chunked => block.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n"),
        BodyFraming::Close => block.extend_from_slice(b"Connection: close\r\n\r\n"),
    }
    let end = response.truncate_after.unwrap_or(u64::MAX).min(response.length());
    let mut offset = 0;
    while offset < end {
        let size = (end - offset).min(BLOCK_BYTES);
        if response.framing == BodyFraming::Chunked {
            write!(block, "{size:x}\r\n")?;
        }
        let start = block.len();
        match &response.body {
            HttpBody::Text(text) => {
                let bytes = text.as_bytes().iter().skip(usize_of(offset)).take(usize_of(size));
                block.extend(bytes);
            }
            HttpBody::Pattern { seed, .. } => {
                block.resize(start + usize_of(size), 0);
                answer_body::fill(*seed, offset, &mut block[start..]);
            }
        }
        if response.framing == BodyFraming::Chunked {
            block.extend_from_slice(b"\r\n");
        }
        // The head is written together with the first block, so that a short response fits into one packet.
        writer.write_all(&block)?;
        block.clear();
        offset += size;
    }
    if response.truncate_after.is_some() {
        writer.write_all(&block)?;
        writer.flush()?;
        return Ok(ConnectionStep::Close);
    }
    if response.framing == BodyFraming::Chunked {
        block.extend_from_slice(b"0\r\n\r\n");
    }
    writer.write_all(&block)?;
    writer.flush()?;
    match response.framing {
        BodyFraming::Close => Ok(ConnectionStep::Close),
        BodyFraming::Length | BodyFraming::Chunked => Ok(ConnectionStep::KeepOpen),
    }
}

fn usize_of(count: u64) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}
