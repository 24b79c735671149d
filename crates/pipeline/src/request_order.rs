//! Which requests of a connection are started, and which response closes the connection.
//!
//! If a response closes the connection, callers treat the requests behind it as unread and send them again. Therefore a
//! request that must not run twice starts only once all earlier responses are sent, and the closing response is always
//! that of the last started request.

/// Maximum number of requests of one connection that are started and not answered. It bounds the share of a daemon that
/// one caller occupies, and the responses that are held until their turn.
pub const MAX_STARTED: usize = 8;

/// When a request may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOrder {
    /// While earlier requests run, if these are of the same kind: the request may run more than once.
    Ahead,
    /// After all earlier responses are sent: the request must not run twice.
    InTurn,
}

/// Phase of a connection; the later ones belong to a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// The connection is kept open.
    Serving,
    /// The next response that has no started request behind it closes the connection.
    Closing,
    /// As `Closing`, and what is still to come has a short time left: then an idle connection is closed, and a request
    /// that has not arrived completely is refused.
    Closed,
}

/// Requests and responses of a connection that are not finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingWork {
    /// Started requests whose response has not begun.
    pub started: usize,
    /// Order of the last started request.
    pub last_order: StartOrder,
    /// Whether a response is being sent.
    pub sending: bool,
    /// Whether the response that closes the connection has begun.
    pub closing: bool,
}

/// What to do with the next request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartDecision {
    /// Start it now.
    Start,
    /// Start it later.
    Wait,
    /// Never start it: it is behind the response that closes the connection.
    Discard,
}

/// Decides whether the next request in order of arrival starts.
#[must_use]
pub fn decide_start(order: StartOrder, phase: ConnectionPhase, work: PendingWork) -> StartDecision {
    if work.closing {
        return StartDecision::Discard;
    }
    let first = work.started == 0 && !work.sending;
    let ahead = order == StartOrder::Ahead
        && phase == ConnectionPhase::Serving
        && work.started < MAX_STARTED
        && (work.started == 0 || work.last_order == StartOrder::Ahead);
    if first || ahead {
        StartDecision::Start
    } else {
        StartDecision::Wait
    }
}

/// Whether the connection is kept open after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Persistence {
    /// Further responses follow, or further requests may follow.
    KeepOpen,
    /// The response is the last one.
    Close,
}

/// Decides whether the response that begins now closes the connection. `wanted` states that its request or its handler
/// asks for that, and `behind` is the number of started requests behind it.
#[must_use]
pub fn decide_close(wanted: bool, behind: usize, phase: ConnectionPhase) -> Persistence {
    if behind == 0 && (wanted || phase != ConnectionPhase::Serving) {
        Persistence::Close
    } else {
        Persistence::KeepOpen
    }
}
