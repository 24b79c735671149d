//! Serving of one connection: reading ahead, concurrent requests, and responses in order.

use std::collections;
use std::pin;
use std::time;

use bytes::Buf;
use bytes::Bytes;
use futures_util::stream;
use hyper::body;
use hyper::header;
use hyper::http::request;
use tokio::sync::watch;

use crate::account_handle;
use crate::byte_account;
use crate::chunk_list;
use crate::connection_close;
use crate::output_queue;
use crate::request_fault;
use crate::request_head;
use crate::request_order;
use crate::request_reader;
use crate::response_head;

mod connection_events;

/// Bytes that are read ahead of the request that is read next. Beyond them, reading pauses until a request starts.
const READ_AHEAD_BYTES: usize = 64 * 1024;
/// Time for which a connection reads in the phase `Closed`, for a request that is already on its way. One that is
/// passed on later might be cut by the end of the process.
const CLOSED_READ_TIME: time::Duration = time::Duration::from_millis(100);

/// Limits of a connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Longest time without a request, or without progress in sending a response.
    pub idle_timeout: time::Duration,
    /// Longest time from the first byte of a request head to its last.
    pub header_timeout: time::Duration,
    /// Largest request head in bytes.
    pub max_header_bytes: usize,
}

/// How a request is read and started, decided from its head.
#[derive(Clone, Copy, Debug)]
pub struct RequestPlan<T> {
    /// Largest body in bytes.
    pub max_body_bytes: usize,
    /// Longest time from the end of the head to the end of the body.
    pub body_timeout: time::Duration,
    /// When the request may start.
    pub order: request_order::StartOrder,
    /// Whether the request is refused whatever its body. It is served at once, with an empty body.
    pub refused: bool,
    /// Passed on to the handler.
    pub route: T,
}

/// Request that was read completely.
#[derive(Debug)]
pub struct CallerRequest<T> {
    /// Method, URI, version and headers.
    pub parts: request::Parts,
    /// Complete body.
    pub body: chunk_list::ChunkedBody,
    /// When the head was read.
    pub arrived: time::Instant,
    /// From the [`RequestPlan`].
    pub route: T,
}

/// Functions that decide about requests and answer them.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionHandlers<P, S, R> {
    /// Plans a request from its head. It may remove headers that are not passed on.
    pub plan: P,
    /// Serves a request. Dropping the future cancels the request.
    pub serve: S,
    /// Returns the response to a request that is rejected before it is served.
    pub reject: R,
}

/// A head whose body is being read.
struct PlannedRequest<T> {
    parts: request::Parts,
    closes: bool,
    /// Whether `100 Continue` has to be sent before the body arrives.
    continue_due: bool,
    arrived: time::Instant,
    body_deadline: time::Instant,
    order: request_order::StartOrder,
    route: T,
}

/// Properties of a started request that its response depends on.
struct StartedRequest {
    answered: response_head::AnsweredRequest,
    /// Whether the request asks for the connection to be closed.
    closes: bool,
}

/// Response that is being sent.
struct SendingResponse<B> {
    body: B,
    framing: response_head::ResponseFraming,
}

/// How a connection goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionStep {
    Continue,
    /// All responses are sent: close the connection after reading what the caller still sends.
    Finish,
    /// Drop the connection with all its work.
    Abort,
    /// Reset the connection, since its end would mark the end of a truncated response.
    Reset,
}

struct Connection<'a, T, P, S, R, F: Future, B> {
    handlers: &'a ConnectionHandlers<P, S, R>,
    limits: ConnectionLimits,
    phase: request_order::ConnectionPhase,
    /// Time of the change to this phase, or of the start of the connection.
    phase_since: time::Instant,
    reader: request_reader::RequestReader,
    planned: Option<PlannedRequest<T>>,
    /// Request that was read and not started.
    waiting: Option<(CallerRequest<T>, request_order::StartOrder, StartedRequest)>,
    /// Fault of the request behind all that were read.
    fault: Option<request_fault::RequestFault>,
    running: stream::FuturesOrdered<F>,
    /// Responses whose turn has not come, in order; the first ones of `started` belong to them.
    ready: collections::VecDeque<hyper::Response<B>>,
    /// Started requests whose response has not begun, in order.
    started: collections::VecDeque<StartedRequest>,
    last_order: request_order::StartOrder,
    sending: Option<SendingResponse<B>>,
    closing: bool,
    /// Whether the caller has shut down its sending side.
    disconnected: bool,
    out: output_queue::OutputQueue,
    hold: account_handle::ConnectionHold,
    /// Length of the incomplete body at the last report to the account.
    reported_length: usize,
    /// Bytes of output that were written since the last report to the account.
    written: usize,
    /// Last state that was reported to the account, without the progress.
    reported: Option<byte_account::HoldState>,
    /// Start of the current wait: for a request, for the end of a head, or for progress in sending.
    waiting_since: time::Instant,
    head_since: Option<time::Instant>,
}

