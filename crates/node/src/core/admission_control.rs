//! Admission at the callee: the gate of the local backend server, its health and its declared slots.

use std::time;

use bytes::Bytes;
use damasktrack_admission::admission_gate;
use damasktrack_admission::admission_policy;
use damasktrack_admission::gate_report;
use damasktrack_entity::admission_level;
use damasktrack_entity::call_context;
use damasktrack_entity::call_outcome;
use damasktrack_entity::ids;

use crate::call::call_class;

/// Admission to the backend server of this daemon.
#[derive(Debug)]
pub struct AdmissionControl {
    /// Absent if the daemon has no backend server.
    gate: Option<admission_gate::AdmissionGate>,
    /// Slots from the settings, in force while the service of the backend server is not declared.
    settings_slots: u32,
    backend_server_up: bool,
}

/// Commands.
impl AdmissionControl {
    /// Creates the admission control of a backend server that has `slots` slots and is up; 0 slots stand for none.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        let policy = admission_policy::AdmissionPolicy::for_slots(slots);
        Self {
            gate: (slots > 0).then(|| admission_gate::AdmissionGate::new(policy)),
            settings_slots: slots,
            backend_server_up: true,
        }
    }

    /// Sets the slots that the service of the backend server declares. `None`, for a service that is not declared,
    /// restores the slots from the settings.
    pub fn set_declared_slots(&mut self, slots: Option<u32>) {
        if let Some(gate) = &mut self.gate {
            gate.set_slots(slots.unwrap_or(self.settings_slots));
        }
    }

    /// Sets the weight of a declared tenant at the gate.
    pub fn set_tenant_weight(&mut self, tenant: &ids::TenantName, weight: u32) {
        if let Some(gate) = &mut self.gate {
            gate.set_tenant_weight(tenant, weight);
        }
    }

    /// Decides on an arriving call. Refuses it if there is no backend server or the backend server is down.
    pub fn offer(&mut self, arrival: &gate_report::CallArrival, now: time::Instant) -> gate_report::ArrivalDecision {
        match &mut self.gate {
            Some(gate) if self.backend_server_up => gate.offer(arrival, now),
            _ => gate_report::ArrivalDecision::Refuse(call_outcome::RefusalReason::BackendServerDown),
        }
    }

    /// Returns the next queued call to start or refuse. Has to be called after each event and at [`Self::next_wake`],
    /// until it returns `Idle`.
    pub fn poll(&mut self, now: time::Instant) -> gate_report::NextStart {
        let gate = self.gate.as_mut();
        gate.map_or(gate_report::NextStart::Idle, |gate| gate.poll(now))
    }

    /// Removes a running call that ended, and adapts the estimates and the limit of the gate to its result.
    pub fn finish(&mut self, call: ids::CallId, result: gate_report::FinishResult, now: time::Instant) {
        if let Some(gate) = &mut self.gate {
            gate.finish(call, result, now);
        }
    }

    /// Records the start of a nested call, that is, of a call to another service that running work made.
    pub fn nested_started(&mut self, call: ids::CallId, now: time::Instant) {
        if let Some(gate) = &mut self.gate {
            gate.nested_started(call, now);
        }
    }

    /// Records the end of a nested call.
    pub fn nested_finished(&mut self, call: ids::CallId, now: time::Instant) {
        if let Some(gate) = &mut self.gate {
            gate.nested_finished(call, now);
        }
    }

    /// Cancels a call. A queued call is removed; a running call keeps running until [`Self::finish`].
    pub fn cancel(&mut self, call: ids::CallId) -> gate_report::CancelDecision {
        let gate = self.gate.as_mut();
        gate.map_or(gate_report::CancelDecision::Absent, |gate| gate.cancel(call))
    }

    /// Refuses queued calls whose deadline has passed, and adapts the levels.
    pub fn tick(&mut self, now: time::Instant) {
        if let Some(gate) = &mut self.gate {
            gate.tick(now);
        }
    }

    /// Refuses all queued and all later calls; running work continues.
    pub fn drain(&mut self) {
        if let Some(gate) = &mut self.gate {
            gate.drain();
        }
    }

    /// Sets whether the backend server is up; while it is down, [`Self::offer`] refuses every call.
    pub fn set_backend_server_up(&mut self, up: bool) {
        self.backend_server_up = up;
    }
}

/// Queries.
impl AdmissionControl {
    /// Returns the level that the gate admits for a tenant's calls of one of its classes; the lowest level without a
    /// gate.
    #[must_use]
    pub fn report(&self, class: &ids::ClassName, tenant: &ids::TenantName) -> call_outcome::LevelReport {
        self.gate.as_ref().map_or(
            call_outcome::LevelReport {
                level: admission_level::AdmissionLevel::LOWEST,
                age: time::Duration::ZERO,
            },
            |gate| gate.report(class, tenant),
        )
    }

    /// Returns whether the backend server is up; true until its health checks report otherwise.
    #[must_use]
    pub fn backend_server_up(&self) -> bool {
        self.backend_server_up
    }

    /// Returns when [`Self::poll`] has to be called if no event comes first.
    #[must_use]
    pub fn next_wake(&self, now: time::Instant) -> Option<time::Instant> {
        self.gate.as_ref().and_then(|gate| gate.next_wake(now))
    }

    /// Returns the gate, if the daemon has a backend server.
    #[must_use]
    pub fn gate(&self) -> Option<&admission_gate::AdmissionGate> {
        self.gate.as_ref()
    }
}

/// Returns the name of the gate's class for a call. A call whose class differs from that of its request gets a class of
/// its own, named after both: it has its own service times and possibly its own lane, but the importance of the
/// request.
#[must_use]
pub fn gate_class(context: &call_context::CallContext, class: &call_class::CallClass) -> ids::ClassName {
    if context.class == class.name {
        return class.name.clone();
    }
    let mut name = Vec::with_capacity(context.class.len() + class.name.len() + 1);
    name.extend_from_slice(&context.class);
    name.push(b'/');
    name.extend_from_slice(&class.name);
    Bytes::from(name)
}

/// Returns the lane of the gate for a class.
#[must_use]
pub fn gate_lane(lane: call_class::CallLane) -> gate_report::CallLane {
    match lane {
        call_class::CallLane::Short => gate_report::CallLane::Short,
        call_class::CallLane::Long => gate_report::CallLane::Long,
    }
}
