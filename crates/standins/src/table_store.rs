//! State of the table service and the object store: versioned rows, atomic conditional commits and objects.

use std::collections;

use bytes::Bytes;

/// Most versions of a row that are retained for stale reads.
const MAX_ROW_VERSIONS: usize = 16;
/// Number of commits for which the versions of a deleted row are retained.
const TOMBSTONE_RETENTION_COMMITS: u64 = 1_000;
/// Most rows of one page of a listing.
pub const MAX_PAGE_ROWS: usize = 1_000;

/// Table and key of a row.
type RowKey = (String, String);

/// A row must have this version when the commit takes effect; 0 means that it must not exist.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RowCondition {
    /// Table of the row.
    pub table: String,
    /// Key of the row in its table.
    pub key: String,
    /// Expected version.
    pub version: u64,
}

/// A row to write.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RowWrite {
    /// Table of the row.
    pub table: String,
    /// Key of the row in its table.
    pub key: String,
    /// New value; null deletes the row.
    pub value: serde_json::Value,
}

/// A transaction: all writes take effect if all conditions hold, otherwise none does.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CommitRequest {
    /// Versions that the rows must have.
    #[serde(default)]
    pub conditions: Vec<RowCondition>,
    /// Rows to write, each at most once.
    #[serde(default)]
    pub writes: Vec<RowWrite>,
}

/// Result of a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitResult {
    /// The writes took effect as this version.
    Committed(u64),
    /// A condition failed, and nothing was written. Holds each such row with its current version.
    Conflict(Vec<RowCondition>),
    /// The transaction contains more than one write of this row, and nothing was written.
    DuplicateWrite(RowWrite),
}

/// A row as a read returns it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct StoredRow {
    /// Key of the row in its table.
    pub key: String,
    /// Value of the row; never null, because writing null deletes the row.
    pub value: serde_json::Value,
    /// Number of the commit that wrote the row.
    pub version: u64,
}

/// Selects the rows of a listing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListQuery {
    /// Table to list.
    pub table: String,
    /// Only keys that start with this text.
    pub prefix: String,
    /// Only keys after this one; empty means from the start.
    pub after: String,
    /// Most rows to return, at most [`MAX_PAGE_ROWS`].
    pub limit: usize,
}

/// A page of a listing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ListPage {
    /// Rows in key order.
    pub rows: Vec<StoredRow>,
    /// Whether rows follow after the last one.
    pub more: bool,
}

#[derive(Debug)]
struct RowVersion {
    /// Number of the commit that wrote the version.
    version: u64,
    /// `None` after a deletion.
    value: Option<serde_json::Value>,
}

/// The table service and the object store, in memory.
#[derive(Debug, Default)]
pub struct TableStore {
    /// Each list is ordered by version and never empty.
    rows: collections::BTreeMap<RowKey, Vec<RowVersion>>,
    objects: collections::BTreeMap<String, Bytes>,
    /// Deleted rows in the order of their deletion.
    tombstones: collections::VecDeque<(u64, RowKey)>,
    /// Number of the last commit.
    head: u64,
}

/// Commands.
impl TableStore {
    /// Commits a transaction if all its conditions hold and no row is written twice.
    pub fn commit(&mut self, request: CommitRequest) -> CommitResult {
        let mut conflicts = Vec::new();
        for condition in request.conditions {
            let version = self.version(&condition.table, &condition.key);
            if version != condition.version {
                conflicts.push(RowCondition { version, ..condition });
            }
        }
        if !conflicts.is_empty() {
            return CommitResult::Conflict(conflicts);
        }
        let mut seen = collections::HashSet::new();
        for write in &request.writes {
            if !seen.insert((&write.table, &write.key)) {
                return CommitResult::DuplicateWrite(write.clone());
            }
        }
        self.head += 1;
        for write in request.writes {
            self.write_row(write);
        }
        self.purge_tombstones();
        CommitResult::Committed(self.head)
    }

    /// Writes an object, replacing any object under the same key.
    pub fn put_object(&mut self, key: String, content: Bytes) {
        self.objects.insert(key, content);
    }

    fn write_row(&mut self, write: RowWrite) {
        let key = (write.table, write.key);
        let value = Some(write.value).filter(|value| !value.is_null());
        if value.is_none() {
            if !self.rows.contains_key(&key) {
                return;
            }
            self.tombstones.push_back((self.head, key.clone()));
        }
        let versions = self.rows.entry(key).or_default();
        versions.push(RowVersion {
            version: self.head,
            value,
        });
        if versions.len() > MAX_ROW_VERSIONS {
            versions.remove(0);
        }
    }

    fn purge_tombstones(&mut self) {
        while let Some((version, _)) = self.tombstones.front() {
            if version + TOMBSTONE_RETENTION_COMMITS >= self.head {
                return;
            }
            let Some((version, key)) = self.tombstones.pop_front() else {
                return;
            };
            let last = self.rows.get(&key).and_then(|versions| versions.last());
            if last.is_some_and(|last| last.version == version) {
                self.rows.remove(&key);
            }
        }
    }
}

/// Queries.
impl TableStore {
    /// Returns the number of the last commit.
    #[must_use]
    pub fn head(&self) -> u64 {
        self.head
    }

    /// Returns the current version of a row, 0 if it does not exist.
    #[must_use]
    pub fn version(&self, table: &str, key: &str) -> u64 {
        self.get(table, key).map_or(0, |row| row.version)
    }

    /// Returns the current version of a row, `None` if it does not exist.
    #[must_use]
    pub fn get(&self, table: &str, key: &str) -> Option<StoredRow> {
        self.get_at(table, key, self.head)
    }

    /// Returns a row as it was after the commit `head`. Limited to the versions that are retained.
    #[must_use]
    pub fn get_at(&self, table: &str, key: &str, head: u64) -> Option<StoredRow> {
        let versions = self.rows.get(&(table.to_owned(), key.to_owned()))?;
        row_at(key, versions, head)
    }

    /// Lists rows in their current version, in key order.
    #[must_use]
    pub fn list(&self, query: &ListQuery) -> ListPage {
        self.list_at(query, self.head)
    }

    /// Lists rows as they were after the commit `head`. Limited to the versions that are retained.
    #[must_use]
    pub fn list_at(&self, query: &ListQuery, head: u64) -> ListPage {
        let limit = query.limit.clamp(1, MAX_PAGE_ROWS);
        let first = query.prefix.as_str().max(query.after.as_str());
        let start = (query.table.clone(), first.to_owned());
        let mut page = ListPage::default();
        for ((table, key), versions) in self.rows.range(start..) {
            if *table != query.table || !key.starts_with(&query.prefix) {
                break;
            }
            if !query.after.is_empty() && *key <= query.after {
                continue;
            }
            let Some(row) = row_at(key, versions, head) else {
                continue;
            };
            if page.rows.len() == limit {
                page.more = true;
                break;
            }
            page.rows.push(row);
        }
        page
    }

    /// Returns the content of an object, `None` if it does not exist.
    #[must_use]
    pub fn object(&self, key: &str) -> Option<Bytes> {
        self.objects.get(key).cloned()
    }
}

fn row_at(key: &str, versions: &[RowVersion], head: u64) -> Option<StoredRow> {
    let version = versions.iter().rev().find(|version| version.version <= head)?;
    Some(StoredRow {
        key: key.to_owned(),
        value: version.value.clone()?,
        version: version.version,
    })
}
