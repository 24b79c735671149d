//! Configuration in force, and how the core applies it.

use std::collections;
use std::net;
use std::sync;

use damasktrack_entity::ids;
use damasktrack_resource::change_log;
use damasktrack_resource::config_log;
use damasktrack_resource::resource_document;
use damasktrack_resource::resource_set;

use crate::core::core_command;
use crate::core::node_core;
use crate::core::peer_directory;

/// Command about the configuration.
#[derive(Debug)]
pub enum ConfigCommand {
    /// Put accepted changes in force, up to the first gap in their revisions.
    Apply(
        Vec<sync::Arc<change_log::ConfigChange>>,
        core_command::ReplySender<ApplyReport>,
    ),
    /// Put a snapshot in force if it is newer.
    Install(Box<change_log::ConfigSnapshot>, core_command::ReplySender<ApplyReport>),
    /// The configuration in force at the start was found; calls are refused until then.
    Settled,
    /// Requests the changes or the snapshot that a peer at this revision lacks.
    Feed(ids::Revision, core_command::ReplySender<config_log::ChangeFeed>),
    /// Requests the configuration in force and the other live daemons.
    View(core_command::ReplySender<ConfigView>),
    /// Requests the readiness of the daemon.
    Ready(core_command::ReplySender<ReadyReport>),
}

/// Result of applying changes or a snapshot.
#[derive(Debug)]
pub struct ApplyReport {
    /// Changes that came into force.
    pub applied: Vec<sync::Arc<change_log::ConfigChange>>,
    /// Whether a change was not applied because changes before it are missing.
    pub behind: bool,
    /// Revision in force.
    pub revision: ids::Revision,
    /// Peers to which the applied changes may be pushed.
    pub peers: Vec<net::SocketAddr>,
}

/// Configuration in force and the other live daemons.
#[derive(Debug)]
pub struct ConfigView {
    /// Resources in force.
    pub set: sync::Arc<resource_set::ResourceSet>,
    /// Whether the configuration in force at the start was found.
    pub settled: bool,
    /// Live daemons without this one.
    pub peers: Vec<peer_directory::PeerIdentity>,
    /// Counts of calls by class, since the start of this daemon.
    pub class_counts: collections::BTreeMap<ids::ClassName, ClassCounts>,
}

/// Counts of the calls of a class at this daemon as entry or owner, since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct ClassCounts {
    /// Calls that were sent to a backend server and not refused by it.
    pub admitted: u64,
    /// Calls that were refused.
    pub refused: u64,
    /// Attempts beyond the first.
    pub retried: u64,
}

/// Readiness of the daemon.
#[derive(Debug)]
#[derive(serde::Serialize)]
pub struct ReadyReport {
    /// Whether the daemon accepts calls.
    pub ready: bool,
    /// Revision in force.
    pub revision: ids::Revision,
    /// Reasons why the daemon is not ready; empty if it is.
    pub reasons: Vec<&'static str>,
}

/// Configuration state of a daemon.
#[derive(Debug)]
pub(crate) struct ConfigState {
    pub(crate) log: config_log::ConfigLog,
    pub(crate) settled: bool,
    pub(crate) class_counts: collections::BTreeMap<ids::ClassName, ClassCounts>,
}

impl Default for ConfigState {
    fn default() -> Self {
        Self {
            log: config_log::ConfigLog::new(config_log::DEFAULT_MAX_CHANGES),
            settled: false,
            class_counts: collections::BTreeMap::new(),
        }
    }
}

/// Commands.
impl node_core::NodeCore {
    pub(crate) fn handle_config(&mut self, command: ConfigCommand) {
        match command {
            ConfigCommand::Apply(changes, reply) => {
                let _delivered = reply.send(self.apply_changes(changes));
            }
            ConfigCommand::Install(snapshot, reply) => {
                let step = self.config.log.install(&snapshot);
                if step == config_log::ApplyStep::Applied {
                    self.configuration_changed();
                }
                let _delivered = reply.send(self.apply_report(Vec::new(), false));
            }
            ConfigCommand::Settled => self.config.settled = true,
            ConfigCommand::Feed(after, reply) => {
                let _delivered = reply.send(self.config.log.changes_after(after));
            }
            ConfigCommand::View(reply) => {
                let _delivered = reply.send(self.config_view());
            }
            ConfigCommand::Ready(reply) => {
                let _delivered = reply.send(self.ready_report());
            }
        }
    }

    fn apply_changes(&mut self, changes: Vec<sync::Arc<change_log::ConfigChange>>) -> ApplyReport {
        let mut applied = Vec::new();
        let mut behind = false;
        for change in changes {
            match self.config.log.apply(sync::Arc::clone(&change)) {
                config_log::ApplyStep::Applied => applied.push(change),
                config_log::ApplyStep::Known => {}
                config_log::ApplyStep::Behind { .. } => behind = true,
            }
        }
        if !applied.is_empty() {
            self.configuration_changed();
        }
        self.apply_report(applied, behind)
    }

    fn configuration_changed(&mut self) {
        let revision = self.config.log.revision();
        log::info!(revision = revision; "configuration in force changed");
        self.classes.set_resources(sync::Arc::clone(self.config.log.set()));
        self.effects.class_snapshot().publish(self.classes.clone());
        self.apply_limits();
        self.effects.config_signal().set_revision(revision);
        self.members.set_revision(revision);
    }

    /// Sets the declared slots and tenant weights at the admission gate.
    fn apply_limits(&mut self) {
        let set = sync::Arc::clone(self.config.log.set());
        let declared = self.service.as_ref().and_then(|service| set.service(service));
        self.admission.set_declared_slots(declared.map(|service| service.slots));
        for entry in set.resources() {
            if let resource_document::Resource::Tenant(tenant) = &entry.resource {
                self.admission.set_tenant_weight(&tenant.name, tenant.weight);
            }
        }
    }

    /// Counts an ended call, or one that was refused before it was sent.
    pub(crate) fn count_class_call(&mut self, class: &ids::ClassName, refused: bool, attempts: u32) {
        if !self.config.class_counts.contains_key(class) {
            self.config.class_counts.insert(class.clone(), ClassCounts::default());
        }
        if let Some(counts) = self.config.class_counts.get_mut(class) {
            if refused {
                counts.refused += 1;
            } else {
                counts.admitted += 1;
            }
            counts.retried += u64::from(attempts.saturating_sub(1));
        }
    }
}

/// Queries.
impl node_core::NodeCore {
    fn apply_report(&self, applied: Vec<sync::Arc<change_log::ConfigChange>>, behind: bool) -> ApplyReport {
        ApplyReport {
            applied,
            behind,
            revision: self.config.log.revision(),
            peers: self.directory.peers().map(|peer| peer.address).collect(),
        }
    }

    fn config_view(&self) -> ConfigView {
        ConfigView {
            set: sync::Arc::clone(self.config.log.set()),
            settled: self.config.settled,
            peers: self.directory.peers().cloned().collect(),
            class_counts: self.config.class_counts.clone(),
        }
    }

    fn ready_report(&self) -> ReadyReport {
        let mut reasons = Vec::new();
        if !self.config.settled {
            reasons.push("no configuration was found yet");
        }
        if self.draining {
            reasons.push("the daemon is stopping");
        }
        if self.has_backend_server && !self.admission.backend_server_up() {
            reasons.push("the backend server is down");
        }
        if !self.has_joined() {
            reasons.push("no other daemon is known yet");
        }
        ReadyReport {
            ready: reasons.is_empty(),
            revision: self.config.log.revision(),
            reasons,
        }
    }
}
