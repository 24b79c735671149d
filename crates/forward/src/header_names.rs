//! Names of the headers that callers, daemons and backend servers exchange.

use hyper::header;

/// Header names of a deployment. The code that starts the daemon supplies them.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of one attempt of a caller. A backend server echoes it in its response.
    pub attempt_id: header::HeaderName,
    /// Remaining time that the sender waits for the response, in milliseconds.
    pub deadline_ms: header::HeaderName,
    /// Signature of the backend server over its response. A response without it is not forwarded.
    pub response_seal: header::HeaderName,
    /// Instance of the backend server that a request is addressed to; any other instance rejects it.
    pub target_instance: header::HeaderName,
    /// Service beside the entry daemon of the request.
    pub caller_service: header::HeaderName,
    /// Present on responses of a backend server that did not run the request.
    pub not_executed: header::HeaderName,
    /// Requests per second that a backend server takes from all daemons together, a decimal number.
    pub request_limit: header::HeaderName,
    /// Key of a caller. Removed from every request.
    pub credential: header::HeaderName,
    /// Name of the tenant, in requests to a backend server.
    pub tenant: header::HeaderName,
    /// `1` in the responses of a backend server that is leaving.
    pub leaving: header::HeaderName,
}
