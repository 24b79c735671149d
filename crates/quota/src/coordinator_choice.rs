//! Choice of the daemon that coordinates a group of tenants.

use damasktrack_entity::ids;
use xxhash_rust::xxh3;

/// Maximum mean number of tenants in a group.
const GROUP_TENANTS: usize = 256;

/// Index of a group of tenants, from 0.
pub type GroupIndex = u32;

/// Group of tenants, and the number of groups that it is one of. Daemons may have versions of the configuration with
/// different numbers of groups.
pub type GroupKey = (GroupIndex, u32);

/// Returns the number of groups for this many tenants with a limit.
#[must_use]
pub fn group_count(tenants: usize) -> u32 {
    u32::try_from(tenants.div_ceil(GROUP_TENANTS)).unwrap_or(u32::MAX)
}

/// Returns the group of a tenant.
#[must_use]
pub fn group_of(tenant: &ids::TenantName, groups: u32) -> GroupIndex {
    let hash = xxh3::xxh3_64(tenant) % u64::from(groups.max(1));
    u32::try_from(hash).unwrap_or(0)
}

/// Returns the coordinator of a group by rendezvous hashing. If one daemon leaves, only its groups move.
pub fn choose<'a>(group: GroupIndex, daemons: impl Iterator<Item = &'a ids::DaemonId>) -> Option<&'a ids::DaemonId> {
    daemons.max_by_key(|id| (xxh3::xxh3_64_with_seed(id, u64::from(group)), *id))
}