/// Serves the requests of a connection until its end, and reports what it holds to the account. A caller that
/// disconnects or shuts down its sending side cancels all its requests.
pub async fn serve<T, P, S, F, R, B>(
    mut stream: tokio::net::TcpStream,
    limits: ConnectionLimits,
    mut phases: watch::Receiver<request_order::ConnectionPhase>,
    handlers: ConnectionHandlers<P, S, R>,
    hold: account_handle::ConnectionHold,
) where
    P: Fn(&mut request::Parts) -> RequestPlan<T>,
    S: Fn(CallerRequest<T>) -> F,
    F: Future<Output = hyper::Response<B>>,
    R: Fn(request_fault::RequestFault) -> hyper::Response<B>,
    B: body::Body<Data = Bytes> + Unpin,
{
    let now = time::Instant::now();
    let mut connection = Connection {
        handlers: &handlers,
        limits,
        phase: *phases.borrow_and_update(),
        phase_since: now,
        reader: request_reader::RequestReader::new(limits.max_header_bytes),
        planned: None,
        waiting: None,
        fault: None,
        running: stream::FuturesOrdered::new(),
        ready: collections::VecDeque::new(),
        started: collections::VecDeque::new(),
        last_order: request_order::StartOrder::Ahead,
        sending: None,
        closing: false,
        disconnected: false,
        out: output_queue::OutputQueue::default(),
        hold,
        reported_length: 0,
        written: 0,
        reported: None,
        waiting_since: now,
        head_since: None,
    };
    let step = connection.run(&mut stream, phases).await;
    // Cancels the requests before the wait for the end of the input, during which the connection still counts.
    let hold = connection.into_hold();
    match step {
        ConnectionStep::Continue | ConnectionStep::Finish => connection_close::linger(stream).await,
        ConnectionStep::Abort => drop(stream),
        ConnectionStep::Reset => connection_close::reset(stream),
    }
    drop(hold);
}

