//! Age of the last confirmation of the configuration.
//!
//! A daemon without the store and without peers that have it can't learn of a revoked key. Where the deployment asks for
//! it, requests with a key are then refused.

use std::time;

use crate::stall_watch;
use crate::tenant_config;

/// When the store last confirmed the configuration, directly or through a peer. The clock is that of [`stall_watch`],
/// which also counts the time of a suspension.
#[derive(Clone, Copy, Debug)]
pub struct ConfigConfirmation {
    /// Age from which a confirmation is too old; `None` if it never is.
    limit: Option<time::Duration>,
    last: Option<stall_watch::BootTime>,
}

/// Commands.
impl ConfigConfirmation {
    /// Creates the state before the first confirmation.
    #[must_use]
    pub fn new(limit: Option<time::Duration>) -> Self {
        Self { limit, last: None }
    }

    /// Records a confirmation. `at` is at most the time at which the store responded.
    pub fn confirm(&mut self, at: stall_watch::BootTime) {
        self.last = self.last.max(Some(at));
    }
}

/// Queries.
impl ConfigConfirmation {
    /// Returns whether requests with a key are served.
    #[must_use]
    pub fn trust(&self, now: stall_watch::BootTime) -> tenant_config::ConfigTrust {
        let Some(limit) = self.limit else {
            return tenant_config::ConfigTrust::Confirmed;
        };
        match self.age(now) {
            Some(age) if age < limit => tenant_config::ConfigTrust::Confirmed,
            _ => tenant_config::ConfigTrust::Unconfirmed,
        }
    }

    /// Returns the time since the last confirmation.
    #[must_use]
    pub fn age(&self, now: stall_watch::BootTime) -> Option<time::Duration> {
        self.last.map(|last| now.saturating_sub(last))
    }

    /// Returns the age from which a confirmation is too old.
    #[must_use]
    pub fn limit(&self) -> Option<time::Duration> {
        self.limit
    }
}
