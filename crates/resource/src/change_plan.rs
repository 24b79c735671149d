//! Transaction for an operator's change, and its outcome.
//!
//! The node crate makes a [`ChangeAttempt`], reads the rows, calls `plan`, commits, and calls `settle`; on `Reread` it
//! reads and plans again with the same attempt. The change id makes that safe: a change commits at most once.

use std::fmt::Write as _;

use damasktrack_entity::ids;
use sha2::Digest;

use crate::change_log;
use crate::resource_document;
use crate::resource_set;
use crate::resource_verifier;
use crate::store_rows;

/// Longest change id, in bytes.
pub const MAX_CHANGE_ID_BYTES: usize = 128;
/// Most edits of one change; all of them are written in one transaction.
pub const MAX_EDITS: usize = 256;

/// Version that the operator expects a resource to have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum ExpectedVersion {
    /// Any version, also none (apply).
    Any,
    /// The resource does not exist (create).
    Absent,
    /// Exactly this version (change, delete).
    Exactly(change_log::ResourceVersion),
}

/// Edit that an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RequestedEdit {
    /// New state.
    pub edit: change_log::ResourceEdit,
    /// Expected version.
    pub expected: ExpectedVersion,
}

/// Change that an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ChangeRequest {
    /// Id that the operator's client chose, or one that the API made.
    pub change_id: String,
    /// Name of the operator.
    pub operator: String,
    /// Edits, which take effect together.
    pub edits: Vec<RequestedEdit>,
    /// Verify only.
    pub dry_run: bool,
}

/// Rows read from the table service before a plan, all of them anew for each plan.
#[derive(Clone, Debug, Default)]
pub struct PlanReads {
    /// Row of the head.
    pub head: Option<store_rows::StoredRow<store_rows::HeadRow>>,
    /// Version of each edited resource's row, in the order of the edits; 0 for none.
    pub row_versions: Vec<store_rows::RowVersion>,
    /// Row of the change id. It is read after the head: otherwise an own commit whose answer was lost could take effect
    /// between the two reads and be reported as a conflict with itself.
    pub change_id: Option<store_rows::StoredRow<store_rows::ChangeIdRow>>,
}

/// Operator's change from its arrival to its outcome.
#[derive(Clone, Debug)]
pub struct ChangeAttempt {
    request: ChangeRequest,
    /// A commit was sent whose result is not known. From then on, only a read of the change id or a moved head proves
    /// that nothing was written.
    doubtful: bool,
}

/// What to do about a requested change.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanStep {
    /// Commit the transaction, then settle the change.
    Commit(Box<PlannedChange>),
    /// The change id has committed already, as this revision.
    Accepted(ids::Revision),
    /// The daemon's set is behind the head: fetch the changes up to this revision and plan again.
    CatchUp(ids::Revision),
    /// The read head is older than the daemon's set: read again.
    Reread,
    /// Resources have other versions than expected: answer 409 with the current ones.
    Conflict(Vec<VersionConflict>),
    /// The change has faults, or would make the configuration faulty: answer 422.
    Invalid(Vec<resource_verifier::Finding>),
    /// The change id belongs to another change: answer 422.
    IdReused,
    /// A dry run found no fault.
    DryRun {
        /// Revision that the change would make.
        revision: ids::Revision,
    },
}

/// Resource with another version than the operator expected.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct VersionConflict {
    /// Resource.
    pub key: resource_document::ResourceKey,
    /// Version that it has; 0 if it does not exist.
    pub current: change_log::ResourceVersion,
}

/// Change with its transaction.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedChange {
    /// Change that the transaction writes. It is in force only after `Accepted`.
    pub change: change_log::ConfigChange,
    /// Transaction.
    pub commit: store_rows::TableCommit,
}

/// Result of a commit, as the store client reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitReply {
    /// The transaction committed.
    Committed,
    /// A condition did not hold; nothing was written.
    Conflict,
    /// The transaction was not sent.
    Unavailable,
    /// No answer came; the transaction may have committed, or may still.
    Unsettled,
}

