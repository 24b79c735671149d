//! Bodies of forwarded responses, and the separation of end-to-end headers from hop-by-hop headers.

use std::pin;
use std::task;
use std::time;

use bytes::Bytes;
use bytes::BytesMut;
use damasktrack_pipeline::account_handle;
use http_body_util::BodyExt;
use hyper::body;
use hyper::header;

use crate::http_link;

/// Bytes of a response that are buffered before it is forwarded. A response that is truncated within them can still be
/// replaced by an error or by another server's response.
const BUFFERED_BYTES: usize = 256 * 1024;
/// As [`BUFFERED_BYTES`], where the process has no room for more.
const LEAST_BUFFERED_BYTES: usize = 16 * 1024;
/// Margin before the keep-alive timeout of the server, after which an idle connection is not reused.
const CLOSE_MARGIN: time::Duration = time::Duration::from_secs(2);

/// Hop-by-hop headers, which apply to one connection only.
static HOP_BY_HOP_HEADERS: [header::HeaderName; 8] = [
    header::CONNECTION,
    header::HeaderName::from_static("keep-alive"),
    header::HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// How the rest of a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// It was read to its end.
    Complete,
    /// The connection failed, or the body was truncated.
    Broken,
    /// It was dropped before its end, or the deadline passed.
    Cancelled,
}

/// Callback at the end of a body.
pub type EndAction = Box<dyn FnOnce(BodyEnd)>;

/// Body of a response to a caller or daemon: buffered bytes, followed by the unread rest of a large body.
pub struct ReplyBody {
    buffered: Option<Bytes>,
    /// Counts `buffered`, unless it is short.
    hold: Option<account_handle::ForwardedHold>,
    rest: Option<RestBody>,
}

/// Why the rest of a body can't be read to its end.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error, derive_more::From)]
pub enum BodyError {
    /// The connection failed, or the body ended before its end was marked.
    #[display("body truncated: {_0}")]
    Truncated(hyper::Error),
    /// The deadline of the request passed.
    #[display("body not complete by the deadline")]
    #[from(skip)]
    Overdue,
}

struct RestBody {
    incoming: body::Incoming,
    /// Deadline of the request. A body without length may go on for as long as its sender likes.
    deadline: pin::Pin<Box<tokio::time::Sleep>>,
    lease: Option<http_link::LinkLease>,
    idle_limit: Option<time::Duration>,
    /// Called when the body ends or is dropped.
    at_end: Option<EndAction>,
}

impl std::fmt::Debug for ReplyBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ReplyBody")
            .field("buffered", &self.buffered)
            .finish_non_exhaustive()
    }
}

impl ReplyBody {
    /// Returns a body that consists of these bytes.
    #[must_use]
    pub fn whole(bytes: Bytes) -> Self {
        Self {
            buffered: (!bytes.is_empty()).then_some(bytes),
            hold: None,
            rest: None,
        }
    }

    /// Returns whether the body is completely buffered.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.rest.is_none()
    }

    /// Calls `action` when the rest of the body ends, or at once if there is no rest.
    pub fn at_end(&mut self, action: EndAction) {
        match &mut self.rest {
            Some(rest) => rest.at_end = Some(action),
            None => action(BodyEnd::Complete),
        }
    }
}

impl RestBody {
    fn end(&mut self, end: BodyEnd) {
        if let Some(action) = self.at_end.take() {
            action(end);
        }
        let lease = self.lease.take();
        if end == BodyEnd::Complete
            && let Some(lease) = lease
        {
            lease.release(self.idle_limit, time::Instant::now());
        }
    }
}

impl Drop for RestBody {
    fn drop(&mut self) {
        self.end(BodyEnd::Cancelled);
    }
}

