//! HTTP client of the backend server that the daemon serves.

use std::cell;
use std::io;
use std::time;

use bytes::Bytes;
use damasktrack_entity::ids;
use damasktrack_settings::daemon_settings;
use damasktrack_wire::call_frame;

use crate::call::call_class;
use crate::call::call_watch;
use crate::transport::frame_sink;
use crate::transport::header_filter;
use crate::transport::http_agent;

/// Maximum time for a cancellation, a drain announcement or a health check.
const MESSAGE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

thread_local! {
    /// Read buffer for response bodies, one per thread. It is kept between calls, since the allocator returns a buffer
    /// of this size to the system at each release, which costs page faults.
    static BODY_BUFFER: cell::RefCell<Vec<u8>> = const { cell::RefCell::new(Vec::new()) };
}

/// Call for the backend server.
#[derive(Debug)]
pub struct BackendRequest<'a> {
    /// HTTP method.
    pub method: &'a [u8],
    /// Path and query.
    pub path: &'a [u8],
    /// Headers to pass on.
    pub headers: &'a [call_frame::HeaderPair],
    /// Value of the context header.
    pub context: String,
    /// Body.
    pub body: Bytes,
    /// Lane of the class; each lane has its own pool of connections.
    pub lane: call_class::CallLane,
    /// Whether a response without a length, whose end is the end of its connection, counts as complete.
    pub close_delimited: bool,
}

/// How a call to the backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendEnd {
    /// The response is complete.
    Complete,
    /// The backend server reported by a header that the call did not run.
    NotRun,
    /// No byte of the request left this daemon.
    NotSent,
    /// The response is missing or truncated; the call may have run.
    Failed,
    /// The response has no length, and the service does not declare `close_delimited`.
    CloseDelimited,
    /// The deadline passed.
    Deadline,
    /// The call was cancelled, or the receiver of its frames accepts no more of them.
    Cancelled,
}

/// Client of one backend server.
#[derive(Debug)]
pub struct BackendClient {
    settings: daemon_settings::BackendServerSettings,
    /// Connections of the short lane, and those for cancellations and drain announcements.
    agent: ureq::Agent,
    /// Connections of the long lane.
    long_agent: ureq::Agent,
}

impl BackendClient {
    /// Creates a client. It opens connections on demand and keeps up to two idle ones per slot and lane.
    #[must_use]
    pub fn new(settings: daemon_settings::BackendServerSettings) -> Self {
        let max_idle_connections = usize::try_from(settings.slots).unwrap_or(usize::MAX).saturating_mul(2);
        Self {
            settings,
            agent: http_agent::new_agent(max_idle_connections),
            long_agent: http_agent::new_agent(max_idle_connections),
        }
    }

    /// Sends a call and passes the head and the body of its response to `on_frame`, as `Head` and `Data` frames.
    pub fn call(
        &self,
        request: &BackendRequest<'_>,
        watch: call_watch::CallWatch,
        on_frame: &mut dyn FnMut(call_frame::CallFrame) -> frame_sink::SinkStep,
    ) -> BackendEnd {
        let (result, report) = call_watch::run(watch, || self.exchange(request, on_frame));
        match (result, report.stop) {
            (Ok(end), _) => end,
            (Err(_), Some(call_watch::WatchStop::Deadline)) => BackendEnd::Deadline,
            (Err(_), Some(call_watch::WatchStop::Silent)) => BackendEnd::Failed,
            (Err(_), Some(call_watch::WatchStop::Cancelled)) => BackendEnd::Cancelled,
            (Err(_), None) if !report.sent => BackendEnd::NotSent,
            (Err(error), None) => {
                log::debug!(error:% = error; "connection to the backend server failed");
                BackendEnd::Failed
            }
        }
    }

    /// Sends a cancellation of a call. It is not repeated, since a lost one only wastes work of the backend server.
    pub fn cancel(&self, call: ids::CallId) {
        let path = format!("{}?call={call:x}", self.settings.cancel_path);
        if let Err(error) = self.post(&path) {
            log::info!(call:? = call, error:% = error; "backend server did not accept the cancellation");
        }
    }

    /// Announces the planned stop to the backend server.
    pub fn drain(&self) {
        if let Err(error) = self.post(&self.settings.drain_path) {
            log::info!(error:% = error; "backend server did not accept the drain announcement");
        }
    }

