//! Holder: credits of a daemon for one group of tenants, and the daemon's own share while it has no coordinator.

use std::collections;
use std::time;

use damasktrack_entity::ids;

use crate::credit_bucket;
use crate::credit_limit;
use crate::credit_message;
use crate::refund_log;
use crate::tenant_account;

/// Interval of reports while credits are used.
const BUSY_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Interval of reports while no credits are used.
const IDLE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Time after a reply without credits in which requests of the tenant don't wait for another.
const REFUSAL_AGE: time::Duration = time::Duration::from_millis(200);
/// Longest time after a reply without credits in which no further reply is waited for, if it names a longer wait. At 86
/// daemons a tenant above its limit then causes 172 further reports a second.
const MAX_REFUSAL_AGE: time::Duration = time::Duration::from_millis(500);
/// Time from the moment at which a share may be delegated to the first credits: a report, its reply, and the same for
/// the share itself.
const FIRST_CREDIT_TIME: time::Duration = time::Duration::from_millis(300);
/// Time after a reply of a recovering coordinator in which it still counts as recovering.
const RECOVERY_AGE: time::Duration = time::Duration::from_secs(1);
/// Time without a reply to a report after which the coordinator counts as lost. A reply takes 60 ms between regions.
const REPLY_TIMEOUT: time::Duration = time::Duration::from_millis(200);
/// Time after a reply of a recovering coordinator in which requests don't wait for another.
const RECOVERY_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Time after the return of the own share in which a coordinator is expected to take it.
const RELINK_TIME: time::Duration = time::Duration::from_secs(1);
/// Longest `Retry-After`.
const MAX_RETRY: time::Duration = time::Duration::from_mins(1);

/// Identity of the process that holds the credits.
#[derive(Clone, Debug)]
pub struct HolderIdentity {
    /// Id of the daemon.
    pub daemon_id: ids::DaemonId,
    /// Incarnation of the daemon.
    pub incarnation: ids::Incarnation,
    /// Start time in milliseconds since the Unix epoch.
    pub started_ms: u64,
}

/// Numbers of the latest link and report of a holder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HolderNumbers {
    links: u64,
    sequence: u64,
}

impl HolderNumbers {
    /// Returns the later number of each kind.
    #[must_use]
    pub fn later(self, other: Self) -> Self {
        Self {
            links: self.links.max(other.links),
            sequence: self.sequence.max(other.sequence),
        }
    }
}

/// Result of [`CreditHolder::take`].
#[derive(Clone, Debug, PartialEq)]
pub enum TakeResult {
    /// The request may be sent.
    Granted(SpentCredit),
    /// There is no credit. A report should be sent at once, and its reply may grant one.
    Wait {
        /// Whether the coordinator recovers, so that the tenant may be within its limit without a credit.
        in_recovery: bool,
    },
    /// There is no credit; the earliest time at which there may be one.
    Refused(time::Duration),
    /// Nobody can grant a credit at present, whether or not the tenant is within its limit; the time until somebody is
    /// expected to.
    Outage(time::Duration),
}

/// Origin of a spent credit, to return it if the request does not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpentCredit {
    source: CreditSource,
    spent: time::Duration,
}

/// Where the credits of a holder come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CreditOrigin {
    /// From a coordinator.
    Coordinator,
    /// From the daemon's own share.
    OwnShare,
    /// From nowhere: a coordinator may still count the share, or the process has started lately.
    NoShare,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CreditSource {
    /// From the coordinator of this link, before the report with this number.
    Coordinator { link: u64, sequence: u64 },
    /// From the daemon's own share.
    OwnShare,
}

/// Connection to one process of one coordinator. Credits and totals belong to it.
#[derive(Debug)]
struct CoordinatorLink {
    /// Number of the link at this holder.
    number: u64,
    coordinator: ids::DaemonId,
    epoch: credit_message::CoordinatorEpoch,
    stamp_ms: u64,
    replied: time::Duration,
    /// End of the credits, counted from the sending of the report that was replied to.
    credit_end: time::Duration,
}

/// Report that has been sent and not replied to.
#[derive(Debug)]
struct OpenReport {
    sequence: u64,
    coordinator: ids::DaemonId,
    /// Epoch that the report refers to; 0 for none.
    epoch: credit_message::CoordinatorEpoch,
    sent: time::Duration,
    tenants: Vec<(ids::TenantName, tenant_account::CreditTotals)>,
}

