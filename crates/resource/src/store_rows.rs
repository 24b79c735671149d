//! Rows of the configuration in the table service, and the transaction that writes them.

use damasktrack_entity::ids;

use crate::change_log;
use crate::resource_document;

/// Table with one row for each resource; key `<kind>/<name>`, value [`change_log::VersionedResource`].
pub const RESOURCE_TABLE: &str = "resources";
/// Table with one row for each change; key [`change_key`], value [`change_log::ConfigChange`].
pub const CHANGE_TABLE: &str = "changes";
/// Table with one row for each change id; value [`ChangeIdRow`].
pub const CHANGE_ID_TABLE: &str = "change_ids";
/// Table with the head row.
pub const HEAD_TABLE: &str = "config";
/// Key of the head row; value [`HeadRow`].
pub const HEAD_KEY: &str = "head";

/// Version of a row in the table service; 0 for a row that does not exist.
pub type RowVersion = u64;

/// Row as the table service returns it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct StoredRow<T> {
    /// Content of the row.
    pub value: T,
    /// Version, which identifies the commit that wrote the row.
    pub version: RowVersion,
}

/// Head of the configuration; every accepted change updates it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeadRow {
    /// Revision of the last accepted change.
    pub revision: ids::Revision,
}

/// Change that was committed under a change id.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeIdRow {
    /// Revision that the change created.
    pub revision: ids::Revision,
    /// SHA-256 of the operator's name and edits, hexadecimal. It distinguishes a repeated request from another change
    /// under the same id.
    pub digest: String,
}

/// Condition of a commit on the version of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowCondition {
    /// Table of the row.
    pub table: String,
    /// Key of the row in its table.
    pub key: String,
    /// Version that the row must have; 0 if it must not exist.
    pub version: RowVersion,
}

/// Write of a row by a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowWrite {
    /// Table of the row.
    pub table: String,
    /// Key of the row in its table.
    pub key: String,
    /// New content; null deletes the row.
    pub value: serde_json::Value,
}

/// Body of `POST /table/commit`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TableCommit {
    /// Conditions, all of which must hold.
    pub conditions: Vec<RowCondition>,
    /// Writes, which take effect atomically.
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

/// Returns the changes that continue the revision `after` without a gap; those from the first gap on are dropped. The
/// rows must be in order of revision.
#[must_use]
pub fn contiguous(rows: Vec<change_log::ConfigChange>, after: ids::Revision) -> Vec<change_log::ConfigChange> {
    let expected = after + 1..;
    let pairs = rows.into_iter().zip(expected);
    pairs
        .take_while(|(change, revision)| change.revision == *revision)
        .map(|pair| pair.0)
        .collect()
}
