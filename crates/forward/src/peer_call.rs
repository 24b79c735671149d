//! Metadata of a call that daemons exchange in headers of the forwarded request and response.

use std::time;

use base64::Engine;
use damasktrack_admission::gate_report;
use damasktrack_entity::call_outcome;
use damasktrack_entity::ids;
use damasktrack_routing::completion_estimate;
use hyper::header;

use crate::server_hint;

/// Header of a forwarded request with an encoded [`CallHead`]. The entry daemon removes it from callers' requests.
pub const CALL_HEADER: header::HeaderName = header::HeaderName::from_static("damasktrack-peer-call");
/// Header of a response between daemons with an encoded [`CallReply`]. It is removed before the response reaches the
/// caller.
pub const REPLY_HEADER: header::HeaderName = header::HeaderName::from_static("damasktrack-peer-reply");

/// Header of a response between daemons with an encoded [`ReportedLoad`], if the configuration has a route with a
/// latency objective. It is not a field of [`CallReply`], since earlier builds reject a reply with more fields than
/// they know and treat the request as one that may have run.
pub const LOAD_HEADER: header::HeaderName = header::HeaderName::from_static("damasktrack-peer-load");

/// Header of a forwarded request that is the trial of a quarantined request. The entry daemon removes it from callers'
/// requests. It is not a field of [`CallHead`], which earlier builds reject with a further field.
pub const TRIAL_HEADER: header::HeaderName = header::HeaderName::from_static("damasktrack-peer-trial");

/// Metadata of a call from the entry daemon to the callee daemon.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CallHead {
    /// Service that the request is routed to; the callee daemon refuses a call for another service.
    pub service: ids::ServiceName,
    /// Name of the request's route, used as its class.
    pub class: ids::ClassName,
    /// Priority of the tenant or of the route; 0 is the most important.
    pub priority: u8,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Time left until the deadline when the call is sent.
    pub left: time::Duration,
    /// Service beside the entry daemon.
    pub caller_service: ids::ServiceName,
    /// What the entry daemon knows of the callee's backend server.
    pub hint: Option<server_hint::ServerHint>,
    /// Tenant of the caller; `None` for the default tenant, and in calls of daemons of earlier builds. Left out if it
    /// is `None`, since earlier builds reject a call with a further field.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<ids::TenantName>,
}

/// Reply of the callee daemon to a call.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CallReply {
    /// What became of the call.
    pub verdict: CallVerdict,
    /// Notices of the backend server; `None` if the callee daemon knows none.
    pub hint: Option<server_hint::ServerHint>,
}

/// Load of the backend server beside the callee daemon, for a call of the class that arrives now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ReportedLoad {
    /// Expected wait for a slot, in milliseconds.
    pub wait_ms: u16,
    /// Free slots.
    pub free: u16,
}

impl From<gate_report::GateLoad> for ReportedLoad {
    fn from(load: gate_report::GateLoad) -> Self {
        Self {
            wait_ms: u16::try_from(load.wait.as_millis()).unwrap_or(u16::MAX),
            free: u16::try_from(load.free).unwrap_or(u16::MAX),
        }
    }
}

impl From<ReportedLoad> for completion_estimate::ServerLoad {
    fn from(load: ReportedLoad) -> Self {
        Self {
            wait: time::Duration::from_millis(u64::from(load.wait_ms)),
            free: u32::from(load.free),
        }
    }
}

/// Result of a call at the callee daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum CallVerdict {
    /// The response is the backend server's.
    Answered,
    /// The request did not run and will not run later.
    NotRun(call_outcome::RefusalReason),
    /// The request was sent to the backend server, and no usable response was received.
    MayHaveRun,
}

/// Encodes a message as a header value: MessagePack in unpadded Base64.
///
/// # Errors
/// Returns an error if the message can't be encoded.
pub fn encode<T: serde::Serialize>(message: &T) -> Result<String, rmp_serde::encode::Error> {
    let bytes = rmp_serde::to_vec(message)?;
    Ok(base64::engine::general_purpose::STANDARD_NO_PAD.encode(bytes))
}

/// Decodes a header value written by [`encode`]; `None` if it is malformed.
#[must_use]
pub fn decode<T: serde::de::DeserializeOwned>(text: &[u8]) -> Option<T> {
    let bytes = base64::engine::general_purpose::STANDARD_NO_PAD.decode(text).ok()?;
    rmp_serde::from_slice(&bytes).ok()
}
