//! Class and tenant of a call, from the resources in force.

use std::sync;
use std::time;

use bytes::Bytes;
use damasktrack_entity::ids;
use damasktrack_resource::resource_document;
use damasktrack_resource::resource_set;

/// Lane in which the callee admits a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallLane {
    /// Calls of ordinary duration.
    Short,
    /// Downloads and other calls that run many times longer.
    Long,
}

/// Declared properties of a call: those of its class, chain, service and tenant.
#[derive(Clone, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is declared independently by an operator"
)]
pub struct CallClass {
    /// Name of the class.
    pub name: ids::ClassName,
    /// Declared tenant; a call without a tenant or with an undeclared one belongs to the default tenant.
    pub tenant: ids::TenantName,
    /// Importance, declared from 0 to 15.
    pub importance: u8,
    /// Whether the class is shed only when its own load exceeds the limit.
    pub critical: bool,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Lane in which the callee admits the call.
    pub lane: CallLane,
    /// Deadline of a root request.
    pub deadline: time::Duration,
    /// Number of retries that a root request and its nested calls may make.
    pub retry_allowance: u32,
    /// Maximum depth of the chain.
    pub max_depth: u32,
    /// Whether calls of the long lane may be routed to other regions.
    pub cross_region: bool,
    /// Whether a response without a length, whose end is the end of its connection, counts as complete.
    pub close_delimited: bool,
}

/// Lookup of classes by route, in the resources in force.
#[derive(Clone, Debug)]
pub struct ClassTable {
    set: sync::Arc<resource_set::ResourceSet>,
    /// Class of all calls at a daemon that has no store, until it receives resources.
    fallback: Option<CallClass>,
}

/// Limits that all calls of one request share.
#[derive(Clone, Copy, Debug)]
pub struct ChainLimits {
    /// Deadline of the whole request.
    pub deadline: time::Duration,
    /// Number of retries that all calls of the request may make.
    pub retry_allowance: u32,
}

/// Commands.
impl ClassTable {
    /// Creates a table without resources. At a daemon without a store no resources can be declared, so all calls belong
    /// to one class until a peer sends resources.
    #[must_use]
    pub fn new(default_deadline: time::Duration, has_store: bool) -> Self {
        Self {
            set: sync::Arc::default(),
            fallback: (!has_store).then(|| undeclared_class(default_deadline)),
        }
    }

    /// Replaces the resources in force; the class for a daemon without resources no longer applies.
    pub fn set_resources(&mut self, set: sync::Arc<resource_set::ResourceSet>) {
        self.set = set;
        self.fallback = None;
    }
}

/// Queries.
impl ClassTable {
    /// Returns the class of a call, or `None` if no route is declared for it or its service is empty.
    #[must_use]
    pub fn find(&self, service: &Bytes, method: &Bytes, path: &Bytes, tenant: Option<&Bytes>) -> Option<CallClass> {
        if service.is_empty() {
            return None;
        }
        if let Some(fallback) = &self.fallback {
            return Some(CallClass {
                idempotent: is_safe_method(method),
                ..fallback.clone()
            });
        }
        let class = self.set.class_of(service, method, path)?;
        let chain = self.set.chain(&class.chain)?;
        let declared = self.set.service(service)?;
        let tenant = tenant.and_then(|name| self.set.tenant(name));
        Some(CallClass {
            name: class.name.clone(),
            tenant: tenant.map_or(Bytes::from_static(ids::DEFAULT_TENANT.as_bytes()), |tenant| {
                tenant.name.clone()
            }),
            importance: class.importance,
            critical: class.critical,
            idempotent: class.idempotent,
            lane: match class.lane {
                resource_document::ClassLane::Short => CallLane::Short,
                resource_document::ClassLane::Long => CallLane::Long,
            },
            deadline: chain.deadline(),
            retry_allowance: chain.retry_allowance,
            max_depth: chain.max_depth,
            cross_region: class.cross_region,
            close_delimited: declared.close_delimited,
        })
    }

    /// Returns whether calls of this kind may run more than once; false for undeclared calls.
    #[must_use]
    pub fn is_idempotent(&self, service: &Bytes, method: &Bytes, path: &Bytes) -> bool {
        if self.fallback.is_some() {
            return is_safe_method(method);
        }
        let class = self.set.class_of(service, method, path);
        class.is_some_and(|class| class.idempotent)
    }

    /// Returns whether a class is declared as critical, so that its requests are shed last. An undeclared one is not.
    #[must_use]
    pub fn is_critical(&self, class: &ids::ClassName) -> bool {
        self.set.class(class).is_some_and(|class| class.critical)
    }

    /// Returns the limits of the requests of a class, or `None` if the class is not declared.
    #[must_use]
    pub fn chain_limits(&self, class: &ids::ClassName) -> Option<ChainLimits> {
        if let Some(fallback) = &self.fallback {
            return Some(ChainLimits {
                deadline: fallback.deadline,
                retry_allowance: fallback.retry_allowance,
            });
        }
        let chain = self.set.chain(&self.set.class(class)?.chain)?;
        Some(ChainLimits {
            deadline: chain.deadline(),
            retry_allowance: chain.retry_allowance,
        })
    }
}

/// Returns whether a method is safe, and thus idempotent without a declaration.
fn is_safe_method(method: &Bytes) -> bool {
    matches!(method.as_ref(), b"GET" | b"HEAD" | b"OPTIONS")
}

fn undeclared_class(deadline: time::Duration) -> CallClass {
    CallClass {
        name: Bytes::from_static(b"default"),
        tenant: Bytes::from_static(ids::DEFAULT_TENANT.as_bytes()),
        importance: 8,
        critical: false,
        idempotent: false,
        lane: CallLane::Short,
        deadline,
        retry_allowance: 2,
        max_depth: 32,
        cross_region: false,
        close_delimited: false,
    }
}
