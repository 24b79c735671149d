//! Tenants of the operators' configuration, and the tenant of a request.

use std::collections;
use std::rc;

use damasktrack_entity::ids;

use crate::caller_key;
use crate::route_config;

/// Number of tenants with metrics of their own. Each has a series for every outcome and a histogram.
const MAX_METRIC_TENANTS: usize = 1_000;
/// Label in metrics of the tenants without metrics of their own.
const OTHER_LABEL: &str = "other";

/// Rules for the requests of a tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantRule {
    /// Name of the tenant, a valid header value.
    pub name: ids::TenantName,
    /// Priority of the tenant's requests, which replaces that of the route; 0 is the most important.
    pub priority: Option<u8>,
    /// Requests per second over all daemons; 0 means no limit.
    pub rate_per_s: f64,
    /// Requests that may exceed the rate for a short time; 0 means none.
    pub burst: f64,
}

/// Tenants of one version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct TenantTable {
    rules: collections::BTreeMap<ids::TenantName, rc::Rc<TenantRule>>,
    keys: collections::HashMap<caller_key::KeyDigest, rc::Rc<TenantRule>>,
    /// Last tenant in name order that has metrics of its own.
    last_in_metrics: Option<ids::TenantName>,
}

impl TenantTable {
    /// Creates a table of tenants with their keys. If a key occurs twice, the last tenant has it; the decoder of the
    /// configuration rejects such a version.
    #[must_use]
    pub fn new(tenants: impl IntoIterator<Item = (TenantRule, Vec<caller_key::KeyDigest>)>) -> Self {
        let mut table = Self::default();
        for (rule, keys) in tenants {
            let rule = rc::Rc::new(rule);
            for key in keys {
                table.keys.insert(key, rc::Rc::clone(&rule));
            }
            table.rules.insert(rule.name.clone(), rule);
        }
        table.last_in_metrics = table.rules.keys().take(MAX_METRIC_TENANTS).last().cloned();
        table
    }
}

/// Queries.
impl TenantTable {
    /// Returns the tenant with this key.
    #[must_use]
    pub fn find_key(&self, key: &caller_key::KeyDigest) -> Option<&rc::Rc<TenantRule>> {
        self.keys.get(key)
    }

    /// Returns the rule of a tenant.
    #[must_use]
    pub fn find_name(&self, name: &ids::TenantName) -> Option<&rc::Rc<TenantRule>> {
        self.rules.get(name)
    }

    /// Returns all rules in the order of the names.
    pub fn iter(&self) -> impl Iterator<Item = &rc::Rc<TenantRule>> {
        self.rules.values()
    }

    /// Returns the number of tenants.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rules.len()
    }

    /// Returns whether there are no tenants. Requests need a key also in this case.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rules.is_empty()
    }

    /// Returns the label of a tenant in metrics.
    #[must_use]
    pub fn metric_label(&self, name: &ids::TenantName) -> String {
        if self.last_in_metrics.as_ref().is_some_and(|last| name <= last) {
            ids::text(name).into_owned()
        } else {
            OTHER_LABEL.to_owned()
        }
    }
}

/// Returns the priority of a request: that of its tenant, or else that of its route.
#[must_use]
pub fn priority(route: &route_config::RouteRule, tenant: Option<&TenantRule>) -> u8 {
    tenant.and_then(|tenant| tenant.priority).unwrap_or(route.priority)
}

/// Whether requests with a key are served on the configuration of this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigTrust {
    /// The configuration was confirmed recently, or needs no confirmation.
    Confirmed,
    /// The last confirmation is too old. Keys may have been revoked meanwhile.
    Unconfirmed,
}

/// Tenant of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum TenantDecision {
    /// The request belongs to this tenant; `None` for the default tenant.
    Known(Option<rc::Rc<TenantRule>>),
    /// The key is unknown, or missing where one is required.
    Unknown,
    /// The key can't be checked at present.
    Unconfirmed,
}

/// Determines the tenant of a request. `table` is `None` without tenants in the configuration, and `allow_anonymous`
/// tells whether the route serves requests without a key.
#[must_use]
pub fn identify(
    table: Option<&TenantTable>,
    key: &caller_key::CarriedKey,
    allow_anonymous: bool,
    trust: ConfigTrust,
) -> TenantDecision {
    let Some(table) = table else {
        return TenantDecision::Known(None);
    };
    match key {
        caller_key::CarriedKey::None if allow_anonymous => TenantDecision::Known(None),
        caller_key::CarriedKey::None => TenantDecision::Unknown,
        _ if trust == ConfigTrust::Unconfirmed => TenantDecision::Unconfirmed,
        caller_key::CarriedKey::One(key) => match table.find_key(&key.digest()) {
            Some(rule) => TenantDecision::Known(Some(rc::Rc::clone(rule))),
            None => TenantDecision::Unknown,
        },
        caller_key::CarriedKey::Several => TenantDecision::Unknown,
    }
}
