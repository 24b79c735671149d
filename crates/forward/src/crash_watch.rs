//! Calls in flight at the backend server, and the detection of its end.
//!
//! A server that ends closes all its connections and refuses new ones. One that only closes a connection, as after a
//! lost response, keeps others or accepts new ones.

use std::cell;
use std::rc;
use std::time;

use damasktrack_quarantine::request_digest;
use tokio::task;

use crate::call_identity;
use crate::forward_core;
use crate::http_link;
use crate::node_context;

/// Pauses before the connections are looked at again. Their ends arrive one after the other, and a busy process handles
/// them late.
const SETTLE_PAUSES: [time::Duration; 3] = [
    time::Duration::from_millis(10),
    time::Duration::from_millis(40),
    time::Duration::from_millis(150),
];
/// Time after which a call that ended without a response is no longer related to the crash of the server.
const LOST_CALL_LIFETIME: time::Duration = time::Duration::from_secs(1);
/// As [`LOST_CALL_LIFETIME`], for calls whose connections all broke while the server's address accepts new ones. A server
/// that has started again says so with its next heartbeat.
const UNEXPLAINED_LIFETIME: time::Duration = time::Duration::from_secs(10);

/// Call that ended without a response of the server.
#[derive(Clone, Copy, Debug)]
struct LostCall {
    digest: request_digest::RequestDigest,
    at: time::Instant,
    /// Start of the server that got the call, in milliseconds since 1970.
    started_ms: u64,
}

/// Calls that run at the backend server, and those that lately ended without a response.
#[derive(Debug, Default)]
pub struct CrashWatch {
    /// Times at which the running calls were sent, in no order.
    running: cell::RefCell<Vec<time::Instant>>,
    /// In the order of their ends.
    lost: cell::RefCell<Vec<LostCall>>,
    /// Calls whose connections all broke, although the server's address accepts new ones. It may have ended and started
    /// again while this process was suspended.
    unexplained: cell::RefCell<Vec<LostCall>>,
    /// Whether a check runs.
    checking: cell::Cell<bool>,
}

/// Identity of a call's request.
#[derive(Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "most calls end with the large variant, and a box would be allocated for each"
)]
enum TicketIdentity {
    /// Its parts, with the body.
    Parts(call_identity::CallIdentity),
    /// Its digest.
    Digest(request_digest::RequestDigest),
}

/// Call at the backend server. Dropping it without [`Self::complete`] or [`Self::discard`] counts as a crash without a
/// response.
#[derive(Debug)]
pub struct CallTicket {
    node: rc::Rc<node_context::NodeContext>,
    identity: TicketIdentity,
    sent: time::Instant,
    started_ms: u64,
    finished: bool,
}

/// Begins to watch a call that is sent now to the server with this start, in milliseconds since 1970.
#[must_use]
pub fn begin(
    node: &rc::Rc<node_context::NodeContext>,
    identity: call_identity::CallIdentity,
    started_ms: u64,
) -> CallTicket {
    let sent = time::Instant::now();
    node.crash_watch.running.borrow_mut().push(sent);
    CallTicket {
        node: rc::Rc::clone(node),
        identity: TicketIdentity::Parts(identity),
        sent,
        started_ms,
        finished: false,
    }
}

impl CallTicket {
    /// Ends the watch of a call that the server completed.
    pub fn complete(self) {
        self.node.quarantine.note_completed(self.digest());
        self.discard();
    }

    /// Releases the body of the request, which the server has read.
    pub fn release_body(&mut self) {
        self.identity = TicketIdentity::Digest(self.digest());
    }

    /// Ends the watch of a call that says nothing about its request: the server didn't run it, or its response was
    /// unusable.
    pub fn discard(mut self) {
        self.finished = true;
    }

    /// Ends the watch of a call whose connection broke, which may be the crash of the server.
    pub fn lose(self) {
        let node = rc::Rc::clone(&self.node);
        drop(self);
        task::spawn_local(check(node));
    }
}

impl CallTicket {
    fn digest(&self) -> request_digest::RequestDigest {
        match &self.identity {
            TicketIdentity::Parts(identity) => identity.digest(),
            TicketIdentity::Digest(digest) => *digest,
        }
    }
}

