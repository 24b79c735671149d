//! Choice of the retry ledger's keeper for opaque ids of idempotent classes.

use damasktrack_entity::ids;
use xxhash_rust::xxh3;

/// Returns the member that keeps the retry ledger of an id: the one with the highest hash of id and member.
///
/// Daemons with equal member lists choose the same member whatever the order. When a member joins or leaves, only the
/// ids that it keeps move. The incarnation takes no part, so that a restart moves nothing.
pub fn choose<'a>(
    request_id: &[u8],
    members: impl IntoIterator<Item = &'a ids::DaemonId>,
) -> Option<&'a ids::DaemonId> {
    let seed = xxh3::xxh3_64(request_id);
    members
        .into_iter()
        .max_by_key(|daemon_id| (xxh3::xxh3_64_with_seed(daemon_id, seed), *daemon_id))
}
