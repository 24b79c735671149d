//! Reasons for which a request is rejected before it is handled.

/// Why a request was not read completely. The connection ends behind the response, since the start of a further request
/// is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive_more::Display)]
pub enum RequestFault {
    /// The head or the framing of the body violates the protocol.
    #[display("malformed request")]
    Malformed,
    /// The head is longer than the limit or has too many headers.
    #[display("request head too large")]
    HeadTooLarge,
    /// The body is longer than the limit.
    #[display("request body too large")]
    BodyTooLarge,
    /// The body has a transfer coding other than `chunked`.
    #[display("transfer coding not supported")]
    UnsupportedCoding,
    /// The head did not arrive in time.
    #[display("request head did not arrive in time")]
    HeadTimeout,
    /// The body did not arrive in time.
    #[display("request body did not arrive in time")]
    BodyTimeout,
    /// A planned stop left no time to wait for the end of the request. It did not run and will not run later.
    #[display("stopping before the end of the request arrived")]
    Stopping,
    /// The process holds as many bytes or connections as it may. The request did not run and will not run later.
    #[display("no memory for the request")]
    NoRoom,
}

impl RequestFault {
    /// Returns the status of the response.
    #[must_use]
    pub fn status(self) -> hyper::StatusCode {
        match self {
            Self::Malformed => hyper::StatusCode::BAD_REQUEST,
            Self::HeadTooLarge => hyper::StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => hyper::StatusCode::PAYLOAD_TOO_LARGE,
            Self::UnsupportedCoding => hyper::StatusCode::NOT_IMPLEMENTED,
            Self::HeadTimeout | Self::BodyTimeout => hyper::StatusCode::REQUEST_TIMEOUT,
            Self::Stopping | Self::NoRoom => hyper::StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}
