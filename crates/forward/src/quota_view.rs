//! View of the tenants' quotas for operators: a JSON document on the metrics port.

use damasktrack_entity::ids;
use damasktrack_quota::credit_holder;
use hyper::header;

use crate::node_context;
use crate::quota_state;
use crate::stall_watch;
use crate::tenant_config;

/// Path of the document on the metrics port.
pub const TENANTS_PATH: &str = "/tenants";
/// Request header with the name of the only tenant to return.
pub const TENANT_HEADER: header::HeaderName = header::HeaderName::from_static("damasktrack-tenant");
/// Maximum number of tenants in the document.
const MAX_TENANTS: usize = 1_000;

/// Quotas as this daemon knows them.
#[derive(Debug, serde::Serialize)]
pub struct QuotaDocument {
    /// Id of this daemon.
    pub daemon: String,
    /// Part of every limit that this daemon owns; 0 for a while after its start.
    pub share: f64,
    /// Number of tenants with a limit that match the request.
    pub matches: usize,
    /// Number of these that the document leaves out.
    pub left_out: usize,
    /// Tenants in the order of their names.
    pub tenants: Vec<TenantQuota>,
}

/// Quota of one tenant.
#[derive(Debug, serde::Serialize)]
pub struct TenantQuota {
    /// Name of the tenant.
    pub name: String,
    /// Requests per second over all daemons.
    pub rate_per_s: f64,
    /// Requests beyond the rate.
    pub burst: f64,
    /// Most requests in a window, over all daemons.
    pub window_bound: f64,
    /// Daemon that coordinates the tenant's group, as this daemon chooses it.
    pub coordinator: Option<String>,
    /// Where the credits of this daemon come from.
    pub origin: &'static str,
    /// Unspent credits of this daemon.
    pub held: u64,
    /// Requests that this daemon has refused because of the quota.
    pub refused: u64,
    /// Seconds since the last refusal.
    pub last_refusal_s: Option<f64>,
    /// State at the coordinator; `None` if this daemon isn't it, or no daemon has reported the tenant lately.
    pub coordinated: Option<CoordinatedQuota>,
}

/// Quota of one tenant at its coordinator, as of the last report.
#[derive(Debug, serde::Serialize)]
pub struct CoordinatedQuota {
    /// Part of the limit that is delegated to the coordinator.
    pub share: f64,
    /// Credits granted to all daemons, and neither spent nor returned.
    pub granted: u64,
    /// Credits that can be granted.
    pub available: f64,
    /// Daemons that have reported the tenant lately.
    pub holders: usize,
}

/// Returns the text for a source of credits.
#[must_use]
pub fn origin_text(origin: credit_holder::CreditOrigin) -> &'static str {
    match origin {
        credit_holder::CreditOrigin::Coordinator => "coordinator",
        credit_holder::CreditOrigin::OwnShare => "own share",
        credit_holder::CreditOrigin::NoShare => "no share yet",
    }
}

/// Returns the document about all tenants with a limit, or about the one with this name; `None` if the settings have no
/// bounds for quotas.
#[must_use]
pub fn document(node: &node_context::NodeContext, name: Option<&[u8]>) -> Option<QuotaDocument> {
    let quota = node.quota.as_ref()?;
    let now = stall_watch::boot_time();
    let config = node.core.ask(|core, _now| core.config().cloned());
    let tenants = config.as_ref().and_then(|config| config.tenants());
    let rules = tenants.into_iter().flat_map(tenant_config::TenantTable::iter);
    let rules = rules.filter(|rule| quota.limit(rule).is_some());
    let rules: Vec<_> = rules.filter(|rule| name.is_none_or(|name| rule.name == name)).collect();
    let shown = rules.iter().take(MAX_TENANTS);
    let tenants: Vec<TenantQuota> = shown.map(|rule| tenant_quota(quota, rule, now)).collect();
    Some(QuotaDocument {
        daemon: ids::text(&node.settings.daemon_id).into_owned(),
        share: quota.share(now),
        matches: rules.len(),
        left_out: rules.len() - tenants.len(),
        tenants,
    })
}

fn tenant_quota(
    quota: &quota_state::QuotaState,
    rule: &tenant_config::TenantRule,
    now: stall_watch::BootTime,
) -> TenantQuota {
    let refusals = quota.refusals(&rule.name);
    let (coordinator, origin, held) = quota.holder_credits(&rule.name, now);
    TenantQuota {
        name: ids::text(&rule.name).into_owned(),
        rate_per_s: rule.rate_per_s,
        burst: rule.burst,
        window_bound: quota.bounds().max_requests(rule.rate_per_s, rule.burst),
        coordinator: coordinator.map(|id| ids::text(&id).into_owned()),
        origin: origin_text(origin),
        held,
        refused: refusals.map_or(0, |refusals| refusals.count),
        last_refusal_s: refusals.map(|refusals| now.saturating_sub(refusals.last).as_secs_f64()),
        coordinated: quota.coordinated(&rule.name, now).map(|credits| CoordinatedQuota {
            share: credits.share,
            granted: credits.unspent,
            available: credits.tokens,
            holders: credits.holders,
        }),
    }
}
