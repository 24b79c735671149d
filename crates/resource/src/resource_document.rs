//! Documents that operators write, one JSON object for each resource.

use std::time;

use damasktrack_entity::ids;

use crate::text_field;

/// Method of a route that matches every method.
pub const ANY_METHOD: &str = "*";

/// Service: a group of backend servers that run the same software.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Unique name; the first path segment of the caller's URL.
    #[serde(with = "text_field")]
    pub name: ids::ServiceName,
    /// Calls that one backend server runs at once.
    pub slots: u32,
    /// Answers without a length that end with the connection are complete.
    #[serde(default)]
    pub close_delimited: bool,
}

/// Lane of a class at the callee.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ClassLane {
    /// Work that is over in well under a second.
    #[default]
    Short,
    /// Downloads and other long work, with its own limit and connections.
    Long,
}

/// Calls that belong to a class.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// Called service.
    #[serde(with = "text_field")]
    pub service: ids::ServiceName,
    /// HTTP method, or [`ANY_METHOD`].
    #[serde(with = "text_field")]
    pub method: bytes::Bytes,
    /// Prefix of the path in whole segments: `/pair` covers `/pair` and `/pair/7`, not `/pairs`.
    #[serde(with = "text_field")]
    pub path_prefix: bytes::Bytes,
}

/// Class of requests.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Unique name.
    #[serde(with = "text_field")]
    pub name: ids::ClassName,
    /// 0 to 15; greater ones are shed later, and 15 is for critical classes.
    pub importance: u8,
    /// Shed last.
    #[serde(default)]
    pub critical: bool,
    /// Running a request twice has the effect of running it once.
    pub idempotent: bool,
    /// Lane at the callee.
    #[serde(default)]
    pub lane: ClassLane,
    /// Chain whose limits apply.
    #[serde(with = "text_field")]
    pub chain: bytes::Bytes,
    /// Calls of a long class may be routed to other regions.
    #[serde(default)]
    pub cross_region: bool,
    /// Calls that belong to the class.
    pub routes: Vec<RouteSpec>,
}

/// Limits that the calls of one request share.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChainSpec {
    /// Unique name.
    #[serde(with = "text_field")]
    pub name: bytes::Bytes,
    /// Most calls one below another.
    pub max_depth: u32,
    /// Deadline of the whole request, in milliseconds.
    pub deadline_ms: u64,
    /// Attempts beyond the first ones, for the whole request.
    #[serde(default = "default_retry_allowance")]
    pub retry_allowance: u32,
}

/// Tenant with its share of each server.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantSpec {
    /// Unique name, as in the header `Damasktrack-Tenant`.
    #[serde(with = "text_field")]
    pub name: ids::TenantName,
    /// Share relative to the other tenants.
    pub weight: u32,
}

/// Declared resource.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize, derive_more::From)]
#[serde(tag = "kind")]
pub enum Resource {
    /// Service.
    Service(ServiceSpec),
    /// Class.
    Class(ClassSpec),
    /// Chain.
    Chain(ChainSpec),
    /// Tenant.
    Tenant(TenantSpec),
}

/// Kind of a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize, derive_more::Display)]
pub enum ResourceKind {
    /// Service.
    Service,
    /// Class.
    Class,
    /// Chain.
    Chain,
    /// Tenant.
    Tenant,
}

/// Kind and name, unique in a configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize, derive_more::Display)]
#[display("{kind}/{}", ids::text(name))]
#[serde(deny_unknown_fields)]
pub struct ResourceKey {
    /// Kind.
    pub kind: ResourceKind,
    /// Name, unique among the resources of the kind.
    #[serde(with = "text_field")]
    pub name: bytes::Bytes,
}

fn default_retry_allowance() -> u32 {
    2
}

impl ChainSpec {
    /// Returns the deadline of the whole request.
    #[must_use]
    pub fn deadline(&self) -> time::Duration {
        time::Duration::from_millis(self.deadline_ms)
    }
}

impl Resource {
    /// Returns kind and name.
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

/// Reads a document.
///
/// # Errors
/// Returns what serde says about the first fault, with line and column.
pub fn read(text: &[u8]) -> Result<Resource, serde_json::Error> {
    serde_json::from_slice(text)
}
