//! Admission gate: decides which calls the backend server runs, and when.

use std::collections;
use std::time;

use damasktrack_entity::{admission_level, call_outcome, ids};

use crate::admission_policy;
use crate::class_queue;
use crate::concurrency_limit;
use crate::gate_report;
use crate::level_controller;
use crate::service_estimate;
use crate::start_rate;
use crate::tenant_share;

mod gate_queries;

/// Maximum time between two polls of the gate while calls are queued.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Admission of calls to one backend server.
///
/// Each offered call has exactly one outcome: it is refused, dropped by `cancel`, or started. A started call is never
/// refused. When a call starts, the number of running calls, including it, does not exceed the limit, and the start rate
/// has a token for it.
#[derive(Debug)]
pub struct AdmissionGate {
    policy: admission_policy::AdmissionPolicy,
    limit: concurrency_limit::ConcurrencyLimit,
    /// Limit on the starts per second; `None` if the backend server sets none.
    rate: Option<start_rate::StartRate>,
    short: LaneState,
    long: LaneState,
    classes: Vec<ClassState>,
    class_index: collections::HashMap<ids::ClassName, usize>,
    shares: tenant_share::TenantShare,
    running: collections::HashMap<ids::CallId, RunningCall>,
    /// Refusals of queued calls that `poll` has not returned yet.
    refusals: collections::VecDeque<(ids::CallId, call_outcome::RefusalReason)>,
    /// Buffer that `tick` reuses to avoid allocations.
    expired: Vec<ids::CallId>,
    counts: gate_report::GateCounts,
    draining: bool,
}

#[derive(Debug)]
struct LaneState {
    queue: class_queue::ClassQueue,
    levels: level_controller::LevelController,
    /// Service time of the calls of the lane, without the time spent in nested calls.
    service: service_estimate::ServiceEstimate,
    /// When the queue was last seen empty.
    empty_at: Option<time::Instant>,
}

#[derive(Debug)]
struct ClassState {
    lane: gate_report::CallLane,
    importance: u8,
    /// Total service time, with the time spent in nested calls.
    estimate: service_estimate::ServiceEstimate,
    /// Baseline of the service time, without the time spent in nested calls.
    baseline: concurrency_limit::ServiceBaseline,
}

#[derive(Debug)]
struct RunningCall {
    class: usize,
    lane: gate_report::CallLane,
    started: time::Instant,
    /// Nested calls in flight.
    nested_calls: u32,
    /// Since when at least one nested call has been in flight; not used if there is none.
    nested_since: time::Instant,
    /// Time during which nested calls were in flight, up to the last time that there was none.
    nested_time: time::Duration,
}

impl LaneState {
    fn new(policy: &admission_policy::AdmissionPolicy) -> Self {
        Self {
            queue: class_queue::ClassQueue::default(),
            levels: level_controller::LevelController::new(policy.level_window, policy.level_calls),
            service: service_estimate::ServiceEstimate::default(),
            empty_at: None,
        }
    }

    /// Returns the current maximum wait of a non-critical call.
    ///
    /// The bound is at least the mean service time of the lane, up to `queue_burst`: a shorter queue can run empty
    /// between the ends of two calls, which leaves slots idle.
    fn wait_bound(&self, policy: &admission_policy::AdmissionPolicy, now: time::Instant) -> time::Duration {
        let standing = |at: time::Instant| now.saturating_duration_since(at) > policy.standing_after;
        let service = self.service.mean(now).min(policy.queue_burst);
        let target = policy.queue_target.max(service);
        if self.empty_at.is_some_and(standing) {
            target
        } else {
            policy.queue_burst
        }
    }
}

impl AdmissionGate {
    /// Returns a gate for one backend server, without calls and with an initial limit of `policy.slots`.
    #[must_use]
    pub fn new(policy: admission_policy::AdmissionPolicy) -> Self {
        Self {
            limit: concurrency_limit::ConcurrencyLimit::new(policy.slots, policy.limit_factor),
            rate: None,
            short: LaneState::new(&policy),
            long: LaneState::new(&policy),
            classes: Vec::new(),
            class_index: collections::HashMap::new(),
            shares: tenant_share::TenantShare::default(),
            running: collections::HashMap::new(),
            refusals: collections::VecDeque::new(),
            expired: Vec::new(),
            counts: gate_report::GateCounts::default(),
            draining: false,
            policy,
        }
    }

