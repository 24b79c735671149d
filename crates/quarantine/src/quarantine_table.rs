//! Which requests crash the servers that run them.
//!
//! Load pattern: a request crashes each server that begins to run it, and its client sends it again, at any machine. Every
//! crash fails all other requests in flight there, and sends them to the servers that are left. The table counts the
//! crashes at which a request was in flight. A request that a server completes afterwards is not the cause, so a popular
//! request isn't refused for the company that it was in.

use std::collections;
use std::time;

use xxhash_rust::xxh3;

use crate::crash_report;
use crate::request_digest;

/// Time on a clock that includes suspensions.
pub type TableTime = time::Duration;

/// Time from the last crash of a quarantined request to its first trial.
const FIRST_TRIAL_DELAY: time::Duration = time::Duration::from_secs(30);
/// Time from the first trial to the second, which is the last one as long as the request is remembered.
const SECOND_TRIAL_DELAY: time::Duration = time::Duration::from_mins(10);
/// Share of the hold by which a crash must have become younger to be spread again.
const REFRESH_SHARE: f64 = 0.125;

/// When a request is quarantined, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantinePolicy {
    /// Crashes at which a request was in flight before it is refused; at least 1.
    pub crashes: usize,
    /// Time since its last crash or refusal after which a request is tried again.
    pub hold: time::Duration,
}

impl Default for QuarantinePolicy {
    fn default() -> Self {
        Self {
            crashes: 3,
            hold: time::Duration::from_hours(1),
        }
    }
}

/// What is known of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestVerdict {
    /// Nothing speaks against it.
    Sound,
    /// It was in flight at this many crashes, fewer than the policy's.
    Suspect(usize),
    /// It was in flight at this many crashes and must not reach a server.
    Quarantined(usize),
}

/// Whether a quarantined request may be sent to one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialDecision {
    /// Not yet.
    Wait,
    /// One daemon may send it once.
    Due,
}

/// Effect of a merge.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergeEffect {
    /// Crashes that the table didn't have in this form, to be passed on.
    pub news: crash_report::CrashReport,
    /// Requests that are quarantined since, with the number of crashes.
    pub quarantined: Vec<(request_digest::RequestDigest, usize)>,
}

#[derive(Clone, Debug)]
struct CrashEntry {
    kind: crash_report::RecordKind,
    at: TableTime,
    /// Time of the crash, or of the last refusal of one of its suspects.
    refreshed: TableTime,
    /// In ascending order, each once.
    suspects: Vec<request_digest::RequestDigest>,
}

/// Crashes of all servers and the requests in flight at them.
///
/// Merging is commutative and idempotent: crashes are joined by id, and the suspects of one crash only become fewer.
///
/// Invariants: `counts` has the number of crashes of each suspect; at most [`crash_report::MAX_CRASHES`] crashes are
/// kept, each with at most [`crash_report::MAX_SUSPECTS`] suspects.
#[derive(Debug)]
pub struct QuarantineTable {
    policy: QuarantinePolicy,
    crashes: collections::HashMap<crash_report::CrashId, CrashEntry>,
    counts: collections::HashMap<request_digest::RequestDigest, usize>,
}

