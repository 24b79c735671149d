//! Stand-in for a backend server of the platform, with the faults that the platform's documentation lists.

use std::io;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use serde_json::json;

use crate::http_exchange;

/// Header with the id of the caller's attempt, in requests and responses.
pub const ATTEMPT_ID: &str = "Damasktrack-Attempt-Id";
/// Request header with the time that is left for the request, in milliseconds.
pub const DEADLINE_MS: &str = "Damasktrack-Deadline-Ms";
/// Request header of a caller with its key.
pub const CREDENTIAL: &str = "Damasktrack-Credential";
/// Request header with the name of the tenant.
pub const TENANT: &str = "Damasktrack-Tenant";
/// Response header with the seal of the backend server.
pub const RESPONSE_SEAL: &str = "Damasktrack-Response-Seal";
const TARGET_INSTANCE: &str = "Damasktrack-Target-Instance";
const CALLER_SERVICE: &str = "Damasktrack-Caller-Service";
const NOT_EXECUTED: &str = "Damasktrack-Not-Executed";
/// Start time that the messages of a server name before its first crash.
const FIRST_START_MS: u64 = 1_000;
/// Bound on a heartbeat or deregistration, from connecting to the end of the response.
const CONTROL_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Most bytes that one read of a connection returns.
const READ_BYTES: usize = 16 * 1024;
/// Interval between two pieces of [`BackendStep::Endless`].
const PIECE_INTERVAL: time::Duration = time::Duration::from_millis(2);

/// Part of a response that never ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessPart {
    /// Body whose end would be the end of the connection.
    Body,
    /// Chunks of a chunked body.
    Chunks,
    /// Extension of a chunk's size line.
    ChunkExtension,
    /// Trailers of a chunked body.
    Trailers,
    /// Headers.
    Headers,
    /// One header line.
    HeaderLine,
    /// Informational heads in front of the response.
    InformationalHeads,
    /// Bytes that are no response.
    Noise,
    /// Body, one byte at a time.
    SlowBody,
    /// Chunks of one byte each, sent as fast as they are read.
    TinyChunks,
}

impl EndlessPart {
    /// Returns the bytes before the endless part, and a piece of it.
    fn bytes(self, id: &str) -> (String, Vec<u8>) {
        let head = format!("HTTP/1.1 200 OK\r\n{ATTEMPT_ID}: {id}\r\n{RESPONSE_SEAL}: seal\r\n");
        let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
        let filler = b"x".repeat(1_000);
        match self {
            Self::Body => (format!("{head}\r\n"), filler),
            Self::SlowBody => (format!("{head}\r\n"), b"x".to_vec()),
            Self::Chunks => (chunked, [b"3e8\r\n", filler.as_slice(), b"\r\n"].concat()),
            Self::TinyChunks => (chunked, b"1\r\nx\r\n".repeat(2_000)),
            Self::ChunkExtension => (format!("{chunked}1;"), filler),
            Self::Trailers => (format!("{chunked}0\r\n"), b"X-Trailer: 1\r\n".repeat(50)),
            Self::Headers => (head, b"X-Header: 1\r\n".repeat(50)),
            Self::HeaderLine => (format!("{head}X-Header: "), filler),
            Self::InformationalHeads => (String::new(), b"HTTP/1.1 102 Processing\r\n\r\n".repeat(2_000)),
            Self::Noise => (String::new(), filler),
        }
    }
}

/// What the server does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendStep {
    /// Runs it for this time and responds 200.
    Serve(time::Duration),
    /// Responds 503 with `Damasktrack-Not-Executed` and does not run it.
    Shed,
    /// Runs it and closes the connection without a response.
    LoseAnswer,
    /// Runs it and closes the connection before the last two bytes of the response's body.
    CutBody,
    /// Runs it and responds with the id of another attempt.
    AnswerOther,
    /// Runs it and responds without a seal.
    OmitSeal,
    /// Runs it and sends the response twice on the same connection.
    AnswerTwice,
    /// Runs it and responds, and sends a copy of the response on the same connection in this many pieces, with a pause
    /// before each.
    CopyLate {
        /// Time before each piece.
        pause: time::Duration,
        /// Number of pieces; at least 1.
        pieces: usize,
        /// Whether the last piece is left out.
        truncated: bool,
    },
    /// Runs it and responds 500.
    Fail,
    /// Runs it and sends a part of a response without end, until the connection fails. It runs until then.
    Endless(EndlessPart),
    /// Runs it and responds 200 with a body of this many bytes `#`.
    ServeLarge(usize),
    /// Runs it and writes this text, in which `{id}` stands for the id of the attempt.
    Write {
        /// Bytes of the text that are written.
        length: usize,
        /// Text of the response.
        text: &'static str,
        /// Whether the connection is closed afterwards.
        closes: bool,
    },
    /// Does not run it and responds as [`Self::Shed`], without the id of the attempt. Writes the same response once more
    /// after this time.
    ShedTwice(time::Duration),
    /// Runs it and responds 200. Writes the response of [`Self::Shed`], without the id of an attempt, after this time on
    /// the same connection.
    ServeThenShed(time::Duration),
}

