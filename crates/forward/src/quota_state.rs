//! State of the tenants' quotas in a daemon: known daemons, holders and coordinators by group of tenants.

use std::cell;
use std::collections;
use std::net;
use std::rc;
use std::time;

use damasktrack_entity::ids;
use damasktrack_quota::coordinator_choice;
use damasktrack_quota::credit_coordinator;
use damasktrack_quota::credit_holder;
use damasktrack_quota::credit_limit;
use damasktrack_quota::credit_message;
use damasktrack_quota::holder_groups;
use damasktrack_quota::known_daemons;
use rand::RngExt;
use tokio::sync;

use crate::core_handle;
use crate::forward_core;
use crate::forward_settings;
use crate::stall_watch;
use crate::tenant_config;

/// Interval at which the live members are read again.
const MEMBERS_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Interval at which coordinators forget holders and tenants without activity.
const PRUNE_INTERVAL: time::Duration = time::Duration::from_secs(5);
/// Time after the last refusal in which the number of a tenant's refusals is kept.
const REFUSAL_COUNT_AGE: time::Duration = time::Duration::from_hours(24);
/// Time without a refusal after which a tenant's next refusal is logged again.
const REFUSAL_LOG_AGE: time::Duration = time::Duration::from_secs(10);

/// Reports of the holder of one group to its coordinator.
#[derive(Debug, Default)]
struct GroupReports {
    /// Chosen coordinator and its peer address.
    coordinator: Option<(ids::DaemonId, net::SocketAddr)>,
    /// Number of the report whose reply is outstanding.
    open: Option<u64>,
    /// Whether a request waits for a report that hasn't been sent.
    is_urgent: bool,
    replied: rc::Rc<sync::Notify>,
}

/// Report that is due.
#[derive(Debug)]
pub struct DueReport {
    /// Group of the tenants.
    pub group: coordinator_choice::GroupKey,
    /// Coordinator of the group.
    pub coordinator: ids::DaemonId,
    /// Peer address of the coordinator.
    pub address: net::SocketAddr,
    /// Report to send.
    pub report: credit_message::CreditReport,
}

/// Refusals of a tenant's requests at this daemon.
#[derive(Clone, Copy, Debug)]
pub struct RefusalCount {
    /// Number of refusals.
    pub count: u64,
    /// Time of the last one.
    pub last: stall_watch::BootTime,
}

#[derive(Debug, Default)]
struct QuotaParts {
    known: known_daemons::KnownDaemons,
    /// Holders by group; empty while no tenant has a limit.
    holders: holder_groups::HolderGroups,
    /// Reports of each of `holders`, in the same order.
    reports: Vec<GroupReports>,
    coordinators: collections::HashMap<coordinator_choice::GroupKey, credit_coordinator::CreditCoordinator>,
    members_read: Option<stall_watch::BootTime>,
    pruned: stall_watch::BootTime,
    refusals: collections::HashMap<ids::TenantName, RefusalCount>,
}

/// State of the quotas. Exists only with bounds for quotas in the settings.
#[derive(Debug)]
pub struct QuotaState {
    bounds: credit_limit::QuotaBounds,
    parts: cell::RefCell<QuotaParts>,
    /// Wakes the task that sends reports.
    pub wake: sync::Notify,
    /// Whether the task that sends reports runs.
    pub is_running: cell::Cell<bool>,
}

/// Commands.
impl QuotaState {
    /// Creates the state without credits.
    #[must_use]
    pub fn new(bounds: forward_settings::QuotaBounds) -> Self {
        Self {
            bounds: credit_limit::QuotaBounds {
                window: bounds.window,
                over: bounds.over,
                slack: bounds.slack,
            },
            parts: cell::RefCell::default(),
            wake: sync::Notify::new(),
            is_running: cell::Cell::new(false),
        }
    }

