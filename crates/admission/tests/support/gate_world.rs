//! Model of a gate under random calls, with an oracle that checks outcomes, limits and order.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bolero::TypeGenerator;
use bytes::Bytes;
use damasktrack_admission::admission_gate::AdmissionGate;
use damasktrack_admission::admission_policy::AdmissionPolicy;
use damasktrack_admission::gate_report::{
    ArrivalDecision, CallArrival, CallLane, CancelDecision, FinishResult, NextStart,
};
use damasktrack_entity::admission_level::AdmissionLevel;
use damasktrack_entity::call_outcome::RefusalReason;

/// Importance by class. Class 0 is critical; the last class is in the long lane.
const IMPORTANCE: [u8; 5] = [15, 10, 5, 5, 5];
const LONG_CLASS: u8 = 4;

/// Fault that the test injects, to show that the oracle detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// The gate receives the inverted importance of each call.
    InvertImportance,
    /// `finish` is called for calls that are still running.
    FinishEarly,
    /// Refusals of queued calls are ignored.
    LoseRefusals,
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
pub enum Operation {
    Offer {
        class: u8,
        tenant: u8,
        cohort: u8,
        remaining_ms: u16,
    },
    Burst {
        class: u8,
        tenant: u8,
        count: u8,
    },
    Finish {
        which: u8,
        result: u8,
    },
    FinishAll {
        after_ms: u8,
    },
    Cancel {
        which: u8,
    },
    NestedCall {
        which: u8,
        ends: bool,
    },
    Advance {
        ms: u8,
    },
    Drain {
        draw: u8,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Queued,
    Running,
    Ended,
}

#[derive(Clone, Copy, Debug)]
struct TrackedCall {
    phase: Phase,
    class: u8,
    deadline: Instant,
}

/// Number of times that the cases reached each outcome.
#[derive(Debug, Default)]
pub struct Coverage {
    pub direct_starts: u64,
    pub queued_starts: u64,
    pub overloaded: u64,
    pub queue_full: u64,
    pub over_share: u64,
    pub deadline: u64,
    pub dropped: u64,
    pub leaving: u64,
}

struct World<'a> {
    fault: Fault,
    gate: AdmissionGate,
    now: Instant,
    calls: BTreeMap<u64, TrackedCall>,
    draining: bool,
    coverage: &'a mut Coverage,
}

/// Runs one case; an error states the broken rule.
pub fn check(fault: Fault, operations: &[Operation], coverage: &mut Coverage) -> Result<(), String> {
    let mut policy = AdmissionPolicy::for_slots(4);
    policy.queue_capacity = 24;
    let now = Instant::now();
    let mut world = World {
        fault,
        gate: AdmissionGate::new(policy),
        now,
        calls: BTreeMap::new(),
        draining: false,
        coverage,
    };
    for operation in operations {
        world.apply(*operation)?;
        world.poll()?;
    }
    world.settle()
}