/// A request that the server accepted as addressed to its instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendArrival {
    /// Id of the caller's attempt, empty if the request has none.
    pub id: String,
    /// Whether the server ran it; false for [`BackendStep::Shed`].
    pub ran: bool,
    /// Service of the daemon that received the request from the caller.
    pub caller_service: String,
    /// Time that the request left the server, in milliseconds; 0 if it is missing or malformed.
    pub deadline_ms: u64,
    /// Path and query.
    pub target: String,
    /// Names and values of all headers.
    pub headers: Vec<(String, String)>,
    /// Body, without its framing.
    pub body: Vec<u8>,
    /// When the request was read.
    pub at: time::Instant,
}

impl BackendArrival {
    /// Returns the values of a header; the name is compared without regard to case.
    #[must_use]
    pub fn values(&self, name: &str) -> Vec<&str> {
        let matching = self.headers.iter().filter(|header| header.0.eq_ignore_ascii_case(name));
        matching.map(|header| header.1.as_str()).collect()
    }
}

/// What a server does with the request of a [`CrashRule`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashEffect {
    /// It ends: it closes all connections, refuses new ones and starts again after a while.
    End,
    /// It does not run the request, and responds as [`BackendStep::Shed`].
    Refuse,
}

/// A request that crashes the server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashRule {
    /// Path and query.
    pub target: String,
    /// Service of the daemon that received the request from the caller.
    pub caller_service: String,
    /// What the server does with it.
    pub effect: CrashEffect,
    /// Time between the arrival of the request and the end.
    pub delay: time::Duration,
    /// Time between the end and the next start.
    pub downtime: time::Duration,
}

/// Returns what the server does with a request, given the number of requests that arrived before it.
pub type BackendScript = dyn Fn(usize) -> BackendStep + Send + Sync;

#[derive(Debug, Default)]
struct BackendLog {
    arrivals: sync::Mutex<Vec<BackendArrival>>,
    running: atomic::AtomicUsize,
    /// Largest value of `running` since the start.
    most_running: atomic::AtomicUsize,
    /// Header lines of all responses, each with its line break.
    notices: sync::Mutex<String>,
    /// Pause before each read of a connection, in milliseconds.
    read_pause_ms: atomic::AtomicU64,
    crash_rules: sync::Mutex<Vec<CrashRule>>,
    /// Open connections of the current start.
    streams: sync::Mutex<Vec<sync::Weak<net::TcpStream>>>,
    /// Number of ends by a [`CrashRule`].
    crashes: atomic::AtomicU64,
    /// Time between the last crash and the next start, in milliseconds; 0 while the server runs.
    downtime_ms: atomic::AtomicU64,
}

/// A running server; clones share its log. Its threads end with the process.
#[derive(Clone)]
pub struct PlatformBackend {
    instance: String,
    service: String,
    address: net::SocketAddr,
    /// Data centre that the heartbeats report.
    data_centre: String,
    log: sync::Arc<BackendLog>,
    script: sync::Arc<BackendScript>,
}

impl std::fmt::Debug for PlatformBackend {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PlatformBackend")
            .field("instance", &self.instance)
            .field("service", &self.service)
            .finish_non_exhaustive()
    }
}

/// Commands.
impl PlatformBackend {
    /// Starts a server at this address.
    ///
    /// # Errors
    /// Returns the error of the listening socket.
    pub fn start(
        address: net::SocketAddr,
        service: &str,
        data_centre: &str,
        instance: &str,
        script: sync::Arc<BackendScript>,
    ) -> io::Result<Self> {
        let listener = net::TcpListener::bind(address)?;
        let server = Self {
            instance: instance.to_owned(),
            service: service.to_owned(),
            address,
            data_centre: data_centre.to_owned(),
            log: sync::Arc::default(),
            script,
        };
        let acceptor = server.clone();
        thread::spawn(move || acceptor.accept(listener));
        Ok(server)
    }

