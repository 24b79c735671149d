//! Turns of tenants at a retry budget, so that one tenant's failing requests don't use up the retries of the others.

use std::time;

use damasktrack_entity::ids;

/// Time after which a tenant that asked for a retry no longer counts as asking. At 20 requests a second a daemon's
/// budget gains about one retry in this time.
const ASK_AGE: time::Duration = time::Duration::from_secs(1);

/// Tenant of a request; `None` for the default tenant.
type TurnTenant = Option<ids::TenantName>;

/// Whether a tenant may take a retry out of the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnDecision {
    /// The tenant may take a retry.
    Allowed,
    /// The tenant had the last retry, and another one asks.
    OthersFirst,
}

/// Turns at the retry budget of one service. While another tenant asks, a tenant gets no two retries in succession, so
/// it gets at most every second one.
#[derive(Clone, Debug, Default)]
pub struct RetryTurns {
    last_granted: Option<TurnTenant>,
    /// Latest requests for a retry, of two different tenants, newest first.
    asked: [Option<(TurnTenant, time::Instant)>; 2],
}

/// Commands.
impl RetryTurns {
    /// Records that a tenant asks for a retry, and decides whether the budget may be asked for it.
    pub fn ask(&mut self, tenant: Option<&ids::TenantName>, now: time::Instant) -> TurnDecision {
        let decision = self.decide(tenant, now);
        let asked = Some((tenant.cloned(), now));
        let [newest, _older] = &mut self.asked;
        if newest.as_ref().is_some_and(|newest| newest.0.as_ref() == tenant) {
            *newest = asked;
        } else {
            let before = newest.take();
            self.asked = [asked, before];
        }
        decision
    }

    /// Records that a tenant got a retry.
    pub fn note_grant(&mut self, tenant: Option<&ids::TenantName>) {
        if self.last_granted.as_ref().is_none_or(|last| last.as_ref() != tenant) {
            self.last_granted = Some(tenant.cloned());
        }
    }
}

/// Queries.
impl RetryTurns {
    fn decide(&self, tenant: Option<&ids::TenantName>, now: time::Instant) -> TurnDecision {
        let had_last = self.last_granted.as_ref().is_some_and(|last| last.as_ref() == tenant);
        let mut others = self.asked.iter().flatten().filter(|asked| asked.0.as_ref() != tenant);
        let is_asked = others.any(|(_other, asked)| now.saturating_duration_since(*asked) <= ASK_AGE);
        if had_last && is_asked {
            TurnDecision::OthersFirst
        } else {
            TurnDecision::Allowed
        }
    }
}
