//! Coordinator: buckets of the tenants, filled in proportion to the delegated shares, and grants to the holders.

use std::collections;
use std::time;

use damasktrack_entity::ids;

use crate::credit_account;
use crate::credit_bucket;
use crate::credit_limit;
use crate::credit_message;

/// Time by which a coordinator ends a delegation before the lease, for clocks that run at different speeds.
const LEASE_MARGIN: time::Duration = time::Duration::from_millis(50);
/// Time for which an unmet want competes with those of other holders. A holder that still wants credits reports sooner.
const WANT_AGE: time::Duration = time::Duration::from_millis(700);
/// Interval at which the unspent credits of a tenant whose leases have ended are removed from its sum.
const SWEEP_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Time after which a holder, or a tenant's account of a holder, that has sent nothing is forgotten.
const FORGET_AGE: time::Duration = time::Duration::from_secs(10);
/// Maximum number of bounds that are kept. If there are more, two are merged whose parts differ by at most a 16th,
/// which may cost a bucket this part of its capacity once.
const MAX_BOUNDS: usize = 16;
/// Time by which the age of a refund may be too low, beside the rounding: 2 % of [`credit_bucket::REFUND_AGE`] and of
/// the time from the last reply to the spending, for clocks that run at different speeds.
const REFUND_MARGIN: time::Duration = time::Duration::from_millis(125);
/// Time after the first report in which empty buckets don't mean that a tenant is above its limit. The shares arrive
/// within a lease, and the requests that waited for them take 1.5 times as long to be served at the rate of the limit,
/// if the usual demand is 0.6 of it.
const RECOVERY_TIME: time::Duration = time::Duration::from_millis(6500);
/// Longest wait that a reply names.
const MAX_WAIT_SECONDS: f64 = 60.0;

/// State of one holder.
#[derive(Debug)]
struct HolderState {
    started_ms: u64,
    incarnation: ids::Incarnation,
    sequence: u64,
    share: f64,
    /// End of the delegation on this coordinator's clock. The holder uses or delegates the share elsewhere only later.
    share_end: time::Duration,
    heard: time::Duration,
}

#[derive(Debug)]
struct TenantState {
    limit: credit_limit::CreditLimit,
    bucket: credit_bucket::CreditBucket,
    accounts: collections::HashMap<ids::DaemonId, credit_account::CreditAccount>,
    /// Sum of the credits that holders may still spend.
    outstanding: u64,
    swept: time::Duration,
}

impl TenantState {
    /// Creates the state of a tenant without credits in use. Its bucket fills from the start of the coordinator.
    fn new(limit: credit_limit::CreditLimit, now: time::Duration) -> Self {
        Self {
            limit,
            bucket: credit_bucket::CreditBucket::new(0.0, now),
            accounts: collections::HashMap::new(),
            outstanding: 0,
            swept: now,
        }
    }

    /// Returns whether nothing distinguishes the state from a new one.
    fn is_idle(&self, fill_time: f64) -> bool {
        self.accounts.is_empty() && self.limit.rate * (fill_time - self.bucket.filled()) >= self.limit.capacity
    }

    /// Fills the bucket. The credits that were outstanding at the last report bound it up to now, also if their lease
    /// has ended since, so this precedes [`Self::sweep`].
    fn fill(&mut self, bounds: &[ShareBound], fill_time: f64, alive: f64, now: time::Duration) {
        let outstanding = self.outstanding as f64;
        let filled = self.bucket.filled();
        let limit = self.limit;
        for bound in bounds.iter().filter(|bound| bound.fill_time >= filled) {
            let space = limit.capacity * bound.alive - outstanding;
            self.bucket.fill(limit.rate, bound.fill_time, space, now);
        }
        let space = limit.capacity * alive - outstanding;
        self.bucket.fill(limit.rate, fill_time, space, now);
    }

    /// Counts unspent credits whose lease has ended as spent, and forgets accounts without activity.
    fn sweep(&mut self, now: time::Duration) {
        self.swept = now;
        let outstanding = &mut self.outstanding;
        *outstanding = 0;
        self.accounts.retain(|_id, account| {
            account.end_leases(now);
            *outstanding += account.counted();
            account.counted() > 0 || now.saturating_sub(account.heard) < FORGET_AGE
        });
    }

