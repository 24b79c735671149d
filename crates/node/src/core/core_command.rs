//! Commands to the thread that owns all decision state, and its replies.

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

/// Receiver of one reply. It runs on the core's thread, so it hands the reply over and never waits.
pub struct ReplySender<T>(Box<dyn FnOnce(T) -> ReplyStep + Send>);

/// Whether anybody waits for a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyStep {
    /// The reply was taken.
    Taken,
    /// Nobody waits.
    Gone,
}

impl<T> std::fmt::Debug for ReplySender<T> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("ReplySender").finish()
    }
}

impl<T: Send + 'static> ReplySender<T> {
    /// Wraps a function that hands the reply over.
    #[must_use]
    pub fn new(receive: impl FnOnce(T) -> ReplyStep + Send + 'static) -> Self {
        Self(Box::new(receive))
    }

    /// Returns a sender for a thread that waits.
    #[must_use]
    pub fn channel() -> (Self, mpsc::Receiver<T>) {
        let (sender, receiver) = mpsc::sync_channel(1);
        let sender = Self::new(move |reply| match sender.send(reply) {
            Ok(()) => ReplyStep::Taken,
            Err(_) => ReplyStep::Gone,
        });
        (sender, receiver)
    }

    /// Hands the reply over.
    pub fn send(self, reply: T) -> ReplyStep {
        (self.0)(reply)
    }
}

/// Command to the core.
#[derive(Debug)]
pub enum CoreCommand {
    /// A call arrived at the entry listener, or a peer forwarded it to its owner.
    Begin(Box<CallStart>, ReplySender<CallDecision>),
    /// An attempt ended without a response; another one is wanted.
    Retry(ids::CallId, AttemptResult, ReplySender<RetryDecision>),
    /// The owner of the request answered about a retry.
    Granted(ids::CallId, peer_message::GrantReply, ReplySender<RetryDecision>),
    /// A call ended; no further attempt follows.
    Finish(ids::CallId, AttemptResult, CallSummary),
    /// The caller of a call is gone.
    CallerGone(ids::CallId),
    /// A call arrived for the backend server of this daemon.
    Arrive(Box<WorkArrival>, ReplySender<WorkDecision>),
    /// Admitted work ended; the reply is the level that the path admits for its class.
    FinishWork(
        ids::CallId,
        gate_report::FinishResult,
        ReplySender<Option<call_outcome::LevelReport>>,
    ),
    /// A peer no longer waits for a call.
    CancelFromPeer(peer_message::CancelRequest),
    /// A peer asks for an attempt of a request that this daemon owns.
    Grant(peer_message::GrantRequest, ReplySender<peer_message::GrantReply>),
    /// A caller asks for a request id.
    IssueId(ReplySender<Bytes>),
    /// About the membership.
    Member(member_sync::MemberCommand),
    /// A health check of the backend server ended.
    BackendServerChecked(bool),
    /// About the copy of a slow call.
    Hedge(core_hedges::HedgeCommand),
    /// About a request that this daemon owns.
    Owner(request_owner::OwnerCommand),
    /// About the configuration.
    Config(core_config::ConfigCommand),
    /// New work is refused from now on.
    Drain,
    /// Asks for the state that shutdown and readiness depend on.
    Counts(ReplySender<NodeCounts>),
    /// Ends the core.
    Stop,
}

/// Call before any decision.
#[derive(Debug)]
pub struct CallStart {
    /// Id of the call at this daemon.
    pub call: ids::CallId,
    /// Where the call came from.
    pub origin: CallOrigin,
    /// Service that is called.
    pub service: ids::ServiceName,
    /// HTTP method.
    pub method: Bytes,
    /// Path and query as the backend server receives them.
    pub path: Bytes,
    /// Digest of the body; tells another body under the same request id.
    pub body_digest: action_key::Sha256Digest,
    /// Cancellation of the call.
    pub cancelled: call_watch::CancelFlag,
}

/// Where a call came from.
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
        /// Tenant that the caller named.
        tenant: Option<Bytes>,
        /// Deadline that the caller asked for.
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

