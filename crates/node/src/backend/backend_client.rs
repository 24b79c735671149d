//! Calls to the backend server beside the daemon.

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

/// Time for cancellations, drain announcements and health checks.
const MESSAGE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

thread_local! {
    /// Buffer of the call that the thread serves; the allocator returns a buffer of this size to the system at each
    /// release, which costs page faults.
    static BODY_BUFFER: cell::RefCell<Vec<u8>> = const { cell::RefCell::new(Vec::new()) };
}

/// Call to the backend server.
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
    /// Lane of the class; long work has connections of its own.
    pub lane: call_class::CallLane,
    /// Whether a response that ends with its connection counts as complete.
    pub close_delimited: bool,
}

/// How a call to the backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendEnd {
    /// The response is complete.
    Complete,
    /// The backend server reported that the call did not run.
    NotRun,
    /// No byte of the request left this daemon.
    NotSent,
    /// The response is missing or broke off.
    Broken,
    /// The response has no length, and the service does not declare such responses.
    CloseDelimited,
    /// The deadline passed.
    Deadline,
    /// The call was cancelled, or the receiver of the frames is gone.
    Cancelled,
}

/// Client of one backend server.
#[derive(Debug)]
pub struct BackendClient {
    settings: daemon_settings::BackendServerSettings,
    agent: ureq::Agent,
    /// Connections of the long lane.
    long_agent: ureq::Agent,
}

impl BackendClient {
    /// Creates a client; connections open when they are needed.
    #[must_use]
    pub fn new(settings: daemon_settings::BackendServerSettings) -> Self {
        let idle = usize::try_from(settings.slots).unwrap_or(usize::MAX).saturating_mul(2);
        Self {
            settings,
            agent: http_agent::new_agent(idle),
            long_agent: http_agent::new_agent(idle),
        }
    }

    /// Sends a call and hands the head and the body of its response to `on_frame`.
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
            (Err(_), Some(call_watch::WatchStop::Silent)) => BackendEnd::Broken,
            (Err(_), Some(call_watch::WatchStop::Cancelled)) => BackendEnd::Cancelled,
            (Err(_), None) if !report.sent => BackendEnd::NotSent,
            (Err(error), None) => {
                log::debug!(error:% = error; "connection to the backend server broke");
                BackendEnd::Broken
            }
        }
    }

    /// Tells the backend server to stop a call; a lost message only wastes work.
    pub fn cancel(&self, call: ids::CallId) {
        let path = format!("{}?call={call:x}", self.settings.cancel_path);
        if let Err(error) = self.post(&path) {
            log::info!(call:? = call, error:% = error; "backend server took no cancellation");
        }
    }

    /// Tells the backend server that its planned stop begins.
    pub fn drain(&self) {
        if let Err(error) = self.post(&self.settings.drain_path) {
            log::info!(error:% = error; "backend server took no drain announcement");
        }
    }

    /// Checks the health path on a new connection, since an open one may be silent.
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
            // The body is read so that the connection can be used again; a fault does not change the result.
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
        if on_frame(head) == frame_sink::SinkStep::Gone {
            return Ok(BackendEnd::Cancelled);
        }
        BODY_BUFFER.with_borrow_mut(|buffer| {
            buffer.resize(call_frame::MAX_DATA_BYTES, 0);
            pass_body(body.into_reader(), buffer, on_frame)
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

fn pass_body(
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
        if on_frame(data) == frame_sink::SinkStep::Gone {
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
