//! Configuration that operators put in force: routes, services and limits of callers.

use std::cmp;
use std::collections;
use std::rc;
use std::time;

use bytes::Bytes;
use damasktrack_entity::ids;

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of a caller.
    NonIdempotent,
    /// Large response; may run more than once.
    Download,
}

/// Service that gets a part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// The service.
    pub service: ids::ServiceName,
    /// Part of the requests, relative to the other targets.
    pub weight: u32,
}

/// Where requests of one host and path go, and what they may spend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRule {
    /// Name, which is also the class in metrics and estimates.
    pub name: ids::ClassName,
    /// Host in lower case, without a port.
    pub host: Bytes,
    /// Beginning of the path; starts and ends with a slash.
    pub prefix: Bytes,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting; `None` if only the caller's deadline bounds it.
    pub timeout: Option<time::Duration>,
    /// Rank; 0 is the most important.
    pub priority: u8,
    /// Never empty.
    pub targets: Vec<RouteTarget>,
    /// Most backend servers that one attempt of a caller may be sent to; at least 1.
    pub max_attempts: u32,
}

impl RouteRule {
    /// Returns whether a request may be sent again when it may have run.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        self.kind != RouteKind::NonIdempotent
    }
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head in bytes.
    pub max_header_bytes: usize,
    /// Largest request body in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a request head.
    pub header_timeout: time::Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: time::Duration,
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct RouteConfig {
    /// Versions rise, not always by one.
    pub version: ids::Revision,
    /// Limits of callers.
    pub limits: CallerLimits,
    /// By host; the rules of one host are ordered from the longest prefix to the shortest.
    routes: collections::HashMap<Bytes, Vec<rc::Rc<RouteRule>>>,
}

impl RouteConfig {
    /// Creates a configuration from its rules.
    #[must_use]
    pub fn new(version: ids::Revision, limits: CallerLimits, rules: Vec<RouteRule>) -> Self {
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
        }
    }
}

/// Queries.
impl RouteConfig {
    /// Returns the rule with the longest prefix that begins the path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&rc::Rc<RouteRule>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let lower = name.to_ascii_lowercase();
        let rules = self.routes.get(lower.as_bytes())?;
        rules.iter().find(|rule| path.as_bytes().starts_with(&rule.prefix))
    }

    /// Returns the number of rules.
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
