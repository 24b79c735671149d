//! Refunds of a tenant at a holder that the coordinator may not know yet, by the time at which the credits were spent.

use std::time;

use crate::credit_bucket;
use crate::credit_message;

/// Refunds of credits spent in one slot.
#[derive(Clone, Copy, Debug)]
struct RefundSlot {
    /// Number of the slot since the start of the holder's clock.
    slot: u64,
    count: u32,
}

/// Refunds since the last report that was replied to.
#[derive(Clone, Debug, Default)]
pub struct RefundLog {
    /// Refunds that no report contains.
    fresh: Vec<RefundSlot>,
    /// Refunds that a report without a reply contains.
    sent: Vec<RefundSlot>,
}

/// Commands.
impl RefundLog {
    /// Records the refund of a credit.
    pub fn note(&mut self, spent: time::Duration, now: time::Duration) {
        add(&mut self.fresh, slot_of(spent), 1, now);
    }

    /// Returns the refunds for a report, oldest first.
    pub fn begin_report(&mut self, now: time::Duration) -> Vec<credit_message::RefundAge> {
        for entry in std::mem::take(&mut self.fresh) {
            add(&mut self.sent, entry.slot, entry.count, now);
        }
        self.sent.sort_unstable_by_key(|entry| entry.slot);
        let now_ms = credit_message::millis(now);
        let age = |entry: &RefundSlot| {
            let age = now_ms.saturating_sub(entry.slot * credit_message::REFUND_SLOT_MS);
            let slots = age.div_ceil(credit_message::REFUND_SLOT_MS);
            credit_message::RefundAge {
                slots: u8::try_from(slots).unwrap_or(u8::MAX),
                count: entry.count,
            }
        };
        self.sent.iter().map(age).collect()
    }

    /// Forgets the refunds of the last report, which was replied to.
    pub fn finish_report(&mut self) {
        self.sent.clear();
    }
}

/// Adds refunds. Those older than [`credit_bucket::REFUND_AGE`] count together. They are kept, because the coordinator
/// takes new refunds from the oldest on.
fn add(slots: &mut Vec<RefundSlot>, slot: u64, count: u32, now: time::Duration) {
    let oldest = slot_of(now.saturating_sub(credit_bucket::REFUND_AGE)).saturating_sub(1);
    let slot = slot.max(oldest);
    for entry in slots.iter_mut() {
        entry.slot = entry.slot.max(oldest);
    }
    match slots.iter_mut().find(|entry| entry.slot == slot) {
        Some(entry) => entry.count = entry.count.saturating_add(count),
        None => slots.push(RefundSlot { slot, count }),
    }
}

fn slot_of(time: time::Duration) -> u64 {
    credit_message::millis(time) / credit_message::REFUND_SLOT_MS
}
