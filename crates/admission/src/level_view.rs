//! What a daemon knows of the levels that services admit.

use std::collections;
use std::time;

use damasktrack_entity::{admission_level, call_outcome, ids};

/// A level that was not renewed for this long is dropped, so that nothing is shed after its cause is gone.
const EXPIRY: time::Duration = time::Duration::from_secs(1);
/// One of so many calls below the level is let through, to learn the current level.
const PROBE_EVERY: u32 = 50;
/// Weight of a new report. The servers of one service report different levels; the weighted mean stands for the level
/// at which the service as a whole takes the offered calls.
const REPORT_WEIGHT: f64 = 0.2;
/// Time after which a new report counts fully. With few reports, each would otherwise move the level too little, and at
/// each hop again.
const FORGET_TIME: time::Duration = time::Duration::from_millis(200);

/// Who made the call that brought a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallOrigin {
    /// A caller outside of the call graph.
    Entry,
    /// The local backend server, so the report counts for what it met below.
    Nested,
}

/// What to do with a call before it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LevelCheck {
    /// Send it.
    Admit,
    /// Send it, though it is below the level.
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
    /// Position of the smoothed level.
    level: f64,
    /// When the newest report was observed at the server that set it.
    observed: time::Instant,
    learned: time::Instant,
    /// Newest report of a nested call, and when it was observed. It is passed on as it is: a mean at each hop would
    /// delay a change by the depth of the chain, and the daemon at the first hop takes the mean anyway.
    nested: Option<(admission_level::AdmissionLevel, time::Instant)>,
    below: u32,
}

impl LevelView {
    /// Takes the report that a response or refusal of `service` carried.
    pub fn learn(
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
        if report.age >= EXPIRY {
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
                    learned: now,
                    nested,
                    below: 0,
                },
            );
            return;
        };
        let age = now.saturating_duration_since(entry.learned).as_secs_f64() / FORGET_TIME.as_secs_f64();
        entry.level += (reported - entry.level) * age.clamp(REPORT_WEIGHT, 1.0);
        entry.learned = now;
        entry.observed = entry.observed.max(observed);
        entry.nested = nested.or(entry.nested);
    }

    /// Decides whether a call may be sent to a service.
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
        entry.below += 1;
        if entry.below % PROBE_EVERY == 0 {
            LevelCheck::Probe
        } else {
            LevelCheck::Refuse
        }
    }

    /// Drops expired levels; called about once a second.
    pub fn tick(&mut self, now: time::Instant) {
        for classes in self.entries.values_mut() {
            classes.retain(|_, entry| !is_expired(entry.observed, now));
        }
    }
}

impl LevelView {
    /// Returns the level that is known for a service, class and tenant.
    #[must_use]
    pub fn level(
        &self,
        service: &ids::ServiceName,
        key: &ViewKey,
        now: time::Instant,
    ) -> admission_level::AdmissionLevel {
        let entry = self.entries.get(service).and_then(|classes| classes.get(key));
        let live = entry.filter(|entry| !is_expired(entry.observed, now));
        live.map_or(admission_level::AdmissionLevel::LOWEST, smoothed)
    }

    /// Returns whether a service sheds calls of a class and tenant, given the importance of the class.
    #[must_use]
    pub fn sheds(&self, service: &ids::ServiceName, key: &ViewKey, importance: u8, now: time::Instant) -> bool {
        let whole = admission_level::AdmissionLevel { importance, cohort: 0 };
        self.level(service, key, now) > whole
    }

    /// Returns the worst level that calls of the local backend server met for a class and tenant.
    #[must_use]
    pub fn worst_below(&self, key: &ViewKey, now: time::Instant) -> Option<call_outcome::LevelReport> {
        let entries = self.entries.values().filter_map(|classes| classes.get(key));
        let met = entries.filter_map(|entry| {
            let (level, observed) = entry.nested.filter(|nested| !is_expired(nested.1, now))?;
            let age = now.saturating_duration_since(observed);
            Some(call_outcome::LevelReport { level, age })
        });
        met.max_by_key(|report| report.level)
    }
}

/// Returns the report of a callee: its own level, or what its backend server met below if that is worse.
#[must_use]
pub fn worse(own: call_outcome::LevelReport, below: Option<call_outcome::LevelReport>) -> call_outcome::LevelReport {
    below.filter(|below| below.level > own.level).unwrap_or(own)
}

fn is_expired(observed: time::Instant, now: time::Instant) -> bool {
    now.saturating_duration_since(observed) >= EXPIRY
}

fn smoothed(entry: &ViewEntry) -> admission_level::AdmissionLevel {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a mean of positions of levels is such a position"
    )]
    let index = entry.level as usize;
    admission_level::AdmissionLevel::from_index(index)
}
