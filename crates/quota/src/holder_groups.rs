//! Holders of a process, one for each group of tenants.

use std::time;

use crate::credit_holder;
use crate::known_daemons;

/// Whether a change of the number of groups replaced the holders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResizeResult {
    /// The number of groups is the same.
    Unchanged,
    /// All holders are new, without credits.
    Replaced,
}

/// Holders of a process by group; none while no tenant has a limit.
///
/// Invariant: no two holders of the process use the same number for a link or a report, so that a coordinator that knows
/// an earlier holder of the group never takes its totals, or a reply to it, for those of the present one.
#[derive(Debug, Default)]
pub struct HolderGroups {
    holders: Vec<credit_holder::CreditHolder>,
    /// Numbers that earlier holders have used.
    used: credit_holder::HolderNumbers,
}

/// Commands.
impl HolderGroups {
    /// Adapts the holders to the number of groups. The coordinators of the previous groups count this daemon's share
    /// until the end of the lease, so `known` withholds it for this time.
    pub fn resize(
        &mut self,
        groups: usize,
        identity: &credit_holder::HolderIdentity,
        known: &mut known_daemons::KnownDaemons,
        now: time::Duration,
    ) -> ResizeResult {
        if self.holders.len() == groups {
            return ResizeResult::Unchanged;
        }
        if !self.holders.is_empty() {
            known.withhold(now);
        }
        let numbers = self.holders.iter().map(credit_holder::CreditHolder::numbers);
        self.used = numbers.fold(self.used, credit_holder::HolderNumbers::later);
        let holder = || credit_holder::CreditHolder::new(identity.clone(), self.used, now);
        self.holders = std::iter::repeat_with(holder).take(groups).collect();
        ResizeResult::Replaced
    }

    /// Returns the holder of a group for changes.
    pub fn get_mut(&mut self, group: usize) -> Option<&mut credit_holder::CreditHolder> {
        self.holders.get_mut(group)
    }

    /// Returns all holders for changes.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut credit_holder::CreditHolder> {
        self.holders.iter_mut()
    }
}

/// Queries.
impl HolderGroups {
    /// Returns the number of groups.
    #[must_use]
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether no tenant has a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Returns the holder of a group.
    #[must_use]
    pub fn get(&self, group: usize) -> Option<&credit_holder::CreditHolder> {
        self.holders.get(group)
    }

    /// Returns all holders.
    pub fn iter(&self) -> impl Iterator<Item = &credit_holder::CreditHolder> {
        self.holders.iter()
    }
}
