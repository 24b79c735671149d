//! Requests to the action ledger, and the steps that it returns.

use std::time;

use damasktrack_entity::call_outcome;
use damasktrack_entity::request_identity;

use crate::action_key;
use crate::answer_cache;
use crate::claim_plan;

/// Id of a call that waits for a decision of the ledger. The node crate assigns it; it is unique among running calls.
pub type WaiterId = u64;
/// Number of a dispatch within one action, from 1. It prevents the result of an earlier dispatch from being taken for
/// that of a later one.
pub type AttemptNumber = u32;

/// Arrival of a non-idempotent call at a daemon.
#[derive(Clone, Debug)]
pub struct ActionRequest {
    /// Identity of the action.
    pub key: action_key::ActionKey,
    /// Digest of the request body.
    pub body_digest: action_key::Sha256Digest,
    /// Call that waits for the decision.
    pub waiter: WaiterId,
    /// Deadline of that call; [`ActionLedger::expire`](crate::action_ledger::ActionLedger::expire) ends its wait.
    pub deadline: time::Instant,
    /// A peer forwarded the call to this daemon as its owner; it is never forwarded again.
    pub forwarded: bool,
}

/// Next step for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ActionStep {
    /// Insert the row of the claim; the call waits for `claim_settled`.
    Claim(claim_plan::ClaimPlan),
    /// Read the row of an earlier insert whose result is not known; the call waits for `claim_settled`.
    ReadBack(claim_plan::ClaimPlan),
    /// Send the call to a backend server. The action is already recorded as dispatched; each dispatch must be ended by
    /// exactly one `finish`, even if nothing was sent.
    Dispatch(AttemptNumber),
    /// The call waits; a later [`WaiterReply`] carries its step.
    Wait,
    /// Respond with the stored answer.
    Answer(answer_cache::StoredAnswer),
    /// Forward the call to its owner. If the owner can't be reached, the outcome is unknown.
    Forward(request_identity::RequestOwner),
    /// Report the outcome as unknown.
    Unknown(UnknownReason),
    /// Refuse the call: the action did not run, and no call that has arrived so far will run it.
    Refuse(call_outcome::RefusalReason),
}

/// Step for a call that was waiting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaiterReply {
    /// Id of the call, from its [`ActionRequest`].
    pub waiter: WaiterId,
    /// Always `Dispatch`, `Answer`, `Forward`, `Unknown` or `Refuse`.
    pub step: ActionStep,
}

/// Next step of a claim after an insert or a read ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClaimStep {
    /// Next call to the table service.
    pub next: NextClaim,
    /// Steps of calls that were waiting for the claim.
    pub replies: Vec<WaiterReply>,
}

/// Next call to the table service for a claim.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum NextClaim {
    /// No call is due.
    #[default]
    Idle,
    /// Insert the row of the claim.
    Insert(claim_plan::ClaimPlan),
    /// Read the row of the claim.
    Read(claim_plan::ClaimPlan),
}

/// Result of one dispatch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ActionResult {
    /// The complete answer arrived; the ledger stores it if it is within the limits of the answer cache.
    Done(answer_cache::StoredAnswer),
    /// The complete answer arrived, but was too large to be buffered.
    DoneNotKept,
    /// No backend server received the call, or the one that did reported that it did not run.
    NotRun(call_outcome::RefusalReason),
    /// The call may have run.
    Ambiguous,
}

/// Next step after a dispatch ended. The driving call receives the result of its dispatch; the replies are those of
/// waiting repeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinishStep {
    /// The action ended, or its driver released it; deliver the replies.
    Ended(Vec<WaiterReply>),
    /// The action did not run. The driving call must call `retry` or `release` next; repeats continue to wait.
    Ready,
    /// The dispatch is no longer open: `expire` ended it, or its result was already recorded. Nothing changes.
    Stale,
}

/// Result of a request for one more dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryStep {
    /// Send the call again; the action is already recorded as dispatched.
    Dispatch(AttemptNumber),
    /// The call no longer drives the action, or its deadline has passed. The caller must call `release`, whose result
    /// gives the outcome.
    Stale,
}

/// Why an outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(derive_more::Display)]
pub enum UnknownReason {
    /// The incarnation that owned the id has ended.
    #[display("owner_gone")]
    OwnerGone,
    /// The ledger evicted the entry of the id to bound its memory.
    #[display("forgotten")]
    Forgotten,
    /// A dispatch ended without a usable result.
    #[display("ambiguous")]
    Ambiguous,
    /// The action ran; its answer was too large to store, or was evicted to bound memory.
    #[display("answer_not_kept")]
    AnswerNotKept,
    /// The claim could not be settled. This call did not run; an earlier one with the same id may have.
    #[display("store_unavailable")]
    StoreUnavailable,
    /// The row of the claim can't be decoded.
    #[display("claim_unreadable")]
    ClaimUnreadable,
    /// The deadline of the call passed while the action was running, or before its owner was known.
    #[display("deadline_passed")]
    DeadlinePassed,
    /// The id has the form of a bound id of this incarnation, which did not issue it.
    #[display("never_issued")]
    NeverIssued,
    /// The ledger has no room for a further action or waiting call, or for a further repeat of this action.
    #[display("ledger_full")]
    LedgerFull,
    /// A peer forwarded the call to a daemon that does not own its id.
    #[display("not_owner")]
    NotOwner,
}

/// Whether a refusal, which states that the action did not run, would be correct.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCheck {
    /// The action was never dispatched or did not run, and no call that has arrived can still dispatch it.
    NotRun,
    /// The action may have run or may still run; the outcome must be reported as `unknown`.
    MayHaveRun,
}
