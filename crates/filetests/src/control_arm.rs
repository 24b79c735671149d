//! Control that a run is under.

use std::collections;
use std::time;

/// Control of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlArm {
    /// No limits and no retries between servers; servers are chosen at random.
    None,
    /// A fixed limit and a bounded queue at each server, and up to three retries at each hop; of two random servers the
    /// one with the lower load report is chosen.
    PerHop,
    /// The decisions of damasktrack.
    Damasktrack,
}

impl ControlArm {
    /// All arms, in the order in which they are reported.
    pub const ALL: [Self; 3] = [Self::None, Self::PerHop, Self::Damasktrack];

    /// Returns the arm of a name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|arm| arm.name() == name)
    }

    /// Returns the name of the arm.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::PerHop => "per-hop",
            Self::Damasktrack => "damasktrack",
        }
    }
}

/// Retries of one hop of the `per-hop` arm.
pub const HOP_RETRIES: u32 = 3;
/// Pause before such a retry.
pub const HOP_PAUSE: time::Duration = time::Duration::from_millis(10);
/// Part of the class's deadline that one hop of the `per-hop` arm waits.
pub const HOP_TIMEOUT_PART: u32 = 2;

/// Fixed limit and bounded first-in-first-out queue of the `per-hop` arm.
#[derive(Debug)]
pub struct FixedGate<K> {
    slots: usize,
    running: usize,
    queue: collections::VecDeque<K>,
}

/// What the fixed gate does with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FixedDecision {
    /// Run it.
    Start,
    /// Keep it.
    Queued,
    /// Refuse it.
    Refuse,
}

impl<K> FixedGate<K> {
    /// Returns a gate that runs `slots` calls and keeps as many.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots as usize,
            running: 0,
            queue: collections::VecDeque::new(),
        }
    }

    /// Decides about an arriving call.
    pub fn offer(&mut self, call: K) -> FixedDecision {
        if self.running < self.slots {
            self.running += 1;
            return FixedDecision::Start;
        }
        if self.queue.len() >= self.slots {
            return FixedDecision::Refuse;
        }
        self.queue.push_back(call);
        FixedDecision::Queued
    }

    /// Ends a call; returns the call that starts.
    pub fn finish(&mut self) -> Option<K> {
        let next = self.queue.pop_front();
        if next.is_none() {
            self.running -= 1;
        }
        next
    }
}
