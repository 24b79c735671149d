//! Which daemons follow the store's changes of the configuration closely, and the time limits of their calls.
//!
//! A call that waits for changes is lost without a sign if the store falls silent, or its connection does. A few
//! daemons, the sentinels, wait only briefly in each call and so notice a loss soon; gossip carries what they hear to
//! the others, whose long waits save calls. The number of calls doesn't depend on the number of daemons that way.

use std::collections;
use std::time;

use damasktrack_entity::ids;
use damasktrack_membership::member_record;
use rand::RngExt;

/// Largest number of sentinels. One that can't reach the store must not delay a change.
const SENTINELS: usize = 3;
/// Bounds of the time for which the store holds a follower's call. The waits differ, so that the calls which a silence
/// has lost do not all end at the same time.
const FOLLOWER_HOLD: (time::Duration, time::Duration) = (time::Duration::from_secs(10), time::Duration::from_secs(20));
/// Longest wait for a response, in addition to the time for which the store holds the call. A response usually takes
/// 4 ms and may take a hundred times as long.
const MAX_RESPONSE_LIMIT: time::Duration = time::Duration::from_secs(2);
/// Calls that wait for changes within the limit on the age of a confirmation. A confirmation counts from the time at
/// which its call was sent, and one slow call must not end requests.
const FEEDS_PER_REVOKE_LIMIT: u32 = 3;

/// How closely a daemon follows the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive_more::Display)]
pub enum FeedRole {
    /// With short waits.
    Sentinel,
    /// With long waits.
    Follower,
}

/// Time limits of a call that waits for changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeedWait {
    /// Time for which the store may hold the call.
    pub hold: time::Duration,
    /// Longest wait for a response in addition.
    pub response_limit: time::Duration,
}

/// Time limits of the calls for the configuration.
///
/// Invariant: a sentinel notices a lost call, and has repeated it, within three quarters of the hear limit.
#[derive(Clone, Copy, Debug)]
pub struct FeedSchedule {
    hear_limit: time::Duration,
    revoke_limit: Option<time::Duration>,
}

/// Queries.
impl FeedSchedule {
    /// Creates the schedule. `hear_limit` is the longest time from the end of an outage of the store until a change is
    /// heard; `revoke_limit` that of the configuration's confirmation, if there is one.
    #[must_use]
    pub fn new(hear_limit: time::Duration, revoke_limit: Option<time::Duration>) -> Self {
        Self {
            hear_limit,
            revoke_limit,
        }
    }

    /// Returns the time limit of a response; also the longest time between two calls while the store fails.
    #[must_use]
    pub fn response_limit(&self) -> time::Duration {
        MAX_RESPONSE_LIMIT.min(self.hear_limit / 2)
    }

    /// Returns the time limits of the next call that waits for changes.
    pub fn next_wait(&self, role: FeedRole, rng: &mut impl rand::Rng) -> FeedWait {
        let hold = match role {
            FeedRole::Sentinel => self.hear_limit / 4,
            FeedRole::Follower => rng.random_range(FOLLOWER_HOLD.0..FOLLOWER_HOLD.1),
        };
        let longest = self.revoke_limit.map_or(hold, |limit| limit / FEEDS_PER_REVOKE_LIMIT);
        FeedWait {
            hold: hold.min(longest),
            response_limit: self.response_limit(),
        }
    }
}

/// Returns the role of a daemon. The sentinels are the first live members by id, taken from the regions in turn, so that
/// the loss of a region leaves one in another.
#[must_use]
pub fn role_of<'a>(own: &ids::DaemonId, members: impl Iterator<Item = &'a member_record::MemberRecord>) -> FeedRole {
    let mut regions: collections::BTreeMap<&ids::RegionName, collections::BTreeSet<&ids::DaemonId>> =
        collections::BTreeMap::new();
    for record in members.filter(|record| record.state.is_live()) {
        let first = regions.entry(&record.location.region).or_default();
        first.insert(&record.daemon_id);
        if first.len() > SENTINELS {
            first.pop_last();
        }
    }
    let mut ranked: Vec<_> = regions.values().flat_map(|first| first.iter().enumerate()).collect();
    // The sort is stable, so that members of the same rank stay in the order of their regions.
    ranked.sort_by_key(|(rank, _daemon)| *rank);
    let is_sentinel = ranked.iter().take(SENTINELS).any(|(_rank, daemon)| **daemon == own);
    if is_sentinel {
        FeedRole::Sentinel
    } else {
        FeedRole::Follower
    }
}
