//! Joining through the table service or seeds, rereading of rows, and removal of old rows.

use std::time;

use rand::RngExt;

use crate::member_record;
use crate::member_table;

/// Time over which daemons that start together spread their first write: 760 daemons then make 253 writes/s, about half
/// of the platform's rate.
pub const START_SPREAD: time::Duration = time::Duration::from_secs(3);
/// Time over which the first retry is spread when the store is slow or refuses.
const RETRY_SPREAD: time::Duration = time::Duration::from_secs(10);
/// Longest time over which a retry is spread.
const MAX_RETRY_SPREAD: time::Duration = time::Duration::from_mins(2);
/// Time until the second list: the first misses those that started together and wrote later.
const SECOND_LIST: time::Duration = time::Duration::from_secs(15);
/// Time between two lists afterwards, and the longest time until a lost row is written again.
pub const REFRESH_INTERVAL: time::Duration = time::Duration::from_mins(10);
/// Share by which the times between lists vary.
const REFRESH_JITTER: f64 = 0.2;
/// Time between two messages to the seeds until one answers.
const SEED_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Time for which a member must be dead before its row is removed.
pub const ROW_LIFETIME: time::Duration = time::Duration::from_hours(24);
/// Daemons that try to remove a row in one refresh interval, on average. One alone might be down.
const REMOVERS: f64 = 4.0;

/// Call to make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JoinStep {
    /// Write the own row, on the condition of the version read last.
    WriteRow,
    /// List all rows.
    ListRows,
    /// Send to the seeds with [`crate::gossip_context::GossipContext::join`].
    AskSeeds,
    /// Nothing until this time.
    Wait(time::Instant),
}

/// How a call to the store ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreResult {
    /// It took effect.
    Done,
    /// It failed, or its effect is not known.
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JoinPhase {
    Write,
    FirstList,
    SecondList,
    Refresh,
}

/// Plan of one daemon's calls to the table service. At most one is in progress.
#[derive(Debug)]
pub struct JoinPlan {
    phase: JoinPhase,
    due: time::Instant,
    spread: time::Duration,
    in_progress: bool,
    has_seeds: bool,
    seeds_due: Option<time::Instant>,
}

/// Commands.
impl JoinPlan {
    /// Creates the plan of a starting daemon.
    pub fn new<R: rand::Rng + ?Sized>(has_seeds: bool, now: time::Instant, rng: &mut R) -> Self {
        Self {
            phase: JoinPhase::Write,
            due: now + START_SPREAD.mul_f64(rng.random_range(0.0..1.0)),
            spread: RETRY_SPREAD,
            in_progress: false,
            has_seeds,
            seeds_due: has_seeds.then_some(now),
        }
    }

    /// Returns the next call; its result is reported by [`Self::finish`]. Seeds have no result.
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

    /// Reports how the last call to the store ended.
    pub fn finish<R: rand::Rng + ?Sized>(&mut self, result: StoreResult, now: time::Instant, rng: &mut R) {
        self.in_progress = false;
        if result == StoreResult::Failed {
            self.due = now + self.spread.mul_f64(rng.random_range(0.1..1.0));
            self.spread = (self.spread * 2).min(MAX_RETRY_SPREAD);
            return;
        }
        self.spread = RETRY_SPREAD;
        let jitter = rng.random_range(1.0 - REFRESH_JITTER..1.0 + REFRESH_JITTER);
        let (phase, wait) = match self.phase {
            JoinPhase::Write => (JoinPhase::FirstList, time::Duration::ZERO),
            JoinPhase::FirstList => (JoinPhase::SecondList, SECOND_LIST.mul_f64(jitter)),
            JoinPhase::SecondList | JoinPhase::Refresh => (JoinPhase::Refresh, REFRESH_INTERVAL.mul_f64(jitter)),
        };
        self.phase = phase;
        self.due = now + wait;
    }

    /// Notes that a member answered: seeds need not be asked again.
    pub fn contacted(&mut self) {
        self.seeds_due = None;
    }

    /// Notes that no other live member is known any more.
    pub fn isolated(&mut self, now: time::Instant) {
        if self.has_seeds && self.seeds_due.is_none() {
            self.seeds_due = Some(now);
        }
    }

    /// Notes that a list lacked the own row, for example because it was removed while this daemon was paused.
    pub fn row_lost<R: rand::Rng + ?Sized>(&mut self, now: time::Instant, rng: &mut R) {
        self.phase = JoinPhase::Write;
        self.due = now + START_SPREAD.mul_f64(rng.random_range(0.0..1.0));
    }
}

/// Queries.
impl JoinPlan {
    /// Returns when [`Self::next_step`] has something to do next.
    #[must_use]
    pub fn next_wake(&self, now: time::Instant) -> time::Instant {
        let store = if self.in_progress {
            now + REFRESH_INTERVAL
        } else {
            self.due
        };
        self.seeds_due.map_or(store, |seeds| store.min(seeds))
    }

    /// Returns whether rows were listed at least once.
    #[must_use]
    pub fn has_listed(&self) -> bool {
        matches!(self.phase, JoinPhase::SecondList | JoinPhase::Refresh)
    }
}

/// Decides after a list whether this daemon removes a row, on the condition that its version is still the listed one.
///
/// Of all daemons about [`REMOVERS`] try in one refresh interval. The row's member must have been dead or left here for
/// [`ROW_LIFETIME`], in the row's incarnation.
pub fn may_remove_row<R: rand::Rng + ?Sized>(
    row: &member_record::MemberRecord,
    table: &member_table::MemberTable,
    now: time::Instant,
    rng: &mut R,
) -> bool {
    let Some(entry) = table.find(&row.daemon_id) else {
        return false;
    };
    let gone = !entry.record.state.is_live() && now.saturating_duration_since(entry.since) >= ROW_LIFETIME;
    let superseded = row.compare_incarnation(&entry.record) == std::cmp::Ordering::Greater;
    let share = REMOVERS / table.live_count().max(1) as f64;
    gone && !superseded && rng.random_bool(share.min(1.0))
}
