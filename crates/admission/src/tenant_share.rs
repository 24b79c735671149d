//! Weights of tenants and the shares that follow from them.

use std::collections;

use damasktrack_entity::ids;

/// Weight of a tenant that has no declared one.
const DEFAULT_WEIGHT: u32 = 1;

/// Position of a tenant in [`TenantShare`].
pub type TenantIndex = usize;

/// Weights by tenant. Tenants keep their position for the life of the gate.
#[derive(Debug, Default)]
pub struct TenantShare {
    index: collections::HashMap<ids::TenantName, TenantIndex>,
    /// At least 1 each.
    weights: Vec<u32>,
}

impl TenantShare {
    /// Sets the weight of a tenant; at least 1.
    pub fn set_weight(&mut self, tenant: &ids::TenantName, weight: u32) {
        let index = self.enter(tenant);
        self.weights[index] = weight.max(1);
    }

    /// Returns the position of a tenant, and adds the tenant if it is new.
    pub fn enter(&mut self, tenant: &ids::TenantName) -> TenantIndex {
        if let Some(index) = self.index.get(tenant) {
            return *index;
        }
        let index = self.weights.len();
        self.weights.push(DEFAULT_WEIGHT);
        self.index.insert(tenant.clone(), index);
        index
    }
}

impl TenantShare {
    /// Returns the position of a known tenant.
    #[must_use]
    pub fn position(&self, tenant: &ids::TenantName) -> Option<TenantIndex> {
        self.index.get(tenant).copied()
    }

    /// Returns the weight of a tenant.
    #[must_use]
    pub fn weight(&self, tenant: TenantIndex) -> u32 {
        self.weights.get(tenant).copied().unwrap_or(DEFAULT_WEIGHT)
    }
}
