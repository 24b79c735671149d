//! Lowest level that a callee admits.

use std::time;

use damasktrack_entity::admission_level;

const BAND_COUNT: usize = admission_level::MAX_IMPORTANCE as usize + 1;
const COHORTS: usize = admission_level::COHORT_COUNT as usize;
const LEVEL_COUNT: usize = BAND_COUNT * COHORTS;
/// Least length of a window, whatever its calls.
const LEAST_WINDOW: time::Duration = time::Duration::from_millis(20);
/// Decayed arrivals from which an importance counts as in use.
const KNOWN_BAND: f32 = 0.1;
/// First level of the top importance. The threshold passes it only after a critical call was refused.
const CRITICAL_START: usize = LEVEL_COUNT - COHORTS;
/// Part of the counts by level that the next window keeps; single windows hold too few calls to find a level.
const WINDOW_MEMORY: f32 = 0.7;
/// Part of the counts by importance that the next window keeps. Calls below the level arrive only as probes, so an
/// importance has to stay known for about 2 s.
const BAND_MEMORY: f32 = 0.95;
/// Change of the admitted demand for each part of the slot time that was idle.
const IDLE_GAIN: f32 = 2.0;
/// Change of the admitted demand for each part of the arrivals that the queue refused. It is less than [`IDLE_GAIN`]: an
/// idle slot loses a whole request, while a refused call only loses the work that was done above it.
const OVERDUE_GAIN: f32 = 0.5;
/// Greatest parts of the admitted demand that one window adds and takes away.
const CHANGE_RANGE: (f32, f32) = (-0.3, 1.0);
/// Cohorts by which a window lowers the level into an importance whose demand is not known.
const UNKNOWN_STEP: usize = 16;

/// Finds the lowest admitted level from what arrived, what the queue refused and how long slots were idle.
#[derive(Debug)]
pub struct LevelController {
    window: time::Duration,
    window_calls: u32,
    /// Threshold, as a position of [`admission_level::AdmissionLevel::index`].
    level: usize,
    /// Arrivals by level, decayed by [`WINDOW_MEMORY`] for each window.
    seen: Box<[f32]>,
    /// Arrivals by importance, decayed by [`BAND_MEMORY`] for each window.
    bands: [f32; BAND_COUNT],
    window_start: Option<time::Instant>,
    arrivals: u32,
    /// Arrivals at or above the level.
    admitted: u32,
    overdue: u32,
    critical_refused: bool,
    /// Idle part of the slots since `idle_since`, and its integral over the window, in seconds.
    idle_part: f32,
    idle_since: Option<time::Instant>,
    idle_time: f32,
    /// Windows in a row in which most slots were idle; the step downwards doubles with each.
    idle_windows: u32,
}

impl LevelController {
    /// Returns a controller that admits everything.
    #[must_use]
    pub fn new(window: time::Duration, window_calls: u32) -> Self {
        Self {
            window,
            window_calls,
            level: 0,
            seen: vec![0.0; LEVEL_COUNT].into_boxed_slice(),
            bands: [0.0; BAND_COUNT],
            window_start: None,
            arrivals: 0,
            admitted: 0,
            overdue: 0,
            critical_refused: false,
            idle_part: 1.0,
            idle_since: None,
            idle_time: 0.0,
            idle_windows: 0,
        }
    }

    /// Counts an arrival.
    pub fn note_arrival(&mut self, level: admission_level::AdmissionLevel) {
        let index = level.index().min(LEVEL_COUNT - 1);
        self.seen[index] += 1.0;
        self.bands[index / COHORTS] += 1.0;
        self.arrivals += 1;
        self.admitted += u32::from(index >= self.level);
    }

    /// Counts a call that the queue refused.
    pub fn note_overdue(&mut self, critical: bool) {
        self.overdue += 1;
        self.critical_refused |= critical;
    }

    /// Notes the part of the slots that is idle from now on, and ends the window if it is over.
    pub fn note_idle(&mut self, idle_part: f32, now: time::Instant) {
        let since = self.idle_since.unwrap_or(now);
        self.idle_time += now.saturating_duration_since(since).as_secs_f32() * self.idle_part;
        self.idle_since = Some(now);
        self.idle_part = idle_part;
        let start = *self.window_start.get_or_insert(now);
        let age = now.saturating_duration_since(start);
        if age < LEAST_WINDOW || (age < self.window && self.arrivals < self.window_calls) {
            return;
        }
        self.adapt(self.idle_time / age.as_secs_f32());
        self.window_start = Some(now);
        self.arrivals = 0;
        self.admitted = 0;
        self.overdue = 0;
        self.critical_refused = false;
        self.idle_time = 0.0;
        for seen in &mut self.seen {
            *seen *= WINDOW_MEMORY;
        }
        for band in &mut self.bands {
            *band *= BAND_MEMORY;
        }
    }

    fn adapt(&mut self, idle: f32) {
        let overdue = self.overdue as f32 / self.admitted.max(self.overdue).max(1) as f32;
        let change = idle * IDLE_GAIN - overdue * OVERDUE_GAIN;
        let change = change.clamp(CHANGE_RANGE.0, CHANGE_RANGE.1);
        self.idle_windows = if idle > 0.5 { self.idle_windows + 1 } else { 0 };
        let demand: f32 = self.seen[self.level..].iter().sum();
        if change < 0.0 {
            self.raise(-change * demand);
        } else if self.level > 0 {
            self.lower(change * demand);
        }
    }

    /// Raises the level until the demand above it has fallen by `part`.
    fn raise(&mut self, part: f32) {
        let top = if self.critical_refused {
            LEVEL_COUNT - 1
        } else {
            CRITICAL_START
        };
        let mut left = part;
        while left > 0.0 && self.level < top {
            left -= self.seen[self.level];
            self.level += 1;
        }
    }

    /// Lowers the level until the demand above it has risen by about `part`. Calls below the level arrive only as probes,
    /// so the demand there is taken to be as dense as above the level in the same importance.
    fn lower(&mut self, part: f32) {
        if self.level.is_multiple_of(COHORTS) {
            let band = self.level / COHORTS;
            let next = self.bands[..band].iter().rposition(|seen| *seen > KNOWN_BAND);
            self.level = next.map_or(0, |next| (next + 1) * COHORTS);
        }
        if self.level == 0 {
            return;
        }
        let start = (self.level - 1) / COHORTS * COHORTS;
        let end = start + COHORTS;
        let above: f32 = self.seen[self.level.min(LEVEL_COUNT)..end].iter().sum();
        let known = end - self.level;
        let step = if known >= UNKNOWN_STEP && above > 0.0 {
            part * known as f32 / above
        } else {
            UNKNOWN_STEP as f32
        };
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the step is held to the cohorts of one importance"
        )]
        let step = step.clamp(1.0, COHORTS as f32) as usize;
        self.level = self.level.saturating_sub(step << self.idle_windows.min(7)).max(start);
    }
}

impl LevelController {
    /// Returns the lowest admitted level.
    #[must_use]
    pub fn level(&self) -> admission_level::AdmissionLevel {
        admission_level::AdmissionLevel::from_index(self.level)
    }
}
