//! At-most-once execution and retries of the requests that this daemon owns.

use std::collections;
use std::sync;
use std::sync::mpsc;
use std::time;

use bytes::Bytes;
use damasktrack_entity::call_outcome;
use damasktrack_entity::ids;
use damasktrack_entity::request_identity;
use damasktrack_ownership::action_key;
use damasktrack_ownership::action_ledger;
use damasktrack_ownership::action_step;
use damasktrack_ownership::answer_archive;
use damasktrack_ownership::answer_cache;
use damasktrack_ownership::claim_plan;
use damasktrack_ownership::retry_ledger;

use crate::core::core_calls;
use crate::core::core_command;

/// Maximum number of calls to the store that wait for a worker. Beyond it a claim counts as not sent, and an answer is
/// not archived.
const MAX_STORE_JOBS: usize = 1024;

/// Command about a request that this daemon owns.
#[derive(Debug)]
pub enum OwnerCommand {
    /// An insert or a read of a claim ended.
    ClaimSettled {
        /// Request id of the claim.
        request_id: Bytes,
        /// Token of the claim that was inserted or read.
        token: claim_plan::ClaimToken,
        /// Result of the insert or read.
        result: claim_plan::ClaimResult,
    },
    /// The complete answer of a call; sent before the call's `Finish`.
    Answered(ids::CallId, Box<answer_cache::StoredAnswer>),
    /// The peer that holds the retry ledger of a request replied to the grant request for the arrival of a call.
    ArrivalGranted(
        ids::CallId,
        damasktrack_wire::peer_message::GrantReply,
        core_command::ReplySender<core_command::CallDecision>,
    ),
}

/// Call to the store that the core requests.
#[derive(Debug)]
pub enum StoreJob {
    /// Insert the row of a claim.
    Insert(claim_plan::ClaimPlan),
    /// Read the row of a claim.
    Read(claim_plan::ClaimPlan),
    /// Write an answer to the object store; a failure is only logged.
    Archive {
        /// Key of the object.
        key: String,
        /// Content of the object, that is, the encoded answer.
        content: Vec<u8>,
    },
}

/// Sender of the core's calls to the store.
#[derive(Clone, Debug)]
pub struct StoreQueue {
    jobs: Option<mpsc::SyncSender<StoreJob>>,
}

/// Receiver of the core's calls to the store.
pub type StoreJobs = sync::Arc<sync::Mutex<mpsc::Receiver<StoreJob>>>;

impl StoreQueue {
    /// Creates a queue and its receiver; without a store, [`Self::push`] rejects every job.
    #[must_use]
    pub fn new(has_store: bool) -> (Self, StoreJobs) {
        let (sender, receiver) = mpsc::sync_channel(MAX_STORE_JOBS);
        let queue = Self {
            jobs: has_store.then_some(sender),
        };
        (queue, sync::Arc::new(sync::Mutex::new(receiver)))
    }

    /// Queues a job for the workers; returns whether it was accepted.
    #[must_use]
    pub fn push(&self, job: StoreJob) -> bool {
        self.jobs.as_ref().is_some_and(|jobs| jobs.try_send(job).is_ok())
    }
}

/// Call that waits for a decision of the action ledger, or for the grant of its arrival.
#[derive(Debug)]
pub(crate) struct PendingCall {
    pub(crate) start: core_command::CallStart,
    pub(crate) resolved: core_calls::ResolvedCall,
    /// Absent while the worker of the call requests the grant of its arrival.
    pub(crate) reply: Option<core_command::ReplySender<core_command::CallDecision>>,
}

/// Phase of the last dispatch of an action.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DrivePhase {
    /// The call was dispatched and may run.
    Dispatched,
    /// The call did not run, and the ledger requires `retry` or `release` next.
    NotRun(call_outcome::RefusalReason),
    /// The ledger expects no further result from this call.
    Ended,
}

/// Action that a call drives.
#[derive(Clone, Debug)]
pub struct ActionDrive {
    pub(crate) key: action_key::ActionKey,
    pub(crate) digest: action_key::Sha256Digest,
    pub(crate) attempt: action_step::AttemptNumber,
    pub(crate) phase: DrivePhase,
    /// Complete answer, if it is small enough to be stored.
    pub(crate) answer: Option<Box<answer_cache::StoredAnswer>>,
}

/// Ledgers of one incarnation. Invariant: each call in `pending` waits in the action ledger, or for the grant of its
/// arrival.
#[derive(Debug)]
pub struct OwnerState {
    pub(crate) ledger: action_ledger::ActionLedger,
    pub(crate) retries: retry_ledger::RetryLedger,
    pub(crate) archive: answer_archive::AnswerArchive,
    pub(crate) pending: collections::HashMap<ids::CallId, PendingCall>,
    pub(crate) store: StoreQueue,
}

impl OwnerState {
    /// Creates empty ledgers for the incarnation of `identity`.
    #[must_use]
    pub fn new(identity: request_identity::RequestOwner, store: StoreQueue, now: time::Instant) -> Self {
        Self {
            ledger: action_ledger::ActionLedger::new(identity.clone(), action_ledger::LedgerLimits::default()),
            retries: retry_ledger::RetryLedger::new(identity, retry_ledger::RetryLimits::default()),
            archive: answer_archive::AnswerArchive::new(answer_archive::ArchiveLimits::default(), now),
            pending: collections::HashMap::new(),
            store,
        }
    }

    /// Issues a request id that this incarnation owns.
    pub fn issue_id(&mut self) -> Bytes {
        self.ledger.issue_id()
    }
}

/// Returns the key that identifies the action of a call.
#[must_use]
pub fn key_of(start: &core_command::CallStart, request_id: &Bytes) -> action_key::ActionKey {
    action_key::ActionKey {
        request_id: request_id.clone(),
        service: start.service.clone(),
        method: start.method.clone(),
        path: start.path.clone(),
    }
}

/// Returns the digest of a request body.
#[must_use]
pub fn body_digest(body: &[u8]) -> action_key::Sha256Digest {
    let mut digest = action_key::BodyDigest::default();
    digest.update(body);
    digest.finish()
}

/// Returns a random number of 64 bits, with which no other process is expected to collide. Used for incarnations and
/// for the first call id of a process.
#[must_use]
pub fn random_id() -> ids::Incarnation {
    rand::random()
}
