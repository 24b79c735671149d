//! What the action ledger tells its caller to do next.

use std::time;

use damasktrack_entity::call_outcome;
use damasktrack_entity::request_identity;

use crate::action_key;
use crate::answer_cache;
use crate::claim_plan;

/// Id of a call that waits for a decision of the ledger; the node crate chooses it, unique among its running calls.
pub type WaiterId = u64;
/// Number of a dispatch within one action, from 1. It tells the result of one dispatch from that of another.
pub type AttemptNumber = u32;

/// Arrival of a non-idempotent call at a daemon.
#[derive(Clone, Debug)]
pub struct ActionRequest {
    /// Identity of the action.
    pub key: action_key::ActionKey,
    /// Digest of the request body.
    pub digest: action_key::Sha256Digest,
    /// Call that waits for the decision.
    pub waiter: WaiterId,
    /// Deadline of that call.
    pub deadline: time::Instant,
    /// A peer sent the call here as to its owner; it is never forwarded once more.
    pub forwarded: bool,
}

/// What becomes of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ActionStep {
    /// Insert the row; the call waits for `claim_settled`.
    Claim(claim_plan::ClaimPlan),
    /// Read the row of an earlier insert whose answer was lost; the call waits for `claim_settled`.
    ReadBack(claim_plan::ClaimPlan),
    /// Send the call to a backend server. The action is already recorded as dispatched; each dispatch ends with one
    /// `finish`, also if nothing was sent.
    Dispatch(AttemptNumber),
    /// The call waits; a later step or `expire` names its waiter.
    Wait,
    /// Give the stored answer.
    Answer(answer_cache::StoredAnswer),
    /// Send the call to its owner. If the owner can't be reached, the outcome is unknown.
    Forward(request_identity::RequestOwner),
    /// The outcome is unknown.
    Unknown(UnknownReason),
    /// The action did not run, and no call that arrived before now will run it.
    Refuse(call_outcome::RefusalReason),
}

/// Step for a call that waited.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaiterReply {
    /// The call.
    pub waiter: WaiterId,
    /// `Dispatch`, `Answer`, `Forward`, `Unknown` or `Refuse`.
    pub step: ActionStep,
}

/// What to do about a claim after its result is known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClaimStep {
    /// Next call to the table service.
    pub next: NextClaim,
    /// Steps of calls that waited for the claim.
    pub replies: Vec<WaiterReply>,
}

/// Next call to the table service for a claim.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum NextClaim {
    /// None.
    #[default]
    Idle,
    /// Insert the row.
    Insert(claim_plan::ClaimPlan),
    /// Read the row.
    Read(claim_plan::ClaimPlan),
}

/// Result of one dispatch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ActionResult {
    /// The complete answer arrived; the ledger keeps it if it is small enough.
    Done(answer_cache::StoredAnswer),
    /// The complete answer arrived and was too large to be collected.
    DoneNotKept,
    /// No backend server received the call, or the one that did reported that it did not run.
    NotRun(call_outcome::RefusalReason),
    /// The call may have run.
    Ambiguous,
}

/// What to do after a dispatch ended. The dispatching call itself is answered by its own result; repeats are in
/// `replies`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinishStep {
    /// The action ended; give the replies.
    Ended(Vec<WaiterReply>),
    /// The action did not run. The dispatching call now calls `retry` or `release`; repeats go on waiting for it.
    Ready,
    /// The ledger no longer knows this dispatch: its action was ended by `expire`. Nothing changes.
    Stale,
}

/// Answer to a request for one more dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryStep {
    /// Send the call once more; the action is recorded as dispatched.
    Dispatch(AttemptNumber),
    /// The call no longer drives the action, or its deadline has passed. It calls `release` to learn its outcome.
    Stale,
}

/// Why an outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(derive_more::Display)]
pub enum UnknownReason {
    /// The incarnation that owned the id has ended.
    #[display("owner_gone")]
    OwnerGone,
    /// The ledger forgot the id to bound its memory.
    #[display("forgotten")]
    Forgotten,
    /// A dispatch ended without a usable result.
    #[display("ambiguous")]
    Ambiguous,
    /// The action ran; its answer was too large to keep, or was dropped to bound memory.
    #[display("answer_not_kept")]
    AnswerNotKept,
    /// The claim could not be settled. This call did not run; an earlier one with the same id may have.
    #[display("store_unavailable")]
    StoreUnavailable,
    /// The row of the claim can't be read.
    #[display("claim_unreadable")]
    ClaimUnreadable,
    /// The call's deadline passed while the action was running, or before its owner was known.
    #[display("deadline_passed")]
    DeadlinePassed,
    /// The id has the form of an issued one and was not issued.
    #[display("never_issued")]
    NeverIssued,
    /// The ledger has no room for a further running action, or for a further repeat of this one.
    #[display("ledger_full")]
    LedgerFull,
    /// A peer sent the call to a daemon that does not own it.
    #[display("not_owner")]
    NotOwner,
}

/// Whether a refusal of a call with this id would be true.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCheck {
    /// Nothing was dispatched for the action, and no running call can still dispatch it.
    NotRun,
    /// The action may have run or may still run: report `unknown` instead.
    MayHaveRun,
}
