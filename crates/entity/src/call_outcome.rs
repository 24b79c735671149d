//! What became of a call, and why a call was refused.

use std::time;

use crate::admission_level;

/// What became of a call, as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize, derive_more::Display)]
pub enum CallOutcome {
    /// The backend server's complete answer was passed on, whatever its status.
    #[display("done")]
    Done,
    /// The call did not run: no backend server received it, or the one that did reported that it did not run.
    #[display("refused")]
    Refused,
    /// An idempotent call ran, or may have run, and did not complete.
    #[display("failed")]
    Failed,
    /// A non-idempotent call may have run; its answer can't be given.
    #[display("unknown")]
    Unknown,
}

/// Why a call was refused without running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize, derive_more::Display)]
pub enum RefusalReason {
    /// The call's level is below the level that the path admits.
    #[display("overloaded")]
    Overloaded,
    /// The admission queue was full, or the call waited in it for too long.
    #[display("queue full")]
    QueueFull,
    /// The remaining deadline is too short for the call to complete.
    #[display("deadline too short")]
    DeadlineTooShort,
    /// The caller went away before the call was dispatched.
    #[display("cancelled")]
    Cancelled,
    /// The tenant exceeded its share.
    #[display("tenant over its share")]
    TenantOverShare,
    /// The server is leaving and takes no new work.
    #[display("server leaving")]
    Leaving,
    /// The server is starting and takes no work yet.
    #[display("server starting")]
    Starting,
    /// The backend server is down, or refused the connection.
    #[display("backend server unavailable")]
    BackendServerDown,
    /// The backend server itself reported that the call did not run.
    #[display("shed by backend server")]
    ShedByBackendServer,
    /// No known server can take the call.
    #[display("no candidate")]
    NoCandidate,
    /// The platform's store is needed to run this action safely, and it can't be reached.
    #[display("store unavailable")]
    StoreUnavailable,
    /// The request has spent its retries, or their keeper can't be asked.
    #[display("retry allowance spent")]
    AllowanceSpent,
    /// The chain is deeper than its declared limit.
    #[display("chain too deep")]
    TooDeep,
    /// The service, class or route is not declared.
    #[display("not declared")]
    NotDeclared,
    /// Another request body was sent under the same request id.
    #[display("request id reused with another body")]
    BodyMismatch,
    /// Calls that the backend server makes for requests of this class fail too often.
    #[display("calls below fail")]
    CallsBelowFail,
}

/// What a caller does after a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalAdvice {
    /// Another server may take the call at once, within the retry allowance.
    TryElsewhere,
    /// Retrying now would add to an overload or cannot succeed.
    GiveUp,
}

impl RefusalReason {
    /// Returns whether another server may be tried for the same attempt.
    #[must_use]
    pub fn advice(self) -> RefusalAdvice {
        match self {
            Self::Leaving | Self::Starting | Self::BackendServerDown | Self::ShedByBackendServer => {
                RefusalAdvice::TryElsewhere
            }
            Self::Overloaded
            | Self::QueueFull
            | Self::DeadlineTooShort
            | Self::Cancelled
            | Self::TenantOverShare
            | Self::NoCandidate
            | Self::StoreUnavailable
            | Self::AllowanceSpent
            | Self::TooDeep
            | Self::NotDeclared
            | Self::BodyMismatch
            | Self::CallsBelowFail => RefusalAdvice::GiveUp,
        }
    }
}

/// Lowest level that a path admits for one class, as an answer reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LevelReport {
    /// Worst level of the callee and of what its backend server met below it for the same class.
    pub level: admission_level::AdmissionLevel,
    /// Time since the level was observed at the server that set it.
    pub age: time::Duration,
}
