//! Rate limit of the log line about classes that start to leave their region for capacity.

use std::collections;
use std::time;

use damasktrack_entity::ids;

/// Time without such a call after which the next one of the class is a new start.
const START_GAP: time::Duration = time::Duration::from_secs(1);
/// Least time between two lines of one class.
const LINE_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Last departures and lines of each class.
#[derive(Debug, Default)]
pub struct CapacityLog {
    classes: collections::HashMap<ids::ClassName, ClassTimes>,
}

#[derive(Debug)]
struct ClassTimes {
    departed: time::Instant,
    logged: time::Instant,
}

impl CapacityLog {
    /// Records a call that leaves its region, and returns whether a line is due.
    pub fn begins(&mut self, class: &ids::ClassName, now: time::Instant) -> bool {
        let Some(times) = self.classes.get_mut(class) else {
            let (departed, logged) = (now, now);
            self.classes.insert(class.clone(), ClassTimes { departed, logged });
            return true;
        };
        let gap = now.saturating_duration_since(times.departed);
        times.departed = now;
        let due = gap >= START_GAP && now.saturating_duration_since(times.logged) >= LINE_INTERVAL;
        if due {
            times.logged = now;
        }
        due
    }
}