    /// Records the daemons that the store lists.
    pub fn note_list<'a>(
        &self,
        daemons: impl Iterator<Item = &'a ids::DaemonId> + Clone,
        own: &ids::DaemonId,
        now: stall_watch::BootTime,
    ) {
        let mut parts = self.parts.borrow_mut();
        if daemons.clone().any(|id| id == own) {
            parts.known.note_list(now);
        }
        parts.known.note(daemons, now);
    }

    /// Adapts the holders to the number of tenants with a limit; returns whether there are any.
    pub fn set_tenants(
        &self,
        limited: usize,
        identity: &credit_holder::HolderIdentity,
        now: stall_watch::BootTime,
    ) -> bool {
        let groups = coordinator_choice::group_count(limited) as usize;
        let mut parts = self.parts.borrow_mut();
        let parts = &mut *parts;
        if parts.holders.resize(groups, identity, &mut parts.known, now) == holder_groups::ResizeResult::Replaced {
            log::info!(groups = groups, limited = limited; "holders of the quotas replaced");
            // Requests that wait for a reply look for the new holders.
            parts
                .reports
                .iter()
                .for_each(|reports| reports.replied.notify_waiters());
            parts.reports = std::iter::repeat_with(GroupReports::default).take(groups).collect();
            parts.members_read = None;
        }
        groups > 0
    }

    /// Returns the reports that are due.
    pub fn due_reports(&self, core: &core_handle::CoreHandle, now: stall_watch::BootTime) -> Vec<DueReport> {
        let mut parts = self.parts.borrow_mut();
        let parts = &mut *parts;
        let is_stale = |read| now.saturating_sub(read) >= MEMBERS_INTERVAL;
        if parts.members_read.is_none_or(is_stale) {
            parts.members_read = Some(now);
            core.ask(|core, _now| parts.read_members(core, now));
        }
        if now.saturating_sub(parts.pruned) >= PRUNE_INTERVAL {
            parts.pruned = now;
            parts.coordinators.values_mut().for_each(|part| part.prune(now));
            parts.coordinators.retain(|_group, part| !part.is_idle());
            parts
                .refusals
                .retain(|_tenant, refusals| now.saturating_sub(refusals.last) < REFUSAL_COUNT_AGE);
        }
        let groups = u32::try_from(parts.holders.len()).unwrap_or(u32::MAX);
        let (share, expected) = (parts.known.share(now), parts.known.settled_at());
        let mut due = Vec::new();
        let holders = parts.holders.iter_mut().zip(&mut parts.reports);
        for (index, (holder, reports)) in (0..groups).zip(holders) {
            holder.set_share(share, expected, now);
            let is_due = reports.open.is_none() && (reports.is_urgent || holder.next_report() <= now);
            let Some((coordinator, address)) = reports.coordinator.as_ref().filter(|_chosen| is_due) else {
                continue;
            };
            let report = holder.begin_report(coordinator, now);
            reports.is_urgent = false;
            reports.open = Some(report.sequence);
            due.push(DueReport {
                group: (index, groups),
                coordinator: coordinator.clone(),
                address: *address,
                report,
            });
        }
        due
    }

    /// Ends a report, with its reply if one arrived. Nothing happens if the holder that sent it was replaced.
    pub fn finish_report(
        &self,
        group: coordinator_choice::GroupKey,
        sequence: u64,
        reply: Option<&credit_message::CreditReply>,
        now: stall_watch::BootTime,
    ) {
        let mut parts = self.parts.borrow_mut();
        let parts = &mut *parts;
        let index = group.0 as usize;
        let Some((holder, reports)) = parts.holders.get_mut(index).zip(parts.reports.get_mut(index)) else {
            return;
        };
        if reports.open.take_if(|open| *open == sequence).is_none() {
            return;
        }
        if let Some(reply) = reply {
            holder.finish_report(sequence, reply, now);
        }
        reports.replied.notify_waiters();
    }

    /// Handles a report as coordinator; `None` if it is older than one handled before.
    pub fn serve_report(
        &self,
        group: coordinator_choice::GroupKey,
        report: &credit_message::CreditReport,
        tenants: Option<&tenant_config::TenantTable>,
        now: stall_watch::BootTime,
    ) -> Option<credit_message::CreditReply> {
        let mut parts = self.parts.borrow_mut();
        let coordinator = parts
            .coordinators
            .entry(group)
            .or_insert_with(|| credit_coordinator::CreditCoordinator::new(rand::rng().random(), now));
        let limit = |name: &ids::TenantName| self.limit(tenants?.find_name(name)?);
        coordinator.report(report, limit, now)
    }

    /// Calls `step` with the holder of a tenant; `None` while no tenant has a limit.
    pub fn with_holder<R>(
        &self,
        tenant: &ids::TenantName,
        step: impl FnOnce(&mut credit_holder::CreditHolder) -> R,
    ) -> Option<R> {
        let mut parts = self.parts.borrow_mut();
        let group = parts.group_of(tenant)?.0 as usize;
        Some(step(parts.holders.get_mut(group)?))
    }

    /// Returns the notification of the next reply. Requests a report at once if it is urgent.
    pub fn await_report(&self, tenant: &ids::TenantName, is_urgent: bool) -> Option<rc::Rc<sync::Notify>> {
        let mut parts = self.parts.borrow_mut();
        let group = parts.group_of(tenant)?.0 as usize;
        let reports = parts.reports.get_mut(group)?;
        let replied = rc::Rc::clone(&reports.replied);
        if is_urgent {
            reports.is_urgent = true;
            self.wake.notify_one();
        }
        Some(replied)
    }

    /// Records a refusal; returns whether it is the first one of the tenant for a while.
    pub fn note_refusal(&self, tenant: &ids::TenantName, now: stall_watch::BootTime) -> bool {
        let refusals = &mut self.parts.borrow_mut().refusals;
        let Some(known) = refusals.get_mut(tenant) else {
            refusals.insert(tenant.clone(), RefusalCount { count: 1, last: now });
            return true;
        };
        let is_first = now.saturating_sub(known.last) >= REFUSAL_LOG_AGE;
        known.count += 1;
        known.last = now;
        is_first
    }
}

