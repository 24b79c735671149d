//! Commands to the core, which is the thread that owns all decision state, and its replies.

use std::net;
use std::sync::mpsc;
use std::time;

use bytes::Bytes;
use damasktrack_admission::gate_report;
use damasktrack_entity::call_context;
use damasktrack_entity::call_outcome;
use damasktrack_entity::ids;
use damasktrack_entity::request_identity;
use damasktrack_ownership::action_key;
use damasktrack_ownership::action_step;
use damasktrack_ownership::answer_cache;
use damasktrack_wire::call_frame;
use damasktrack_wire::peer_message;

use crate::call::call_class;
use crate::call::call_watch;
use crate::core::core_config;
use crate::core::core_hedges;
use crate::core::core_routes;
use crate::core::member_sync;
use crate::core::request_owner;

/// Function that delivers one reply. It runs on the thread of the core, so it must not block.
pub struct ReplySender<T>(Box<dyn FnOnce(T) -> ReplyStep + Send>);

/// Whether a reply was delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyStep {
    /// The reply was passed to the receiver.
    Delivered,
    /// The receiver no longer exists; the reply was dropped.
    Dropped,
}

impl<T> std::fmt::Debug for ReplySender<T> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("ReplySender").finish()
    }
}

impl<T: Send + 'static> ReplySender<T> {
    /// Wraps a function that delivers the reply. It must not block.
    #[must_use]
    pub fn new(receive: impl FnOnce(T) -> ReplyStep + Send + 'static) -> Self {
        Self(Box::new(receive))
    }

    /// Returns a sender and the channel on which a thread can wait for the reply. The channel closes without a reply if
    /// the core stops first.
    #[must_use]
    pub fn channel() -> (Self, mpsc::Receiver<T>) {
        let (sender, receiver) = mpsc::sync_channel(1);
        let sender = Self::new(move |reply| match sender.send(reply) {
            Ok(()) => ReplyStep::Delivered,
            Err(_) => ReplyStep::Dropped,
        });
        (sender, receiver)
    }

    /// Delivers the reply.
    pub fn send(self, reply: T) -> ReplyStep {
        (self.0)(reply)
    }
}

/// Command to the core.
#[derive(Debug)]
pub enum CoreCommand {
    /// A call arrived at the entry listener, or a peer forwarded it to its owner.
    Begin(Box<CallStart>, ReplySender<CallDecision>),
    /// An attempt ended without a response; requests a retry.
    Retry(ids::CallId, AttemptResult, ReplySender<RetryDecision>),
    /// The peer that holds the retry ledger of the request replied to the grant request for a retry.
    Granted(ids::CallId, peer_message::GrantReply, ReplySender<RetryDecision>),
    /// A call ended; no further attempt follows.
    Finish(ids::CallId, AttemptResult, CallSummary),
    /// The caller of a call disconnected.
    CallerDisconnected(ids::CallId),
    /// A call arrived for the backend server of this daemon.
    Arrive(Box<WorkArrival>, ReplySender<WorkDecision>),
    /// Admitted work ended; the reply is the level that the path admits for its class.
    FinishWork(
        ids::CallId,
        gate_report::FinishResult,
        ReplySender<Option<call_outcome::LevelReport>>,
    ),
    /// A peer cancelled a call that it had sent.
    CancelFromPeer(peer_message::CancelRequest),
    /// A peer requests the grant of an attempt from this daemon, which holds the retry ledger of the request.
    Grant(peer_message::GrantRequest, ReplySender<peer_message::GrantReply>),
    /// A caller requests a request id.
    IssueId(ReplySender<Bytes>),
    /// Command about the membership.
    Member(member_sync::MemberCommand),
    /// State of the backend server after a health check; true if it is up.
    BackendServerChecked(bool),
    /// Command about the hedge of a slow call.
    Hedge(core_hedges::HedgeCommand),
    /// Command about a request that this daemon owns.
    Owner(request_owner::OwnerCommand),
    /// Command about the configuration.
    Config(core_config::ConfigCommand),
    /// Begins the planned stop: from now on new calls are refused.
    Drain,
    /// Requests the state that shutdown and readiness depend on.
    Counts(ReplySender<NodeCounts>),
    /// Ends the core. Later commands and open replies are dropped.
    Stop,
}

/// Call on which no decision has been made.
#[derive(Debug)]
pub struct CallStart {
    /// Id of the call at this daemon.
    pub call: ids::CallId,
    /// Origin of the call, which determines its context.
    pub origin: CallOrigin,
    /// Service that is called.
    pub service: ids::ServiceName,
    /// HTTP method.
    pub method: Bytes,
    /// Path and query as the backend server receives them.
    pub path: Bytes,
    /// Digest of the body, by which a repeat of the request id with another body is detected.
    pub body_digest: action_key::Sha256Digest,
    /// Cancellation flag of the call.
    pub cancelled: call_watch::CancelFlag,
}

/// Origin of a call.
#[derive(Debug)]
pub enum CallOrigin {
    /// A caller or the local backend server.
    Caller {
        /// Context header, if one was sent and could be read.
        context: Option<call_context::CallContext>,
        /// Whether the connection comes from the loopback address.
        loopback: bool,
        /// Request id that the caller sent.
        request_id: Option<Bytes>,
        /// Tenant that the caller sent.
        tenant: Option<Bytes>,
        /// Time limit that the caller sent.
        timeout: Option<time::Duration>,
    },
    /// A peer that does not own the request.
    Peer {
        /// Context as the peer sent it.
        context: call_context::CallContext,
        /// Daemon and call at the peer, for cancellation.
        sender: (request_identity::RequestOwner, ids::CallId),
    },
}

