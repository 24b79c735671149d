//! Queries of the decision state.

use std::net;
use std::rc;
use std::time;

use damasktrack_admission::gate_report;
use damasktrack_entity::ids;
use damasktrack_membership::gossip_context;
use damasktrack_quarantine::crash_report;
use damasktrack_quarantine::request_digest;

use super::ForwardCore;
use super::LifePhase;
use super::MEMBER_LIST_TIMEOUT;
use crate::config_confirmation;
use crate::config_text;
use crate::feed_schedule;
use crate::forward_settings;
use crate::route_config;
use crate::server_hint;
use crate::server_report;
use crate::stall_watch;

/// Queries.
impl ForwardCore {
    /// Returns the settings, which are fixed for the lifetime of the process.
    #[must_use]
    pub fn settings(&self) -> &rc::Rc<forward_settings::ForwardSettings> {
        &self.settings
    }

    /// Returns the longest time for which a request that is read now may have waited in a socket buffer.
    #[must_use]
    pub fn longest_wait(&self, now: stall_watch::BootTime) -> time::Duration {
        self.stalls.longest_wait(now)
    }

    /// Returns the peer addresses of the other daemons that are not known to be down.
    #[must_use]
    pub fn live_peers(&self) -> Vec<net::SocketAddr> {
        let members = self.gossip.table().iter().map(|(_key, entry)| &entry.record);
        let others = members.filter(|record| record.daemon_id != self.settings.daemon_id && record.state.is_live());
        others.map(|record| record.address).collect()
    }

    /// Returns how closely this daemon follows the store.
    #[must_use]
    pub fn feed_role(&self) -> feed_schedule::FeedRole {
        let members = self.gossip.table().iter().map(|(_key, entry)| &entry.record);
        feed_schedule::role_of(&self.settings.daemon_id, members)
    }

    /// Returns whether this daemon is the one that writes the row of a crash again, by rendezvous hashing over the daemons
    /// that are not known to be down.
    #[must_use]
    pub fn keeps_crash(&self, id: crash_report::CrashId) -> bool {
        let weight = |daemon: &ids::DaemonId| request_digest::daemon_weight(id.into(), daemon);
        let own = weight(&self.settings.daemon_id);
        let mut members = self.gossip.table().iter().map(|(_key, entry)| &entry.record);
        members.all(|record| {
            let is_peer = record.state.is_live() && record.daemon_id != self.settings.daemon_id;
            !is_peer || weight(&record.daemon_id) < own
        })
    }

    /// Returns whether this daemon is the one of its service that tries a quarantined request, by rendezvous hashing over
    /// the daemons that are not known to be down.
    #[must_use]
    pub fn tries_request(&self, digest: request_digest::RequestDigest) -> bool {
        let weight = |daemon: &ids::DaemonId| request_digest::daemon_weight(digest, daemon);
        let own = weight(&self.settings.daemon_id);
        let mut members = self.gossip.table().iter().map(|(_key, entry)| &entry.record);
        members.all(|record| {
            let is_peer = record.service == self.settings.service && record.state.is_live();
            !is_peer || record.daemon_id == self.settings.daemon_id || weight(&record.daemon_id) < own
        })
    }

    /// Returns the lifecycle phase.
    #[must_use]
    pub fn phase(&self) -> LifePhase {
        self.phase
    }

    /// Returns whether this daemon is ready for callers: running, joined, and with a configuration.
    #[must_use]
    pub fn is_ready(&self, now: time::Instant) -> bool {
        self.phase == LifePhase::Running && self.config.is_some() && self.is_joined(now)
    }

    /// Returns whether this daemon has the list of members from the store, or has waited long enough for it. Before
    /// that, it doesn't know whether the backend server announced its departure to an earlier process.
    #[must_use]
    pub fn is_joined(&self, now: time::Instant) -> bool {
        self.members_listed || now.saturating_duration_since(self.started) >= MEMBER_LIST_TIMEOUT
    }

    /// Returns the configuration in force, if any.
    #[must_use]
    pub fn config(&self) -> Option<&rc::Rc<route_config::RouteConfig>> {
        self.config.as_ref()
    }

    /// Returns the source text of the configuration in force; empty if there is none.
    #[must_use]
    pub fn config_text(&self) -> &config_text::ConfigText {
        &self.config_text
    }

    /// Returns the age of the last confirmation of the configuration.
    #[must_use]
    pub fn confirmation(&self) -> &config_confirmation::ConfigConfirmation {
        &self.confirmation
    }

    /// Returns the state of the gossip protocol.
    #[must_use]
    pub fn gossip(&self) -> &gossip_context::GossipContext {
        &self.gossip
    }

    /// Returns when [`ForwardCore::gossip_tick`] is due next.
    #[must_use]
    pub fn gossip_due(&self) -> time::Instant {
        self.gossip.next_wake()
    }

    /// Returns what this daemon knows of the backend server beside another daemon.
    #[must_use]
    pub fn hint(&self, daemon: &ids::DaemonId) -> Option<&server_hint::ServerHint> {
        self.hints.get(daemon)
    }

    /// Returns the state of the backend server beside this daemon.
    #[must_use]
    pub fn server(&self) -> &server_report::ServerState {
        &self.server
    }

    /// Returns when [`Self::release_work`] is due for queued calls that wait for the start rate of the backend server;
    /// `None` if the end of a running call or [`Self::tick`] releases them.
    #[must_use]
    pub fn release_due(&self, now: time::Instant) -> Option<time::Instant> {
        let limited = self.gate.is_rate_limited();
        limited.then(|| self.gate.next_wake(now)).flatten()
    }

    /// Returns the counters of the admission gate.
    #[must_use]
    pub fn gate_counts(&self) -> gate_report::GateCounts {
        self.gate.counts()
    }
}