    /// Sets the weight of a declared tenant; 0 counts as 1.
    pub fn set_tenant_weight(&mut self, tenant: &ids::TenantName, weight: u32) {
        self.shares.set_weight(tenant, weight);
    }

    /// Changes the number of declared slots, and resets the limit if it differs. Running calls are not affected.
    pub fn set_slots(&mut self, slots: u32) {
        let slots = slots.max(1);
        if slots != self.policy.slots {
            self.policy.slots = slots;
            self.limit.set_slots(slots, self.policy.limit_factor);
        }
    }

    /// Sets the maximum number of starts per second; `None` removes it.
    pub fn set_start_rate(&mut self, rate: Option<start_rate::CallRate>, now: time::Instant) {
        self.rate = match (rate, self.rate.take()) {
            (None, _) => None,
            (Some(rate), None) => Some(start_rate::StartRate::new(rate, now)),
            (Some(rate), Some(mut known)) => {
                known.set_rate(rate, now);
                Some(known)
            }
        };
    }

    /// Decides on an arriving call. If the gate is draining, it refuses every call.
    pub fn offer(&mut self, arrival: &gate_report::CallArrival, now: time::Instant) -> gate_report::ArrivalDecision {
        self.counts.offered += 1;
        if self.draining {
            return self.refuse(call_outcome::RefusalReason::Leaving);
        }
        let importance = arrival.importance.min(admission_level::MAX_IMPORTANCE);
        let class = self.get_or_insert_class(&arrival.class, importance, arrival.lane);
        let tenant = self.shares.get_or_insert(&arrival.tenant);
        self.lane_mut(arrival.lane).levels.note_arrival(arrival.level, tenant);
        self.refill_rate(now);
        self.note_occupancy(now);
        let low = self.classes[class].estimate.low(now);
        let remaining = arrival.deadline.saturating_duration_since(now);
        if remaining <= low {
            return self.refuse(call_outcome::RefusalReason::DeadlineTooShort);
        }
        if self.can_start(arrival.lane) && self.lane(arrival.lane).queue.is_empty() {
            self.begin(arrival.call, class, now);
            return gate_report::ArrivalDecision::Start;
        }
        self.limit.note_saturated();
        let wait = self.lane(arrival.lane).queue.work_ahead(importance) / self.limit.limit();
        if remaining <= low + wait {
            return self.refuse(call_outcome::RefusalReason::DeadlineTooShort);
        }
        let cost = self.classes[class].estimate.mean(now);
        let capacity = self.policy.queue_capacity;
        let lane = if arrival.lane == gate_report::CallLane::Short {
            &mut self.short
        } else {
            &mut self.long
        };
        let lowest = lane.queue.lowest_importance();
        // A call below the level is still queued if a less important call is queued, since that call would otherwise
        // start in its place.
        let outranks_queued = lowest.is_some_and(|lowest| lowest < importance);
        if !arrival.critical && !outranks_queued && arrival.level < lane.levels.level(tenant) {
            return self.refuse(call_outcome::RefusalReason::Overloaded);
        }
        // Another server may run the call sooner than the start rate of this one allows.
        let rate_wait = self.rate.as_ref().map_or(time::Duration::ZERO, |rate| {
            rate.wait(lane.queue.count_ahead(importance))
        });
        if !outranks_queued && rate_wait > self.policy.queue_target {
            return self.refuse(call_outcome::RefusalReason::RateReached);
        }
        lane.queue.push(class_queue::QueuedCall {
            call: arrival.call,
            class,
            tenant,
            importance: arrival
                .importance
                .min(damasktrack_entity::admission_level::MAX_IMPORTANCE),
            critical: arrival.critical,
            deadline: arrival.deadline,
            queued_at: now,
            cost,
        });
        if lane.queue.len() > capacity
            && let Some(shed) = lane.queue.pop_victim(&self.shares)
        {
            lane.levels.note_queue_refusal(shed.call.critical);
            let reason = shed_reason(&shed);
            if shed.call.call == arrival.call {
                return self.refuse(reason);
            }
            self.counts.refused += 1;
            self.refusals.push_back((shed.call.call, reason));
        }
        gate_report::ArrivalDecision::Queued
    }

