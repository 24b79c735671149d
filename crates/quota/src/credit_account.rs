//! Credits of one tenant at one holder, as the coordinator counts them.

use std::time;

use damasktrack_entity::ids;

use crate::credit_message;

/// Credits of one tenant at one holder.
#[derive(Clone, Debug, Default)]
pub(crate) struct CreditAccount {
    /// Incarnation and link of the holder that the totals belong to.
    pub(crate) origin: (ids::Incarnation, u64),
    pub(crate) granted: u64,
    pub(crate) spent: u64,
    pub(crate) returned: u64,
    pub(crate) refunded: u64,
    /// Credits withdrawn from the total that the holder may still spend until `withdrawn_end`, because the reply may be
    /// lost.
    pub(crate) withdrawn: u64,
    pub(crate) withdrawn_end: time::Duration,
    /// Time until which the holder may spend credits. Counted from the receipt of a report, so it is later than the
    /// end on the holder's clock.
    pub(crate) credit_end: time::Duration,
    /// Credits wanted and not granted at `heard`.
    pub(crate) unmet: u32,
    pub(crate) heard: time::Duration,
}

impl CreditAccount {
    /// Returns the granted credits that are neither spent, returned nor withdrawn.
    pub(crate) fn unspent(&self) -> u64 {
        self.granted.saturating_sub(self.spent.saturating_add(self.returned))
    }

    /// Returns the credits that the holder may still spend, at most.
    pub(crate) fn counted(&self) -> u64 {
        self.unspent() + self.withdrawn
    }

    /// Counts the credits as spent whose lease has ended.
    pub(crate) fn end_leases(&mut self, now: time::Duration) {
        if self.credit_end <= now {
            self.granted -= self.unspent();
        }
        if self.withdrawn_end <= now {
            self.withdrawn = 0;
        }
    }
}

/// Credits that a report gives back to the bucket.
#[derive(Debug)]
pub(crate) struct AccountChange {
    /// Returned without being spent.
    pub(crate) returned: u64,
    /// Counted as spent before, and their requests did not run.
    pub(crate) refunded: u64,
}

impl CreditAccount {
    /// Applies the counters of a report.
    pub(crate) fn update(
        mut self,
        origin: (ids::Incarnation, u64),
        line: &credit_message::TenantReport,
        now: time::Duration,
    ) -> (Self, AccountChange) {
        self.end_leases(now);
        if self.origin != origin {
            // The old process may spend its credits until its lease ends. They are not given to the new one.
            self = Self {
                origin,
                granted: line.spent.saturating_add(line.returned),
                spent: line.spent,
                returned: line.returned,
                refunded: line.refunded,
                withdrawn: self.counted(),
                withdrawn_end: self.credit_end.max(self.withdrawn_end),
                ..Self::default()
            };
        }
        let before = self.unspent();
        self.returned = self.returned.max(line.returned);
        let returned = before - self.unspent();
        self.spent = self.spent.max(line.spent);
        let refunded = line.refunded.saturating_sub(self.refunded);
        self.refunded = self.refunded.max(line.refunded);
        (self, AccountChange { returned, refunded })
    }
}
