//! Resource documents: JSON objects that operators write, one for each resource.

use std::time;

use damasktrack_entity::ids;

use crate::text_field;

/// Value of [`RouteSpec::method`] that matches every method.
pub const ANY_METHOD: &str = "*";

/// Service: a group of backend servers that run the same software.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Unique name; the first path segment of the caller's URL.
    #[serde(with = "text_field")]
    pub name: ids::ServiceName,
    /// Maximum number of calls that one backend server runs concurrently.
    pub slots: u32,
    /// Whether a response without a length, which ends with the connection, counts as complete.
    #[serde(default)]
    pub close_delimited: bool,
}

/// Lane of a class in the admission control of the callee.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ClassLane {
    /// Calls that complete in well under a second.
    #[default]
    Short,
    /// Downloads and other long-running calls, with a separate limit and separate connections.
    Long,
}

/// Route: service, method and path prefix of calls that belong to a class.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// Called service.
    #[serde(with = "text_field")]
    pub service: ids::ServiceName,
    /// HTTP method in upper case, or [`ANY_METHOD`].
    #[serde(with = "text_field")]
    pub method: bytes::Bytes,
    /// Prefix of the path in whole segments: `/pair` matches `/pair` and `/pair/7`, but not `/pairs`.
    #[serde(with = "text_field")]
    pub path_prefix: bytes::Bytes,
}

/// Class of requests, which are admitted, routed and retried by the same rules.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Unique name.
    #[serde(with = "text_field")]
    pub name: ids::ClassName,
    /// Importance from 0 to 15. Calls of a higher importance are shed later; 15 is reserved for critical classes.
    pub importance: u8,
    /// Whether calls of the class are shed last. Requires importance 15.
    #[serde(default)]
    pub critical: bool,
    /// Whether running a request twice has the same effect as running it once.
    pub idempotent: bool,
    /// Lane in the admission control of the callee.
    #[serde(default)]
    pub lane: ClassLane,
    /// Name of the chain whose limits apply to requests of the class.
    #[serde(with = "text_field")]
    pub chain: bytes::Bytes,
    /// Whether calls of a class in the long lane may be routed to other regions.
    #[serde(default)]
    pub cross_region: bool,
    /// Routes of the calls that belong to the class.
    pub routes: Vec<RouteSpec>,
}

/// Limits that all calls of a request share.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChainSpec {
    /// Unique name.
    #[serde(with = "text_field")]
    pub name: bytes::Bytes,
    /// Maximum number of nested calls, including the call of the caller.
    pub max_depth: u32,
    /// Time in which the whole request must complete, in milliseconds.
    pub deadline_ms: u64,
    /// Maximum number of retries of all calls of a request.
    #[serde(default = "default_retry_allowance")]
    pub retry_allowance: u32,
}

/// Tenant and its share of the capacity of each server.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantSpec {
    /// Unique name, as it appears in the header `Damasktrack-Tenant`.
    #[serde(with = "text_field")]
    pub name: ids::TenantName,
    /// Weight that determines the share of the tenant relative to the other tenants.
    pub weight: u32,
}

/// Declared resource, tagged with its kind.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize, derive_more::From)]
#[serde(tag = "kind")]
pub enum Resource {
    /// Declares a service.
    Service(ServiceSpec),
    /// Declares a class of requests.
    Class(ClassSpec),
    /// Declares the limits of a chain.
    Chain(ChainSpec),
    /// Declares a tenant.
    Tenant(TenantSpec),
}

/// Kind of a resource. The order of the kinds is that of resources in a set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize, derive_more::Display)]
pub enum ResourceKind {
    /// Kind of a [`ServiceSpec`].
    Service,
    /// Kind of a [`ClassSpec`].
    Class,
    /// Kind of a [`ChainSpec`].
    Chain,
    /// Kind of a [`TenantSpec`].
    Tenant,
}

/// Kind and name of a resource, unique in a configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize, derive_more::Display)]
#[display("{kind}/{}", ids::text(name))]
#[serde(deny_unknown_fields)]
pub struct ResourceKey {
    /// Kind of the resource.
    pub kind: ResourceKind,
    /// Name, unique among the resources of the kind.
    #[serde(with = "text_field")]
    pub name: bytes::Bytes,
}

fn default_retry_allowance() -> u32 {
    2
}

impl ChainSpec {
    /// Returns the time in which the whole request must complete.
    #[must_use]
    pub fn deadline(&self) -> time::Duration {
        time::Duration::from_millis(self.deadline_ms)
    }
}

impl Resource {
    /// Returns the kind and the name of the resource.
    #[must_use]
    pub fn key(&self) -> ResourceKey {
        let (kind, name) = match self {
            Self::Service(spec) => (ResourceKind::Service, &spec.name),
            Self::Class(spec) => (ResourceKind::Class, &spec.name),
            Self::Chain(spec) => (ResourceKind::Chain, &spec.name),
            Self::Tenant(spec) => (ResourceKind::Tenant, &spec.name),
        };
        ResourceKey {
            kind,
            name: name.clone(),
        }
    }
}

/// Parses a document. The values are not verified.
///
/// # Errors
/// Returns the first fault that serde reports, with its line and column.
pub fn read(text: &[u8]) -> Result<Resource, serde_json::Error> {
    serde_json::from_slice(text)
}