    /// Returns how much of `available` a holder that wants `wanted` gets, if the wants of the other holders are
    /// satisfied from the smallest on (max-min fairness).
    fn fair_part(&self, holder: &ids::DaemonId, wanted: u64, available: u64, now: time::Duration) -> u64 {
        if wanted <= 1 || available <= 1 {
            return wanted.min(available);
        }
        let others = self.accounts.iter().filter(|(id, account)| {
            *id != holder && account.unmet > 0 && now.saturating_sub(account.heard) <= WANT_AGE
        });
        let mut wants: Vec<u64> = others.map(|(_id, account)| u64::from(account.unmet)).collect();
        let sum = wants.iter().sum::<u64>() + wanted;
        if sum <= available {
            return wanted;
        }
        wants.push(wanted);
        wants.sort_unstable();
        let mut left = available;
        for (index, want) in wants.iter().enumerate() {
            let part = left / (wants.len() - index) as u64;
            if *want > part {
                return wanted.min(part.max(1));
            }
            left -= want;
        }
        wanted
    }
}

/// Credits of one tenant at the coordinator, as of its last report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantCredits {
    /// Part of the limit that is delegated.
    pub share: f64,
    /// Credits that holders may still spend.
    pub unspent: u64,
    /// Credits that can be granted.
    pub tokens: f64,
    /// Number of holders that have reported the tenant lately.
    pub holders: usize,
}

/// Coordinator of the limits of the tenants. A process has one, with a new epoch and empty buckets.
#[derive(Debug)]
pub struct CreditCoordinator {
    epoch: credit_message::CoordinatorEpoch,
    /// Time of the first report since there was no holder.
    began: Option<time::Duration>,
    holders: collections::HashMap<ids::DaemonId, HolderState>,
    tenants: collections::HashMap<ids::TenantName, TenantState>,
    /// Seconds weighted with the delegated part of the limits, since the start.
    fill_time: f64,
    filled: time::Duration,
    /// Bounds from the past that still apply to a bucket, with rising parts. A bucket that is not filled in the
    /// meantime had to lose tokens at each.
    bounds: Vec<ShareBound>,
    /// Delegated part of the limits after the last report.
    last_alive: f64,
    granted: u64,
}

/// Delegated part of the limits up to this fill time, where it was lower than before or after.
#[derive(Clone, Copy, Debug)]
struct ShareBound {
    fill_time: f64,
    alive: f64,
}

/// Commands.
impl CreditCoordinator {
    /// Creates a coordinator without delegations. `epoch` must be random; 0 is replaced, since it means no epoch.
    #[must_use]
    pub fn new(epoch: credit_message::CoordinatorEpoch, now: time::Duration) -> Self {
        Self {
            epoch: epoch.max(1),
            began: None,
            holders: collections::HashMap::new(),
            tenants: collections::HashMap::new(),
            fill_time: 0.0,
            filled: now,
            bounds: Vec::new(),
            last_alive: 0.0,
            granted: 0,
        }
    }

    /// Handles a report; `None` if it is older than one handled before, or of a replaced process. `limit` returns the
    /// limit of a tenant in the configuration in force.
    pub fn report(
        &mut self,
        report: &credit_message::CreditReport,
        limit: impl Fn(&ids::TenantName) -> Option<credit_limit::CreditLimit>,
        now: time::Duration,
    ) -> Option<credit_message::CreditReply> {
        self.advance(now);
        self.note_holder(report, now)?;
        self.began.get_or_insert(now);
        self.note_share(now);
        let mut grants = Vec::new();
        if report.epoch == self.epoch {
            let (alive, backing) = (self.alive_share(now), self.backing_share(now));
            grants.reserve(report.tenants.len());
            for line in &report.tenants {
                let grant = match limit(&line.tenant) {
                    Some(limit) => self.grant(report, line, &limit, alive, backing, now),
                    None => credit_message::TenantGrant {
                        granted: line.spent + line.returned,
                        wait_ms: 0,
                    },
                };
                grants.push(grant);
            }
        }
        Some(credit_message::CreditReply {
            epoch: self.epoch,
            stamp_ms: credit_message::millis(now),
            grants,
        })
    }

    /// Forgets holders and tenants without activity. Due every few seconds.
    pub fn prune(&mut self, now: time::Duration) {
        self.advance(now);
        self.holders
            .retain(|_id, holder| now.saturating_sub(holder.heard) < FORGET_AGE);
        if self.holders.is_empty() {
            self.began = None;
        }
        let (fill_time, alive) = (self.fill_time, self.alive_share(now));
        self.tenants.retain(|_name, tenant| {
            if !tenant.accounts.is_empty() {
                tenant.fill(&self.bounds, fill_time, alive, now);
                tenant.sweep(now);
            }
            !tenant.is_idle(fill_time)
        });
    }