impl body::Body for ReplyBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, BodyError>>> {
        if let Some(buffered) = self.buffered.take() {
            self.hold = None;
            return task::Poll::Ready(Some(Ok(body::Frame::data(buffered))));
        }
        let Some(rest) = &mut self.rest else {
            return task::Poll::Ready(None);
        };
        if rest.deadline.as_mut().poll(cx).is_ready() {
            rest.end(BodyEnd::Cancelled);
            return task::Poll::Ready(Some(Err(BodyError::Overdue)));
        }
        let polled = task::ready!(pin::Pin::new(&mut rest.incoming).poll_frame(cx));
        match &polled {
            Some(Ok(_frame)) => {}
            Some(Err(_error)) => rest.end(BodyEnd::Broken),
            None => {
                rest.end(BodyEnd::Complete);
                self.rest = None;
            }
        }
        task::Poll::Ready(polled.map(|frame| frame.map_err(BodyError::from)))
    }

    fn is_end_stream(&self) -> bool {
        self.buffered.is_none() && self.rest.is_none()
    }

    fn size_hint(&self) -> body::SizeHint {
        let buffered = self.buffered.as_ref().map_or(0, Bytes::len) as u64;
        let Some(rest) = &self.rest else {
            return body::SizeHint::with_exact(buffered);
        };
        let mut hint = body::SizeHint::new();
        let inner = rest.incoming.size_hint();
        hint.set_lower(inner.lower() + buffered);
        if let Some(upper) = inner.upper() {
            hint.set_upper(upper + buffered);
        }
        hint
    }
}

/// Buffers the body of a response, or its beginning if it is large; the rest must end by `deadline`. The connection of
/// a body that was read to its end returns to the pool.
///
/// # Errors
/// Returns an error if the body is truncated within the bytes that are buffered.
pub async fn receive(
    response: hyper::Response<body::Incoming>,
    lease: http_link::LinkLease,
    deadline: time::Instant,
    account: &account_handle::AccountHandle,
) -> Result<(hyper::http::response::Parts, ReplyBody), hyper::Error> {
    let (parts, mut incoming) = response.into_parts();
    let idle_limit = idle_limit(&parts.headers);
    let mut received = ReceivedBytes::default();
    let mut hold = None;
    while let Some(frame) = incoming.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        received.push(data);
        if received.len() <= LEAST_BUFFERED_BYTES {
            continue;
        }
        hold.get_or_insert_with(|| account.hold(0)).set(received.len());
        if received.len() > BUFFERED_BYTES || !account.ask(|account| account.has_room(0)) {
            let rest = RestBody {
                incoming,
                deadline: Box::pin(tokio::time::sleep_until(deadline.into())),
                lease: Some(lease),
                idle_limit,
                at_end: None,
            };
            let body = ReplyBody {
                buffered: Some(received.into_bytes()),
                hold,
                rest: Some(rest),
            };
            return Ok((parts, body));
        }
    }
    if !closes_connection(&parts.headers) {
        lease.release(idle_limit, time::Instant::now());
    }
    let mut body = ReplyBody::whole(received.into_bytes());
    body.hold = hold;
    Ok((parts, body))
}

/// Bytes received so far of a body. They are joined as they arrive, since a chunk that is kept costs many times its
/// bytes if it is short, and a faulty server may send any number of short ones.
#[derive(Debug, Default)]
struct ReceivedBytes {
    /// The only chunk so far, which need not be copied.
    first: Bytes,
    /// All chunks, once there is more than one.
    joined: BytesMut,
}

impl ReceivedBytes {
    fn push(&mut self, chunk: Bytes) {
        if self.len() == 0 {
            self.first = chunk;
            return;
        }
        if self.joined.is_empty() {
            self.joined.extend_from_slice(&self.first);
            self.first = Bytes::new();
        }
        self.joined.extend_from_slice(&chunk);
    }

    fn len(&self) -> usize {
        self.first.len() + self.joined.len()
    }

    fn into_bytes(self) -> Bytes {
        if self.joined.is_empty() {
            self.first
        } else {
            self.joined.freeze()
        }
    }
}

/// Removes the hop-by-hop headers, to which those that `Connection` names belong, and the headers in `others`.
pub fn strip_headers(headers: &mut header::HeaderMap, others: &[&header::HeaderName]) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let is_stripped = |name: &&header::HeaderName| {
        HOP_BY_HOP_HEADERS.contains(name) || others.contains(name) || named.iter().any(|other| other == name.as_str())
    };
    let stripped: Vec<header::HeaderName> = headers.keys().filter(is_stripped).cloned().collect();
    for name in &stripped {
        headers.remove(name);
    }
}

fn closes_connection(headers: &header::HeaderMap) -> bool {
    let value = headers.get(header::CONNECTION).and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.to_ascii_lowercase().contains("close"))
}

/// Returns how long an idle connection may be reused according to the server's `Keep-Alive` header.
fn idle_limit(headers: &header::HeaderMap) -> Option<time::Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    let stated = time::Duration::from_secs(seconds.parse().ok()?);
    Some(stated.saturating_sub(CLOSE_MARGIN))
}
