//! Loads of backend servers that daemons report to each other, and calls that leave their region for capacity.

use std::time;

use damasktrack_entity::admission_level;
use damasktrack_entity::ids;
use damasktrack_routing::completion_choice;

use super::ForwardCore;
use super::LifePhase;
use crate::peer_call;
use crate::route_config;

/// Commands.
impl ForwardCore {
    /// Records the load that another daemon reported with its reply to a call of `class`.
    pub fn note_load(
        &mut self,
        daemon: &ids::DaemonId,
        class: &ids::ClassName,
        load: peer_call::ReportedLoad,
        now: time::Instant,
    ) {
        if let Some(server) = self.routes.key_of(daemon) {
            self.routes.note_load(server, class, load.into(), now);
        }
    }

    /// Records the load of the backend server beside this daemon if it is of the service.
    pub(super) fn note_own_load(
        &mut self,
        service: &ids::ServiceName,
        rule: &route_config::RouteRule,
        now: time::Instant,
    ) {
        let Some(own) = self.routes.key_of(&self.settings.daemon_id) else {
            return;
        };
        let of_service = self
            .routes
            .candidate(own)
            .is_some_and(|candidate| candidate.service == *service);
        if let Some(load) = self.own_load(&rule.name, rule.priority, now).filter(|_load| of_service) {
            self.routes.note_load(own, &rule.name, load.into(), now);
        }
    }

    pub(super) fn log_capacity_spillover(
        &mut self,
        class: &ids::ClassName,
        departure: &completion_choice::CapacitySpillover,
        now: time::Instant,
    ) {
        if !self.capacity_log.begins(class, now) {
            return;
        }
        let (nearer, farther) = (&departure.nearer, departure.farther.as_ref());
        log::info!(
            class:% = ids::text(class), wait_ms = nearer.load.wait.as_millis(), age_ms = nearer.age.as_millis(),
            delay_ms = nearer.delay.as_millis(), elsewhere_free:? = farther.map(|farther| farther.load.free),
            elsewhere_delay_ms:? = farther.map(|farther| farther.delay.as_millis()),
            elsewhere_age_ms:? = farther.map(|farther| farther.age.as_millis());
            "calls leave the region for capacity"
        );
    }
}

/// Queries.
impl ForwardCore {
    /// Returns the load of the backend server for a call of `class`; `None` if it takes no calls, or if no route has a
    /// latency objective.
    #[must_use]
    pub fn own_load(
        &self,
        class: &ids::ClassName,
        priority: u8,
        now: time::Instant,
    ) -> Option<peer_call::ReportedLoad> {
        let reported = self.config.as_ref()?.has_latency_objective() && self.phase == LifePhase::Running;
        if !reported || self.server.serving().is_none() {
            return None;
        }
        let importance = admission_level::MAX_IMPORTANCE.saturating_sub(priority);
        Some(self.gate.load(class, importance, now).into())
    }
}