impl<T, P, S, F, R, B> Connection<'_, T, P, S, R, F, B>
where
    P: Fn(&mut request::Parts) -> RequestPlan<T>,
    S: Fn(CallerRequest<T>) -> F,
    F: Future<Output = hyper::Response<B>>,
    R: Fn(request_fault::RequestFault) -> hyper::Response<B>,
    B: body::Body<Data = Bytes> + Unpin,
{
    async fn run(
        &mut self,
        stream: &mut tokio::net::TcpStream,
        phases: watch::Receiver<request_order::ConnectionPhase>,
    ) -> ConnectionStep {
        let mut timer = pin::pin!(tokio::time::sleep(self.limits.idle_timeout));
        // Kept over the events, since its place in the list of waiters costs more than a poll.
        let mut phase_change = pin::pin!(connection_events::next_phase(phases));
        loop {
            if let Some(deadline) = self.deadline().map(tokio::time::Instant::from)
                && deadline < timer.deadline()
            {
                timer.as_mut().reset(deadline);
            }
            let step = match self.next_event(stream, phase_change.as_mut(), timer.as_mut()).await {
                connection_events::ConnectionEvent::Read(Ok(0)) => self.handle_disconnect(),
                connection_events::ConnectionEvent::Read(Ok(_count)) => {
                    self.read_requests();
                    ConnectionStep::Continue
                }
                connection_events::ConnectionEvent::Written(Ok(count)) => {
                    self.written += count;
                    self.waiting_since = time::Instant::now();
                    ConnectionStep::Continue
                }
                connection_events::ConnectionEvent::Read(Err(error))
                | connection_events::ConnectionEvent::Written(Err(error)) => {
                    log::debug!(error:% = error; "inbound connection failed");
                    ConnectionStep::Abort
                }
                connection_events::ConnectionEvent::Response(response) => {
                    self.ready.push_back(response);
                    ConnectionStep::Continue
                }
                connection_events::ConnectionEvent::Frame(frame) => self.handle_frame(frame),
                connection_events::ConnectionEvent::PhaseChanged((phase, phases)) => {
                    phase_change.set(connection_events::next_phase(phases));
                    self.phase = phase;
                    self.phase_since = time::Instant::now();
                    self.waiting_since = self.phase_since;
                    ConnectionStep::Continue
                }
                connection_events::ConnectionEvent::Timer => {
                    let step = self.handle_timer();
                    let next = self.deadline().map(tokio::time::Instant::from);
                    let latest = tokio::time::Instant::now() + self.limits.idle_timeout;
                    timer.as_mut().reset(next.unwrap_or(latest));
                    step
                }
                connection_events::ConnectionEvent::GivenUp(demand) => self.handle_given_up(demand),
                connection_events::ConnectionEvent::DisconnectPoll => {
                    if connection_events::has_disconnected(stream).await {
                        self.handle_disconnect()
                    } else {
                        ConnectionStep::Continue
                    }
                }
            };
            if step != ConnectionStep::Continue {
                return step;
            }
            self.advance();
            if self.report_hold() == byte_account::ReadPace::NextTurn {
                tokio::task::yield_now().await;
            }
            if self.is_finished() {
                return ConnectionStep::Finish;
            }
        }
    }

    /// Starts requests and begins responses as far as possible.
    fn advance(&mut self) {
        loop {
            self.send_continue();
            let began = self.begin_response();
            let started = self.start_request();
            if !began && !started {
                return;
            }
        }
    }

    /// Reads from the input up to the end of the next request, which then waits for its start.
    fn read_requests(&mut self) {
        while self.waiting.is_none() && self.fault.is_none() && !self.closing {
            match self.reader.read_next() {
                request_reader::ReadStep::NeedInput => break,
                request_reader::ReadStep::Head(head) => self.plan_request(*head),
                request_reader::ReadStep::Body(body) => self.accept_request(body),
                request_reader::ReadStep::Fault(fault) => self.reject_request(fault),
            }
        }
        if self.closing || self.reader.has_ended() {
            self.reader.end();
        }
        let is_in_head = self.waiting.is_none() && self.reader.is_in_head();
        self.head_since = is_in_head.then(|| self.head_since.unwrap_or_else(time::Instant::now));
    }

    fn plan_request(&mut self, mut head: request_head::RequestHead) {
        let plan = (self.handlers.plan)(&mut head.parts);
        let arrived = time::Instant::now();
        if plan.refused && head.framing != request_head::BodyFraming::Length(0) {
            // The body may be long or never end. It is not read, so the connection ends behind the response.
            self.reader.end();
            self.accept_head(head.parts, arrived, plan.route);
            return;
        }
        self.reader.read_body(plan.max_body_bytes);
        self.planned = Some(PlannedRequest {
            continue_due: head.expects_continue && head.parts.version == hyper::Version::HTTP_11,
            parts: head.parts,
            closes: head.closes,
            arrived,
            body_deadline: arrived + plan.body_timeout,
            order: plan.order,
            route: plan.route,
        });
    }

    /// Takes a request without its body.
    fn accept_head(&mut self, parts: request::Parts, arrived: time::Instant, route: T) {
        let started = StartedRequest {
            answered: answered_request(&parts),
            closes: true,
        };
        let request = CallerRequest {
            parts,
            body: chunk_list::ChunkedBody::default(),
            arrived,
            route,
        };
        self.waiting = Some((request, request_order::StartOrder::Ahead, started));
    }

    fn accept_request(&mut self, mut body: chunk_list::ChunkList) {
        if self.read_end().is_some_and(|end| time::Instant::now() >= end) {
            self.reject_request(request_fault::RequestFault::Stopping);
            return;
        }
        let Some(planned) = self.planned.take() else {
            return;
        };
        let started = StartedRequest {
            answered: answered_request(&planned.parts),
            closes: planned.closes,
        };
        let hold = (!body.is_empty()).then(|| self.hold.account().hold(body.capacity()));
        let request = CallerRequest {
            parts: planned.parts,
            body: body.finish(hold),
            arrived: planned.arrived,
            route: planned.route,
        };
        self.waiting = Some((request, planned.order, started));
    }

    /// Refuses the request that is being read, or closes the connection if it waits for one. A request that is served
    /// or waits for an earlier one is not given up. A connection whose output is stalled is reset, which also frees the
    /// output that the kernel holds.
    fn handle_given_up(&mut self, demand: account_handle::HoldDemand) -> ConnectionStep {
        if demand == account_handle::HoldDemand::CloseStalled {
            if self.stage() == byte_account::HoldStage::Sending {
                return ConnectionStep::Reset;
            }
            self.hold.readmit();
            return ConnectionStep::Continue;
        }
        if !self.started.is_empty() || self.sending.is_some() || self.waiting.is_some() || self.out.has_remaining() {
            self.hold.readmit();
            return ConnectionStep::Continue;
        }
        let idle = self.planned.is_none() && !self.reader.is_in_head();
        if idle || demand == account_handle::HoldDemand::Close {
            return ConnectionStep::Abort;
        }
        self.hold.readmit();
        self.reject_request(request_fault::RequestFault::NoRoom);
        self.head_since = None;
        ConnectionStep::Continue
    }

    /// Reports what the connection holds to the account.
    fn report_hold(&mut self) -> byte_account::ReadPace {
        let length = self.reader.body_length();
        let received = length.saturating_sub(self.reported_length);
        self.reported_length = length;
        let progressed = received + std::mem::take(&mut self.written);
        let state = byte_account::HoldState {
            stage: self.stage(),
            bytes: self.reader.capacity() + self.out.remaining(),
            progressed: 0,
        };
        // Most events change nothing that is counted.
        if self.reported == Some(state) && progressed == 0 {
            return byte_account::ReadPace::Continue;
        }
        self.reported = Some(state);
        self.hold.update(byte_account::HoldState { progressed, ..state })
    }

    fn reject_request(&mut self, fault: request_fault::RequestFault) {
        self.planned = None;
        self.fault = Some(fault);
        self.reader.end();
    }

    fn start_decision(&self) -> Option<request_order::StartDecision> {
        let (_request, order, _started) = self.waiting.as_ref()?;
        let work = request_order::PendingWork {
            started: self.started.len(),
            last_order: self.last_order,
            sending: self.sending.is_some() || self.out.has_remaining(),
            closing: self.closing,
        };
        Some(request_order::decide_start(*order, self.phase, work))
    }

    /// Starts the waiting request if it may start, and reads the next one. Returns whether one was started.
    fn start_request(&mut self) -> bool {
        match self.start_decision() {
            None | Some(request_order::StartDecision::Wait) => false,
            Some(request_order::StartDecision::Discard) => {
                self.waiting = None;
                false
            }
            Some(request_order::StartDecision::Start) => {
                let Some((request, order, started)) = self.waiting.take() else {
                    return false;
                };
                self.last_order = order;
                self.started.push_back(started);
                self.running.push_back((self.handlers.serve)(request));
                self.read_requests();
                true
            }
        }
    }

    /// Begins the next response if the previous one is complete. Returns whether one was begun.
    fn begin_response(&mut self) -> bool {
        if self.sending.is_some() || self.closing {
            return false;
        }
        let (response, started) = match (self.ready.pop_front(), self.fault) {
            (Some(response), _) => {
                let Some(started) = self.started.pop_front() else {
                    return false;
                };
                (response, started)
            }
            (None, Some(fault)) if self.started.is_empty() && self.waiting.is_none() => {
                let answered = response_head::AnsweredRequest {
                    is_head: false,
                    is_http10: false,
                };
                let started = StartedRequest { answered, closes: true };
                ((self.handlers.reject)(fault), started)
            }
            _ => return false,
        };
        let (parts, body) = response.into_parts();
        let wanted = started.closes || request_head::has_token(&parts.headers, &header::CONNECTION, "close");
        let persistence = request_order::decide_close(wanted, self.started.len(), self.phase);
        let size = body.size_hint();
        let framing = response_head::framing(parts.status, &size, started.answered);
        self.note_output();
        response_head::encode(&mut self.out, &parts, &size, framing, persistence);
        self.sending = (framing != response_head::ResponseFraming::Empty && size.exact() != Some(0))
            .then_some(SendingResponse { body, framing });
        if persistence == request_order::Persistence::Close {
            self.close();
        }
        true
    }

    /// Discards all that was not started.
    fn close(&mut self) {
        self.closing = true;
        self.planned = None;
        self.waiting = None;
        self.fault = None;
        self.reader.end();
    }

    /// Sends `100 Continue` for the request that is being read once all earlier ones are answered.
    fn send_continue(&mut self) {
        let in_turn = self.started.is_empty() && self.sending.is_none();
        if let Some(planned) = &mut self.planned
            && planned.continue_due
            && in_turn
        {
            planned.continue_due = false;
            self.note_output();
            self.out.copy(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
    }

    /// Starts the wait for progress in sending, before output is queued.
    fn note_output(&mut self) {
        if !self.out.has_remaining() {
            self.waiting_since = time::Instant::now();
        }
    }

    fn handle_frame(&mut self, frame: Option<Result<body::Frame<Bytes>, ()>>) -> ConnectionStep {
        self.note_output();
        let Some(sending) = &mut self.sending else {
            return ConnectionStep::Continue;
        };
        match frame {
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    response_head::encode_data(&mut self.out, sending.framing, data);
                }
                ConnectionStep::Continue
            }
            Some(Err(())) if sending.framing == response_head::ResponseFraming::Close => ConnectionStep::Reset,
            // The missing end shows that the response is truncated. What was queued before it is still sent.
            Some(Err(())) => {
                self.sending = None;
                self.close();
                ConnectionStep::Continue
            }
            None => {
                response_head::encode_end(&mut self.out, sending.framing);
                self.sending = None;
                ConnectionStep::Continue
            }
        }
    }

    /// Cancels all work, since a shut-down sending side can't be told from a disconnect. Bytes of complete responses
    /// are still sent.
    fn handle_disconnect(&mut self) -> ConnectionStep {
        self.disconnected = true;
        if self.sending.is_some() || !self.started.is_empty() || !self.out.has_remaining() {
            return ConnectionStep::Abort;
        }
        self.close();
        ConnectionStep::Continue
    }

    fn handle_timer(&mut self) -> ConnectionStep {
        if self.deadline().is_none_or(|deadline| time::Instant::now() < deadline) {
            return ConnectionStep::Continue;
        }
        if self.out.has_remaining() {
            log::debug!("inbound connection closed, since the caller does not read its response");
            return ConnectionStep::Abort;
        }
        if self.is_idle() {
            return ConnectionStep::Finish;
        }
        let fault = if self.read_end().is_some_and(|end| time::Instant::now() >= end) {
            request_fault::RequestFault::Stopping
        } else if self.planned.is_some() {
            request_fault::RequestFault::BodyTimeout
        } else {
            request_fault::RequestFault::HeadTimeout
        };
        self.reject_request(fault);
        self.head_since = None;
        ConnectionStep::Continue
    }

    /// Returns the time of the next timeout, if there is one.
    fn deadline(&self) -> Option<time::Instant> {
        if self.out.has_remaining() {
            return Some(self.waiting_since + self.limits.idle_timeout);
        }
        if self.is_idle() {
            let closed = self.phase == request_order::ConnectionPhase::Closed;
            let timeout = if closed {
                CLOSED_READ_TIME
            } else {
                self.limits.idle_timeout
            };
            return Some(self.waiting_since + timeout.min(self.limits.idle_timeout));
        }
        let body = self.planned.as_ref().map(|planned| planned.body_deadline);
        let head = self.head_since.map(|since| since + self.limits.header_timeout);
        let deadline = body.or(head).filter(|_deadline| self.wants_input())?;
        Some(self.read_end().map_or(deadline, |end| end.min(deadline)))
    }

    /// Returns when a request that has not arrived completely is refused because of a planned stop.
    fn read_end(&self) -> Option<time::Instant> {
        let closed = self.phase == request_order::ConnectionPhase::Closed;
        closed.then(|| self.phase_since + CLOSED_READ_TIME)
    }
}

