//! Weights by which tenants share a backend server.

use std::collections;

use damasktrack_entity::ids;

/// Weight of a tenant without a declared weight.
const DEFAULT_WEIGHT: u32 = 1;

/// Index of a tenant in [`TenantShare`].
pub type TenantIndex = usize;

/// Weights by tenant. A tenant is never removed, so its index is valid for the lifetime of the gate.
#[derive(Debug, Default)]
pub struct TenantShare {
    index: collections::HashMap<ids::TenantName, TenantIndex>,
    /// At least 1 each.
    weights: Vec<u32>,
}

impl TenantShare {
    /// Sets the weight of a tenant; 0 counts as 1.
    pub fn set_weight(&mut self, tenant: &ids::TenantName, weight: u32) {
        let index = self.get_or_insert(tenant);
        self.weights[index] = weight.max(1);
    }

    /// Returns the index of a tenant, and inserts the tenant with the default weight if it is absent.
    pub fn get_or_insert(&mut self, tenant: &ids::TenantName) -> TenantIndex {
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
    /// Returns the index of a tenant, if the tenant was inserted before.
    #[must_use]
    pub fn position(&self, tenant: &ids::TenantName) -> Option<TenantIndex> {
        self.index.get(tenant).copied()
    }

    /// Returns the weight of a tenant; the default weight for an index that is out of range.
    #[must_use]
    pub fn weight(&self, tenant: TenantIndex) -> u32 {
        self.weights.get(tenant).copied().unwrap_or(DEFAULT_WEIGHT)
    }
}