impl Drop for CallTicket {
    fn drop(&mut self) {
        let watch = &self.node.crash_watch;
        let mut running = watch.running.borrow_mut();
        if let Some(position) = running.iter().position(|sent| *sent == self.sent) {
            running.swap_remove(position);
        }
        if !self.finished {
            let at = time::Instant::now();
            let digest = self.digest();
            let mut lost = watch.lost.borrow_mut();
            lost.retain(|call| at.saturating_duration_since(call.at) < LOST_CALL_LIFETIME);
            lost.push(LostCall {
                digest,
                at,
                started_ms: self.started_ms,
            });
        }
    }
}

/// Whether the backend server has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServerEnd {
    Ended,
    Runs,
    /// A connection that was open before the first lost one still is, so far.
    Unsettled,
}

/// Checks, after a connection to the backend server failed with a call in flight or was refused, whether the server has
/// ended, and records its end.
pub async fn check(node: rc::Rc<node_context::NodeContext>) {
    if node.crash_watch.lost.borrow().is_empty() || node.crash_watch.checking.replace(true) {
        return;
    }
    let first_lost = time::Instant::now();
    let mut end = ServerEnd::Unsettled;
    for pause in SETTLE_PAUSES {
        tokio::time::sleep(pause).await;
        end = observe_end(&node, first_lost).await;
        if end != ServerEnd::Unsettled {
            break;
        }
    }
    if end == ServerEnd::Unsettled && !node.server.has_open_idle() {
        // A response that its caller reads slowly ends late.
        end = probe_server(&node).await;
    }
    node.crash_watch.checking.set(false);
    let now = time::Instant::now();
    let mut lost = std::mem::take(&mut *node.crash_watch.lost.borrow_mut());
    lost.retain(|call| now.saturating_duration_since(call.at) < LOST_CALL_LIFETIME);
    // The exit of a server that announced it interrupts calls for no fault of theirs.
    let planned = node.core.ask(|core, _now| core.server().serving().is_none());
    match end {
        ServerEnd::Ended => {
            node.core.ask(forward_core::ForwardCore::server_refused);
            record_end(&node, &lost, planned);
        }
        ServerEnd::Runs if !planned => {
            node.crash_watch.unexplained.borrow_mut().extend(lost);
            review(&node);
        }
        ServerEnd::Runs | ServerEnd::Unsettled => {}
    }
}

/// Records the crash of an earlier start of the server, if calls that it got have no other explanation. Due after
/// heartbeats.
pub fn review(node: &rc::Rc<node_context::NodeContext>) {
    let mut unexplained = node.crash_watch.unexplained.borrow_mut();
    if unexplained.is_empty() {
        return;
    }
    let now = time::Instant::now();
    unexplained.retain(|call| now.saturating_duration_since(call.at) < UNEXPLAINED_LIFETIME);
    let report = |core: &mut forward_core::ForwardCore, _now| core.server().report().map(|report| report.started_ms);
    let Some(started_ms) = node.core.ask(report) else {
        return;
    };
    let (ended, others): (Vec<_>, Vec<_>) = unexplained.iter().partition(|call| call.started_ms < started_ms);
    *unexplained = others;
    drop(unexplained);
    if !ended.is_empty() {
        record_end(node, &ended, false);
    }
}

async fn observe_end(node: &node_context::NodeContext, first_lost: time::Instant) -> ServerEnd {
    let is_older = |sent: &time::Instant| *sent < first_lost;
    if node.server.has_open_idle() || node.crash_watch.running.borrow().iter().any(is_older) {
        return ServerEnd::Unsettled;
    }
    probe_server(node).await
}

async fn probe_server(node: &node_context::NodeContext) -> ServerEnd {
    match node.server.probe().await {
        http_link::ProbeResult::Refused => ServerEnd::Ended,
        http_link::ProbeResult::Accepted | http_link::ProbeResult::Unknown => ServerEnd::Runs,
    }
}

fn record_end(node: &rc::Rc<node_context::NodeContext>, lost: &[LostCall], planned: bool) {
    let mut requests: Vec<_> = lost.iter().map(|call| call.digest).collect();
    requests.sort_unstable();
    requests.dedup();
    node.metrics.count_server_end(planned);
    let digests: Vec<_> = requests.iter().map(|digest| format!("{digest:032x}")).collect();
    log::warn!(
        planned = planned, calls = lost.len(), requests = digests.join(" ");
        "backend server ended with calls in flight"
    );
    if !planned && !requests.is_empty() {
        node.record_crash(requests);
    }
}