/// Credits of a daemon for one group of tenants.
#[derive(Debug)]
pub struct CreditHolder {
    identity: HolderIdentity,
    sequence: u64,
    link: Option<CoordinatorLink>,
    links: u64,
    open: Option<OpenReport>,
    /// When the first report since the last reply of the link was sent.
    unanswered_since: Option<time::Duration>,
    /// Time before which a coordinator may count the own share.
    share_end: time::Duration,
    /// Part of every limit that this daemon owns.
    share: f64,
    /// When the share is expected to be above 0; `None` if that isn't known.
    share_expected: Option<time::Duration>,
    accounts: collections::HashMap<ids::TenantName, tenant_account::TenantAccount>,
    next_report: time::Duration,
    last_use: time::Duration,
}

/// Commands.
impl CreditHolder {
    /// Creates a holder without credits. Its links and reports have later numbers than `used`.
    #[must_use]
    pub fn new(identity: HolderIdentity, used: HolderNumbers, now: time::Duration) -> Self {
        Self {
            identity,
            sequence: used.sequence,
            link: None,
            links: used.links,
            open: None,
            unanswered_since: None,
            share_end: time::Duration::ZERO,
            share: 0.0,
            share_expected: None,
            accounts: collections::HashMap::new(),
            next_report: now,
            last_use: time::Duration::ZERO,
        }
    }

    /// Sets the part of every limit that this daemon owns, and when it is expected to own one.
    pub fn set_share(&mut self, share: f64, expected: Option<time::Duration>, now: time::Duration) {
        if self.share <= 0.0 {
            // Nothing has been filled before.
            self.share_end = self.share_end.max(now);
            if share > 0.0 {
                // Requests may wait for credits that the share backs.
                self.next_report = now;
            }
        }
        self.share = share;
        self.share_expected = expected;
    }

    /// Takes a credit for a request of this tenant.
    pub fn take(
        &mut self,
        tenant: &ids::TenantName,
        limit: &credit_limit::CreditLimit,
        now: time::Duration,
    ) -> TakeResult {
        let linked = self.link.as_ref().filter(|link| now < link.credit_end);
        let source = linked.map(|link| CreditSource::Coordinator {
            link: link.number,
            sequence: self.sequence,
        });
        let owns_share = self.owns_share(now);
        if !self.accounts.contains_key(tenant) {
            self.accounts
                .insert(tenant.clone(), tenant_account::TenantAccount::new(now));
        }
        let Some(account) = self.accounts.get_mut(tenant) else {
            return TakeResult::Wait { in_recovery: false };
        };
        self.last_use = now;
        account.last_use = now;
        if let Some(source) = source
            && account.available() > 0
        {
            account.spent += 1;
            account.count_use(now, 1);
            return TakeResult::Granted(SpentCredit { source, spent: now });
        }
        if owns_share {
            let own = account.own.get_or_insert_with(|| {
                // Filled from the moment at which the share came back.
                credit_bucket::CreditBucket::new(self.share_end.as_secs_f64(), now)
            });
            own.fill(
                limit.rate * self.share,
                now.as_secs_f64(),
                limit.capacity * self.share,
                now,
            );
            if own.level() >= 1.0 {
                own.take(1.0);
                account.count_use(now, 1);
                let source = CreditSource::OwnShare;
                return TakeResult::Granted(SpentCredit { source, spent: now });
            }
            if linked.is_none() && now < self.share_end + RELINK_TIME {
                return TakeResult::Outage(FIRST_CREDIT_TIME);
            }
            if linked.is_none() {
                let rate = limit.rate * self.share;
                let seconds = ((1.0 - own.level()) / rate).clamp(0.0, MAX_RETRY.as_secs_f64());
                return TakeResult::Refused(time::Duration::from_secs_f64(seconds));
            }
        }
        let refused = now < account.refused_until;
        let unanswered = self.unanswered_since;
        match (linked, account.credit_at) {
            (Some(_link), _) if unanswered.is_some_and(|since| now.saturating_sub(since) >= REPLY_TIMEOUT) => {
                TakeResult::Outage(self.share_wait(now))
            }
            (Some(_link), Some(credit_at)) if refused => {
                let wait = credit_at.saturating_sub(now);
                TakeResult::Refused(wait.clamp(time::Duration::from_millis(10), MAX_RETRY))
            }
            (Some(_link), None) if refused && self.share > 0.0 => TakeResult::Outage(FIRST_CREDIT_TIME),
            (Some(_link), None) if refused => TakeResult::Outage(self.share_wait(now)),
            (Some(_link), _) => TakeResult::Wait {
                in_recovery: now < account.recovery_end,
            },
            (None, _) => TakeResult::Outage(self.share_wait(now)),
        }
    }

    /// Returns the time until this daemon's share is expected to back credits.
    fn share_wait(&self, now: time::Duration) -> time::Duration {
        let free = if self.share > 0.0 {
            self.share_end
        } else {
            self.share_expected.unwrap_or(now + credit_message::SHARE_LEASE)
        };
        free.saturating_sub(now) + FIRST_CREDIT_TIME
    }

