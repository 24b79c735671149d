//! Notices about its state that a backend server puts into the headers of its responses.

use hyper::header;

use crate::header_names;

/// Requests per second.
pub type RequestRate = f64;

/// Limit on the requests that a backend server takes from all daemons together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitNotice {
    /// The server names no limit.
    #[default]
    Unlimited,
    /// Limit in requests per second; finite and not negative.
    Limited(RequestRate),
    /// The value is not a rate. An earlier limit stays in force.
    Malformed,
}

/// Notices in one response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerNotice {
    /// Limit on the server's requests, in force until a response without it.
    pub limit: LimitNotice,
    /// Whether the server is leaving, which is final for its start.
    pub leaving: bool,
}

impl ServerNotice {
    /// Reads the notices from the headers of a response.
    #[must_use]
    pub fn read(names: &header_names::HeaderNames, headers: &header::HeaderMap) -> Self {
        let limit = headers.get(&names.request_limit);
        Self {
            limit: limit.map_or(LimitNotice::Unlimited, read_limit),
            leaving: headers
                .get(&names.leaving)
                .is_some_and(|value| value.as_bytes().trim_ascii() == b"1"),
        }
    }
}

fn read_limit(value: &header::HeaderValue) -> LimitNotice {
    let rate = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    rate.filter(|rate: &RequestRate| rate.is_finite() && *rate >= 0.0)
        .map_or(LimitNotice::Malformed, LimitNotice::Limited)
}
