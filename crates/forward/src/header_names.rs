//! Names of the headers that callers, daemons and backend servers exchange.

use hyper::header;

/// Header names of a deployment. The code that starts the daemon supplies them.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of one attempt of a caller; a backend server echoes it.
    pub attempt_id: header::HeaderName,
    /// Time that the sender still waits, in milliseconds.
    pub deadline_ms: header::HeaderName,
    /// Signature of a backend server over its response.
    pub response_seal: header::HeaderName,
    /// Instance of the backend server that a request is meant for; any other instance rejects it.
    pub target_instance: header::HeaderName,
    /// Service beside the daemon that took the request in.
    pub caller_service: header::HeaderName,
    /// Present on responses of a backend server that did not run the request.
    pub not_executed: header::HeaderName,
}
