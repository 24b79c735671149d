//! All decision state of a daemon, and the dispatch of commands to it. `core_calls` implements the roles of entry and
//! owner, `core_work` that of the callee.

use std::time;

use damasktrack_admission::level_view;
use damasktrack_entity::call_outcome;
use damasktrack_entity::ids;
use damasktrack_entity::request_identity;
use damasktrack_settings::daemon_settings;

use crate::call::call_class;
use crate::core::admission_control;
use crate::core::call_table;
use crate::core::core_command;
use crate::core::core_config;
use crate::core::core_routes;
use crate::core::member_sync;
use crate::core::node_effects;
use crate::core::node_metrics;
use crate::core::peer_directory;
use crate::core::request_owner;

/// Interval of [`NodeCore::tick`]; the gate has to be adapted at least this often.
pub const TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// All decision state of a daemon.
#[derive(Debug)]
pub struct NodeCore {
    pub(crate) identity: request_identity::RequestOwner,
    pub(crate) effects: node_effects::NodeEffects,
    pub(crate) metrics: node_metrics::NodeMetrics,
    pub(crate) has_backend_server: bool,
    /// Service of the backend server.
    pub(crate) service: Option<ids::ServiceName>,
    pub(crate) classes: call_class::ClassTable,
    pub(crate) admission: admission_control::AdmissionControl,
    pub(crate) levels: level_view::LevelView,
    pub(crate) members: member_sync::MemberSync,
    /// Live members other than this daemon.
    pub(crate) directory: peer_directory::PeerDirectory,
    pub(crate) routes: core_routes::RouteState,
    pub(crate) owner: request_owner::OwnerState,
    pub(crate) calls: call_table::CallTable,
    pub(crate) config: core_config::ConfigState,
    pub(crate) draining: bool,
}

/// Commands.
impl NodeCore {
    /// Creates the state of a starting daemon.
    #[must_use]
    pub fn new(
        settings: &daemon_settings::DaemonSettings,
        identity: request_identity::RequestOwner,
        effects: node_effects::NodeEffects,
        metrics: node_metrics::NodeMetrics,
        members: member_sync::MemberSync,
        store: request_owner::StoreQueue,
    ) -> Self {
        let slots = settings.backend_server.as_ref().map_or(0, |backend| backend.slots);
        let incarnation = identity.incarnation;
        let classes = call_class::ClassTable::new(settings.default_deadline, settings.store_address.is_some());
        effects.class_snapshot().publish(classes.clone());
        Self {
            owner: request_owner::OwnerState::new(identity.clone(), store, time::Instant::now()),
            identity,
            effects,
            metrics,
            has_backend_server: settings.backend_server.is_some(),
            service: settings.service.clone(),
            members,
            classes,
            admission: admission_control::AdmissionControl::new(slots),
            levels: level_view::LevelView::default(),
            directory: peer_directory::PeerDirectory::default(),
            routes: core_routes::RouteState::new(settings, incarnation, time::Instant::now()),
            calls: call_table::CallTable::default(),
            config: core_config::ConfigState::default(),
            draining: false,
        }
    }

    /// Handles a command. A reply whose receiver no longer exists is dropped.
    pub fn handle(&mut self, command: core_command::CoreCommand, now: time::Instant) {
        match command {
            core_command::CoreCommand::Begin(start, reply) => self.begin(*start, reply, now),
            core_command::CoreCommand::Retry(call, result, reply) => {
                let _delivered = reply.send(self.retry(call, result, now));
            }
            core_command::CoreCommand::Granted(call, grant, reply) => {
                let _delivered = reply.send(self.continue_retry(call, grant, now));
            }
            core_command::CoreCommand::Finish(call, result, summary) => self.finish(call, result, summary, now),
            core_command::CoreCommand::CallerDisconnected(call) => {
                self.cancel_pending(call);
                self.cancel_outgoing(call);
            }
            core_command::CoreCommand::Arrive(arrival, reply) => self.arrive(*arrival, reply, now),
            core_command::CoreCommand::FinishWork(call, result, reply) => {
                let _delivered = reply.send(self.finish_work(call, result, now));
            }
            core_command::CoreCommand::CancelFromPeer(request) => self.cancel_from_peer(request, now),
            core_command::CoreCommand::Grant(request, reply) => {
                let _delivered = reply.send(self.grant(&request, now));
            }
            core_command::CoreCommand::IssueId(reply) => {
                let _delivered = reply.send(self.owner.issue_id());
            }
            core_command::CoreCommand::Member(command) => self.handle_member(command, now),
            core_command::CoreCommand::BackendServerChecked(up) => self.apply_health(up),
            core_command::CoreCommand::Hedge(command) => self.handle_hedge(command, now),
            core_command::CoreCommand::Owner(command) => self.handle_owner(command, now),
            core_command::CoreCommand::Config(command) => self.handle_config(command),
            core_command::CoreCommand::Drain => self.drain(now),
            core_command::CoreCommand::Counts(reply) => {
                let _delivered = reply.send(self.counts());
            }
            core_command::CoreCommand::Stop => {}
        }
        self.announce_readiness(now);
    }

    /// Runs the periodic work of admission, levels and routes, and records the state of the gate.
    pub fn tick(&mut self, now: time::Instant) {
        self.admission.tick(now);
        self.levels.tick(now);
        self.start_queued(now);
        self.tick_routes(now);
        if let Some(gate) = self.admission.gate() {
            self.metrics.record_gate(gate);
        }
    }

    /// Starts and refuses queued work that is due, and expires actions.
    pub fn wake(&mut self, now: time::Instant) {
        self.start_queued(now);
        self.expire_actions(now);
    }

    fn apply_health(&mut self, up: bool) {
        if self.admission.backend_server_up() != up {
            log::warn!(up = up; "health of the backend server changed");
        }
        self.admission.set_backend_server_up(up);
    }

    fn drain(&mut self, now: time::Instant) {
        self.draining = true;
        self.members.drain(now);
        self.admission.drain();
        self.routes.drain_local(&self.identity.daemon_id);
        self.effects.drain_backend_server();
        self.start_queued(now);
    }
}

/// Queries.
impl NodeCore {
    /// Returns when [`Self::wake`] has to be called if no command comes first.
    #[must_use]
    pub fn next_wake(&self, now: time::Instant) -> Option<time::Instant> {
        self.admission.next_wake(now)
    }

    pub(crate) fn has_joined(&self) -> bool {
        self.members.has_joined()
    }

    pub(crate) fn is_ready(&self) -> bool {
        let backend = !self.has_backend_server || self.admission.backend_server_up();
        self.has_joined() && backend && self.config.settled && !self.draining
    }

    fn counts(&self) -> core_command::NodeCounts {
        core_command::NodeCounts {
            calls: self.calls.outgoing_count() + self.owner.pending.len(),
            work: self.calls.work_count(),
            ready: self.is_ready(),
        }
    }
}

/// Returns the outcome of a call that may have run and has no complete response: `Failed` if it may be repeated,
/// otherwise `Unknown`.
#[must_use]
pub fn incomplete_outcome(idempotent: bool) -> call_outcome::CallOutcome {
    if idempotent {
        call_outcome::CallOutcome::Failed
    } else {
        call_outcome::CallOutcome::Unknown
    }
}