/// Queries.
impl QuotaState {
    /// Returns the limit of a tenant; `None` without one.
    #[must_use]
    pub fn limit(&self, rule: &tenant_config::TenantRule) -> Option<credit_limit::CreditLimit> {
        credit_limit::CreditLimit::new(rule.rate_per_s, rule.burst, &self.bounds)
    }

    /// Returns the bounds of the quotas.
    #[must_use]
    pub fn bounds(&self) -> &credit_limit::QuotaBounds {
        &self.bounds
    }

    /// Returns the part of every limit that this daemon owns.
    #[must_use]
    pub fn share(&self, now: stall_watch::BootTime) -> f64 {
        self.parts.borrow().known.share(now)
    }

    /// Returns the refusals of a tenant's requests; `None` without one.
    #[must_use]
    pub fn refusals(&self, tenant: &ids::TenantName) -> Option<RefusalCount> {
        self.parts.borrow().refusals.get(tenant).copied()
    }

    /// Returns the chosen coordinator of a tenant, where its credits come from, and the number of unspent ones.
    #[must_use]
    pub fn holder_credits(
        &self,
        tenant: &ids::TenantName,
        now: stall_watch::BootTime,
    ) -> (Option<ids::DaemonId>, credit_holder::CreditOrigin, u64) {
        let parts = self.parts.borrow();
        let group = parts.group_of(tenant).map(|key| key.0 as usize);
        let group = group.and_then(|group| parts.holders.get(group).zip(parts.reports.get(group)));
        let Some((holder, reports)) = group else {
            return (None, credit_holder::CreditOrigin::NoShare, 0);
        };
        let coordinator = reports.coordinator.as_ref().map(|chosen| chosen.0.clone());
        (coordinator, holder.origin(now), holder.held_of(tenant, now))
    }

    /// Returns the credits of a tenant that this daemon coordinates; `None` for another.
    #[must_use]
    pub fn coordinated(
        &self,
        tenant: &ids::TenantName,
        now: stall_watch::BootTime,
    ) -> Option<credit_coordinator::TenantCredits> {
        let parts = self.parts.borrow();
        let coordinator = parts.coordinators.get(&parts.group_of(tenant)?)?;
        coordinator.tenant_credits(tenant, now)
    }

    /// Returns whether any tenant has a limit.
    #[must_use]
    pub fn has_limits(&self) -> bool {
        !self.parts.borrow().holders.is_empty()
    }

    /// Returns when the next report is due; `None` if all reports wait for a reply.
    #[must_use]
    pub fn next_report(&self) -> Option<stall_watch::BootTime> {
        let parts = self.parts.borrow();
        let holders = parts.holders.iter().zip(&parts.reports);
        let idle = holders.filter(|(_holder, reports)| reports.open.is_none());
        idle.map(|(holder, _reports)| holder.next_report()).min()
    }

    /// Returns the credits held and the credits granted as coordinator since the start.
    #[must_use]
    pub fn totals(&self, now: stall_watch::BootTime) -> (u64, u64) {
        let parts = self.parts.borrow();
        let held = parts.holders.iter().map(|holder| holder.held(now)).sum();
        let granted = parts
            .coordinators
            .values()
            .map(credit_coordinator::CreditCoordinator::granted);
        (held, granted.sum())
    }
}

impl QuotaParts {
    fn group_of(&self, tenant: &ids::TenantName) -> Option<coordinator_choice::GroupKey> {
        let groups = u32::try_from(self.holders.len()).ok()?;
        Some((coordinator_choice::group_of(tenant, groups), groups))
    }

    /// Reads the live members, and chooses the coordinators among those that aren't leaving.
    fn read_members(&mut self, core: &forward_core::ForwardCore, now: stall_watch::BootTime) {
        let records = core.gossip().table().iter().map(|(_key, entry)| &entry.record);
        let live: Vec<_> = records.filter(|record| record.state.is_live()).collect();
        self.known.note(live.iter().map(|record| &record.daemon_id), now);
        for (index, group) in (0_u32..).zip(&mut self.reports) {
            let staying = live.iter().filter(|record| !record.leaving);
            let chosen = coordinator_choice::choose(index, staying.map(|record| &record.daemon_id));
            let chosen = chosen.and_then(|id| core.gossip().table().find(id));
            let chosen = chosen.map(|entry| (entry.record.daemon_id.clone(), entry.record.address));
            let id_of = |chosen: &Option<(ids::DaemonId, _)>| chosen.as_ref().map(|chosen| chosen.0.clone());
            if id_of(&chosen) != id_of(&group.coordinator) {
                let name = |chosen: &Option<(ids::DaemonId, _)>| {
                    id_of(chosen).map_or_else(String::new, |id| ids::text(&id).into_owned())
                };
                log::info!(
                    group = index, coordinator = name(&chosen), before = name(&group.coordinator);
                    "quota coordinator changed"
                );
            }
            group.coordinator = chosen;
        }
    }
}
