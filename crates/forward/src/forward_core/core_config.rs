//! Configuration in force: the route and the tenant of a request.

use std::rc;
use std::time;

use super::EntryDecision;
use super::ForwardCore;
use crate::caller_key;
use crate::config_text;
use crate::route_config;
use crate::stall_watch;
use crate::tenant_config;

/// Commands.
impl ForwardCore {
    /// Matches a caller's request to a rule, identifies its tenant and selects one of the rule's services.
    pub fn route_request(
        &mut self,
        host: &str,
        path: &str,
        key: &caller_key::CarriedKey,
        now: stall_watch::BootTime,
    ) -> EntryDecision {
        let Some(config) = &self.config else {
            return EntryDecision::NoConfig;
        };
        let rule = config.find(host, path);
        let allow_anonymous = rule.is_some_and(|rule| rule.allow_anonymous);
        let trust = self.confirmation.trust(now);
        let tenant = match tenant_config::identify(config.tenants(), key, allow_anonymous, trust) {
            tenant_config::TenantDecision::Known(tenant) => tenant,
            tenant_config::TenantDecision::Unknown => return EntryDecision::Unauthorized,
            tenant_config::TenantDecision::Unconfirmed => return EntryDecision::Unconfirmed,
        };
        let Some(rule) = rule else {
            return EntryDecision::NoRoute;
        };
        let choice = self.choices.entry(rule.name.clone()).or_default();
        let Some(service) = choice.next(&rule.targets) else {
            return EntryDecision::NoRoute;
        };
        EntryDecision::Route {
            rule: rc::Rc::clone(rule),
            service,
            tenant,
        }
    }

    /// Puts a configuration in force unless its version is not newer than the current one. Rows of members whose
    /// services it names count from then on, whatever its version.
    pub fn adopt_config(
        &mut self,
        config: route_config::RouteConfig,
        text: config_text::ConfigText,
        now: time::Instant,
    ) {
        let released = self.row_filter.add_services(config.services());
        self.merge_released(&released, now);
        let current = self.config.as_ref().map(|config| config.version);
        if current.is_some_and(|current| current >= config.version) {
            return;
        }
        log::info!(version = config.version, before:? = current, routes = config.len(); "configuration in force");
        let announcement = self.gossip.announce_revision(config.version, now);
        self.config = Some(rc::Rc::new(config));
        self.config_text = text;
        self.apply(announcement, now);
    }

    /// Records that the configuration in force was confirmed by the store at `at`.
    pub fn confirm_config(&mut self, at: stall_watch::BootTime) {
        self.confirmation.confirm(at);
    }
}