/// What to do with a call.
#[derive(Debug)]
pub enum CallDecision {
    /// Send it there.
    Run(Box<CallPlan>),
    /// Answer that it did not run.
    Refuse {
        /// Id of the request.
        request_id: Bytes,
        /// Why.
        reason: call_outcome::RefusalReason,
    },
    /// Answer that its outcome can't be known.
    Unknown {
        /// Id of the request.
        request_id: Bytes,
        /// Why, if the ledger decided.
        reason: Option<action_step::UnknownReason>,
    },
    /// Give the kept answer of the same action.
    Answer {
        /// Id of the request.
        request_id: Bytes,
        /// Complete answer.
        answer: Box<answer_cache::StoredAnswer>,
    },
    /// Ask the keeper of the request's retries whether the call may run, and send
    /// [`request_owner::OwnerCommand::Arrived`].
    AskKeeper(ids::CallId, net::SocketAddr, peer_message::GrantRequest),
}

/// First attempt of a call and what holds for all attempts.
#[derive(Debug)]
pub struct CallPlan {
    /// Id of the call at this daemon.
    pub call: ids::CallId,
    /// Class of the call.
    pub class: call_class::CallClass,
    /// End of the remaining time.
    pub deadline: time::Instant,
    /// First attempt.
    pub attempt: AttemptPlan,
    /// Whether the owner keeps the answer; send [`request_owner::OwnerCommand::Answered`] with it.
    pub keeps_answer: bool,
}

/// One attempt of a call.
#[derive(Clone, Debug)]
pub struct AttemptPlan {
    /// Where to send it.
    pub target: core_routes::RouteTarget,
    /// Part that the receiver plays.
    pub stage: call_frame::CallStage,
    /// Context that the receiver gets.
    pub context: call_context::CallContext,
    /// Time after which a second copy may be sent.
    pub hedge_after: Option<time::Duration>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The response is complete.
    Completed {
        /// Time until the end of the response.
        latency: time::Duration,
        /// Length of its body.
        bytes: u64,
        /// Level that the path admits.
        report: Option<call_outcome::LevelReport>,
    },
    /// The call did not run.
    Refused {
        /// Why.
        reason: call_outcome::RefusalReason,
        /// Level that the path admits.
        report: Option<call_outcome::LevelReport>,
    },
    /// The connection could not be opened; the call did not run.
    NotSent,
    /// The call may have run.
    Failed,
    /// The connection fell silent; the call may have run.
    Silent,
    /// The deadline passed; the call may have run.
    Deadline,
    /// The caller is gone.
    Cancelled,
}

/// What to do after an attempt without a response.
#[derive(Debug)]
pub enum RetryDecision {
    /// Send it there.
    Again(AttemptPlan),
    /// Ask the owner of the request for a grant, and send [`CoreCommand::Granted`].
    AskOwner(net::SocketAddr, peer_message::GrantRequest),
    /// Answer with this outcome.
    GiveUp(CallEnd),
}

/// Outcome of a call as the caller gets it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The response is complete.
    Done,
    /// The call did not run.
    Refused(call_outcome::RefusalReason),
    /// The call did not complete; `Failed` or `Unknown`.
    Lost(call_outcome::CallOutcome),
    /// The caller is gone.
    Cancelled,
}

/// Figures of an ended call.
#[derive(Clone, Copy, Debug)]
pub struct CallSummary {
    /// Outcome.
    pub end: CallEnd,
    /// Attempts, from 1.
    pub attempts: u32,
}

/// Call for the backend server before admission.
#[derive(Debug)]
pub struct WorkArrival {
    /// Id of the call at this daemon; the backend server gets it as `call` in the context.
    pub call: ids::CallId,
    /// Daemon and call that wait for it.
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
    /// Cancellation of the call.
    pub cancelled: call_watch::CancelFlag,
}

/// Whether work may be dispatched.
#[derive(Clone, Copy, Debug)]
pub enum WorkDecision {
    /// Dispatch it.
    Start {
        /// Lane of the class.
        lane: call_class::CallLane,
        /// Whether the call may run more than once.
        idempotent: bool,
        /// Whether a response that ends with its connection counts as complete.
        close_delimited: bool,
    },
    /// Answer that it did not run.
    Refuse {
        /// Why.
        reason: call_outcome::RefusalReason,
        /// Level that the path admits for the class.
        report: Option<call_outcome::LevelReport>,
    },
}

/// State that shutdown and readiness depend on.
#[derive(Clone, Copy, Debug)]
pub struct NodeCounts {
    /// Calls that this daemon sends to backend servers for its callers and peers.
    pub calls: usize,
    /// Queued and running work of the local backend server.
    pub work: usize,
    /// Whether the daemon may take new calls.
    pub ready: bool,
}