    /// Adds the time since the last call to the fill time, weighted with the shares that were delegated in it.
    fn advance(&mut self, now: time::Duration) {
        let elapsed = now.saturating_sub(self.filled).as_secs_f64();
        let shares = self.holders.values().map(|holder| {
            let until = holder.share_end.min(now);
            holder.share * until.saturating_sub(self.filled).as_secs_f64()
        });
        self.fill_time += shares.sum::<f64>().min(elapsed);
        self.filled = now;
        // Before a report renews what has ended.
        self.note_share(now);
    }

    /// Records a change of the delegated part of the limits. Up to it, a bucket has lost the tokens above the lower
    /// part.
    fn note_share(&mut self, now: time::Duration) {
        let alive = self.alive_share(now);
        if alive.total_cmp(&self.last_alive).is_ne() {
            let bound = ShareBound {
                fill_time: self.fill_time,
                alive: alive.min(self.last_alive),
            };
            // A lower bound includes the higher ones before it.
            self.bounds.retain(|earlier| earlier.alive < bound.alive);
            self.bounds.push(bound);
            if self.bounds.len() > MAX_BOUNDS {
                self.merge_bounds();
            }
        }
        self.last_alive = alive;
    }

    /// Replaces the two successive bounds that differ least by the stricter side of both.
    fn merge_bounds(&mut self) {
        let step = |index: &usize| self.bounds[*index].alive - self.bounds[*index - 1].alive;
        let index = (1..self.bounds.len()).min_by(|one, other| step(one).total_cmp(&step(other)));
        if let Some(index) = index {
            self.bounds[index].alive = self.bounds[index - 1].alive;
            self.bounds.remove(index - 1);
        }
    }

    fn note_holder(&mut self, report: &credit_message::CreditReport, now: time::Duration) -> Option<()> {
        let order = (report.started_ms, report.incarnation);
        let known = self.holders.get(&report.daemon_id);
        let share_end = if report.epoch == self.epoch {
            // `sent_ms` can't be later than now, since it is a lower bound of this clock at an earlier moment.
            let sent = time::Duration::from_millis(report.sent_ms).min(now);
            sent + credit_message::SHARE_LEASE.saturating_sub(LEASE_MARGIN)
        } else {
            time::Duration::ZERO
        };
        if let Some(known) = known {
            let known_order = (known.started_ms, known.incarnation);
            if order < known_order || (order == known_order && report.sequence <= known.sequence) {
                return None;
            }
        }
        let state = HolderState {
            started_ms: report.started_ms,
            incarnation: report.incarnation,
            sequence: report.sequence,
            share: report.share.clamp(0.0, 1.0),
            share_end,
            heard: now,
        };
        self.holders.insert(report.daemon_id.clone(), state);
        Some(())
    }

