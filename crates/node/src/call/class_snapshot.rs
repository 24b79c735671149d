//! Classes in force, as published by the core for threads that must not wait for it.

use std::sync;

use bytes::Bytes;

use crate::call::call_class;

/// Latest published class table; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct ClassSnapshot {
    /// `None` until the core has started.
    table: sync::Arc<sync::RwLock<Option<call_class::ClassTable>>>,
}

impl ClassSnapshot {
    /// Publishes a table.
    pub fn publish(&self, table: call_class::ClassTable) {
        let mut current = self.table.write().unwrap_or_else(sync::PoisonError::into_inner);
        *current = Some(table);
    }

    /// Returns whether calls of this kind may run more than once; false for undeclared calls.
    #[must_use]
    pub fn is_idempotent(&self, service: &Bytes, method: &Bytes, path: &Bytes) -> bool {
        let current = self.table.read().unwrap_or_else(sync::PoisonError::into_inner);
        current
            .as_ref()
            .is_some_and(|table| table.is_idempotent(service, method, path))
    }
}