impl World<'_> {
    fn apply(&mut self, operation: Operation) -> Result<(), String> {
        match operation {
            Operation::Offer {
                class,
                tenant,
                cohort,
                remaining_ms,
            } => self.offer(
                class % 5,
                tenant % 3,
                cohort % 128,
                Duration::from_millis(u64::from(remaining_ms % 2_000)),
            ),
            Operation::Burst { class, tenant, count } => {
                for index in 0..count % 32 {
                    self.offer(class % 5, tenant % 3, index * 4, Duration::from_secs(1))?;
                    self.poll()?;
                }
                Ok(())
            }
            Operation::Finish { which, result } => {
                let results = [
                    FinishResult::Completed,
                    FinishResult::ShedByBackendServer,
                    FinishResult::Failed,
                    FinishResult::Cancelled,
                ];
                if let Some(call) = self.select(Phase::Running, which) {
                    if self.fault == Fault::FinishEarly {
                        self.gate.finish(call, FinishResult::Completed, self.now);
                    } else {
                        self.finish(call, results[usize::from(result % 4)]);
                    }
                }
                Ok(())
            }
            Operation::FinishAll { after_ms } => {
                self.now += Duration::from_millis(u64::from(after_ms));
                while let Some(call) = self.select(Phase::Running, 0) {
                    self.finish(call, FinishResult::Completed);
                }
                Ok(())
            }
            Operation::Cancel { which } => self.cancel(which),
            Operation::NestedCall { which, ends } => {
                if let Some(call) = self.select(Phase::Running, which) {
                    if ends {
                        self.gate.nested_finished(call, self.now);
                    } else {
                        self.gate.nested_started(call, self.now);
                    }
                }
                Ok(())
            }
            Operation::Advance { ms } => {
                self.now += Duration::from_millis(u64::from(ms));
                self.gate.tick(self.now);
                Ok(())
            }
            Operation::Drain { draw } => {
                if draw > 250 {
                    self.gate.drain();
                    self.draining = true;
                }
                Ok(())
            }
        }
    }

    fn offer(&mut self, class: u8, tenant: u8, cohort: u8, remaining: Duration) -> Result<(), String> {
        let call = self.calls.len() as u64;
        let tracked = TrackedCall {
            phase: Phase::Queued,
            class,
            deadline: self.now + remaining,
        };
        let importance = IMPORTANCE[usize::from(class)];
        let given_importance = if self.fault == Fault::InvertImportance {
            15 - importance
        } else {
            importance
        };
        let arrival = CallArrival {
            call,
            class: Bytes::from(format!("class{class}")),
            tenant: Bytes::from(format!("tenant{tenant}")),
            importance: given_importance,
            critical: class == 0,
            lane: if class == LONG_CLASS {
                CallLane::Long
            } else {
                CallLane::Short
            },
            level: AdmissionLevel {
                importance: given_importance,
                cohort,
            },
            deadline: tracked.deadline,
        };
        let decision = self.gate.offer(&arrival, self.now);
        self.calls.insert(call, tracked);
        match decision {
            ArrivalDecision::Start => {
                self.coverage.direct_starts += 1;
                self.start(call)
            }
            ArrivalDecision::Queued => Ok(()),
            ArrivalDecision::Refuse(reason) => self.refuse(call, reason),
        }
    }

    fn poll(&mut self) -> Result<(), String> {
        loop {
            match self.gate.poll(self.now) {
                NextStart::Start(call) => {
                    self.coverage.queued_starts += 1;
                    self.start(call)?;
                }
                NextStart::Refuse(call, reason) => {
                    if self.fault != Fault::LoseRefusals {
                        self.refuse(call, reason)?;
                    }
                }
                NextStart::Idle => break,
            }
        }
        let short_queued = |tracked: &TrackedCall| tracked.phase == Phase::Queued && tracked.class != LONG_CLASS;
        let running = self.count(|tracked| tracked.phase == Phase::Running);
        if running < u64::from(self.gate.limit()) && self.calls.values().any(short_queued) {
            return Err("a call is queued while a slot is free".to_owned());
        }
        Ok(())
    }

    fn start(&mut self, call: u64) -> Result<(), String> {
        let tracked = self
            .calls
            .get_mut(&call)
            .ok_or("start of a call that was not offered")?;
        if tracked.phase != Phase::Queued {
            return Err(format!("second outcome: start of a call that is {:?}", tracked.phase));
        }
        if tracked.deadline <= self.now {
            return Err("start after the deadline".to_owned());
        }
        let started = *tracked;
        tracked.phase = Phase::Running;
        let running = self.count(|tracked| tracked.phase == Phase::Running);
        let long = self.count(|tracked| tracked.phase == Phase::Running && tracked.class == LONG_CLASS);
        if running > u64::from(self.gate.limit()) {
            return Err(format!(
                "limit exceeded: {running} calls run, limit {}",
                self.gate.limit()
            ));
        }
        if started.class == LONG_CLASS && long > u64::from(self.gate.long_limit()) {
            return Err("limit of the long lane exceeded".to_owned());
        }
        let overtaken = |tracked: &TrackedCall| {
            tracked.phase == Phase::Queued && tracked.class != LONG_CLASS && importance(tracked) > importance(&started)
        };
        if started.class != LONG_CLASS && self.calls.values().any(overtaken) {
            return Err("order: a call started while a more important one was queued".to_owned());
        }
        Ok(())
    }

    fn refuse(&mut self, call: u64, reason: RefusalReason) -> Result<(), String> {
        let tracked = self
            .calls
            .get_mut(&call)
            .ok_or("refusal of a call that was not offered")?;
        if tracked.phase != Phase::Queued {
            return Err(format!("second outcome: refusal of a call that is {:?}", tracked.phase));
        }
        tracked.phase = Phase::Ended;
        let refused = *tracked;
        let for_pressure = match reason {
            RefusalReason::Overloaded => {
                self.coverage.overloaded += 1;
                if refused.class == 0 {
                    return Err("a critical call was refused for its level".to_owned());
                }
                true
            }
            RefusalReason::QueueFull => {
                self.coverage.queue_full += 1;
                true
            }
            RefusalReason::TenantOverShare => {
                self.coverage.over_share += 1;
                true
            }
            RefusalReason::DeadlineTooShort => {
                self.coverage.deadline += 1;
                false
            }
            RefusalReason::Leaving if self.draining => {
                self.coverage.leaving += 1;
                false
            }
            other => return Err(format!("unexpected reason: {other}")),
        };
        let less_important_queued = |tracked: &TrackedCall| {
            tracked.phase == Phase::Queued
                && (tracked.class == LONG_CLASS) == (refused.class == LONG_CLASS)
                && importance(tracked) < importance(&refused)
        };
        if for_pressure && self.calls.values().any(less_important_queued) {
            return Err(format!(
                "order: refused as {reason} while a less important call is queued"
            ));
        }
        Ok(())
    }

    fn finish(&mut self, call: u64, result: FinishResult) {
        self.gate.finish(call, result, self.now);
        if let Some(tracked) = self.calls.get_mut(&call) {
            tracked.phase = Phase::Ended;
        }
    }

    fn cancel(&mut self, which: u8) -> Result<(), String> {
        let Some((&call, tracked)) = self.calls.iter_mut().rev().nth(usize::from(which)) else {
            return Ok(());
        };
        match (self.gate.cancel(call), tracked.phase) {
            (CancelDecision::Dropped, Phase::Queued) => {
                tracked.phase = Phase::Ended;
                self.coverage.dropped += 1;
                Ok(())
            }
            (CancelDecision::Running, Phase::Running) | (CancelDecision::Absent, Phase::Ended) => Ok(()),
            (decision, phase) => Err(format!(
                "second outcome: cancel gives {decision:?} for a call that is {phase:?}"
            )),
        }
    }

    /// Finishes all running calls and lets all deadlines pass. Each call must have ended then, and the gate be empty.
    fn settle(&mut self) -> Result<(), String> {
        while let Some(call) = self.select(Phase::Running, 0) {
            self.finish(call, FinishResult::Completed);
            self.poll()?;
        }
        self.now += Duration::from_secs(3);
        self.gate.tick(self.now);
        self.poll()?;
        let queued = self.count(|tracked| tracked.phase == Phase::Queued);
        let counts = self.gate.counts();
        if queued > 0 || counts.queued > 0 || counts.running > 0 {
            return Err(format!(
                "lost calls: {queued} without an outcome, gate counts {counts:?}"
            ));
        }
        if counts.offered != counts.started + counts.refused + counts.dropped {
            return Err(format!("counts do not add up: {counts:?}"));
        }
        Ok(())
    }

    fn select(&self, phase: Phase, which: u8) -> Option<u64> {
        let matching: Vec<_> = self
            .calls
            .iter()
            .filter(|(_, tracked)| tracked.phase == phase)
            .collect();
        let index = usize::from(which).checked_rem(matching.len())?;
        Some(*matching[index].0)
    }

    fn count(&self, matches: impl Fn(&TrackedCall) -> bool) -> u64 {
        self.calls.values().filter(|tracked| matches(tracked)).count() as u64
    }
}

fn importance(tracked: &TrackedCall) -> u8 {
    IMPORTANCE[usize::from(tracked.class)]
}
