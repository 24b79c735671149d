//! All decision state of a daemon, and the dispatch of commands to it. `core_calls` holds the part of the entry and the
//! owner, `core_work` the part of the callee.

use std::collections;
use std::net;
use std::time;

use damasktrack_entity::call_outcome;
use damasktrack_entity::ids;
use damasktrack_entity::request_identity;
use damasktrack_settings::daemon_settings;

use crate::admission_control;
use crate::call_class;
use crate::call_table;
use crate::core_command;
use crate::core_config;
use crate::member_sync;
use crate::node_effects;
use crate::node_metrics;
use crate::peer_directory;
use crate::request_owner;
use crate::route_choice;

/// Interval of [`admission_control::AdmissionControl::tick`].
pub const TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// All decision state of a daemon.
#[derive(Debug)]
pub struct NodeCore {
    pub(crate) identity: request_identity::RequestOwner,
    pub(crate) effects: node_effects::NodeEffects,
    pub(crate) metrics: node_metrics::NodeMetrics,
    pub(crate) has_backend_server: bool,
    pub(crate) classes: call_class::ClassTable,
    pub(crate) admission: admission_control::AdmissionControl,
    pub(crate) members: member_sync::MemberSync,
    /// Live members besides this daemon.
    pub(crate) directory: peer_directory::PeerDirectory,
    /// Incarnation and address of each member that is a route candidate.
    pub(crate) routed: collections::HashMap<ids::DaemonId, (ids::Incarnation, net::SocketAddr)>,
    pub(crate) routes: route_choice::RouteTable,
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
        let mut routes = route_choice::RouteTable::default();
        if let (Some(service), Some(_backend)) = (&settings.service, &settings.backend_server) {
            routes.upsert(route_choice::RouteCandidate {
                daemon_id: settings.daemon_id.clone(),
                service: service.clone(),
                location: settings.location(),
                target: route_choice::RouteTarget::Local,
            });
        }
        Self {
            owner: request_owner::OwnerState::new(identity.clone(), store, time::Instant::now()),
            identity,
            effects,
            metrics,
            has_backend_server: settings.backend_server.is_some(),
            classes: call_class::ClassTable::new(settings.default_deadline, settings.store_address.is_some()),
            admission: admission_control::AdmissionControl::new(slots),
            members,
            directory: peer_directory::PeerDirectory::default(),
            routed: collections::HashMap::new(),
            routes,
            calls: call_table::CallTable::default(),
            config: core_config::ConfigState::default(),
            draining: false,
        }
    }

    /// Takes one command. A reply whose receiver is gone is dropped, since nobody waits for it.
    pub fn handle(&mut self, command: core_command::CoreCommand, now: time::Instant) {
        match command {
            core_command::CoreCommand::Begin(start, reply) => self.begin(*start, reply, now),
            core_command::CoreCommand::Retry(call, result, reply) => {
                let _gone = reply.send(self.retry(call, result, now));
            }
            core_command::CoreCommand::Granted(call, grant, reply) => {
                let _gone = reply.send(self.continue_retry(call, grant, now));
            }
            core_command::CoreCommand::Finish(call, result, summary) => self.finish(call, result, summary, now),
            core_command::CoreCommand::CallerGone(call) => {
                self.cancel_pending(call);
                self.cancel_outgoing(call);
            }
            core_command::CoreCommand::Arrive(arrival, reply) => self.arrive(*arrival, reply, now),
            core_command::CoreCommand::FinishWork(call, result) => {
                self.admission.finish(call, result, now);
                self.calls.remove_work(call);
                self.start_queued(now);
            }
            core_command::CoreCommand::CancelFromPeer(request) => self.cancel_from_peer(request, now),
            core_command::CoreCommand::Grant(request, reply) => {
                let _gone = reply.send(self.grant(&request, now));
            }
            core_command::CoreCommand::IssueId(reply) => {
                let _gone = reply.send(self.owner.issue_id());
            }
            core_command::CoreCommand::Member(command) => self.handle_member(command, now),
            core_command::CoreCommand::BackendServerChecked(up) => self.take_health(up),
            core_command::CoreCommand::Owner(command) => self.handle_owner(command, now),
            core_command::CoreCommand::Config(command) => self.handle_config(command),
            core_command::CoreCommand::Drain => self.drain(now),
            core_command::CoreCommand::Counts(reply) => {
                let _gone = reply.send(self.counts());
            }
            core_command::CoreCommand::Stop => {}
        }
        self.follow_readiness(now);
    }

    /// Adapts to the passing of time.
    pub fn tick(&mut self, now: time::Instant) {
        self.admission.tick(now);
        self.start_queued(now);
        self.expire_actions(now);
    }

    fn take_health(&mut self, up: bool) {
        if self.admission.backend_server_up() != up {
            log::warn!(up = up; "health of the backend server changed");
        }
        self.admission.set_backend_server_up(up);
    }

    fn drain(&mut self, now: time::Instant) {
        self.draining = true;
        self.members.drain(now);
        self.admission.drain();
        self.routes.remove(&self.identity.daemon_id);
        self.effects.drain_backend_server();
        self.start_queued(now);
    }
}

/// Queries.
impl NodeCore {
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

/// Returns the outcome of a call that may have run.
#[must_use]
pub fn lost_outcome(idempotent: bool) -> call_outcome::CallOutcome {
    if idempotent {
        call_outcome::CallOutcome::Failed
    } else {
        call_outcome::CallOutcome::Unknown
    }
}