    /// Sets the requests that crash the server.
    pub fn set_crash_rules(&self, rules: &[CrashRule]) {
        let mut known = self
            .log
            .crash_rules
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        *known = rules.to_vec();
    }

    /// Accepts connections, and starts again after each end.
    fn accept(&self, mut listener: net::TcpListener) {
        loop {
            for stream in listener.incoming().flatten() {
                if self.is_down() {
                    break;
                }
                let stream = sync::Arc::new(stream);
                let mut streams = self.log.streams.lock().unwrap_or_else(sync::PoisonError::into_inner);
                streams.retain(|stream| stream.strong_count() > 0);
                streams.push(sync::Arc::downgrade(&stream));
                drop(streams);
                let server = self.clone();
                thread::spawn(move || server.serve(&stream));
            }
            drop(listener);
            self.close_streams();
            let downtime = self.log.downtime_ms.load(atomic::Ordering::SeqCst);
            thread::sleep(time::Duration::from_millis(downtime));
            listener = loop {
                match net::TcpListener::bind(self.address) {
                    Ok(listener) => break listener,
                    Err(_in_use) => thread::sleep(time::Duration::from_millis(20)),
                }
            };
            self.log.downtime_ms.store(0, atomic::Ordering::SeqCst);
        }
    }

    /// Ends the server as a crash of its process does.
    fn crash(&self, downtime: time::Duration) {
        let downtime_ms = u64::try_from(downtime.as_millis()).unwrap_or(u64::MAX).max(1);
        let started =
            self.log
                .downtime_ms
                .compare_exchange(0, downtime_ms, atomic::Ordering::SeqCst, atomic::Ordering::SeqCst);
        if started.is_ok() {
            self.log.crashes.fetch_add(1, atomic::Ordering::SeqCst);
            // Wakes the acceptor, which closes the listener.
            let _woken = net::TcpStream::connect(self.address);
            self.close_streams();
        }
    }

    fn close_streams(&self) {
        let streams = std::mem::take(&mut *self.log.streams.lock().unwrap_or_else(sync::PoisonError::into_inner));
        for stream in streams.iter().filter_map(sync::Weak::upgrade) {
            // An error means that the connection has already ended.
            let _closed = stream.shutdown(net::Shutdown::Both);
        }
    }

    fn crash_rule(&self, request: &http_exchange::HttpRequest) -> Option<CrashRule> {
        let rules = self
            .log
            .crash_rules
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let caller = request.header(CALLER_SERVICE).unwrap_or("");
        let mut rules = rules.iter();
        rules
            .find(|rule| rule.target == request.target && rule.caller_service == caller)
            .cloned()
    }

    /// Sets header lines that the later responses to requests of its instance have, each with its line break.
    pub fn set_notices(&self, lines: &str) {
        let mut notices = self.log.notices.lock().unwrap_or_else(sync::PoisonError::into_inner);
        lines.clone_into(&mut notices);
    }

    /// Sets a pause before each read of up to [`READ_BYTES`] from a connection.
    pub fn set_read_pause(&self, pause: time::Duration) {
        let pause_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
        self.log.read_pause_ms.store(pause_ms, atomic::Ordering::SeqCst);
    }

    /// Sends a heartbeat to the daemon at the address `control`, and returns the status of the response; `None` if
    /// there is none.
    #[must_use]
    pub fn send_heartbeat(&self, control: net::SocketAddr, state: &str, sequence: u64, slots: u32) -> Option<u16> {
        let body = json!({
            "Service": self.service, "Address": self.address.to_string(), "Zone": self.data_centre, "Version": "v1",
            "Slots": slots, "State": state, "ColdLeft": "0ms", "Seq": sequence, "born": self.started_ms(),
        });
        let call = format!("instances.heartbeat&of={}", self.instance);
        call_control(control, &call, &body.to_string())
    }

    /// Sends another body as a heartbeat of this instance id, and returns the status of the response.
    #[must_use]
    pub fn send_foreign_heartbeat(control: net::SocketAddr, instance: &str, body: &str) -> Option<u16> {
        call_control(control, &format!("instances.heartbeat&of={instance}"), body)
    }

    /// Sends a deregistration of this instance id with this body, and returns the status of the response.
    #[must_use]
    pub fn send_foreign_departure(control: net::SocketAddr, instance: &str, body: &str) -> Option<u16> {
        call_control(control, &format!("instances.deregister&of={instance}"), body)
    }