/// Queries.
impl<T, P, S, F: Future, R, B> Connection<'_, T, P, S, R, F, B> {
    /// Drops all but the entry in the account.
    fn into_hold(self) -> account_handle::ConnectionHold {
        self.hold
    }

    /// Returns what the connection does, for the account.
    fn stage(&self) -> byte_account::HoldStage {
        let serving = !self.started.is_empty() || self.sending.is_some() || self.waiting.is_some();
        if self.out.has_remaining() && self.running.is_empty() {
            byte_account::HoldStage::Sending
        } else if serving || self.out.has_remaining() {
            byte_account::HoldStage::Serving
        } else {
            byte_account::HoldStage::Incomplete
        }
    }

    /// Returns whether the connection waits for the start of a request and has nothing to send.
    fn is_idle(&self) -> bool {
        let reading = self.planned.is_some() || self.waiting.is_some() || self.fault.is_some();
        let answering = !self.started.is_empty() || self.sending.is_some() || self.out.has_remaining();
        !reading && !answering && self.reader.buffered() == 0
    }

    /// Returns whether the last response was sent.
    fn is_finished(&self) -> bool {
        self.closing && self.sending.is_none() && !self.out.has_remaining()
    }

    /// Returns whether more input is to be read. A connection that discards its input is read as well, so that a
    /// disconnect is noticed.
    fn wants_input(&self) -> bool {
        !self.disconnected && (self.waiting.is_none() || self.reader.buffered() < READ_AHEAD_BYTES)
    }
}

fn answered_request(parts: &request::Parts) -> response_head::AnsweredRequest {
    response_head::AnsweredRequest {
        is_head: parts.method == hyper::Method::HEAD,
        is_http10: parts.version == hyper::Version::HTTP_10,
    }
}
