//! Queries of the admission gate.

use std::time;

use damasktrack_entity::admission_level;
use damasktrack_entity::call_outcome;
use damasktrack_entity::ids;

use crate::admission_gate;
use crate::gate_report;
use crate::start_rate;

impl admission_gate::AdmissionGate {
    /// Returns the lowest level that this callee admits for a class and tenant, as its responses report it. Levels
    /// reported to the backend server's own calls are merged by [`crate::level_view::higher_report`].
    ///
    /// The level is clamped to the range of the importance of the class: the lowest level of that range means that the
    /// whole class is admitted. Without the clamp, a daemon that averages the reports of several servers would include
    /// importances that no class uses.
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

    /// Returns the lowest level that the short lane admits for a tenant without a threshold of its own.
    #[must_use]
    pub fn level(&self) -> admission_level::AdmissionLevel {
        self.short.levels.level(usize::MAX)
    }

    /// Returns the maximum number of calls that may run concurrently; at least 1.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.limit()
    }

    /// Returns the maximum number of calls of the long lane that may run concurrently; at least 1.
    #[must_use]
    pub fn long_limit(&self) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the value is a share of the declared slots"
        )]
        let limit = (f64::from(self.policy.slots) * self.policy.long_share) as u32;
        limit.clamp(1, self.limit.limit())
    }

    /// Returns the load of the backend server for a call of `class` and `importance` that arrives now in the short lane.
    #[must_use]
    pub fn load(&self, class: &ids::ClassName, importance: u8, now: time::Instant) -> gate_report::GateLoad {
        let importance = importance.min(admission_level::MAX_IMPORTANCE);
        let class = self.class_index.get(class).map(|index| &self.classes[*index]);
        let service_time = class.map_or(time::Duration::ZERO, |class| class.estimate.mean(now));
        let queue = &self.lane(gate_report::CallLane::Short).queue;
        if queue.is_empty() && self.can_start(gate_report::CallLane::Short) {
            return gate_report::GateLoad {
                wait: time::Duration::ZERO,
                free: self.limit.limit() - self.counts.running,
            };
        }
        let slot_wait = (queue.slot_time_ahead(importance) + service_time) / self.limit.limit();
        let rate_wait = self
            .rate
            .as_ref()
            .map_or(time::Duration::ZERO, |rate| rate.wait(queue.count_ahead(importance)));
        gate_report::GateLoad {
            wait: slot_wait.max(rate_wait),
            free: 0,
        }
    }

    /// Returns the call counts of the gate, with the current length of both queues.
    #[must_use]
    pub fn counts(&self) -> gate_report::GateCounts {
        gate_report::GateCounts {
            queued: self.short.queue.len() + self.long.queue.len(),
            ..self.counts
        }
    }

    /// Returns when to call `poll` again if no event occurs before that; `None` if no call is queued and no refusal is
    /// pending.
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
        let queue_wake = wakes.min()?;
        let token = self.rate.as_ref().filter(|rate| !rate.has_token());
        Some(token.map_or(queue_wake, |rate| queue_wake.min(rate.next_token().max(now))))
    }

    /// Returns whether the backend server limits the starts per second.
    #[must_use]
    pub fn is_rate_limited(&self) -> bool {
        self.rate.is_some()
    }

    pub(super) fn lane(&self, lane: gate_report::CallLane) -> &admission_gate::LaneState {
        match lane {
            gate_report::CallLane::Short => &self.short,
            gate_report::CallLane::Long => &self.long,
        }
    }

    pub(super) fn can_start(&self, lane: gate_report::CallLane) -> bool {
        let slot_free = self.counts.running < self.limit.limit();
        let in_rate = self.rate.as_ref().is_none_or(start_rate::StartRate::has_token);
        slot_free && in_rate && (lane == gate_report::CallLane::Short || self.counts.running_long < self.long_limit())
    }

    /// Returns the lane that starts a call next: the one with the more important call, and the long lane on a tie. The
    /// long lane is bounded by its own limit, and short calls would otherwise starve it.
    pub(super) fn next_lane(&self) -> Option<gate_report::CallLane> {
        let short = self
            .short
            .queue
            .highest_importance()
            .filter(|_| self.can_start(gate_report::CallLane::Short));
        let long = self
            .long
            .queue
            .highest_importance()
            .filter(|_| self.can_start(gate_report::CallLane::Long));
        match (short, long) {
            (None, None) => None,
            (Some(short), Some(long)) if short > long => Some(gate_report::CallLane::Short),
            (Some(_), None) => Some(gate_report::CallLane::Short),
            (_, Some(_)) => Some(gate_report::CallLane::Long),
        }
    }
}
