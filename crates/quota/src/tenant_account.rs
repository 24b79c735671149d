//! Credits of one tenant at a holder.

use std::time;

use crate::credit_bucket;
use crate::credit_message;
use crate::refund_log;

/// Time since the last use after which a daemon reports less often, and a tenant's unspent credits are returned.
pub(crate) const IDLE_AGE: time::Duration = time::Duration::from_secs(3);
/// Unspent credits that a holder wants for each credit spent in the last second. They cover the time to the next report
/// and its reply. Credits that wait at one daemon can't be used at another, and the bucket fills only beside them.
const SPARE_FACTOR: f64 = 0.75;

/// Totals of the credits spent, returned and refunded.
pub(crate) type CreditTotals = (u64, u64, u64);

/// Credits of one tenant. The totals count from the start of the link.
#[derive(Clone, Debug)]
pub(crate) struct TenantAccount {
    pub(crate) granted: u64,
    pub(crate) spent: u64,
    pub(crate) returned: u64,
    pub(crate) refunded: u64,
    pub(crate) refunds: refund_log::RefundLog,
    /// Requests that wait for a reply.
    pub(crate) waiting: u32,
    /// Credits spent by half second, see [`Self::count_use`].
    used: [u32; 3],
    used_slot: u64,
    pub(crate) last_use: time::Duration,
    /// Time before which no reply is waited for.
    pub(crate) refused_until: time::Duration,
    /// Time at which the coordinator expects a credit; `None` while it recovers.
    pub(crate) credit_at: Option<time::Duration>,
    /// Time until which the coordinator counts as recovering.
    pub(crate) recovery_end: time::Duration,
    /// Totals spent, returned and refunded of the last report whose reply arrived.
    pub(crate) reported: CreditTotals,
    pub(crate) own: Option<credit_bucket::CreditBucket>,
}

impl TenantAccount {
    pub(crate) fn new(now: time::Duration) -> Self {
        Self {
            granted: 0,
            spent: 0,
            returned: 0,
            refunded: 0,
            refunds: refund_log::RefundLog::default(),
            waiting: 0,
            used: [0; 3],
            used_slot: 0,
            last_use: now,
            refused_until: time::Duration::ZERO,
            credit_at: Some(time::Duration::ZERO),
            recovery_end: time::Duration::ZERO,
            reported: (0, 0, 0),
            own: None,
        }
    }

    pub(crate) fn available(&self) -> u64 {
        self.granted.saturating_sub(self.spent + self.returned)
    }

    /// Counts credits in slots of half a second, of which the current and the two before are kept.
    pub(crate) fn count_use(&mut self, now: time::Duration, count: u32) {
        let slot = credit_message::millis(now) / 500;
        let passed = usize::try_from(slot.saturating_sub(self.used_slot)).unwrap_or(3).min(3);
        self.used.rotate_right(passed);
        self.used[..passed].fill(0);
        self.used_slot = slot;
        self.used[0] = self.used[0].saturating_add(count);
    }

    /// Returns how many unspent credits the holder wants to have.
    pub(crate) fn wanted(&mut self, now: time::Duration) -> u32 {
        self.count_use(now, 0);
        if now.saturating_sub(self.last_use) >= IDLE_AGE && self.waiting == 0 {
            return 0;
        }
        // The current half second is incomplete.
        let used = self.used[1] + self.used[0].max(self.used[2]);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the value is not negative, and the cast saturates"
        )]
        let spare = (f64::from(used) * SPARE_FACTOR) as u32;
        spare.saturating_add(self.waiting)
    }

    pub(crate) fn is_active(&self, now: time::Duration) -> bool {
        self.waiting > 0
            || now.saturating_sub(self.last_use) < IDLE_AGE
            || self.available() > 0
            || (self.spent, self.returned, self.refunded) != self.reported
    }
}
