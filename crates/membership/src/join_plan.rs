//! Joining through the table service or seeds, periodic listing of rows, and removal of old rows.

use std::time;

use rand::RngExt;

use crate::member_record;
use crate::member_table;

/// Time over which daemons that start together spread their first write: 760 daemons then make 253 writes/s, about half
/// of the platform's limit.
pub const START_SPREAD: time::Duration = time::Duration::from_secs(3);
/// Time over which the first retry is spread when the store is slow or refuses calls.
const RETRY_SPREAD: time::Duration = time::Duration::from_secs(10);
/// Longest time over which a retry is spread.
const MAX_RETRY_SPREAD: time::Duration = time::Duration::from_mins(2);
/// Time from the first list to the second. The first list misses daemons that started at the same time and wrote their
/// rows later.
const SECOND_LIST_DELAY: time::Duration = time::Duration::from_secs(15);
/// Mean time between two later lists, and thus about the longest time until a lost row is written again.
pub const REFRESH_INTERVAL: time::Duration = time::Duration::from_mins(10);
/// Largest relative deviation of the time between two lists.
const REFRESH_JITTER: f64 = 0.2;
/// Time between two rounds of probes to the seeds until a member answers.
const SEED_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Time for which a member must have been dead or left before its row is removed.
pub const ROW_LIFETIME: time::Duration = time::Duration::from_hours(24);
/// Mean number of daemons that try to remove a row per refresh interval. A single one might be down.
const MEAN_REMOVERS: f64 = 4.0;

/// Next action of the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JoinStep {
    /// Write the own row, on condition that its version is the one read last.
    WriteRow,
    /// List all rows.
    ListRows,
    /// Probe the seeds with [`crate::gossip_context::GossipContext::join`].
    AskSeeds,
    /// Do nothing until this time.
    Wait(time::Instant),
}

/// Result of a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreResult {
    /// The call took effect.
    Done,
    /// The call failed, or its effect is unknown.
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JoinPhase {
    Write,
    FirstList,
    SecondList,
    Refresh,
}

/// Schedule of one daemon's calls to the table service and to its seeds. At most one call to the table service is in
/// progress.
#[derive(Debug)]
pub struct JoinPlan {
    phase: JoinPhase,
    due: time::Instant,
    retry_spread: time::Duration,
    in_progress: bool,
    has_seeds: bool,
    seeds_due: Option<time::Instant>,
}

/// Commands.
impl JoinPlan {
    /// Creates the plan of a starting daemon, whose first write is due within [`START_SPREAD`].
    pub fn new<R: rand::Rng + ?Sized>(has_seeds: bool, now: time::Instant, rng: &mut R) -> Self {
        Self {
            phase: JoinPhase::Write,
            due: now + START_SPREAD.mul_f64(rng.random_range(0.0..1.0)),
            retry_spread: RETRY_SPREAD,
            in_progress: false,
            has_seeds,
            seeds_due: has_seeds.then_some(now),
        }
    }

    /// Returns the next action. The caller reports the result of a call to the store with [`Self::finish`];
    /// [`JoinStep::AskSeeds`] has no result.
    pub fn next_step(&mut self, now: time::Instant) -> JoinStep {
        if self.seeds_due.is_some_and(|due| now >= due) {
            self.seeds_due = Some(now + SEED_INTERVAL);
            return JoinStep::AskSeeds;
        }
        if self.in_progress || now < self.due {
            return JoinStep::Wait(self.next_wake(now));
        }
        self.in_progress = true;
        if self.phase == JoinPhase::Write {
            JoinStep::WriteRow
        } else {
            JoinStep::ListRows
        }
    }

    /// Records the result of the last call to the store and schedules the next one.
    pub fn finish<R: rand::Rng + ?Sized>(&mut self, result: StoreResult, now: time::Instant, rng: &mut R) {
        self.in_progress = false;
        if result == StoreResult::Failed {
            self.due = now + self.retry_spread.mul_f64(rng.random_range(0.1..1.0));
            self.retry_spread = (self.retry_spread * 2).min(MAX_RETRY_SPREAD);
            return;
        }
        self.retry_spread = RETRY_SPREAD;
        let jitter = rng.random_range(1.0 - REFRESH_JITTER..1.0 + REFRESH_JITTER);
        let (phase, wait) = match self.phase {
            JoinPhase::Write => (JoinPhase::FirstList, time::Duration::ZERO),
            JoinPhase::FirstList => (JoinPhase::SecondList, SECOND_LIST_DELAY.mul_f64(jitter)),
            JoinPhase::SecondList | JoinPhase::Refresh => (JoinPhase::Refresh, REFRESH_INTERVAL.mul_f64(jitter)),
        };
        self.phase = phase;
        self.due = now + wait;
    }

    /// Stops the probes to the seeds, since a member has answered.
    pub fn contacted(&mut self) {
        self.seeds_due = None;
    }

    /// Resumes the probes to the seeds, since no other live member is known any more.
    pub fn isolated(&mut self, now: time::Instant) {
        if self.has_seeds && self.seeds_due.is_none() {
            self.seeds_due = Some(now);
        }
    }

    /// Schedules a new write of the own row because a list lacked it, for example because it was removed while this
    /// daemon was paused.
    pub fn row_lost<R: rand::Rng + ?Sized>(&mut self, now: time::Instant, rng: &mut R) {
        self.phase = JoinPhase::Write;
        self.due = now + START_SPREAD.mul_f64(rng.random_range(0.0..1.0));
    }
}

/// Queries.
impl JoinPlan {
    /// Returns the time of the next call to [`Self::next_step`] that may return an action.
    #[must_use]
    pub fn next_wake(&self, now: time::Instant) -> time::Instant {
        let store = if self.in_progress {
            now + REFRESH_INTERVAL
        } else {
            self.due
        };
        self.seeds_due.map_or(store, |seeds| store.min(seeds))
    }

    /// Returns whether the rows have been listed at least once since the own row was last written.
    #[must_use]
    pub fn has_listed(&self) -> bool {
        matches!(self.phase, JoinPhase::SecondList | JoinPhase::Refresh)
    }
}

/// Decides after a list whether this daemon removes a row, on the condition that its version is still the listed one.
///
/// The choice is random, so that about `MEAN_REMOVERS` of all daemons try per refresh interval. The row's member must
/// have been dead or left in this daemon's table for [`ROW_LIFETIME`], and the row must not be of a later incarnation.
pub fn may_remove_row<R: rand::Rng + ?Sized>(
    row: &member_record::MemberRecord,
    table: &member_table::MemberTable,
    now: time::Instant,
    rng: &mut R,
) -> bool {
    let Some(entry) = table.find(&row.daemon_id) else {
        return false;
    };
    let expired = !entry.record.state.is_live() && now.saturating_duration_since(entry.since) >= ROW_LIFETIME;
    let superseded = row.compare_incarnation(&entry.record) == std::cmp::Ordering::Greater;
    let probability = MEAN_REMOVERS / table.live_count().max(1) as f64;
    expired && !superseded && rng.random_bool(probability.min(1.0))
}