/// What a commit means for the operator.
#[derive(Clone, Debug, PartialEq)]
pub enum SettleStep {
    /// The change is accepted: apply and push it.
    Accepted(change_log::ConfigChange),
    /// Read the rows and plan again; the plan tells an own earlier commit, a conflict and a
    /// change of another resource apart.
    Reread,
    /// Nothing was written, nor will be: answer 503 as not accepted.
    NotAccepted,
    /// The change may have been written, or may still be: answer 504 with the change id to ask for.
    Unsettled,
}

/// Plans a change against the set in force at this daemon.
fn plan(request: &ChangeRequest, set: &resource_set::ResourceSet, reads: &PlanReads) -> PlanStep {
    let findings = verify_request(request);
    if !findings.is_empty() {
        return PlanStep::Invalid(findings);
    }
    let digest = request_digest(request);
    if let Some(row) = &reads.change_id {
        return if row.value.digest == digest {
            PlanStep::Accepted(row.value.revision)
        } else {
            PlanStep::IdReused
        };
    }
    let head = reads.head.as_ref().map_or(0, |row| row.value.revision);
    if head > set.revision() {
        return PlanStep::CatchUp(head);
    }
    if head < set.revision() || reads.row_versions.len() != request.edits.len() {
        return PlanStep::Reread;
    }
    let conflicts = find_conflicts(request, set);
    if !conflicts.is_empty() {
        return PlanStep::Conflict(conflicts);
    }
    let revision = head + 1;
    let edits: Vec<_> = request.edits.iter().map(|requested| requested.edit.clone()).collect();
    let mut next = set.clone();
    next.edit(revision, &edits);
    let findings = resource_verifier::verify(&next);
    if !findings.is_empty() {
        return PlanStep::Invalid(findings);
    }
    if request.dry_run {
        return PlanStep::DryRun { revision };
    }
    let change = change_log::ConfigChange {
        revision,
        change_id: request.change_id.clone(),
        operator: request.operator.clone(),
        edits,
    };
    let commit = transaction(&change, digest, reads);
    PlanStep::Commit(Box::new(PlannedChange { change, commit }))
}

// Commands.
impl ChangeAttempt {
    /// Starts an attempt.
    #[must_use]
    pub fn new(request: ChangeRequest) -> Self {
        Self {
            request,
            doubtful: false,
        }
    }

    /// Returns what the result of a commit means.
    #[must_use]
    pub fn settle(&mut self, planned: PlannedChange, reply: CommitReply) -> SettleStep {
        match reply {
            CommitReply::Committed => SettleStep::Accepted(planned.change),
            CommitReply::Conflict => SettleStep::Reread,
            CommitReply::Unsettled => {
                self.doubtful = true;
                SettleStep::Reread
            }
            CommitReply::Unavailable => self.give_up(),
        }
    }
}

// Queries.
impl ChangeAttempt {
    /// Plans the change against the set in force at this daemon.
    #[must_use]
    pub fn plan(&self, set: &resource_set::ResourceSet, reads: &PlanReads) -> PlanStep {
        plan(&self.request, set, reads)
    }

    /// Returns the outcome if the node stops here, for example because the store can't be read.
    #[must_use]
    pub fn give_up(&self) -> SettleStep {
        if self.doubtful {
            SettleStep::Unsettled
        } else {
            SettleStep::NotAccepted
        }
    }

    /// Returns the requested change.
    #[must_use]
    pub fn request(&self) -> &ChangeRequest {
        &self.request
    }
}

