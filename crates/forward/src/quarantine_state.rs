//! Requests that must not reach a server, as this daemon knows them.

use std::cell;
use std::time;

use damasktrack_quarantine::completion_log;
use damasktrack_quarantine::crash_report;
use damasktrack_quarantine::quarantine_table;
use damasktrack_quarantine::request_digest;
use tokio::sync::Notify;

use crate::call_identity;
use crate::stall_watch;

/// Table of crashes, and what of it the other daemons have to learn.
#[derive(Debug)]
pub struct QuarantineState {
    table: cell::RefCell<quarantine_table::QuarantineTable>,
    /// Requests that the backend server completed lately.
    completions: cell::RefCell<completion_log::CompletionLog>,
    /// Crashes to be pushed to other daemons.
    news: cell::RefCell<crash_report::CrashReport>,
    /// Wakes the task that pushes news.
    pub wake: Notify,
    /// Time of the last change of the table.
    changed: cell::Cell<Option<stall_watch::BootTime>>,
}

/// Whether a request may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineDecision {
    /// It may.
    Admit,
    /// It crashed several servers, and no server completed it since.
    Refuse {
        /// The request.
        digest: request_digest::RequestDigest,
        /// Whether one daemon may send it once more.
        trial: quarantine_table::TrialDecision,
    },
}

/// How soon news have to reach the other daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewsUrgency {
    /// At once.
    Prompt,
    /// With the next comparison.
    Deferred,
}

/// Commands.
impl QuarantineState {
    /// Creates an empty state.
    #[must_use]
    pub fn new(policy: quarantine_table::QuarantinePolicy) -> Self {
        Self {
            table: cell::RefCell::new(quarantine_table::QuarantineTable::new(policy)),
            completions: cell::RefCell::default(),
            news: cell::RefCell::default(),
            wake: Notify::new(),
            changed: cell::Cell::new(None),
        }
    }

    /// Decides on a request that is to be sent to a server. A refusal prolongs the quarantine.
    pub fn decide(&self, identity: &call_identity::CallIdentity) -> QuarantineDecision {
        self.decide_with(|| identity.clone())
    }

    /// As [`Self::decide`]; `identity` is called only if some request is suspected.
    pub fn decide_with(&self, identity: impl FnOnce() -> call_identity::CallIdentity) -> QuarantineDecision {
        let mut table = self.table.borrow_mut();
        if table.is_sound() {
            return QuarantineDecision::Admit;
        }
        let digest = identity().digest();
        let quarantine_table::RequestVerdict::Quarantined(_crashes) = table.verdict(digest) else {
            return QuarantineDecision::Admit;
        };
        let now = stall_watch::boot_time();
        let prolonged = table.note_refused(digest, now);
        let trial = table.trial(digest, now);
        drop(table);
        self.announce(prolonged, NewsUrgency::Deferred);
        QuarantineDecision::Refuse { digest, trial }
    }

    /// Records that the backend server completed a request.
    pub fn note_completed(&self, digest: request_digest::RequestDigest) {
        let now = stall_watch::boot_time();
        self.completions.borrow_mut().note(digest, now);
        let mut table = self.table.borrow_mut();
        if table.is_sound() {
            return;
        }
        let urgency = match table.verdict(digest) {
            quarantine_table::RequestVerdict::Quarantined(crashes) => {
                log::info!(request = format!("{digest:032x}"), crashes = crashes; "quarantined request completed; released");
                NewsUrgency::Prompt
            }
            _ => NewsUrgency::Deferred,
        };
        let changed = table.note_completed(digest, now);
        drop(table);
        self.announce(changed, urgency);
    }

    /// Records the crash of a server with these requests in flight.
    pub fn record_crash(&self, id: crash_report::CrashId, mut suspects: Vec<request_digest::RequestDigest>) {
        let now = stall_watch::boot_time();
        suspects.retain(|digest| !self.completions.borrow_mut().contains(*digest, now));
        if suspects.len() > crash_report::MAX_SUSPECTS {
            log::warn!(
                requests = suspects.len(), limit = crash_report::MAX_SUSPECTS;
                "more requests in flight at a crash than are kept"
            );
        }
        let effect = self.table.borrow_mut().record_crash(id, suspects, now);
        self.apply(effect, NewsUrgency::Prompt, "crash");
    }