/// Decision about a call.
#[derive(Debug)]
pub enum CallDecision {
    /// Send the call as planned.
    Run(Box<CallPlan>),
    /// Respond that the call did not run.
    Refuse {
        /// Id of the request, which is reported to the caller.
        request_id: Bytes,
        /// Reason of the refusal.
        reason: call_outcome::RefusalReason,
    },
    /// Respond that the outcome of the call is unknown.
    Unknown {
        /// Id of the request, which is reported to the caller.
        request_id: Bytes,
        /// Reason, if the decision came from the action ledger.
        reason: Option<action_step::UnknownReason>,
    },
    /// Respond with the stored answer of the same action.
    Answer {
        /// Id of the request, which is reported to the caller.
        request_id: Bytes,
        /// Complete answer.
        answer: Box<answer_cache::StoredAnswer>,
    },
    /// Request a grant for the arrival of the call from the peer that holds the retry ledger of the request, and send
    /// the reply with [`request_owner::OwnerCommand::ArrivalGranted`].
    RequestGrant(ids::CallId, net::SocketAddr, peer_message::GrantRequest),
}

/// First attempt of a call, and the properties that all its attempts share.
#[derive(Debug)]
pub struct CallPlan {
    /// Id of the call at this daemon.
    pub call: ids::CallId,
    /// Class of the call.
    pub class: call_class::CallClass,
    /// End of the remaining time.
    pub deadline: time::Instant,
    /// First attempt; retries follow from [`RetryDecision`].
    pub attempt: AttemptPlan,
    /// Whether the action ledger stores the answer, which has to be sent with
    /// [`request_owner::OwnerCommand::Answered`].
    pub keeps_answer: bool,
}

/// One attempt of a call.
#[derive(Clone, Debug)]
pub struct AttemptPlan {
    /// Server to which the attempt is sent.
    pub target: core_routes::RouteTarget,
    /// Role of the receiver: owner or callee.
    pub stage: call_frame::CallStage,
    /// Context that is sent to the receiver.
    pub context: call_context::CallContext,
    /// Time after which a hedge may be sent; `None` if the attempt is not hedged.
    pub hedge_after: Option<time::Duration>,
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The response is complete.
    Completed {
        /// Time from the start of the attempt to the end of the response.
        latency: time::Duration,
        /// Length of the response body, in bytes.
        bytes: u64,
        /// Level that the path admits.
        report: Option<call_outcome::LevelReport>,
    },
    /// The call did not run.
    Refused {
        /// Reason of the refusal.
        reason: call_outcome::RefusalReason,
        /// Level that the path admits.
        report: Option<call_outcome::LevelReport>,
    },
    /// The connection could not be opened; the call did not run.
    NotSent,
    /// The call may have run.
    Failed,
    /// Nothing arrived on the connection for too long; the call may have run.
    Silent,
    /// The deadline passed; the call may have run.
    Deadline,
    /// The call was cancelled.
    Cancelled,
}

/// Decision after an attempt without a response.
#[derive(Debug)]
pub enum RetryDecision {
    /// Send the call again as planned.
    Again(AttemptPlan),
    /// Request a grant from the peer that holds the retry ledger of the request, and send the reply with
    /// [`CoreCommand::Granted`].
    RequestGrant(net::SocketAddr, peer_message::GrantRequest),
    /// Respond with this outcome.
    GiveUp(CallEnd),
}

/// Outcome of a call as it is reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The response is complete.
    Done,
    /// The call did not run.
    Refused(call_outcome::RefusalReason),
    /// The call may have run and has no complete response; `Failed` or `Unknown`.
    Incomplete(call_outcome::CallOutcome),
    /// The call was cancelled.
    Cancelled,
}

/// Summary of an ended call.
#[derive(Clone, Copy, Debug)]
pub struct CallSummary {
    /// Outcome that was reported to the caller.
    pub end: CallEnd,
    /// Number of attempts, with a hedge that replaced one; 0 if the call ended before its first attempt.
    pub attempts: u32,
}

/// Call for the backend server before admission.
#[derive(Debug)]
pub struct WorkArrival {
    /// Id of the call at this daemon; the backend server gets it as `call` in the context.
    pub call: ids::CallId,
    /// Sender of the call: the daemon that waits for it, and the id of the call there.
    pub sender: (request_identity::RequestOwner, ids::CallId),
    /// Service that is called.
    pub service: ids::ServiceName,
    /// HTTP method.
    pub method: Bytes,
    /// Path and query.
    pub path: Bytes,
    /// Context of the chain.
    pub context: call_context::CallContext,
    /// End of the remaining time, by this daemon's clock.
    pub deadline: time::Instant,
    /// Cancellation flag of the call.
    pub cancelled: call_watch::CancelFlag,
}

/// Decision about work that arrived.
#[derive(Clone, Copy, Debug)]
pub enum WorkDecision {
    /// Send the work to the backend server.
    Start {
        /// Lane of the class.
        lane: call_class::CallLane,
        /// Whether the call may run more than once.
        idempotent: bool,
        /// Whether a response that ends with its connection counts as complete.
        close_delimited: bool,
    },
    /// Respond that the call did not run.
    Refuse {
        /// Reason of the refusal.
        reason: call_outcome::RefusalReason,
        /// Level that the path admits for the class.
        report: Option<call_outcome::LevelReport>,
    },
}

/// State that shutdown and readiness depend on.
#[derive(Clone, Copy, Debug)]
pub struct NodeCounts {
    /// Calls of callers and peers that this daemon sends to backend servers, or that wait for a decision.
    pub calls: usize,
    /// Queued and running work of the local backend server.
    pub work: usize,
    /// Whether the daemon accepts new calls.
    pub ready: bool,
}
