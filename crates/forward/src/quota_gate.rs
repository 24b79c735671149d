//! Admission of a request by the quota of its tenant.

use std::rc;
use std::time;

use damasktrack_entity::ids;
use damasktrack_quota::credit_holder;
use damasktrack_quota::credit_wait;
use rand::RngExt;

use crate::forward_core;
use crate::log_limiter;
use crate::node_context;
use crate::quota_view;
use crate::stall_watch;
use crate::tenant_config;

/// Range of the factor by which each `Retry-After` is extended at random, to spread the retries.
const RETRY_SPREAD: std::ops::Range<f64> = 1.0..1.5;

/// Decision about a request.
#[derive(Debug)]
pub enum QuotaDecision {
    /// The request may be sent.
    Admitted(QuotaCredit),
    /// The tenant is above its quota.
    Refused(QuotaRefusal),
}

/// State of a tenant's quota when a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaRefusal {
    /// Time after which a credit is expected.
    pub wait: time::Duration,
    /// Where the credits of this daemon come from.
    pub origin: credit_holder::CreditOrigin,
}

/// Credit of an admitted request. It stays spent unless it is given back.
#[derive(Debug)]
pub struct QuotaCredit {
    /// Tenant and credit; `None` for a request that doesn't count.
    spent: Option<(ids::TenantName, credit_holder::SpentCredit)>,
}

impl QuotaCredit {
    /// Gives the credit back. The request has not run and will not run later.
    pub fn give_back(self, node: &node_context::NodeContext) {
        if let (Some((tenant, credit)), Some(quota)) = (self.spent, &node.quota) {
            quota.with_holder(&tenant, |holder| {
                holder.refund(&tenant, credit, stall_watch::boot_time());
            });
        }
    }
}

/// Counts a request as waiting until it is dropped, which includes cancellation by the caller.
struct WaitGuard<'a> {
    node: &'a node_context::NodeContext,
    tenant: &'a ids::TenantName,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if let Some(quota) = &self.node.quota {
            quota.with_holder(self.tenant, |holder| holder.end_wait(self.tenant));
        }
    }
}

/// Takes a credit for a request of a tenant, and waits for one as long as [`credit_wait::CreditWait`] allows.
pub async fn admit(
    node: &rc::Rc<node_context::NodeContext>,
    rule: Option<&tenant_config::TenantRule>,
    time_left: time::Duration,
) -> QuotaDecision {
    let uncounted = QuotaDecision::Admitted(QuotaCredit { spent: None });
    let (Some(quota), Some(rule)) = (&node.quota, rule) else {
        return uncounted;
    };
    let Some(limit) = quota.limit(rule) else {
        return uncounted;
    };
    let tenant = &rule.name;
    let mut wait = credit_wait::CreditWait::new(time_left, stall_watch::boot_time());
    let mut waiting = None;
    let mut is_held = false;
    loop {
        let now = stall_watch::boot_time();
        // A newer configuration may have no limits.
        let Some(result) = quota.with_holder(tenant, |holder| holder.take(tenant, &limit, now)) else {
            return uncounted;
        };
        let may_hold = node
            .core
            .ask(|core, _now| core.phase() == forward_core::LifePhase::Running);
        let (is_urgent, pause) = match wait.decide(&result, may_hold, now) {
            Some(credit_wait::WaitStep::Report(pause)) => (true, pause),
            Some(credit_wait::WaitStep::Pause(pause)) => (false, pause),
            Some(credit_wait::WaitStep::Refuse(retry)) => {
                record_refusal(node, tenant, now);
                return QuotaDecision::Refused(QuotaRefusal {
                    wait: retry.mul_f64(rand::rng().random_range(RETRY_SPREAD)),
                    origin: quota.holder_credits(tenant, now).1,
                });
            }
            None => {
                let spent = match result {
                    credit_holder::TakeResult::Granted(credit) => Some((tenant.clone(), credit)),
                    _ => None,
                };
                return QuotaDecision::Admitted(QuotaCredit { spent });
            }
        };
        let Some(replied) = quota.await_report(tenant, is_urgent) else {
            return uncounted;
        };
        if waiting.is_none() {
            quota.with_holder(tenant, |holder| holder.begin_wait(tenant));
            waiting = Some(WaitGuard { node, tenant });
        }
        if wait.in_outage() && !is_held {
            is_held = true;
            record_hold(node, tenant);
        }
        let _replied = tokio::time::timeout(pause, replied.notified()).await;
    }
}

fn record_hold(node: &node_context::NodeContext, tenant: &ids::TenantName) {
    node.metrics.count_quota_hold();
    let decision = node
        .log_limiter
        .decide(log_limiter::LogCategory::Failure, time::Instant::now());
    if let log_limiter::LogDecision::Write { left_out } = decision {
        let tenant = ids::text(tenant);
        log::info!(tenant:% = tenant, left_out = left_out; "request waits for the end of an outage of the quotas");
    }
}

fn record_refusal(node: &node_context::NodeContext, tenant: &ids::TenantName, now: stall_watch::BootTime) {
    node.metrics.count_quota_refusal();
    let Some(quota) = &node.quota else {
        return;
    };
    if !quota.note_refusal(tenant, now) {
        return;
    }
    let decision = node
        .log_limiter
        .decide(log_limiter::LogCategory::Failure, time::Instant::now());
    if let log_limiter::LogDecision::Write { left_out } = decision {
        let (coordinator, origin, _held) = quota.holder_credits(tenant, now);
        let coordinator = coordinator.map_or_else(String::new, |id| ids::text(&id).into_owned());
        let (tenant, origin) = (ids::text(tenant), quota_view::origin_text(origin));
        log::info!(
            tenant:% = tenant, coordinator = coordinator, credits = origin, left_out = left_out;
            "requests of a tenant above its quota are refused"
        );
    }
}