    fn grant(
        &mut self,
        report: &credit_message::CreditReport,
        line: &credit_message::TenantReport,
        limit: &credit_limit::CreditLimit,
        alive: f64,
        backing: f64,
        now: time::Duration,
    ) -> credit_message::TenantGrant {
        let fill_time = self.fill_time;
        let tenant = self
            .tenants
            .entry(line.tenant.clone())
            .or_insert_with(|| TenantState::new(*limit, now));
        tenant.limit = *limit;
        tenant.fill(&self.bounds, fill_time, alive, now);
        if now.saturating_sub(tenant.swept) >= SWEEP_INTERVAL {
            tenant.sweep(now);
        }
        let account = tenant.accounts.remove(&report.daemon_id).unwrap_or_default();
        let others = tenant.outstanding.saturating_sub(account.counted());
        let (mut account, change) = account.update((report.incarnation, report.link), line, now);
        let counted = |account: &credit_account::CreditAccount| (others + account.counted()) as f64;
        tenant
            .bucket
            .put_back(change.returned as f64, limit.capacity * alive - counted(&account));
        for (taken, count) in refunds(report, line, change.refunded, now) {
            tenant.bucket.refund(count as f64, taken, now);
        }
        // Withdraws the credits that the capacity doesn't cover until their lease ends.
        let excess = (counted(&account) - limit.capacity * backing).max(0.0);
        let withdrawn = whole(excess.ceil()).min(account.unspent());
        if withdrawn > 0 {
            account.granted -= withdrawn;
            account.withdrawn += withdrawn;
            account.withdrawn_end = now + credit_message::CREDIT_LEASE;
        }
        let room = limit.capacity * backing - counted(&account);
        let wanted = u64::from(line.wanted).saturating_sub(account.unspent());
        let available = whole(tenant.bucket.level().min(room));
        let part = tenant.fair_part(&report.daemon_id, wanted, available, now);
        tenant.bucket.take(part as f64);
        account.granted += part;
        account.unmet = u32::try_from(wanted - part).unwrap_or(u32::MAX);
        account.heard = now;
        account.credit_end = now + credit_message::CREDIT_LEASE;
        tenant.outstanding = others + account.counted();
        self.granted += part;
        let is_recovering = self.began.is_none_or(|began| now.saturating_sub(began) < RECOVERY_TIME);
        let wait_ms = if line.wanted > 0 && account.unspent() == 0 && is_recovering {
            credit_message::RECOVERING
        } else if line.wanted > 0 && account.unspent() == 0 {
            let missing = (1.0 - tenant.bucket.level()).max(0.0);
            let seconds = (missing / (limit.rate * alive).max(f64::EPSILON)).min(MAX_WAIT_SECONDS);
            u32::try_from(whole(seconds * 1000.0)).unwrap_or(u32::MAX).max(1)
        } else {
            0
        };
        let granted = account.granted;
        tenant.accounts.insert(report.daemon_id.clone(), account);
        credit_message::TenantGrant { granted, wait_ms }
    }
}

/// Queries.
impl CreditCoordinator {
    /// Returns the epoch, drawn at the start.
    #[must_use]
    pub fn epoch(&self) -> credit_message::CoordinatorEpoch {
        self.epoch
    }

    /// Returns whether no holder has reported lately.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.holders.is_empty()
    }

    /// Returns the credits of a tenant; `None` if no holder has reported it lately.
    #[must_use]
    pub fn tenant_credits(&self, tenant: &ids::TenantName, now: time::Duration) -> Option<TenantCredits> {
        let state = self.tenants.get(tenant)?;
        Some(TenantCredits {
            share: self.alive_share(now),
            unspent: state.outstanding,
            tokens: state.bucket.level(),
            holders: state.accounts.len(),
        })
    }

    /// Returns the number of credits granted since the start.
    #[must_use]
    pub fn granted(&self) -> u64 {
        self.granted
    }

    /// Returns the part of the limits that is delegated now.
    #[must_use]
    pub fn alive_share(&self, now: time::Duration) -> f64 {
        self.share_beyond(now)
    }

    /// Returns the part of the limits that stays delegated until credits granted now end.
    fn backing_share(&self, now: time::Duration) -> f64 {
        self.share_beyond(now + credit_message::CREDIT_LEASE)
    }

    fn share_beyond(&self, time: time::Duration) -> f64 {
        let alive = self.holders.values().filter(|holder| holder.share_end > time);
        alive.map(|holder| holder.share).sum::<f64>().min(1.0)
    }
}

/// Returns when the credits of the new refunds of a report were spent, at the earliest on this clock, and how many. The
/// report may contain refunds again that are known. Since it is not known which, the oldest are taken, whose tokens
/// have to fit in the bucket for the longest time. Refunds without an age are dropped.
fn refunds(
    report: &credit_message::CreditReport,
    line: &credit_message::TenantReport,
    new: u64,
    now: time::Duration,
) -> Vec<(time::Duration, u64)> {
    let sent = time::Duration::from_millis(report.sent_ms).min(now);
    let mut left = new;
    let mut ages = line.refund_ages.clone();
    ages.sort_unstable_by_key(|refund| std::cmp::Reverse(refund.slots));
    let taken = |slots: u8| {
        let age = time::Duration::from_millis(u64::from(slots) * credit_message::REFUND_SLOT_MS);
        sent.saturating_sub(age + REFUND_MARGIN)
    };
    let part = |refund: &credit_message::RefundAge| {
        let count = left.min(u64::from(refund.count));
        left -= count;
        (taken(refund.slots), count)
    };
    ages.iter().map(part).collect()
}

/// Returns the whole part of a number of credits; 0 for a negative one.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is not negative, and the cast saturates"
)]
fn whole(credits: f64) -> u64 {
    credits.max(0.0) as u64
}
