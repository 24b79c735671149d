//! Accepted changes and snapshots, as the store and the daemons exchange them.

use damasktrack_entity::ids;

use crate::resource_document;

/// Version of a resource: the revision of the change that wrote it; 0 for a resource that does not exist.
///
/// It is not the row version of the table service, which a daemon that applies a change does not learn.
pub type ResourceVersion = ids::Revision;

/// New state of one resource.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResourceEdit {
    /// Resource.
    pub key: resource_document::ResourceKey,
    /// Its document, or none if it is deleted.
    pub resource: Option<resource_document::Resource>,
}

/// Accepted change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigChange {
    /// Revision that the change makes, one more than that before it.
    pub revision: ids::Revision,
    /// Id that the operator's client chose.
    pub change_id: String,
    /// Name of the operator.
    pub operator: String,
    /// Edits, which take effect together.
    pub edits: Vec<ResourceEdit>,
}

/// Resource with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionedResource {
    /// Revision that wrote the resource.
    pub version: ResourceVersion,
    /// Document.
    pub resource: resource_document::Resource,
}

/// Whole configuration at a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigSnapshot {
    /// Revision.
    pub revision: ids::Revision,
    /// All resources.
    pub resources: Vec<VersionedResource>,
}
