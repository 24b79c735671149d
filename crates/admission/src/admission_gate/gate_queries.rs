//! Queries of the admission gate.

use std::time;

use damasktrack_entity::admission_level;
use damasktrack_entity::call_outcome;
use damasktrack_entity::ids;

use crate::admission_gate;
use crate::gate_report;

impl admission_gate::AdmissionGate {
    /// Returns the lowest level that this callee admits for a class and tenant, as its responses report it. Levels met
    /// below by the backend server's own calls are added by [`crate::level_view::worse`].
    ///
    /// The level is held to the range of the class's importance: its lowest level means that the whole class is
    /// admitted. A caller that takes the mean of several servers' reports would otherwise count importances that nobody
    /// uses.
    #[must_use]
    pub fn report(&self, class: &ids::ClassName, tenant: &ids::TenantName) -> call_outcome::LevelReport {
        let class = self.class_index.get(class).map(|index| &self.classes[*index]);
        let tenant = self.shares.position(tenant).unwrap_or(usize::MAX);
        let level = class.map_or(admission_level::AdmissionLevel::LOWEST, |class| {
            let start = admission_level::AdmissionLevel {
                importance: class.importance,
                cohort: 0,
            };
            let end = start.index() + usize::from(admission_level::COHORT_COUNT);
            let level = self.lane(class.lane).levels.level(tenant);
            level.clamp(start, admission_level::AdmissionLevel::from_index(end))
        });
        call_outcome::LevelReport {
            level,
            age: time::Duration::ZERO,
        }
    }

    /// Returns the lowest level that the short lane admits of a tenant that is not known.
    #[must_use]
    pub fn level(&self) -> admission_level::AdmissionLevel {
        self.short.levels.level(usize::MAX)
    }

    /// Returns the number of calls that may run at once.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.limit()
    }

    /// Returns the number of calls of the long lane that may run at once.
    #[must_use]
    pub fn long_limit(&self) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a share of the declared slots"
        )]
        let limit = (f64::from(self.policy.slots) * self.policy.long_share) as u32;
        limit.clamp(1, self.limit.limit())
    }

    /// Returns the counts of the gate.
    #[must_use]
    pub fn counts(&self) -> gate_report::GateCounts {
        gate_report::GateCounts {
            queued: self.short.queue.len() + self.long.queue.len(),
            ..self.counts
        }
    }

    /// Returns when to poll again if no event comes first.
    #[must_use]
    pub fn next_wake(&self, now: time::Instant) -> Option<time::Instant> {
        if !self.refusals.is_empty() {
            return Some(now);
        }
        let lanes = [&self.short, &self.long].into_iter();
        let wakes = lanes.filter(|lane| !lane.queue.is_empty()).map(|lane| {
            let bound = lane.wait_bound(&self.policy, now);
            let overdue = lane.queue.oldest_queued_at().map(|at| at + bound);
            overdue
                .unwrap_or(now + admission_gate::POLL_INTERVAL)
                .clamp(now, now + admission_gate::POLL_INTERVAL)
        });
        wakes.min()
    }

    pub(super) fn lane(&self, lane: gate_report::CallLane) -> &admission_gate::LaneState {
        match lane {
            gate_report::CallLane::Short => &self.short,
            gate_report::CallLane::Long => &self.long,
        }
    }

    pub(super) fn can_start(&self, lane: gate_report::CallLane) -> bool {
        let room = self.counts.running < self.limit.limit();
        room && (lane == gate_report::CallLane::Short || self.counts.running_long < self.long_limit())
    }

    /// Returns the lane whose queue starts next: the more important head, and the long lane among equals, since its own
    /// limit bounds it and short work would otherwise starve it.
    pub(super) fn next_lane(&self) -> Option<gate_report::CallLane> {
        let short = self
            .short
            .queue
            .greatest_importance()
            .filter(|_| self.can_start(gate_report::CallLane::Short));
        let long = self
            .long
            .queue
            .greatest_importance()
            .filter(|_| self.can_start(gate_report::CallLane::Long));
        match (short, long) {
            (None, None) => None,
            (Some(short), Some(long)) if short > long => Some(gate_report::CallLane::Short),
            (Some(_), None) => Some(gate_report::CallLane::Short),
            (_, Some(_)) => Some(gate_report::CallLane::Long),
        }
    }
}