    /// Counts a request that waits for a credit, whether for a reply or for the end of an outage. The end of the wait has
    /// to be recorded with [`Self::end_wait`].
    pub fn begin_wait(&mut self, tenant: &ids::TenantName) {
        if let Some(account) = self.accounts.get_mut(tenant) {
            account.waiting += 1;
        }
    }

    /// Ends the wait of a request.
    pub fn end_wait(&mut self, tenant: &ids::TenantName) {
        if let Some(account) = self.accounts.get_mut(tenant) {
            account.waiting = account.waiting.saturating_sub(1);
        }
    }

    /// Gives back the credit of a request that has not run and will not run.
    pub fn refund(&mut self, tenant: &ids::TenantName, credit: SpentCredit, now: time::Duration) {
        if now.saturating_sub(credit.spent) >= credit_bucket::REFUND_AGE {
            return;
        }
        let Some(account) = self.accounts.get_mut(tenant) else {
            return;
        };
        match credit.source {
            CreditSource::OwnShare => {
                if let Some(own) = &mut account.own {
                    own.refund(1.0, credit.spent, now);
                }
            }
            CreditSource::Coordinator { link, sequence } => {
                if self.link.as_ref().is_none_or(|current| current.number != link) {
                    return;
                }
                if sequence == self.sequence {
                    // Never reported as spent, so the coordinator has counted it as unspent all the time.
                    account.spent -= 1;
                } else {
                    account.refunded += 1;
                    account.refunds.note(credit.spent, now);
                }
            }
        }
    }

    /// Builds the next report for the coordinator that is chosen now. A report that is still open counts as lost.
    pub fn begin_report(&mut self, coordinator: &ids::DaemonId, now: time::Duration) -> credit_message::CreditReport {
        self.sequence += 1;
        let current = self.link.as_ref().filter(|link| link.coordinator == *coordinator);
        // Without replies the share isn't delegated again, so that it comes back after the lease.
        let fresh = current.filter(|link| now.saturating_sub(link.replied) < credit_message::CREDIT_LEASE);
        let share = if fresh.is_some() { self.share } else { 0.0 };
        let epoch = current.map_or(0, |link| link.epoch);
        let age = |link: &CoordinatorLink| credit_message::millis(now.saturating_sub(link.replied));
        let sent_ms = current.map_or(0, |link| link.stamp_ms + age(link));
        if share > 0.0 {
            if self.owns_share(now) {
                // The tokens end with the use of the own share.
                self.accounts.values_mut().for_each(|account| account.own = None);
            }
            self.share_end = now + credit_message::SHARE_LEASE;
        }
        let mut tenants = Vec::new();
        if epoch != 0 {
            // Accounts stay until the link ends, since the coordinator compares totals.
            for (name, account) in self
                .accounts
                .iter_mut()
                .filter(|(_name, account)| account.is_active(now))
            {
                let wanted = account.wanted(now);
                if wanted == 0 {
                    account.returned += account.available();
                }
                tenants.push(credit_message::TenantReport {
                    tenant: name.clone(),
                    spent: account.spent,
                    returned: account.returned,
                    refunded: account.refunded,
                    wanted,
                    refund_ages: account.refunds.begin_report(now),
                });
            }
        }
        self.unanswered_since.get_or_insert(now);
        let totals = |line: &credit_message::TenantReport| (line.spent, line.returned, line.refunded);
        self.open = Some(OpenReport {
            sequence: self.sequence,
            coordinator: coordinator.clone(),
            epoch,
            sent: now,
            tenants: tenants.iter().map(|line| (line.tenant.clone(), totals(line))).collect(),
        });
        let busy = now.saturating_sub(self.last_use) < tenant_account::IDLE_AGE;
        self.next_report = now + if busy { BUSY_INTERVAL } else { IDLE_INTERVAL };
        if share <= 0.0 && self.share_end > now {
            // Another coordinator gets the share as soon as the previous one has stopped counting it.
            self.next_report = self.next_report.min(self.share_end);
        }
        credit_message::CreditReport {
            daemon_id: self.identity.daemon_id.clone(),
            incarnation: self.identity.incarnation,
            started_ms: self.identity.started_ms,
            link: self.links,
            sequence: self.sequence,
            epoch,
            sent_ms,
            share,
            tenants,
        }
    }

