//! Levels that services admit, as their responses report them to a daemon.

use std::collections;
use std::time;

use damasktrack_entity::{admission_level, call_outcome, ids};

/// A level whose newest report is this old is dropped, so that calls are not shed after the overload has ended.
const LEVEL_EXPIRY: time::Duration = time::Duration::from_secs(1);
/// One in this many calls below the level is sent as a probe, to obtain the current level.
const PROBE_EVERY: u32 = 50;
/// Minimum weight of a new report. The servers of one service report different levels; the weighted mean approximates
/// the level at which the service as a whole can take the offered calls.
const REPORT_WEIGHT: f64 = 0.2;
/// Time since the previous report after which a new report replaces the mean. The mean of rare reports would otherwise
/// follow a change of the level slowly, and the delay would add up over the hops of a chain.
const FULL_WEIGHT_AGE: time::Duration = time::Duration::from_millis(200);

/// Sender of the call whose response carried a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallOrigin {
    /// A caller outside of chains.
    Entry,
    /// The local backend server. The report is also taken into account by [`LevelView::highest_nested_report`].
    Nested,
}

/// Decision on a call before it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LevelCheck {
    /// Send it.
    Admit,
    /// Send it although it is below the level, to get a current report.
    Probe,
    /// Refuse it; it did not run.
    Refuse,
}

/// Class and tenant of a call.
pub type ViewKey = (ids::ClassName, ids::TenantName);

/// Levels by service, class and tenant, as responses reported them.
#[derive(Debug, Default)]
pub struct LevelView {
    entries: collections::HashMap<ids::ServiceName, collections::HashMap<ViewKey, ViewEntry>>,
}

#[derive(Clone, Copy, Debug)]
struct ViewEntry {
    /// Weighted mean of the reported levels, as an [`admission_level::AdmissionLevel::index`].
    level: f64,
    /// Latest time at which a server observed a level that it reported.
    observed: time::Instant,
    /// When this daemon received the last report.
    updated: time::Instant,
    /// Level of the last report to a nested call, and when it was observed. It is passed on unchanged: a mean at each
    /// hop would delay a change in proportion to the depth of the chain, and the daemon at the first hop takes the mean
    /// anyway.
    nested: Option<(admission_level::AdmissionLevel, time::Instant)>,
    /// Calls below the level since the entry was created.
    below_level: u32,
}

impl LevelView {
    /// Adds the report that a response or refusal of `service` carried. Expired reports are ignored.
    pub fn add_report(
        &mut self,
        service: &ids::ServiceName,
        key: &ViewKey,
        report: call_outcome::LevelReport,
        origin: CallOrigin,
        now: time::Instant,
    ) {
        let Some(observed) = now.checked_sub(report.age) else {
            return;
        };
        if report.age >= LEVEL_EXPIRY {
            return;
        }
        if !self.entries.contains_key(service) {
            self.entries.insert(service.clone(), collections::HashMap::new());
        }
        let Some(classes) = self.entries.get_mut(service) else {
            return;
        };
        let reported = report.level.index() as f64;
        let nested = (origin == CallOrigin::Nested).then_some((report.level, observed));
        let Some(entry) = classes.get_mut(key) else {
            classes.insert(
                key.clone(),
                ViewEntry {
                    level: reported,
                    observed,
                    updated: now,
                    nested,
                    below_level: 0,
                },
            );
            return;
        };
        let age = now.saturating_duration_since(entry.updated).as_secs_f64() / FULL_WEIGHT_AGE.as_secs_f64();
        entry.level += (reported - entry.level) * age.clamp(REPORT_WEIGHT, 1.0);
        entry.updated = now;
        entry.observed = entry.observed.max(observed);
        entry.nested = nested.or(entry.nested);
    }

    /// Decides whether a call of `level` may be sent to a service.
    pub fn check(
        &mut self,
        service: &ids::ServiceName,
        key: &ViewKey,
        level: admission_level::AdmissionLevel,
        now: time::Instant,
    ) -> LevelCheck {
        let entry = self.entries.get_mut(service).and_then(|classes| classes.get_mut(key));
        let Some(entry) = entry else { return LevelCheck::Admit };
        if is_expired(entry.observed, now) || level.index() as f64 >= entry.level.floor() {
            return LevelCheck::Admit;
        }
        entry.below_level += 1;
        if entry.below_level % PROBE_EVERY == 0 {
            LevelCheck::Probe
        } else {
            LevelCheck::Refuse
        }
    }

    /// Removes expired levels. Called periodically, to bound the memory; `check` and the queries ignore expired levels.
    pub fn tick(&mut self, now: time::Instant) {
        for classes in self.entries.values_mut() {
            classes.retain(|_, entry| !is_expired(entry.observed, now));
        }
    }
}

impl LevelView {
    /// Returns the smoothed level of a service for a class and tenant; the lowest level without a current report.
    #[must_use]
    pub fn level(
        &self,
        service: &ids::ServiceName,
        key: &ViewKey,
        now: time::Instant,
    ) -> admission_level::AdmissionLevel {
        let entry = self.entries.get(service).and_then(|classes| classes.get(key));
        let live = entry.filter(|entry| !is_expired(entry.observed, now));
        live.map_or(admission_level::AdmissionLevel::LOWEST, smoothed_level)
    }

    /// Returns whether a service sheds any calls of a class and tenant, given the importance of the class.
    #[must_use]
    pub fn sheds(&self, service: &ids::ServiceName, key: &ViewKey, importance: u8, now: time::Instant) -> bool {
        let lowest = admission_level::AdmissionLevel { importance, cohort: 0 };
        self.level(service, key, now) > lowest
    }

    /// Returns the highest level among the current reports to calls of the local backend server for a class and tenant.
    #[must_use]
    pub fn highest_nested_report(&self, key: &ViewKey, now: time::Instant) -> Option<call_outcome::LevelReport> {
        let entries = self.entries.values().filter_map(|classes| classes.get(key));
        let reports = entries.filter_map(|entry| {
            let (level, observed) = entry.nested.filter(|nested| !is_expired(nested.1, now))?;
            let age = now.saturating_duration_since(observed);
            Some(call_outcome::LevelReport { level, age })
        });
        reports.max_by_key(|report| report.level)
    }
}

/// Returns the report that a callee sends: its own level, or the level reported to the calls of its backend server if
/// that is higher.
#[must_use]
pub fn higher_report(
    own: call_outcome::LevelReport,
    nested: Option<call_outcome::LevelReport>,
) -> call_outcome::LevelReport {
    nested.filter(|nested| nested.level > own.level).unwrap_or(own)
}

fn is_expired(observed: time::Instant, now: time::Instant) -> bool {
    now.saturating_duration_since(observed) >= LEVEL_EXPIRY
}

fn smoothed_level(entry: &ViewEntry) -> admission_level::AdmissionLevel {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the mean of level indexes lies between the lowest and the highest index"
    )]
    let index = entry.level as usize;
    admission_level::AdmissionLevel::from_index(index)
}
