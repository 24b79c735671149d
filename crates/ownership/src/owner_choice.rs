//! Selection of the daemon that holds the retry ledger for opaque ids of idempotent classes.

use damasktrack_entity::ids;
use xxhash_rust::xxh3;

/// Returns the member that holds the retry ledger of an id, by rendezvous hashing: the member with the highest hash of
/// id and member.
///
/// Daemons with equal member lists choose the same member, regardless of the order. When a member joins or leaves, only
/// the ids assigned to it move. The incarnation is not hashed, so a restart moves no ids.
pub fn choose<'a>(
    request_id: &[u8],
    members: impl IntoIterator<Item = &'a ids::DaemonId>,
) -> Option<&'a ids::DaemonId> {
    let seed = xxh3::xxh3_64(request_id);
    members
        .into_iter()
        .max_by_key(|daemon_id| (xxh3::xxh3_64_with_seed(daemon_id, seed), *daemon_id))
}