    /// Returns whether the health path answers with a success status. The check uses a new connection, since an open
    /// one may be silent.
    #[must_use]
    pub fn is_healthy(&self) -> bool {
        let watch = call_watch::CallWatch::for_message(MESSAGE_TIMEOUT);
        let agent = http_agent::new_agent(0);
        let url = format!("http://{}{}", self.settings.address, self.settings.health_path);
        let (result, _report) = call_watch::run(watch, || agent.get(url).call());
        result.is_ok_and(|response| response.status().is_success())
    }

    fn post(&self, path: &str) -> Result<(), ureq::Error> {
        let url = format!("http://{}{path}", self.settings.address);
        let watch = call_watch::CallWatch::for_message(MESSAGE_TIMEOUT);
        let (result, _report) = call_watch::run(watch, || {
            let mut response = self.agent.post(url).send_empty()?;
            response.body_mut().read_to_vec()
        });
        result.map(|_body| ())
    }

    fn exchange(
        &self,
        request: &BackendRequest<'_>,
        on_frame: &mut dyn FnMut(call_frame::CallFrame) -> frame_sink::SinkStep,
    ) -> Result<BackendEnd, ureq::Error> {
        let response = self.send(request)?;
        let (parts, body) = response.into_parts();
        if parts
            .headers
            .get(header_filter::NOT_RUN_HEADER)
            .is_some_and(|value| value == "true")
        {
            // The body is read so that the connection can be reused; an error does not change the result.
            let _body = body
                .into_with_config()
                .limit(call_frame::MAX_DATA_BYTES as u64)
                .read_to_vec();
            return Ok(BackendEnd::NotRun);
        }
        if is_close_delimited(request.method, &parts) && !request.close_delimited {
            return Ok(BackendEnd::CloseDelimited);
        }
        let head = call_frame::CallFrame::Head {
            status: parts.status.as_u16(),
            headers: header_filter::response_headers(&parts.headers),
        };
        if on_frame(head) == frame_sink::SinkStep::Stop {
            return Ok(BackendEnd::Cancelled);
        }
        BODY_BUFFER.with_borrow_mut(|buffer| {
            buffer.resize(call_frame::MAX_DATA_BYTES, 0);
            relay_body(body.into_reader(), buffer, on_frame)
        })
    }

    fn send(&self, request: &BackendRequest<'_>) -> Result<ureq::http::Response<ureq::Body>, ureq::Error> {
        let agent = match request.lane {
            call_class::CallLane::Short => &self.agent,
            call_class::CallLane::Long => &self.long_agent,
        };
        let path = String::from_utf8_lossy(request.path);
        let url = format!("http://{}{path}", self.settings.address);
        let mut builder = ureq::http::Request::builder().method(request.method).uri(url);
        for (name, value) in request.headers {
            builder = builder.header(name.as_ref(), value.as_ref());
        }
        builder = builder.header(header_filter::context_header(), request.context.as_str());
        let without_body =
            request.body.is_empty() && matches!(request.method, b"GET" | b"HEAD" | b"OPTIONS" | b"DELETE");
        if without_body {
            return agent.run(builder.body(()).map_err(ureq::Error::Http)?);
        }
        agent.run(builder.body(request.body.as_ref()).map_err(ureq::Error::Http)?)
    }
}

fn relay_body(
    mut reader: impl io::Read,
    buffer: &mut [u8],
    on_frame: &mut dyn FnMut(call_frame::CallFrame) -> frame_sink::SinkStep,
) -> Result<BackendEnd, ureq::Error> {
    loop {
        let length = reader.read(buffer)?;
        if length == 0 {
            return Ok(BackendEnd::Complete);
        }
        let data = call_frame::CallFrame::Data(Bytes::copy_from_slice(&buffer[..length]));
        if on_frame(data) == frame_sink::SinkStep::Stop {
            return Ok(BackendEnd::Cancelled);
        }
    }
}

fn is_close_delimited(method: &[u8], parts: &ureq::http::response::Parts) -> bool {
    let status = parts.status.as_u16();
    let bodiless = method == b"HEAD" || matches!(status, 100..=199 | 204 | 304);
    let framed = parts.headers.contains_key("content-length") || parts.headers.contains_key("transfer-encoding");
    !bodiless && !framed
}