    /// Returns the next action. After each event and at `next_wake`, it has to be called until it returns `Idle`.
    pub fn poll(&mut self, now: time::Instant) -> gate_report::NextStart {
        if let Some((call, reason)) = self.refusals.pop_front() {
            return gate_report::NextStart::Refuse(call, reason);
        }
        self.refill_rate(now);
        for lane in [&mut self.short, &mut self.long] {
            let bound = lane.wait_bound(&self.policy, now);
            if let Some(shed) = lane.queue.pop_overdue(bound, &self.shares, now) {
                lane.levels.note_queue_refusal(shed.call.critical);
                self.counts.refused += 1;
                return gate_report::NextStart::Refuse(shed.call.call, shed_reason(&shed));
            }
        }
        if let Some(lane) = self.next_lane() {
            let state = if lane == gate_report::CallLane::Short {
                &mut self.short
            } else {
                &mut self.long
            };
            let Some(call) = state.queue.pop(&self.shares) else {
                return gate_report::NextStart::Idle;
            };
            if call.deadline <= now + self.classes[call.class].estimate.low(now) {
                state.levels.note_queue_refusal(call.critical);
                self.counts.refused += 1;
                return gate_report::NextStart::Refuse(call.call, call_outcome::RefusalReason::DeadlineTooShort);
            }
            self.begin(call.call, call.class, now);
            return gate_report::NextStart::Start(call.call);
        }
        self.note_occupancy(now);
        gate_report::NextStart::Idle
    }

    /// Notes that the backend server sent a nested call to another service on behalf of a running call.
    ///
    /// Time with nested calls in flight does not count for the concurrency limit: a slow service must not lower the
    /// limits of all services that call it, directly or through others.
    pub fn nested_started(&mut self, call: ids::CallId, now: time::Instant) {
        let Some(running) = self.running.get_mut(&call) else {
            return;
        };
        if running.nested_calls == 0 {
            running.nested_since = now;
        }
        running.nested_calls += 1;
    }

    /// Notes the end of a nested call of a running call.
    pub fn nested_finished(&mut self, call: ids::CallId, now: time::Instant) {
        let Some(running) = self.running.get_mut(&call) else {
            return;
        };
        running.nested_calls = running.nested_calls.saturating_sub(1);
        if running.nested_calls == 0 {
            running.nested_time += now.saturating_duration_since(running.nested_since);
        }
    }

    /// Removes a running call that ended, and adapts the estimates and the limit. Ignores a call that is not running.
    pub fn finish(&mut self, call: ids::CallId, result: gate_report::FinishResult, now: time::Instant) {
        let Some(ended) = self.running.remove(&call) else {
            return;
        };
        let running = self.counts.running;
        self.counts.running -= 1;
        self.counts.running_long -= u32::from(ended.lane == gate_report::CallLane::Long);
        let total_time = now.saturating_duration_since(ended.started);
        let current_nested_time = if ended.nested_calls > 0 {
            now.saturating_duration_since(ended.nested_since)
        } else {
            time::Duration::ZERO
        };
        let own_time = total_time.saturating_sub(ended.nested_time + current_nested_time);
        let class = &mut self.classes[ended.class];
        match result {
            gate_report::FinishResult::Completed => {
                class.estimate.add(total_time, now);
                let lane = if ended.lane == gate_report::CallLane::Short {
                    &mut self.short
                } else {
                    &mut self.long
                };
                lane.service.add(own_time, now);
                let ratio = class.baseline.add(own_time, now);
                if self.policy.adaptive && ended.lane == gate_report::CallLane::Short {
                    self.limit.add(ratio, ended.started, now);
                }
            }
            gate_report::FinishResult::ShedByBackendServer => {
                if self.policy.adaptive {
                    self.limit.shed(running, now);
                }
            }
            gate_report::FinishResult::Failed | gate_report::FinishResult::Cancelled => {
                // The full service time is unknown, but at least this long.
                let ratio = class.baseline.ratio(own_time);
                if self.policy.adaptive && ended.lane == gate_report::CallLane::Short && ratio > 1.0 {
                    self.limit.add(ratio, ended.started, now);
                }
            }
        }
        self.note_occupancy(now);
    }