/// Commands.
impl QuarantineTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(policy: QuarantinePolicy) -> Self {
        Self {
            policy,
            crashes: collections::HashMap::new(),
            counts: collections::HashMap::new(),
        }
    }

    /// Records the crash of a server and the requests in flight there.
    pub fn record_crash(
        &mut self,
        id: crash_report::CrashId,
        suspects: impl IntoIterator<Item = request_digest::RequestDigest>,
        now: TableTime,
    ) -> MergeEffect {
        let suspects = self.select_suspects(id, suspects.into_iter().collect());
        self.record(id, crash_report::RecordKind::Crash, suspects, now)
    }

    /// Records that a quarantined request is sent once more.
    pub fn record_trial(
        &mut self,
        id: crash_report::CrashId,
        digest: request_digest::RequestDigest,
        now: TableTime,
    ) -> MergeEffect {
        self.record(id, crash_report::RecordKind::Trial, vec![digest], now)
    }

    /// Records that a server completed a request. Returns the changed crashes, for the other daemons.
    pub fn note_completed(
        &mut self,
        digest: request_digest::RequestDigest,
        now: TableTime,
    ) -> crash_report::CrashReport {
        if self.counts.remove(&digest).is_none() {
            return crash_report::CrashReport::new();
        }
        let mut changed = crash_report::CrashReport::new();
        for (id, entry) in &mut self.crashes {
            if let Ok(position) = entry.suspects.binary_search(&digest) {
                entry.suspects.remove(position);
                changed.push(record_of(*id, entry, now));
            }
        }
        changed
    }

    /// Records that a quarantined request came again, which prolongs its quarantine. Returns the prolonged crashes, for
    /// the other daemons; most calls return none.
    pub fn note_refused(&mut self, digest: request_digest::RequestDigest, now: TableTime) -> crash_report::CrashReport {
        let step = self.policy.hold.mul_f64(REFRESH_SHARE);
        let mut prolonged = crash_report::CrashReport::new();
        for (id, entry) in &mut self.crashes {
            if now.saturating_sub(entry.refreshed) >= step && entry.suspects.binary_search(&digest).is_ok() {
                entry.refreshed = now;
                prolonged.push(record_of(*id, entry, now));
            }
        }
        prolonged
    }

    /// Merges crashes that another daemon or the store reports.
    pub fn merge(&mut self, report: &[crash_report::CrashRecord], now: TableTime) -> MergeEffect {
        let mut effect = MergeEffect::default();
        let hold = self.policy.hold;
        for crash in report.iter().filter(|crash| crash.idle < hold) {
            let changed = if self.crashes.contains_key(&crash.id) {
                self.merge_known(crash, now)
            } else {
                self.add(crash, now, &mut effect.quarantined);
                true
            };
            if changed && let Some(entry) = self.crashes.get(&crash.id) {
                effect.news.push(record_of(crash.id, entry, now));
            }
        }
        while self.crashes.len() > crash_report::MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(id, entry)| (entry.refreshed, **id));
            let Some(id) = oldest.map(|(id, _entry)| *id) else {
                break;
            };
            self.remove(id);
        }
        effect
    }

    /// Discards crashes that are older than the hold.
    pub fn prune(&mut self, now: TableTime) {
        let hold = self.policy.hold;
        let entries = self.crashes.iter();
        let expired = entries.filter(|(_id, entry)| now.saturating_sub(entry.refreshed) >= hold);
        let expired: Vec<_> = expired.map(|(id, _entry)| *id).collect();
        for id in expired {
            self.remove(id);
        }
    }

    /// Returns the suspects of a new crash that are kept: those of earlier crashes first, and of the others a choice that
    /// differs between crashes, so that no request is left out of all of them.
    fn select_suspects(
        &self,
        id: crash_report::CrashId,
        mut suspects: Vec<request_digest::RequestDigest>,
    ) -> Vec<request_digest::RequestDigest> {
        if suspects.len() > crash_report::MAX_SUSPECTS {
            suspects.sort_unstable();
            suspects.dedup();
            suspects.sort_by_cached_key(|digest| {
                let count = self.counts.get(digest).copied().unwrap_or_default();
                (
                    std::cmp::Reverse(count),
                    xxh3::xxh3_64_with_seed(&digest.to_le_bytes(), id),
                )
            });
            suspects.truncate(crash_report::MAX_SUSPECTS);
        }
        suspects
    }

    fn record(
        &mut self,
        id: crash_report::CrashId,
        kind: crash_report::RecordKind,
        suspects: Vec<request_digest::RequestDigest>,
        now: TableTime,
    ) -> MergeEffect {
        let record = crash_report::CrashRecord {
            id,
            kind,
            age: time::Duration::ZERO,
            idle: time::Duration::ZERO,
            suspects,
        };
        self.merge(&[record], now)
    }

    fn add(
        &mut self,
        crash: &crash_report::CrashRecord,
        now: TableTime,
        quarantined: &mut Vec<(request_digest::RequestDigest, usize)>,
    ) {
        let mut suspects = crash.suspects.clone();
        suspects.sort_unstable();
        suspects.dedup();
        suspects.truncate(crash_report::MAX_SUSPECTS);
        for digest in &suspects {
            let count = self.counts.entry(*digest).or_default();
            *count += 1;
            if *count == self.policy.crashes {
                quarantined.push((*digest, *count));
            }
        }
        let entry = CrashEntry {
            kind: crash.kind,
            at: now.saturating_sub(crash.age),
            refreshed: now.saturating_sub(crash.idle),
            suspects,
        };
        self.crashes.insert(crash.id, entry);
    }

    /// Merges a crash that the table has. Returns whether it changed.
    fn merge_known(&mut self, crash: &crash_report::CrashRecord, now: TableTime) -> bool {
        let Some(entry) = self.crashes.get_mut(&crash.id) else {
            return false;
        };
        let refreshed = now.saturating_sub(crash.idle);
        // Half a step, since the transfer makes a crash look younger.
        let step = self.policy.hold.mul_f64(REFRESH_SHARE / 2.0);
        let prolonged = refreshed.saturating_sub(entry.refreshed) >= step;
        if prolonged {
            entry.refreshed = refreshed;
        }
        let before = entry.suspects.len();
        let counts = &mut self.counts;
        entry.suspects.retain(|digest| {
            let kept = crash.suspects.contains(digest);
            if !kept {
                decrement(counts, *digest);
            }
            kept
        });
        prolonged || entry.suspects.len() < before
    }

    fn remove(&mut self, id: crash_report::CrashId) {
        if let Some(entry) = self.crashes.remove(&id) {
            for digest in entry.suspects {
                decrement(&mut self.counts, digest);
            }
        }
    }
}

