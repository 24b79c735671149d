//! Responses that the entry daemon generates when there is no backend server's response to forward.

use std::time;

use bytes::Bytes;
use damasktrack_entity::call_outcome;
use damasktrack_pipeline::request_fault;
use damasktrack_quarantine::request_digest;
use hyper::header;
use rand::RngExt;

use crate::message_body;
use crate::quota_gate;
use crate::quota_view;

/// Range of the `Retry-After` values, from which each is drawn at random to spread the retries of refused callers.
const RETRY_AFTER_SECONDS: std::ops::Range<f64> = 0.3..0.9;

/// Reason for a response of this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalReply {
    /// The request names no host.
    BadRequest,
    /// The request has no known key and needs one.
    Unauthorized,
    /// The key can't be checked, since the configuration was not confirmed recently.
    Unconfirmed,
    /// No route matches.
    NoRoute,
    /// The request was not read completely.
    Rejected(request_fault::RequestFault),
    /// The tenant is above its quota.
    OverQuota(quota_gate::QuotaRefusal),
    /// The request did not run and will not run later.
    NotRun(call_outcome::RefusalReason),
    /// The request crashed the servers that ran it before. It did not run and will not run later.
    Quarantined {
        /// Time after which it is tried again if it doesn't come meanwhile.
        hold: time::Duration,
        /// The request.
        digest: request_digest::RequestDigest,
    },
    /// The request may have run.
    MayHaveRun,
    /// No response by the deadline.
    Timeout,
}

impl LocalReply {
    /// Returns the status of the response.
    #[must_use]
    pub fn status(self) -> hyper::StatusCode {
        match self {
            Self::BadRequest => hyper::StatusCode::BAD_REQUEST,
            Self::Unauthorized => hyper::StatusCode::UNAUTHORIZED,
            Self::NoRoute => hyper::StatusCode::NOT_FOUND,
            Self::OverQuota(_) => hyper::StatusCode::TOO_MANY_REQUESTS,
            Self::Rejected(fault) => fault.status(),
            Self::Unconfirmed | Self::NotRun(_) | Self::Quarantined { .. } => hyper::StatusCode::SERVICE_UNAVAILABLE,
            Self::MayHaveRun => hyper::StatusCode::BAD_GATEWAY,
            Self::Timeout => hyper::StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns whether the request did not run and will not run later.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun(_) | Self::Quarantined { .. })
    }

    /// Returns the reason for the log.
    #[must_use]
    pub fn text(self) -> String {
        match self {
            Self::BadRequest => "malformed request".to_owned(),
            Self::Unauthorized => "unknown or missing key".to_owned(),
            Self::Unconfirmed => "configuration not confirmed".to_owned(),
            Self::OverQuota(refusal) => {
                format!("above the quota, credits: {}", quota_view::origin_text(refusal.origin))
            }
            Self::NoRoute => "no route".to_owned(),
            Self::Rejected(fault) => fault.to_string(),
            Self::NotRun(reason) => reason.to_string(),
            Self::Quarantined { digest, .. } => {
                format!("{}, digest {digest:032x}", call_outcome::RefusalReason::Quarantined)
            }
            Self::MayHaveRun => "no usable response".to_owned(),
            Self::Timeout => "timeout".to_owned(),
        }
    }

    /// Returns the outcome for metrics.
    #[must_use]
    pub fn outcome_label(self) -> &'static str {
        match self {
            Self::BadRequest | Self::Rejected(_) => "rejected",
            Self::Unauthorized => "unauthorized",
            Self::OverQuota(_) => "over_quota",
            Self::NoRoute => "no_route",
            Self::Unconfirmed | Self::NotRun(_) | Self::Quarantined { .. } => "refused",
            Self::MayHaveRun => "failed",
            Self::Timeout => "timeout",
        }
    }

    /// Returns the response. A refusal that a caller may repeat has `Retry-After`.
    #[must_use]
    pub fn response(self) -> hyper::Response<message_body::ReplyBody> {
        let mut response = hyper::Response::new(message_body::ReplyBody::whole(Bytes::new()));
        *response.status_mut() = self.status();
        let seconds = match self {
            Self::OverQuota(refusal) => Some(refusal.wait.as_secs_f64()),
            Self::Quarantined { hold, .. } => Some(hold.as_secs_f64()),
            Self::NotRun(_)
            | Self::Unconfirmed
            | Self::Rejected(request_fault::RequestFault::Stopping | request_fault::RequestFault::NoRoom) => {
                Some(rand::rng().random_range(RETRY_AFTER_SECONDS))
            }
            _ => None,
        };
        if let Some(seconds) = seconds
            && let Ok(value) = header::HeaderValue::try_from(format!("{seconds:.2}"))
        {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        response
    }
}
