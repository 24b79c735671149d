//! Decision point: class and tenant of a call. To be replaced by `resource::resource_set::ResourceSet`.

use std::time;

use bytes::Bytes;
use damasktrack_entity::ids;

/// Lane in which the callee admits a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallLane {
    /// Work of ordinary length.
    Short,
    /// Downloads and other work that runs many times longer.
    Long,
}

/// What the declarations say about a call.
#[derive(Clone, Debug)]
pub struct CallClass {
    /// Name of the class.
    pub name: ids::ClassName,
    /// Tenant as declared; unknown ones become the default tenant.
    pub tenant: ids::TenantName,
    /// Importance from 0 to 15.
    pub importance: u8,
    /// Whether the class is shed only when it exceeds the limit alone.
    pub critical: bool,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Lane at the callee.
    pub lane: CallLane,
    /// Deadline of a root request.
    pub deadline: time::Duration,
    /// Retries that a root request may spend.
    pub retry_allowance: u32,
    /// Greatest depth of the chain.
    pub max_depth: u32,
    /// Whether a response that ends with its connection counts as complete.
    pub close_delimited: bool,
}

/// Lookup of declared routes.
#[derive(Clone, Debug)]
pub struct ClassTable {
    default_deadline: time::Duration,
}

impl ClassTable {
    /// Creates a table without declarations; every call falls into one class.
    #[must_use]
    pub fn new(default_deadline: time::Duration) -> Self {
        Self { default_deadline }
    }

    /// Returns the class of a call, or `None` if no route is declared for it.
    #[must_use]
    pub fn find(&self, service: &Bytes, method: &Bytes, _path: &Bytes, _tenant: Option<&Bytes>) -> Option<CallClass> {
        if service.is_empty() {
            return None;
        }
        Some(CallClass {
            name: Bytes::from_static(b"default"),
            tenant: Bytes::from_static(ids::DEFAULT_TENANT.as_bytes()),
            importance: 8,
            critical: false,
            idempotent: matches!(method.as_ref(), b"GET" | b"HEAD" | b"OPTIONS"),
            lane: CallLane::Short,
            deadline: self.default_deadline,
            retry_allowance: 2,
            max_depth: 32,
            close_delimited: false,
        })
    }
}
