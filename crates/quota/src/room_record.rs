//! Record of the free space of a bucket in the last seconds, which bounds what a refund puts back.

use std::time;

use crate::credit_message;

/// Period of the record.
pub const RECORD_AGE: time::Duration = time::Duration::from_secs(5);
/// Length of a slot. A refund is charged to the whole slot in which its token was taken.
const SLOT_MS: u64 = 50;

/// Least free space from a slot on.
#[derive(Clone, Copy, Debug)]
struct RoomSlot {
    /// Number of the slot since the start of the clock.
    slot: u64,
    room: f64,
}

/// Least free space from each moment of the last [`RECORD_AGE`] until now.
#[derive(Clone, Debug, Default)]
pub struct RoomRecord {
    /// Slots with less free space than all later ones, oldest first. At most one per slot of [`RECORD_AGE`], and
    /// usually few.
    slots: Vec<RoomSlot>,
}

/// Commands.
impl RoomRecord {
    /// Records the free space that a bucket has now.
    pub fn note(&mut self, room: f64, now: time::Duration) {
        let slot = slot_of(now);
        let first = slot_of(now.saturating_sub(RECORD_AGE));
        self.slots.retain(|entry| entry.slot >= first && entry.room < room);
        if self.slots.last().is_none_or(|last| last.slot < slot) {
            self.slots.push(RoomSlot { slot, room });
        }
    }

    /// Uses at most this much of the space that was free all the time since `start`, and returns how much. Only the
    /// slots since then are charged.
    pub fn use_since(&mut self, tokens: f64, start: time::Duration) -> f64 {
        let start = slot_of(start);
        let Some(index) = self.slots.iter().position(|entry| entry.slot >= start) else {
            return 0.0;
        };
        let used = tokens.min(self.slots[index].room).max(0.0);
        self.slots[index..].iter_mut().for_each(|entry| entry.room -= used);
        let least = self.slots[index].room;
        let mut position = 0;
        self.slots.retain(|entry| {
            position += 1;
            position > index || entry.room < least
        });
        used
    }
}

fn slot_of(time: time::Duration) -> u64 {
    credit_message::millis(time) / SLOT_MS
}
