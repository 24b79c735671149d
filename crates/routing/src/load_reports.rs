//! Reports of one server's load, with their times.

use std::collections;
use std::time;

use damasktrack_entity::ids;

use crate::completion_estimate;

/// Silence after which the calls sent to a server are counted anew, so that one that responds again is noticed.
const SILENCE_RESTART: time::Duration = time::Duration::from_secs(5);

/// Last reports of a server by class.
#[derive(Debug, Default)]
pub struct LoadReports {
    by_class: collections::BTreeMap<ids::ClassName, (completion_estimate::ServerLoad, time::Instant)>,
    latest: Option<(completion_estimate::ServerLoad, time::Instant)>,
    /// Calls sent since the latest report.
    sent: u32,
    /// When the first of them was sent.
    first_sent: Option<time::Instant>,
}

/// Commands.
impl LoadReports {
    /// Stores a report that a reply to a call of `class` carried.
    pub fn note(&mut self, class: &ids::ClassName, load: completion_estimate::ServerLoad, now: time::Instant) {
        if let Some(known) = self.by_class.get_mut(class) {
            *known = (load, now);
        } else {
            self.by_class.insert(class.clone(), (load, now));
        }
        self.latest = Some((load, now));
        self.sent = 0;
        self.first_sent = None;
    }

    /// Counts a call that is sent to the server.
    pub fn count_sent(&mut self, now: time::Instant) {
        let silent = |sent| now.saturating_duration_since(sent) >= SILENCE_RESTART;
        if self.first_sent.is_some_and(silent) {
            self.sent = 0;
            self.first_sent = None;
        }
        self.sent = self.sent.saturating_add(1);
        self.first_sent.get_or_insert(now);
    }
}

/// Queries.
impl LoadReports {
    /// Returns the load for a class and the age of its report, or those of any class if the class has no fresh report.
    /// The free slots are those of the latest report. `transit` is the time for which a report was in transit.
    #[must_use]
    pub fn fresh(
        &self,
        class: &ids::ClassName,
        transit: time::Duration,
        now: time::Instant,
    ) -> Option<(completion_estimate::ServerLoad, time::Duration)> {
        let fresh = |(load, noted): (completion_estimate::ServerLoad, time::Instant)| {
            let age = now.saturating_duration_since(noted) + transit;
            (age <= completion_estimate::REPORT_LIFETIME).then_some((load, age))
        };
        let latest = fresh(self.latest?)?;
        let (load, age) = self.by_class.get(class).copied().and_then(fresh).unwrap_or(latest);
        let load = completion_estimate::ServerLoad {
            free: latest.0.free,
            ..load
        };
        Some((load, age))
    }

    /// Returns the calls sent since the latest report.
    #[must_use]
    pub fn sent(&self) -> u32 {
        self.sent
    }
}