    /// Cancels a call. A queued call is removed; a running call keeps running until `finish`.
    pub fn cancel(&mut self, call: ids::CallId) -> gate_report::CancelDecision {
        if self.running.contains_key(&call) {
            return gate_report::CancelDecision::Running;
        }
        if self.short.queue.remove(call).is_some() || self.long.queue.remove(call).is_some() {
            self.counts.dropped += 1;
            return gate_report::CancelDecision::Dropped;
        }
        gate_report::CancelDecision::Absent
    }

    /// Refuses queued calls whose deadline has passed, and adapts the levels; has to be called at least every 100 ms.
    pub fn tick(&mut self, now: time::Instant) {
        for lane in [&mut self.short, &mut self.long] {
            lane.queue.take_expired(now, &mut self.expired);
            for call in self.expired.drain(..) {
                lane.levels.note_queue_refusal(false);
                self.counts.refused += 1;
                self.refusals
                    .push_back((call, call_outcome::RefusalReason::DeadlineTooShort));
            }
        }
        self.note_occupancy(now);
    }

    /// Refuses all queued and all later calls. Running calls are not affected.
    pub fn drain(&mut self) {
        self.draining = true;
        for lane in [&mut self.short, &mut self.long] {
            while let Some(call) = lane.queue.pop(&self.shares) {
                self.counts.refused += 1;
                self.refusals
                    .push_back((call.call, call_outcome::RefusalReason::Leaving));
            }
        }
    }

    fn refuse(&mut self, reason: call_outcome::RefusalReason) -> gate_report::ArrivalDecision {
        self.counts.refused += 1;
        gate_report::ArrivalDecision::Refuse(reason)
    }

    fn begin(&mut self, call: ids::CallId, class: usize, now: time::Instant) {
        if let Some(rate) = &mut self.rate {
            rate.take();
        }
        let lane = self.classes[class].lane;
        self.counts.started += 1;
        self.counts.running += 1;
        self.counts.running_long += u32::from(lane == gate_report::CallLane::Long);
        let started = RunningCall {
            class,
            lane,
            started: now,
            nested_calls: 0,
            nested_since: now,
            nested_time: time::Duration::ZERO,
        };
        self.running.insert(call, started);
    }

    /// Returns the index of a class, after setting its importance and lane; inserts the class if it is absent.
    fn get_or_insert_class(&mut self, name: &ids::ClassName, importance: u8, lane: gate_report::CallLane) -> usize {
        if let Some(index) = self.class_index.get(name) {
            self.classes[*index].lane = lane;
            self.classes[*index].importance = importance;
            return *index;
        }
        let index = self.classes.len();
        self.classes.push(ClassState {
            lane,
            importance,
            estimate: service_estimate::ServiceEstimate::default(),
            baseline: concurrency_limit::ServiceBaseline::default(),
        });
        self.class_index.insert(name.clone(), index);
        index
    }

    /// Reports the idle slots of each lane to its level controller, and records for which lanes the queue is empty.
    fn note_occupancy(&mut self, now: time::Instant) {
        for lane in [gate_report::CallLane::Short, gate_report::CallLane::Long] {
            let (limit, running) = match lane {
                gate_report::CallLane::Short => (self.limit.limit(), self.counts.running),
                gate_report::CallLane::Long => (self.long_limit(), self.counts.running_long),
            };
            let free = if self.can_start(lane) {
                limit.saturating_sub(running)
            } else {
                0
            };
            let state = if lane == gate_report::CallLane::Short {
                &mut self.short
            } else {
                &mut self.long
            };
            let empty = state.queue.is_empty();
            if empty {
                state.empty_at = Some(now);
            }
            let idle = if empty { free as f32 / limit as f32 } else { 0.0 };
            state.levels.note_idle(idle, &self.shares, now);
        }
    }

    fn refill_rate(&mut self, now: time::Instant) {
        if let Some(rate) = &mut self.rate {
            rate.refill(now);
        }
    }

    fn lane_mut(&mut self, lane: gate_report::CallLane) -> &mut LaneState {
        match lane {
            gate_report::CallLane::Short => &mut self.short,
            gate_report::CallLane::Long => &mut self.long,
        }
    }
}

fn shed_reason(shed: &class_queue::ShedCall) -> call_outcome::RefusalReason {
    if shed.over_share {
        call_outcome::RefusalReason::TenantOverShare
    } else {
        call_outcome::RefusalReason::QueueFull
    }
}