/// Queries.
impl QuarantineTable {
    /// Returns the policy.
    #[must_use]
    pub fn policy(&self) -> QuarantinePolicy {
        self.policy
    }

    /// Returns what is known of a request.
    #[must_use]
    pub fn verdict(&self, digest: request_digest::RequestDigest) -> RequestVerdict {
        match self.counts.get(&digest).copied() {
            None => RequestVerdict::Sound,
            Some(count) if count < self.policy.crashes => RequestVerdict::Suspect(count),
            Some(count) => RequestVerdict::Quarantined(count),
        }
    }

    /// Returns whether a trial of a quarantined request is due. A request may have been in flight at several crashes that
    /// another one caused, and while it is refused, no server can complete it. After two trials that no server completed
    /// there are no more, so that it crashes a bounded number of servers.
    #[must_use]
    pub fn trial(&self, digest: request_digest::RequestDigest, now: TableTime) -> TrialDecision {
        let entries = self.crashes.values();
        let entries = entries.filter(|entry| entry.suspects.binary_search(&digest).is_ok());
        let mut trials = 0;
        let mut newest = TableTime::ZERO;
        for entry in entries {
            trials += u32::from(entry.kind == crash_report::RecordKind::Trial);
            newest = newest.max(entry.at);
        }
        let delay = match trials {
            0 => FIRST_TRIAL_DELAY,
            1 => SECOND_TRIAL_DELAY,
            _ => return TrialDecision::Wait,
        };
        if now.saturating_sub(newest) >= delay.min(self.policy.hold) {
            TrialDecision::Due
        } else {
            TrialDecision::Wait
        }
    }

    /// Returns whether no request is suspected.
    #[must_use]
    pub fn is_sound(&self) -> bool {
        self.counts.is_empty()
    }

    /// Returns whether no crash is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Returns the number of quarantined requests.
    #[must_use]
    pub fn quarantined(&self) -> usize {
        let counts = self.counts.values();
        counts.filter(|count| **count >= self.policy.crashes).count()
    }

    /// Returns a crash; `None` if the table doesn't have it.
    #[must_use]
    pub fn crash(&self, id: crash_report::CrashId, now: TableTime) -> Option<crash_report::CrashRecord> {
        self.crashes.get(&id).map(|entry| record_of(id, entry, now))
    }

    /// Returns a value that is the same for tables with the same crashes and suspects.
    #[must_use]
    pub fn summary(&self) -> u64 {
        self.crashes.iter().fold(0, |summary, (id, entry)| {
            let mut hasher = xxh3::Xxh3::with_seed(*id);
            for digest in &entry.suspects {
                hasher.update(&digest.to_le_bytes());
            }
            summary ^ hasher.digest()
        })
    }

    /// Returns all crashes.
    #[must_use]
    pub fn report(&self, now: TableTime) -> crash_report::CrashReport {
        let entries = self.crashes.iter();
        entries.map(|(id, entry)| record_of(*id, entry, now)).collect()
    }

    /// Returns the crashes that a report of another daemon lacks, or has with more suspects.
    #[must_use]
    pub fn missing_from(&self, other: &[crash_report::CrashRecord], now: TableTime) -> crash_report::CrashReport {
        let known: collections::HashMap<_, _> = other.iter().map(|crash| (crash.id, crash.suspects.len())).collect();
        let entries = self.crashes.iter();
        let missing = entries.filter(|(id, entry)| known.get(id).is_none_or(|length| *length > entry.suspects.len()));
        missing.map(|(id, entry)| record_of(*id, entry, now)).collect()
    }
}

fn decrement(
    counts: &mut collections::HashMap<request_digest::RequestDigest, usize>,
    digest: request_digest::RequestDigest,
) {
    if let Some(count) = counts.get_mut(&digest) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&digest);
        }
    }
}

fn record_of(id: crash_report::CrashId, entry: &CrashEntry, now: TableTime) -> crash_report::CrashRecord {
    crash_report::CrashRecord {
        id,
        kind: entry.kind,
        age: now.saturating_sub(entry.at),
        idle: now.saturating_sub(entry.refreshed),
        suspects: entry.suspects.clone(),
    }
}
