//! Bodies of responses that are passed on, and the headers that go with them.

use std::pin;
use std::task;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body;
use hyper::header;

use crate::http_link;

/// Bytes of a response that are read before it is passed on. A response that breaks off within them can still be
/// replaced by an error or by another server's response.
const HELD_BYTES: usize = 256 * 1024;
/// Margin by which a connection is given up before the other side may close it.
const CLOSE_MARGIN: time::Duration = time::Duration::from_secs(2);

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [header::HeaderName; 8] = [
    header::CONNECTION,
    header::HeaderName::from_static("keep-alive"),
    header::HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Work to do when a body ends; its argument says whether the body was complete.
pub type EndAction = Box<dyn FnOnce(bool)>;

/// Body of a response on its way to a caller or daemon.
pub struct ReplyBody {
    held: Option<Bytes>,
    rest: Option<RestBody>,
}

struct RestBody {
    incoming: body::Incoming,
    lease: Option<http_link::LinkLease>,
    idle_limit: Option<time::Duration>,
    /// Runs when the body ends or is dropped.
    at_end: Option<EndAction>,
}

impl std::fmt::Debug for ReplyBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ReplyBody")
            .field("held", &self.held)
            .finish_non_exhaustive()
    }
}

impl ReplyBody {
    /// Returns a body that is complete.
    #[must_use]
    pub fn whole(bytes: Bytes) -> Self {
        Self {
            held: (!bytes.is_empty()).then_some(bytes),
            rest: None,
        }
    }

    /// Returns the body's bytes if it is complete already.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.rest.is_none()
    }

    /// Runs `action` when the rest of the body ends, or at once if there is none.
    pub fn at_end(&mut self, action: EndAction) {
        match &mut self.rest {
            Some(rest) => rest.at_end = Some(action),
            None => action(true),
        }
    }
}

impl RestBody {
    fn end(&mut self, complete: bool) {
        if let Some(action) = self.at_end.take() {
            action(complete);
        }
        let lease = self.lease.take();
        if complete && let Some(lease) = lease {
            lease.release(self.idle_limit, time::Instant::now());
        }
    }
}

impl Drop for RestBody {
    fn drop(&mut self) {
        self.end(false);
    }
}

impl body::Body for ReplyBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, hyper::Error>>> {
        if let Some(held) = self.held.take() {
            return task::Poll::Ready(Some(Ok(body::Frame::data(held))));
        }
        let Some(rest) = &mut self.rest else {
            return task::Poll::Ready(None);
        };
        let polled = task::ready!(pin::Pin::new(&mut rest.incoming).poll_frame(cx));
        match &polled {
            Some(Ok(_frame)) => {}
            Some(Err(_error)) => rest.end(false),
            None => {
                rest.end(true);
                self.rest = None;
            }
        }
        task::Poll::Ready(polled)
    }

    fn is_end_stream(&self) -> bool {
        self.held.is_none() && self.rest.is_none()
    }

    fn size_hint(&self) -> body::SizeHint {
        let held = self.held.as_ref().map_or(0, Bytes::len) as u64;
        let Some(rest) = &self.rest else {
            return body::SizeHint::with_exact(held);
        };
        let mut hint = body::SizeHint::new();
        let inner = rest.incoming.size_hint();
        hint.set_lower(inner.lower() + held);
        if let Some(upper) = inner.upper() {
            hint.set_upper(upper + held);
        }
        hint
    }
}

/// Reads the body of a response, or its beginning if it is large. A complete body returns its connection to the pool.
///
/// # Errors
/// Returns an error if the body breaks off within the bytes that are held.
pub async fn receive(
    response: hyper::Response<body::Incoming>,
    lease: http_link::LinkLease,
) -> Result<(hyper::http::response::Parts, ReplyBody), hyper::Error> {
    let (parts, mut incoming) = response.into_parts();
    let idle_limit = idle_limit(&parts.headers);
    let mut pieces: Vec<Bytes> = Vec::new();
    let mut length = 0;
    while let Some(frame) = incoming.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        length += data.len();
        pieces.push(data);
        if length > HELD_BYTES {
            let rest = RestBody {
                incoming,
                lease: Some(lease),
                idle_limit,
                at_end: None,
            };
            let body = ReplyBody {
                held: Some(join(pieces, length)),
                rest: Some(rest),
            };
            return Ok((parts, body));
        }
    }
    if !closes(&parts.headers) {
        lease.release(idle_limit, time::Instant::now());
    }
    Ok((parts, ReplyBody::whole(join(pieces, length))))
}

fn join(mut pieces: Vec<Bytes>, length: usize) -> Bytes {
    if pieces.len() == 1 {
        return pieces.remove(0);
    }
    let mut whole = Vec::with_capacity(length);
    for piece in pieces {
        whole.extend_from_slice(&piece);
    }
    Bytes::from(whole)
}

/// Copies the headers that concern the message, not its connection.
#[must_use]
pub fn message_headers(headers: &header::HeaderMap) -> header::HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut copied = header::HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let dropped = CONNECTION_HEADERS.contains(name) || named.iter().any(|other| other == name.as_str());
        if !dropped {
            copied.append(name.clone(), value.clone());
        }
    }
    copied
}

fn closes(headers: &header::HeaderMap) -> bool {
    let value = headers.get(header::CONNECTION).and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.to_ascii_lowercase().contains("close"))
}

/// Returns how long an idle connection may be used again, as the other side's `Keep-Alive` header says.
fn idle_limit(headers: &header::HeaderMap) -> Option<time::Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    let stated = time::Duration::from_secs(seconds.parse().ok()?);
    Some(stated.saturating_sub(CLOSE_MARGIN))
}