    /// Deregisters the server at the daemon, and returns the status of the response; `None` if there is none.
    #[must_use]
    pub fn deregister(&self, control: net::SocketAddr) -> Option<u16> {
        let body = json!({"born": self.started_ms()});
        let call = format!("instances.deregister&of={}", self.instance);
        call_control(control, &call, &body.to_string())
    }

    fn serve(&self, stream: &net::TcpStream) {
        let pausing = PausingReader {
            stream,
            pause_ms: &self.log.read_pause_ms,
        };
        let mut reader = BufReader::with_capacity(READ_BYTES, pausing);
        let mut writer = stream;
        while let Ok(Some(request)) = http_exchange::read_request(&mut reader) {
            if self.respond(&request, &mut writer).is_err() {
                return;
            }
        }
    }

    /// Responds to a request; an error ends the connection.
    fn respond(&self, request: &http_exchange::HttpRequest, writer: &mut impl Write) -> io::Result<()> {
        let id = request.header(ATTEMPT_ID).unwrap_or("").to_owned();
        if request
            .header(TARGET_INSTANCE)
            .is_some_and(|instance| instance != self.instance)
        {
            return write!(
                writer,
                "HTTP/1.1 421 -\r\n{ATTEMPT_ID}: {id}\r\n{NOT_EXECUTED}: 1\r\nContent-Length: 0\r\n\r\n"
            );
        }
        let rule = self.crash_rule(request);
        let refused = rule.as_ref().is_some_and(|rule| rule.effect == CrashEffect::Refuse);
        let step = self.note_arrival(request, &id, refused);
        if let Some(rule) = rule.filter(|_rule| !refused) {
            thread::sleep(rule.delay);
            self.crash(rule.downtime);
            return Err(io::Error::other("server ended"));
        }
        let running = self.log.running.fetch_add(1, atomic::Ordering::SeqCst) + 1;
        self.log.most_running.fetch_max(running, atomic::Ordering::SeqCst);
        match step {
            BackendStep::Serve(duration) => thread::sleep(duration),
            BackendStep::Endless(part) => write_endlessly(writer, part, &id),
            _ => {}
        }
        self.log.running.fetch_sub(1, atomic::Ordering::SeqCst);
        self.write_response(step, &id, writer)
    }

    /// Records a request and returns what to do with it.
    fn note_arrival(&self, request: &http_exchange::HttpRequest, id: &str, refused: bool) -> BackendStep {
        let mut arrivals = self.log.arrivals.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let step = if refused {
            BackendStep::Shed
        } else {
            (self.script)(arrivals.len())
        };
        arrivals.push(BackendArrival {
            id: id.to_owned(),
            ran: !matches!(step, BackendStep::Shed | BackendStep::ShedTwice(_)),
            caller_service: request.header(CALLER_SERVICE).unwrap_or("").to_owned(),
            deadline_ms: request
                .header(DEADLINE_MS)
                .and_then(|text| text.parse().ok())
                .unwrap_or(0),
            target: request.target.clone(),
            headers: request.headers.clone(),
            body: request.body.clone(),
            at: time::Instant::now(),
        });
        step
    }