    /// Applies the reply to the report with this number. Replies to earlier reports are ignored.
    pub fn finish_report(&mut self, sequence: u64, reply: &credit_message::CreditReply, now: time::Duration) {
        let Some(open) = self.open.take_if(|open| open.sequence == sequence) else {
            return;
        };
        if open.epoch != reply.epoch {
            self.change_link(open, reply, now);
            return;
        }
        self.unanswered_since = None;
        let Some(link) = &mut self.link else {
            return;
        };
        link.stamp_ms = reply.stamp_ms;
        link.replied = now;
        link.credit_end = open.sent + credit_message::CREDIT_LEASE;
        for ((tenant, totals), grant) in open.tenants.iter().zip(&reply.grants) {
            let Some(account) = self.accounts.get_mut(tenant) else {
                continue;
            };
            account.granted = grant.granted;
            account.reported = *totals;
            account.refunds.finish_report();
            if grant.wait_ms == credit_message::RECOVERING && account.available() == 0 {
                account.credit_at = None;
                account.refused_until = now + RECOVERY_INTERVAL;
                account.recovery_end = now + RECOVERY_AGE;
            } else if grant.wait_ms > 0 && account.available() == 0 {
                let wait = time::Duration::from_millis(u64::from(grant.wait_ms));
                account.credit_at = Some(now + wait);
                account.refused_until = now + wait.clamp(REFUSAL_AGE, MAX_REFUSAL_AGE);
            } else {
                account.refused_until = time::Duration::ZERO;
            }
        }
    }

    /// Starts a link to a coordinator without credits, once nothing of the previous link is in use.
    fn change_link(&mut self, open: OpenReport, reply: &credit_message::CreditReply, now: time::Duration) {
        let previous_end = self.link.as_ref().map_or(time::Duration::ZERO, |link| link.credit_end);
        if now < previous_end.max(self.share_end) {
            return;
        }
        self.links += 1;
        self.link = Some(CoordinatorLink {
            number: self.links,
            coordinator: open.coordinator,
            epoch: reply.epoch,
            stamp_ms: reply.stamp_ms,
            replied: now,
            credit_end: time::Duration::ZERO,
        });
        self.accounts
            .retain(|_name, account| account.waiting > 0 || account.own.is_some());
        for account in self.accounts.values_mut() {
            account.granted = 0;
            account.spent = 0;
            account.returned = 0;
            account.refunded = 0;
            account.refunds = refund_log::RefundLog::default();
            account.reported = (0, 0, 0);
        }
        self.unanswered_since = None;
        self.next_report = now;
    }
}

/// Queries.
impl CreditHolder {
    /// Returns when the next report is due.
    #[must_use]
    pub fn next_report(&self) -> time::Duration {
        self.next_report
    }

    /// Returns the numbers of the latest link and report.
    #[must_use]
    pub fn numbers(&self) -> HolderNumbers {
        HolderNumbers {
            links: self.links,
            sequence: self.sequence,
        }
    }

    /// Returns the coordinator whose credits are in use; `None` without one.
    #[must_use]
    pub fn coordinator(&self, now: time::Duration) -> Option<&ids::DaemonId> {
        let link = self.link.as_ref().filter(|link| now < link.credit_end)?;
        Some(&link.coordinator)
    }

    /// Returns the number of unspent credits.
    #[must_use]
    pub fn held(&self, now: time::Duration) -> u64 {
        let linked = self.link.as_ref().is_some_and(|link| now < link.credit_end);
        let sum = self
            .accounts
            .values()
            .map(tenant_account::TenantAccount::available)
            .sum();
        if linked { sum } else { 0 }
    }

    /// Returns where credits come from.
    #[must_use]
    pub fn origin(&self, now: time::Duration) -> CreditOrigin {
        if self.coordinator(now).is_some() {
            CreditOrigin::Coordinator
        } else if self.owns_share(now) {
            CreditOrigin::OwnShare
        } else {
            CreditOrigin::NoShare
        }
    }

    /// Returns the number of unspent credits of a tenant.
    #[must_use]
    pub fn held_of(&self, tenant: &ids::TenantName, now: time::Duration) -> u64 {
        let linked = self.coordinator(now).is_some();
        let account = self.accounts.get(tenant).filter(|_account| linked);
        account.map_or(0, tenant_account::TenantAccount::available)
    }

    /// Returns the tokens of this daemon's own share that a tenant may use; 0 while a coordinator counts the share.
    #[must_use]
    pub fn own_tokens(&self, tenant: &ids::TenantName, limit: &credit_limit::CreditLimit, now: time::Duration) -> f64 {
        let account = self.accounts.get(tenant).filter(|_account| self.owns_share(now));
        let Some(mut own) = account.and_then(|account| account.own.clone()) else {
            return 0.0;
        };
        own.fill(
            limit.rate * self.share,
            now.as_secs_f64(),
            limit.capacity * self.share,
            now,
        );
        own.level()
    }

    /// Returns whether this daemon may use its own share: no coordinator counts it.
    #[must_use]
    pub fn owns_share(&self, now: time::Duration) -> bool {
        self.share > 0.0 && now >= self.share_end
    }
}
