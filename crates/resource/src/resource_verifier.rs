//! Verifier of configurations.

use std::collections;

use bytes::Bytes;
use damasktrack_entity::admission_level;
use damasktrack_entity::ids;

use crate::resource_document;
use crate::resource_set;

/// Maximum length of a name, in bytes. Names are part of the context header, which is limited to 1,024 bytes.
pub const MAX_NAME_BYTES: usize = 63;
/// Maximum depth of a chain; the deepest expected chain has a depth of 18.
pub const MAX_DEPTH: u32 = 64;
/// Maximum retry allowance; the average number of attempts must stay below 1.1.
pub const MAX_RETRY_ALLOWANCE: u32 = 16;
/// Maximum deadline, in milliseconds; a context carries at most 24 hours.
pub const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1000;
/// Maximum number of slots of a backend server.
pub const MAX_SLOTS: u32 = 100_000;
/// Maximum weight of a tenant.
pub const MAX_WEIGHT: u32 = 10_000;

/// Fault in a configuration or in a requested change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, derive_more::Display)]
#[display("{place}: {message}")]
pub struct Finding {
    /// Resource and field, for example `Class/filing.routes[1].method`.
    pub place: String,
    /// Description of the fault.
    pub message: String,
}

/// List to which the findings about one resource are added.
#[derive(Debug)]
struct FindingList<'a> {
    key: resource_document::ResourceKey,
    findings: &'a mut Vec<Finding>,
}

impl FindingList<'_> {
    fn add(&mut self, field: &str, message: impl Into<String>) {
        self.findings.push(Finding {
            place: format!("{}.{field}", self.key),
            message: message.into(),
        });
    }

    fn check(&mut self, valid: bool, field: &str, message: impl Into<String>) {
        if !valid {
            self.add(field, message);
        }
    }
}

/// Routes of the classes verified so far: service, method and prefix, with the class that declares the route.
type DeclaredRoutes = collections::HashMap<(Bytes, Bytes, Bytes), ids::ClassName>;

/// Returns all faults of a configuration, in order of the kind and name of the resources.
#[must_use]
pub fn verify(set: &resource_set::ResourceSet) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut declared_routes = DeclaredRoutes::new();
    for versioned in set.resources() {
        let key = versioned.resource.key();
        let name = key.name.clone();
        let mut list = FindingList {
            key,
            findings: &mut findings,
        };
        verify_name(&name, &mut list);
        match &versioned.resource {
            resource_document::Resource::Service(spec) => {
                check_range(u64::from(spec.slots), 1, u64::from(MAX_SLOTS), "slots", &mut list);
            }
            resource_document::Resource::Class(spec) => verify_class(spec, set, &mut declared_routes, &mut list),
            resource_document::Resource::Chain(spec) => {
                check_range(
                    u64::from(spec.max_depth),
                    1,
                    u64::from(MAX_DEPTH),
                    "max_depth",
                    &mut list,
                );
                check_range(spec.deadline_ms, 1, MAX_DEADLINE_MS, "deadline_ms", &mut list);
                let allowance = u64::from(spec.retry_allowance);
                check_range(
                    allowance,
                    0,
                    u64::from(MAX_RETRY_ALLOWANCE),
                    "retry_allowance",
                    &mut list,
                );
            }
            resource_document::Resource::Tenant(spec) => {
                check_range(u64::from(spec.weight), 1, u64::from(MAX_WEIGHT), "weight", &mut list);
            }
        }
    }
    findings
}

fn verify_name(name: &Bytes, list: &mut FindingList<'_>) {
    let valid_length = (1..=MAX_NAME_BYTES).contains(&name.len());
    list.check(
        valid_length,
        "name",
        format!("must have 1 to {MAX_NAME_BYTES} characters"),
    );
    let is_allowed = |byte: &u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || *byte == b'-';
    list.check(name.iter().all(is_allowed), "name", "may contain only a-z, 0-9 and '-'");
    // The first path segment names the service, and the entry listener itself serves `/damasktrack/v1/request-ids`.
    let reserved = list.key.kind == resource_document::ResourceKind::Service && name == "damasktrack";
    list.check(!reserved, "name", "is reserved");
}

fn check_range(value: u64, min: u64, max: u64, field: &str, list: &mut FindingList<'_>) {
    let valid = (min..=max).contains(&value);
    list.check(valid, field, format!("is {value}, must be {min} to {max}"));
}

fn verify_class(
    spec: &resource_document::ClassSpec,
    set: &resource_set::ResourceSet,
    declared_routes: &mut DeclaredRoutes,
    list: &mut FindingList<'_>,
) {
    let max_importance = admission_level::MAX_IMPORTANCE;
    check_range(
        u64::from(spec.importance),
        0,
        u64::from(max_importance),
        "importance",
        list,
    );
    let is_consistent = spec.critical == (spec.importance == max_importance);
    list.check(
        is_consistent || spec.importance > max_importance,
        "importance",
        format!("must be {max_importance} for critical classes and less for others"),
    );
    let is_long = spec.lane == resource_document::ClassLane::Long;
    list.check(
        !(spec.critical && is_long),
        "lane",
        "must be 'short' for critical classes",
    );
    let chain = ids::text(&spec.chain);
    list.check(
        set.chain(&spec.chain).is_some(),
        "chain",
        format!("'{chain}' is not declared"),
    );
    list.check(!spec.routes.is_empty(), "routes", "must not be empty");
    for (index, route) in spec.routes.iter().enumerate() {
        let field = |name: &str| format!("routes[{index}].{name}");
        let service = ids::text(&route.service);
        let declared = set.service(&route.service).is_some();
        list.check(declared, &field("service"), format!("'{service}' is not declared"));
        let is_any = route.method == resource_document::ANY_METHOD;
        let is_upper_case = !route.method.is_empty() && route.method.iter().all(u8::is_ascii_uppercase);
        list.check(
            is_any || is_upper_case,
            &field("method"),
            "must be upper-case letters or '*'",
        );
        let is_absolute = route.path_prefix.starts_with(b"/");
        list.check(is_absolute, &field("path_prefix"), "must start with '/'");
        let is_allowed = |byte: &u8| byte.is_ascii_graphic() && !b"?#".contains(byte);
        let has_valid_characters = route.path_prefix.iter().all(is_allowed);
        list.check(
            has_valid_characters,
            &field("path_prefix"),
            "must not contain a query, fragment, space or control character",
        );
        let prefix = Bytes::copy_from_slice(resource_set::trim_trailing_slash(&route.path_prefix));
        let declaring_class =
            declared_routes.insert((route.service.clone(), route.method.clone(), prefix), spec.name.clone());
        if let Some(declaring_class) = declaring_class {
            list.add(
                &field("path_prefix"),
                format!("route is also declared by class '{}'", ids::text(&declaring_class)),
            );
        }
    }
}
