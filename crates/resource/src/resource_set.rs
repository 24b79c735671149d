//! Resources at one revision, with the lookups that calls need.

use std::collections;

use bytes::Bytes;
use damasktrack_entity::ids;

use crate::change_log;
use crate::resource_document;

/// Route of a class, as an entry of the route index.
#[derive(Clone, Debug)]
struct RouteEntry {
    method: Bytes,
    path_prefix: Bytes,
    class: ids::ClassName,
}

/// Resources at one revision, and an index of their routes.
#[derive(Clone, Debug, Default)]
pub struct ResourceSet {
    /// Revision of the last applied change. `ConfigLog` ensures that it never decreases.
    revision: ids::Revision,
    /// Each resource's version is at most `revision`.
    resources: collections::BTreeMap<resource_document::ResourceKey, change_log::VersionedResource>,
    /// Routes of all classes by service, longest prefix first and named methods before
    /// [`resource_document::ANY_METHOD`].
    routes: collections::HashMap<ids::ServiceName, Vec<RouteEntry>>,
}

// Commands.
impl ResourceSet {
    /// Creates the set of a snapshot.
    #[must_use]
    pub fn from_snapshot(snapshot: &change_log::ConfigSnapshot) -> Self {
        let entry = |versioned: &change_log::VersionedResource| (versioned.resource.key(), versioned.clone());
        let mut set = Self {
            revision: snapshot.revision,
            resources: snapshot.resources.iter().map(entry).collect(),
            routes: collections::HashMap::new(),
        };
        set.index_routes();
        set
    }

    /// Applies edits and sets the revision, without a check against the previous revision. `ConfigLog` decides whether
    /// a change may be applied.
    pub fn edit(&mut self, revision: ids::Revision, edits: &[change_log::ResourceEdit]) {
        self.revision = revision;
        for edit in edits {
            match &edit.resource {
                Some(resource) => {
                    let versioned = change_log::VersionedResource {
                        version: revision,
                        resource: resource.clone(),
                    };
                    self.resources.insert(edit.key.clone(), versioned);
                }
                None => {
                    self.resources.remove(&edit.key);
                }
            }
        }
        self.index_routes();
    }

    /// Rebuilds the route index. Rebuilding it for each change is acceptable, since changes are rare (3,800 a day)
    /// compared with lookups.
    fn index_routes(&mut self) {
        let mut routes: collections::HashMap<ids::ServiceName, Vec<RouteEntry>> = collections::HashMap::new();
        for versioned in self.resources.values() {
            let resource_document::Resource::Class(class) = &versioned.resource else {
                continue;
            };
            for route in &class.routes {
                routes.entry(route.service.clone()).or_default().push(RouteEntry {
                    method: route.method.clone(),
                    path_prefix: route.path_prefix.clone(),
                    class: class.name.clone(),
                });
            }
        }
        for entries in routes.values_mut() {
            entries.sort_by_key(|entry| {
                let length = std::cmp::Reverse(trim_trailing_slash(&entry.path_prefix).len());
                (length, entry.method == resource_document::ANY_METHOD.as_bytes())
            });
        }
        self.routes = routes;
    }
}

// Queries.
impl ResourceSet {
    /// Returns the revision of the last applied change.
    #[must_use]
    pub fn revision(&self) -> ids::Revision {
        self.revision
    }

    /// Returns a resource with its version.
    #[must_use]
    pub fn get(&self, key: &resource_document::ResourceKey) -> Option<&change_log::VersionedResource> {
        self.resources.get(key)
    }

    /// Returns the version of a resource, 0 if it does not exist.
    #[must_use]
    pub fn version(&self, key: &resource_document::ResourceKey) -> change_log::ResourceVersion {
        self.resources.get(key).map_or(0, |versioned| versioned.version)
    }

    /// Returns all resources in order of kind and name.
    pub fn resources(&self) -> impl Iterator<Item = &change_log::VersionedResource> {
        self.resources.values()
    }