/// Returns the faults of the request itself.
fn verify_request(request: &ChangeRequest) -> Vec<resource_verifier::Finding> {
    let mut findings = Vec::new();
    let mut add = |place: String, message: &str| {
        findings.push(resource_verifier::Finding {
            place,
            message: message.to_owned(),
        });
    };
    let id = request.change_id.as_bytes();
    let plain = |byte: &u8| byte.is_ascii_alphanumeric() || b"-_.".contains(byte);
    if id.is_empty() || id.len() > MAX_CHANGE_ID_BYTES || !id.iter().all(plain) {
        add(
            "change_id".to_owned(),
            "must be 1 to 128 letters, digits, '-', '_' or '.'",
        );
    }
    if request.edits.is_empty() || request.edits.len() > MAX_EDITS {
        add("edits".to_owned(), "must be 1 to 256");
    }
    for (index, requested) in request.edits.iter().enumerate() {
        let key = &requested.edit.key;
        if requested
            .edit
            .resource
            .as_ref()
            .is_some_and(|resource| resource.key() != *key)
        {
            add(
                format!("edits[{index}]"),
                "kind and name of the document differ from those of the address",
            );
        }
        if request.edits[..index].iter().any(|earlier| earlier.edit.key == *key) {
            add(format!("edits[{index}]"), "resource is edited twice");
        }
    }
    findings
}

fn find_conflicts(request: &ChangeRequest, set: &resource_set::ResourceSet) -> Vec<VersionConflict> {
    let mut conflicts = Vec::new();
    for requested in &request.edits {
        let current = set.version(&requested.edit.key);
        let met = match requested.expected {
            // Deleting what does not exist is a conflict, so that an operator notices a mistyped name.
            ExpectedVersion::Any => current != 0 || requested.edit.resource.is_some(),
            ExpectedVersion::Absent => current == 0,
            ExpectedVersion::Exactly(version) => current == version && version != 0,
        };
        if !met {
            conflicts.push(VersionConflict {
                key: requested.edit.key.clone(),
                current,
            });
        }
    }
    conflicts
}

/// Returns a digest of what the change does, so that a change id can't stand for two changes.
fn request_digest(request: &ChangeRequest) -> String {
    let content = serde_json::json!([request.operator, request.edits]);
    let digest = sha2::Sha256::digest(content.to_string());
    let mut text = String::with_capacity(64);
    for byte in digest {
        // Writing to a string can't fail.
        let _infallible = write!(text, "{byte:02x}");
    }
    text
}

/// The condition on the head orders all changes: it alone makes the verified set that of the revision before. The
/// others guard against rows written by hand.
fn transaction(change: &change_log::ConfigChange, digest: String, reads: &PlanReads) -> store_rows::TableCommit {
    let mut commit = store_rows::TableCommit::default();
    let mut add = |table: &str, key: String, version: store_rows::RowVersion, value: serde_json::Value| {
        commit.conditions.push(store_rows::RowCondition {
            table: table.to_owned(),
            key: key.clone(),
            version,
        });
        commit.writes.push(store_rows::RowWrite {
            table: table.to_owned(),
            key,
            value,
        });
    };
    let head_version = reads.head.as_ref().map_or(0, |row| row.version);
    let revision = change.revision;
    let head = serde_json::json!(store_rows::HeadRow { revision });
    add(
        store_rows::HEAD_TABLE,
        store_rows::HEAD_KEY.to_owned(),
        head_version,
        head,
    );
    let change_row = serde_json::json!(change);
    add(
        store_rows::CHANGE_TABLE,
        store_rows::change_key(revision),
        0,
        change_row,
    );
    let id_row = serde_json::json!(store_rows::ChangeIdRow { revision, digest });
    add(store_rows::CHANGE_ID_TABLE, change.change_id.clone(), 0, id_row);
    for (edit, version) in change.edits.iter().zip(&reads.row_versions) {
        let value = edit.resource.clone().map(|resource| change_log::VersionedResource {
            version: revision,
            resource,
        });
        add(
            store_rows::RESOURCE_TABLE,
            store_rows::resource_key(&edit.key),
            *version,
            serde_json::json!(value),
        );
    }
    commit
}
