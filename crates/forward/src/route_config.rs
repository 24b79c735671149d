//! Operators' configuration: routes with their target services, and limits of callers' requests.

use std::cmp;
use std::collections;
use std::rc;
use std::time;

use bytes::Bytes;
use damasktrack_entity::ids;

use crate::tenant_config;

/// Whether the requests of a route may be repeated, and the size of their responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// A request runs at most once for each attempt of a caller.
    NonIdempotent,
    /// Requests have large responses and may run more than once.
    Download,
}

/// Service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: ids::ServiceName,
    /// Share of the requests, relative to the other targets; 0 excludes the service.
    pub weight: u32,
}

/// Routing rule for a host and path prefix, with the limits of its requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRule {
    /// Name of the route, also used as the class in metrics and latency estimates.
    pub name: ids::ClassName,
    /// Host that the rule matches, in lower case and without a port.
    pub host: Bytes,
    /// Path prefix that the rule matches; starts and ends with a slash.
    pub prefix: Bytes,
    /// Whether a request may be repeated.
    pub kind: RouteKind,
    /// Upper bound of a caller's deadline; `None` if the route sets none.
    pub timeout: Option<time::Duration>,
    /// Latency objective of callers; with one, servers are chosen by expected time to completion.
    pub latency_objective: Option<time::Duration>,
    /// Priority; 0 is the most important.
    pub priority: u8,
    /// Whether requests without a key are served where tenants are configured.
    pub allow_anonymous: bool,
    /// Services that the requests are distributed over by weight; never empty.
    pub targets: Vec<RouteTarget>,
    /// Maximum number of backend servers that one attempt of a caller is sent to; at least 1.
    pub max_attempts: u32,
}

impl RouteRule {
    /// Returns whether a request that may have run may be sent again.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        self.kind != RouteKind::NonIdempotent
    }
}

/// Size and time limits of callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head in bytes.
    pub max_header_bytes: usize,
    /// Largest request body in bytes.
    pub max_body_bytes: usize,
    /// Time limit for receiving a request head, from its first byte.
    pub header_timeout: time::Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: time::Duration,
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct RouteConfig {
    /// Version of the configuration. Versions increase, not necessarily by one.
    pub version: ids::Revision,
    /// Limits of callers' requests and connections.
    pub limits: CallerLimits,
    /// Rules by host, those of one host from the longest prefix to the shortest.
    routes: collections::HashMap<Bytes, Vec<rc::Rc<RouteRule>>>,
    /// Services that the configuration names, also those without a share of requests.
    services: collections::HashSet<ids::ServiceName>,
    tenants: Option<tenant_config::TenantTable>,
    /// Whether a rule has a latency objective.
    latency_objectives: bool,
}

impl RouteConfig {
    /// Creates a configuration and orders the rules of each host by the length of the prefix.
    #[must_use]
    pub fn new(version: ids::Revision, limits: CallerLimits, rules: Vec<RouteRule>) -> Self {
        let targets = rules.iter().flat_map(|rule| &rule.targets);
        let services = targets.map(|target| target.service.clone()).collect();
        let latency_objectives = rules.iter().any(|rule| rule.latency_objective.is_some());
        let mut routes: collections::HashMap<Bytes, Vec<rc::Rc<RouteRule>>> = collections::HashMap::new();
        for rule in rules {
            routes.entry(rule.host.clone()).or_default().push(rc::Rc::new(rule));
        }
        for rules in routes.values_mut() {
            rules.sort_by_key(|rule| cmp::Reverse(rule.prefix.len()));
        }
        Self {
            version,
            limits,
            routes,
            services,
            latency_objectives,
            tenants: None,
        }
    }

    /// Adds services that the configuration names outside its routes.
    #[must_use]
    pub fn with_services(mut self, services: impl IntoIterator<Item = ids::ServiceName>) -> Self {
        self.services.extend(services);
        self
    }

    /// Sets the tenants, from which on requests need a key.
    #[must_use]
    pub fn with_tenants(self, tenants: tenant_config::TenantTable) -> Self {
        Self {
            tenants: Some(tenants),
            ..self
        }
    }
}

/// Queries.
impl RouteConfig {
    /// Returns the rule of the host with the longest matching path prefix. A port in `host` is ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&rc::Rc<RouteRule>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let lower = name.to_ascii_lowercase();
        let rules = self.routes.get(lower.as_bytes())?;
        rules.iter().find(|rule| path.as_bytes().starts_with(&rule.prefix))
    }

    /// Returns the services that the configuration names.
    pub fn services(&self) -> impl Iterator<Item = &ids::ServiceName> {
        self.services.iter()
    }

    /// Returns the tenants; `None` if none are configured.
    #[must_use]
    pub fn tenants(&self) -> Option<&tenant_config::TenantTable> {
        self.tenants.as_ref()
    }

    /// Returns whether a rule has a latency objective.
    #[must_use]
    pub fn has_latency_objective(&self) -> bool {
        self.latency_objectives
    }

    /// Returns the number of rules over all hosts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Returns whether there are no rules.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}
