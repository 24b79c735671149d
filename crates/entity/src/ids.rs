//! Aliases for the ids and names that resources, calls and daemons carry.

use bytes::Bytes;

/// Name of a service as declared by an operator.
pub type ServiceName = Bytes;
/// Name of a class of requests as declared by an operator.
pub type ClassName = Bytes;
/// Name of a tenant; calls without a known tenant belong to [`DEFAULT_TENANT`].
pub type TenantName = Bytes;
/// Name of a region, from the settings of a daemon.
pub type RegionName = Bytes;
/// Name of a data centre, unique within its region.
pub type DataCentreName = Bytes;
/// Name of a daemon, unique in the deployment and stable over restarts.
pub type DaemonId = Bytes;
/// Random number drawn at process start. A restarted daemon never reuses an earlier one.
pub type Incarnation = u64;
/// Id of a running call, unique within one incarnation of the daemon that issued it.
pub type CallId = u64;
/// Number of an accepted configuration change. The first change is 1 and each further one adds 1; 0 means none.
pub type Revision = u64;

/// Tenant of calls that name no known tenant.
pub const DEFAULT_TENANT: &str = "default";

/// Returns the text of a name, with invalid UTF-8 replaced.
#[must_use]
pub fn text(name: &Bytes) -> std::borrow::Cow<'_, str> {
    String::from_utf8_lossy(name)
}
