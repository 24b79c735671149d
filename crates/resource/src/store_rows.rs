//! Rows of the configuration in the table service, and its transaction.

use damasktrack_entity::ids;

use crate::change_log;
use crate::resource_document;

/// Table with one row for each resource; key `<kind>/<name>`, value [`change_log::VersionedResource`].
pub const RESOURCE_TABLE: &str = "resources";
/// Table with one row for each change; key [`change_key`], value [`change_log::ConfigChange`].
pub const CHANGE_TABLE: &str = "changes";
/// Table with one row for each change id; value [`ChangeIdRow`].
pub const CHANGE_ID_TABLE: &str = "change_ids";
/// Table of the head.
pub const HEAD_TABLE: &str = "config";
/// Key of the head; value [`HeadRow`].
pub const HEAD_KEY: &str = "head";

/// Version of a row in the table service; 0 for a row that does not exist.
pub type RowVersion = u64;

/// Row as the table service returns it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct StoredRow<T> {
    /// Document.
    pub value: T,
    /// Commit that wrote the row.
    pub version: RowVersion,
}

/// Last accepted revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeadRow {
    /// Revision.
    pub revision: ids::Revision,
}

/// Change that a change id made.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeIdRow {
    /// Revision that the change made.
    pub revision: ids::Revision,
    /// SHA-256 of the operator's name and edits, hexadecimal; tells a repeat from another change under the same id.
    pub digest: String,
}

/// Condition of a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowCondition {
    /// Table.
    pub table: String,
    /// Key.
    pub key: String,
    /// Version that the row must have.
    pub version: RowVersion,
}

/// Write of a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowWrite {
    /// Table.
    pub table: String,
    /// Key.
    pub key: String,
    /// New document; null deletes.
    pub value: serde_json::Value,
}

/// Body of `POST /table/commit`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TableCommit {
    /// All must hold.
    pub conditions: Vec<RowCondition>,
    /// All are made, or none.
    pub writes: Vec<RowWrite>,
}

/// Returns the key of a resource's row.
#[must_use]
pub fn resource_key(key: &resource_document::ResourceKey) -> String {
    key.to_string()
}

/// Returns the key of a change's row; the fixed width lets a listing return changes in order.
#[must_use]
pub fn change_key(revision: ids::Revision) -> String {
    format!("{revision:020}")
}

/// Checks that rows read from the change table continue at `after` without a gap, and returns them up to the first gap.
#[must_use]
pub fn contiguous(rows: Vec<change_log::ConfigChange>, after: ids::Revision) -> Vec<change_log::ConfigChange> {
    let expected = after + 1..;
    let pairs = rows.into_iter().zip(expected);
    pairs
        .take_while(|(change, revision)| change.revision == *revision)
        .map(|pair| pair.0)
        .collect()
}