    /// Records that a quarantined request is sent once more.
    pub fn record_trial(&self, id: crash_report::CrashId, digest: request_digest::RequestDigest) {
        let now = stall_watch::boot_time();
        let effect = self.table.borrow_mut().record_trial(id, digest, now);
        log::info!(request = format!("{digest:032x}"); "quarantined request is tried once");
        self.apply(effect, NewsUrgency::Prompt, "trial");
    }

    /// Merges crashes that another daemon or the store reported.
    pub fn merge(&self, report: &[crash_report::CrashRecord], source: &str) {
        let now = stall_watch::boot_time();
        let mut report = report.to_vec();
        // What this daemon's server completed lately isn't the cause of a crash elsewhere.
        for crash in &mut report {
            crash
                .suspects
                .retain(|digest| !self.completions.borrow_mut().contains(*digest, now));
        }
        let effect = self.table.borrow_mut().merge(&report, now);
        self.apply(effect, NewsUrgency::Prompt, source);
    }

    /// Discards what has expired.
    pub fn prune(&self) {
        self.table.borrow_mut().prune(stall_watch::boot_time());
    }

    /// Returns the news to be pushed, and forgets them.
    pub fn take_news(&self) -> crash_report::CrashReport {
        let news = std::mem::take(&mut *self.news.borrow_mut());
        let (table, now) = (self.table.borrow(), stall_watch::boot_time());
        let mut ids: Vec<_> = news.iter().map(|crash| crash.id).collect();
        ids.sort_unstable();
        ids.dedup();
        ids.into_iter().filter_map(|id| table.crash(id, now)).collect()
    }

    fn apply(&self, effect: quarantine_table::MergeEffect, urgency: NewsUrgency, source: &str) {
        let policy = self.table.borrow().policy();
        for (digest, crashes) in effect.quarantined {
            log::warn!(
                request = format!("{digest:032x}"), crashes = crashes, limit = policy.crashes,
                hold_s = policy.hold.as_secs(), source = source;
                "request quarantined: servers crashed while it ran, and none has completed it since"
            );
        }
        self.announce(effect.news, urgency);
    }

    fn announce(&self, report: crash_report::CrashReport, urgency: NewsUrgency) {
        if report.is_empty() {
            return;
        }
        self.changed.set(Some(stall_watch::boot_time()));
        self.news.borrow_mut().extend(report);
        if urgency == NewsUrgency::Prompt {
            self.wake.notify_one();
        }
    }
}

/// Queries.
impl QuarantineState {
    /// Returns whether no crash is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.table.borrow().is_empty()
    }

    /// Returns the policy.
    #[must_use]
    pub fn policy(&self) -> quarantine_table::QuarantinePolicy {
        self.table.borrow().policy()
    }

    /// Returns the number of quarantined requests.
    #[must_use]
    pub fn quarantined(&self) -> usize {
        self.table.borrow().quarantined()
    }

    /// Returns the time since the last change of the table; `None` if there was none.
    #[must_use]
    pub fn unchanged_for(&self) -> Option<time::Duration> {
        let changed = self.changed.get()?;
        Some(stall_watch::boot_time().saturating_sub(changed))
    }

    /// Returns a crash; `None` if it isn't known.
    #[must_use]
    pub fn crash(&self, id: crash_report::CrashId) -> Option<crash_report::CrashRecord> {
        self.table.borrow().crash(id, stall_watch::boot_time())
    }

    /// Returns the summary of the table, by which two daemons compare theirs.
    #[must_use]
    pub fn summary(&self) -> u64 {
        self.table.borrow().summary()
    }

    /// Returns all crashes.
    #[must_use]
    pub fn report(&self) -> crash_report::CrashReport {
        self.table.borrow().report(stall_watch::boot_time())
    }

    /// Returns the crashes that the report of another daemon lacks.
    #[must_use]
    pub fn missing_from(&self, other: &[crash_report::CrashRecord]) -> crash_report::CrashReport {
        self.table.borrow().missing_from(other, stall_watch::boot_time())
    }
}
