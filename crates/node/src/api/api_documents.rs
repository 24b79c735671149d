//! Conversion between the JSON documents of the resource API and resources.

use damasktrack_entity::ids;
use damasktrack_resource::change_log;
use damasktrack_resource::change_plan;
use damasktrack_resource::resource_document;
use serde_json::json;

/// Path segments of the kinds of resources.
pub const KINDS: &[(&str, resource_document::ResourceKind)] = &[
    ("services", resource_document::ResourceKind::Service),
    ("classes", resource_document::ResourceKind::Class),
    ("chains", resource_document::ResourceKind::Chain),
    ("tenants", resource_document::ResourceKind::Tenant),
];

/// Fault of a document, as the API reports it.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct DocumentFinding {
    /// Field or resource with the fault, for example `Class/NAME.spec`.
    pub place: String,
    /// Description of the fault.
    pub message: String,
}

/// Returns the kind that a path segment stands for.
#[must_use]
pub fn kind_of_path(segment: &str) -> Option<resource_document::ResourceKind> {
    KINDS.iter().find(|entry| entry.0 == segment).map(|entry| entry.1)
}

/// Returns the document of a resource with a status.
#[must_use]
pub fn document(versioned: &change_log::VersionedResource, status: &serde_json::Value) -> serde_json::Value {
    let key = versioned.resource.key();
    json!({
        "kind": key.kind.to_string(),
        "name": ids::text(&key.name),
        "version": versioned.version,
        "spec": spec(&versioned.resource),
        "status": status,
    })
}

/// Returns the document of a change.
#[must_use]
pub fn change(change: &change_log::ConfigChange) -> serde_json::Value {
    let edits: Vec<_> = change
        .edits
        .iter()
        .map(|edit| {
            let (kind, name) = (edit.key.kind.to_string(), ids::text(&edit.key.name));
            match &edit.resource {
                Some(resource) => {
                    let spec = spec(resource);
                    json!({"action": "put", "kind": kind, "name": name, "version": change.revision, "spec": spec})
                }
                None => json!({"action": "delete", "kind": kind, "name": name}),
            }
        })
        .collect();
    json!({"id": change.change_id, "revision": change.revision, "operator": change.operator, "changes": edits})
}

/// Converts a resource document to an edit. `place` stands for the document in findings until its kind and name are
/// read.
///
/// # Errors
/// Returns the first fault of the document.
pub fn read_edit(document: &serde_json::Value, place: &str) -> Result<change_plan::RequestedEdit, DocumentFinding> {
    let Some(fields) = document.as_object() else {
        return Err(finding(place, "must be an object"));
    };
    let known = ["kind", "name", "version", "spec", "status"];
    if let Some(field) = fields.keys().find(|field| !known.contains(&field.as_str())) {
        return Err(finding(&format!("{place}.{field}"), "is not a field of a resource"));
    }
    let text = |name: &str| fields.get(name).and_then(serde_json::Value::as_str);
    let kind = text("kind").and_then(|kind| KINDS.iter().find(|entry| entry.1.to_string() == kind));
    let Some((_, kind)) = kind else {
        let message = "must be Service, Class, Chain or Tenant";
        return Err(finding(&format!("{place}.kind"), message));
    };
    let Some(name) = text("name") else {
        return Err(finding(&format!("{place}.name"), "must be a string"));
    };
    let place = format!("{kind}/{name}");
    let expected = match fields.get("version") {
        None | Some(serde_json::Value::Null) => change_plan::ExpectedVersion::Any,
        Some(version) => match version.as_u64() {
            Some(0) => change_plan::ExpectedVersion::Absent,
            Some(version) => change_plan::ExpectedVersion::Exactly(version),
            None => return Err(finding(&format!("{place}.version"), "must be a non-negative integer")),
        },
    };
    let Some(spec) = fields.get("spec").and_then(serde_json::Value::as_object) else {
        return Err(finding(&format!("{place}.spec"), "must be an object"));
    };
    let mut full_spec = spec.clone();
    if full_spec.insert("name".to_owned(), json!(name)).is_some() {
        return Err(finding(&format!("{place}.name"), "is not a field of the spec"));
    }
    let resource = read_spec(*kind, serde_json::Value::Object(full_spec), &place)?;
    Ok(change_plan::RequestedEdit {
        edit: change_log::ResourceEdit {
            key: resource.key(),
            resource: Some(resource),
        },
        expected,
    })
}

fn read_spec(
    kind: resource_document::ResourceKind,
    value: serde_json::Value,
    place: &str,
) -> Result<resource_document::Resource, DocumentFinding> {
    match kind {
        resource_document::ResourceKind::Service => {
            read_typed::<resource_document::ServiceSpec>(value, place).map(Into::into)
        }
        resource_document::ResourceKind::Class => {
            read_typed::<resource_document::ClassSpec>(value, place).map(Into::into)
        }
        resource_document::ResourceKind::Chain => {
            read_typed::<resource_document::ChainSpec>(value, place).map(Into::into)
        }
        resource_document::ResourceKind::Tenant => {
            read_typed::<resource_document::TenantSpec>(value, place).map(Into::into)
        }
    }
}

fn read_typed<T: serde::de::DeserializeOwned>(value: serde_json::Value, place: &str) -> Result<T, DocumentFinding> {
    serde_path_to_error::deserialize(value).map_err(|error| {
        let path = error.path().to_string();
        let place = if path == "." {
            place.to_owned()
        } else {
            format!("{place}.{path}")
        };
        finding(&place, &error.inner().to_string())
    })
}

/// Returns the `spec` of a resource: its fields without kind and name.
fn spec(resource: &resource_document::Resource) -> serde_json::Value {
    let mut value = json!(resource);
    if let Some(fields) = value.as_object_mut() {
        fields.remove("kind");
        fields.remove("name");
    }
    value
}

fn finding(place: &str, message: &str) -> DocumentFinding {
    DocumentFinding {
        place: place.to_owned(),
        message: message.to_owned(),
    }
}
