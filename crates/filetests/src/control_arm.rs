//! Control arms: the mechanisms that limit, queue and retry the calls of a run.

use std::collections;
use std::time;

/// Mechanisms that limit, queue and retry the calls of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlArm {
    /// No limits and no retries between servers; servers are chosen at random.
    None,
    /// A fixed limit and a bounded queue at each server, and up to three retries at each hop; of two random servers the
    /// one with the lower load report is chosen.
    PerHop,
    /// The admission, routing and retry decisions of damasktrack.
    Damasktrack,
}

impl ControlArm {
    /// All arms, in the order in which they are reported.
    pub const ALL: [Self; 3] = [Self::None, Self::PerHop, Self::Damasktrack];

    /// Returns the arm with a name; `None` if there is none.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|arm| arm.name() == name)
    }

    /// Returns the name as written in scenario files and printed with figures.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::PerHop => "per-hop",
            Self::Damasktrack => "damasktrack",
        }
    }
}

/// Greatest number of retries at one hop of the `per-hop` arm.
pub const MAX_HOP_RETRIES: u32 = 3;
/// Delay before a retry at a hop of the `per-hop` arm.
pub const HOP_RETRY_DELAY: time::Duration = time::Duration::from_millis(10);
/// Divisor of the class's deadline that gives the timeout of one hop of the `per-hop` arm.
pub const HOP_TIMEOUT_DIVISOR: u32 = 2;

/// Fixed limit and bounded first-in-first-out queue of the `per-hop` arm.
#[derive(Debug)]
pub struct FixedGate<K> {
    slots: usize,
    running: usize,
    queue: collections::VecDeque<K>,
}

/// Decision of the fixed gate on an arriving call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FixedDecision {
    /// The call runs now.
    Start,
    /// The call waits in the queue.
    Queued,
    /// The call is refused since the queue is full.
    Refuse,
}

impl<K> FixedGate<K> {
    /// Returns a gate that runs `slots` calls at once and queues at most as many.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots as usize,
            running: 0,
            queue: collections::VecDeque::new(),
        }
    }

    /// Starts, queues or refuses an arriving call.
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

    /// Ends a running call; returns the queued call that takes its place.
    pub fn finish(&mut self) -> Option<K> {
        let next = self.queue.pop_front();
        if next.is_none() {
            self.running -= 1;
        }
        next
    }
}