    /// Writes the response that a step decides on; an error ends the connection.
    fn write_response(&self, step: BackendStep, id: &str, writer: &mut impl Write) -> io::Result<()> {
        let body = format!("{} {id}", self.service);
        let notices = self.log.notices.lock();
        let notices = notices.unwrap_or_else(sync::PoisonError::into_inner).clone();
        let full_response = |id: &str| {
            format!(
                "HTTP/1.1 200 OK\r\n{notices}{ATTEMPT_ID}: {id}\r\n{RESPONSE_SEAL}: seal\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        let closed = io::Error::other("connection closed by the script");
        let refusal = format!("HTTP/1.1 503 -\r\n{NOT_EXECUTED}: 1\r\nContent-Length: 0\r\n\r\n");
        match step {
            BackendStep::Serve(_duration) => writer.write_all(full_response(id).as_bytes()),
            BackendStep::Shed => {
                write!(
                    writer,
                    "HTTP/1.1 503 -\r\n{notices}{ATTEMPT_ID}: {id}\r\n{NOT_EXECUTED}: 1\r\nContent-Length: 0\r\n\r\n"
                )
            }
            BackendStep::LoseAnswer | BackendStep::Endless(_) => Err(closed),
            BackendStep::CutBody => {
                let text = full_response(id);
                writer.write_all(&text.as_bytes()[..text.len() - 2])?;
                Err(closed)
            }
            BackendStep::AnswerOther => writer.write_all(full_response("another").as_bytes()),
            BackendStep::OmitSeal => write!(
                writer,
                "HTTP/1.1 200 OK\r\n{notices}{ATTEMPT_ID}: {id}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            ),
            BackendStep::AnswerTwice => {
                writer.write_all(format!("{}{}", full_response(id), full_response(id)).as_bytes())
            }
            BackendStep::CopyLate {
                pause,
                pieces,
                truncated,
            } => {
                let text = full_response(id);
                writer.write_all(text.as_bytes())?;
                let parts: Vec<_> = text.as_bytes().chunks(text.len().div_ceil(pieces)).collect();
                for part in &parts[..parts.len() - usize::from(truncated)] {
                    thread::sleep(pause);
                    writer.write_all(part)?;
                }
                Ok(())
            }
            BackendStep::ServeLarge(length) => {
                write!(
                    writer,
                    "HTTP/1.1 200 OK\r\n{notices}{ATTEMPT_ID}: {id}\r\n{RESPONSE_SEAL}: seal\r\nContent-Length: {length}\r\n\r\n"
                )?;
                writer.write_all(&vec![b'#'; length])
            }
            BackendStep::Write { length, text, closes } => {
                let text = text.replace("{id}", id);
                writer.write_all(&text.as_bytes()[..length.min(text.len())])?;
                if closes { Err(closed) } else { Ok(()) }
            }
            BackendStep::ShedTwice(pause) => {
                writer.write_all(refusal.as_bytes())?;
                thread::sleep(pause);
                writer.write_all(refusal.as_bytes())
            }
            BackendStep::ServeThenShed(pause) => {
                writer.write_all(full_response(id).as_bytes())?;
                thread::sleep(pause);
                writer.write_all(refusal.as_bytes())
            }
            BackendStep::Fail => write!(
                writer,
                "HTTP/1.1 500 -\r\n{notices}{ATTEMPT_ID}: {id}\r\n{RESPONSE_SEAL}: seal\r\nContent-Length: 0\r\n\r\n"
            ),
        }
    }
}

/// Queries.
impl PlatformBackend {
    /// Returns all requests since the start, in order of arrival.
    #[must_use]
    pub fn arrivals(&self) -> Vec<BackendArrival> {
        let arrivals = self.log.arrivals.lock();
        arrivals.unwrap_or_else(sync::PoisonError::into_inner).clone()
    }

    /// Returns the number of ends by a [`CrashRule`].
    #[must_use]
    pub fn crashes(&self) -> u64 {
        self.log.crashes.load(atomic::Ordering::SeqCst)
    }

    /// Returns the start time that the server's messages name, in milliseconds since 1970.
    fn started_ms(&self) -> u64 {
        FIRST_START_MS + self.crashes()
    }

    /// Returns whether the server has ended and not started again.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.log.downtime_ms.load(atomic::Ordering::SeqCst) > 0
    }

    /// Returns the number of requests that run now.
    #[must_use]
    pub fn running(&self) -> usize {
        self.log.running.load(atomic::Ordering::SeqCst)
    }

    /// Returns the largest number of requests that ran at the same time.
    #[must_use]
    pub fn most_running(&self) -> usize {
        self.log.most_running.load(atomic::Ordering::SeqCst)
    }
}

/// Pauses before each read.
struct PausingReader<'a> {
    stream: &'a net::TcpStream,
    pause_ms: &'a atomic::AtomicU64,
}

impl Read for PausingReader<'_> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let pause = time::Duration::from_millis(self.pause_ms.load(atomic::Ordering::SeqCst));
        if !pause.is_zero() {
            thread::sleep(pause);
        }
        let mut stream = self.stream;
        let length = buf.len().min(READ_BYTES);
        stream.read(&mut buf[..length])
    }
}

/// Writes until the connection fails.
fn write_endlessly(writer: &mut impl Write, part: EndlessPart, id: &str) {
    let (start, piece) = part.bytes(id);
    let mut written = writer.write_all(start.as_bytes());
    while written.is_ok() {
        thread::sleep(PIECE_INTERVAL);
        written = writer.write_all(&piece);
    }
}

fn call_control(control: net::SocketAddr, call: &str, body: &str) -> Option<u16> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .timeout_global(Some(CONTROL_TIMEOUT))
        .http_status_as_error(false)
        .build()
        .into();
    let response = agent
        .post(format!("http://{control}/rpc?call={call}"))
        .send(body.as_bytes());
    Some(response.ok()?.status().as_u16())
}