    /// Returns the class of a call: that of the longest matching path prefix, and among equal prefixes that of a route
    /// with a named method. A query in `path` is ignored. A path that a backend server may interpret as another path
    /// has no class.
    #[must_use]
    pub fn class_of(&self, service: &Bytes, method: &[u8], path: &[u8]) -> Option<&resource_document::ClassSpec> {
        let path = path.split(|byte| *byte == b'?').next().unwrap_or_default();
        if !is_unambiguous(path) {
            return None;
        }
        let entries = self.routes.get(service)?;
        let matches = |entry: &&RouteEntry| {
            let method_matches = entry.method == method || entry.method == resource_document::ANY_METHOD.as_bytes();
            method_matches && covers(&entry.path_prefix, path)
        };
        self.class(&entries.iter().find(matches)?.class)
    }

    /// Returns a service, if it is declared.
    #[must_use]
    pub fn service(&self, name: &Bytes) -> Option<&resource_document::ServiceSpec> {
        match self.find(resource_document::ResourceKind::Service, name)? {
            resource_document::Resource::Service(spec) => Some(spec),
            _ => None,
        }
    }

    /// Returns a class, if it is declared.
    #[must_use]
    pub fn class(&self, name: &Bytes) -> Option<&resource_document::ClassSpec> {
        match self.find(resource_document::ResourceKind::Class, name)? {
            resource_document::Resource::Class(spec) => Some(spec),
            _ => None,
        }
    }

    /// Returns a chain, if it is declared.
    #[must_use]
    pub fn chain(&self, name: &Bytes) -> Option<&resource_document::ChainSpec> {
        match self.find(resource_document::ResourceKind::Chain, name)? {
            resource_document::Resource::Chain(spec) => Some(spec),
            _ => None,
        }
    }

    /// Returns a tenant, if it is declared.
    #[must_use]
    pub fn tenant(&self, name: &Bytes) -> Option<&resource_document::TenantSpec> {
        match self.find(resource_document::ResourceKind::Tenant, name)? {
            resource_document::Resource::Tenant(spec) => Some(spec),
            _ => None,
        }
    }

    /// Returns the whole configuration, with the resources in order of kind and name.
    #[must_use]
    pub fn snapshot(&self) -> change_log::ConfigSnapshot {
        change_log::ConfigSnapshot {
            revision: self.revision,
            resources: self.resources.values().cloned().collect(),
        }
    }

    fn find(&self, kind: resource_document::ResourceKind, name: &Bytes) -> Option<&resource_document::Resource> {
        let key = resource_document::ResourceKey {
            kind,
            name: name.clone(),
        };
        self.resources.get(&key).map(|versioned| &versioned.resource)
    }
}

/// Returns a prefix without its trailing slash, so that `/pair/` and `/pair` are the same route.
pub(crate) fn trim_trailing_slash(prefix: &[u8]) -> &[u8] {
    prefix.strip_suffix(b"/").unwrap_or(prefix)
}

/// Returns whether the prefix matches the path in whole segments.
fn covers(prefix: &[u8], path: &[u8]) -> bool {
    match path.strip_prefix(trim_trailing_slash(prefix)) {
        Some(rest) => rest.is_empty() || rest[0] == b'/',
        None => false,
    }
}

/// Returns whether every backend server interprets the path as it is written.
///
/// Otherwise `/x/../file` or `/%66ile` could assign a non-idempotent call to a class whose calls are retried. Dot
/// segments, empty segments within the path, backslashes, and percent-encoded slashes, backslashes or unreserved
/// characters (RFC 3986, section 6.2.2) are rejected.
fn is_unambiguous(path: &[u8]) -> bool {
    let body = path.strip_prefix(b"/").unwrap_or(path);
    let body = body.strip_suffix(b"/").unwrap_or(body);
    let is_plain = |segment: &[u8]| !matches!(segment, b"" | b"." | b"..");
    let segments_are_plain = body.is_empty() || body.split(|byte| *byte == b'/').all(is_plain);
    segments_are_plain && !path.contains(&b'\\') && has_only_safe_escapes(path)
}

/// Returns whether all percent-encodings are valid and none represents a slash, backslash or unreserved character.
fn has_only_safe_escapes(path: &[u8]) -> bool {
    let mut parts = path.split(|byte| *byte == b'%');
    parts.next();
    parts.all(|part| {
        let digits = part.get(..2).and_then(|digits| std::str::from_utf8(digits).ok());
        let byte = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        byte.is_some_and(|byte| !byte.is_ascii_alphanumeric() && !b"-._~/\\".contains(&byte))
    })
}
