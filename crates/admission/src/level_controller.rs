//! Lowest level that a callee admits.

use std::time;

use damasktrack_entity::admission_level;

const LEVEL_COUNT: usize = (admission_level::MAX_IMPORTANCE as usize + 1) * admission_level::COHORT_COUNT as usize;
/// First level of the top importance. The threshold passes it only after a critical call was refused.
const CRITICAL_START: usize = LEVEL_COUNT - admission_level::COHORT_COUNT as usize;
/// Part of the counts that the next window keeps; single windows hold too few calls to find a level.
const WINDOW_MEMORY: f32 = 0.7;
/// Admitted demand as a multiple of the starts. Slightly more than one, so that the queue does not run empty; the queue
/// refuses the rest.
const SURPLUS: f32 = 1.05;
/// Part of the distance to the wanted level that a window moves upwards.
const RAISE_PART: f32 = 0.5;
/// Demand that one window lets in below the threshold while the queue ran empty, as a part of the admitted demand.
const LOWER_PART: f32 = 0.03;
/// Least number of cohorts by which a window without demand above the threshold lowers it.
const IDLE_STEP: usize = 16;

/// Finds the lowest admitted level from what arrived, what was started and what the queue refused.
#[derive(Debug)]
pub struct LevelController {
    window: time::Duration,
    window_calls: u32,
    /// Threshold, as a position of [`admission_level::AdmissionLevel::index`].
    level: usize,
    /// Arrivals by level, decayed by [`WINDOW_MEMORY`] for each window.
    seen: Box<[f32]>,
    /// Starts, decayed in the same way.
    started: f32,
    window_start: Option<time::Instant>,
    arrivals: u32,
    overdue: u32,
    critical_refused: bool,
    /// Whether the queue was empty at some time in the window.
    queue_empty: bool,
    /// Whether a slot was free at some time in the window.
    slot_free: bool,
    /// Windows in a row with free slots; the step downwards doubles with each.
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
            started: 0.0,
            window_start: None,
            arrivals: 0,
            overdue: 0,
            critical_refused: false,
            queue_empty: true,
            slot_free: true,
            idle_windows: 0,
        }
    }

    /// Counts an arrival.
    pub fn note_arrival(&mut self, level: admission_level::AdmissionLevel) {
        self.seen[level.index().min(LEVEL_COUNT - 1)] += 1.0;
        self.arrivals += 1;
    }

    /// Counts a start.
    pub fn note_start(&mut self) {
        self.started += 1.0;
    }

    /// Counts a call that the queue refused.
    pub fn note_overdue(&mut self, critical: bool) {
        self.overdue += 1;
        self.critical_refused |= critical;
    }

    /// Notes whether the queue is empty and whether a slot is free, after each event.
    pub fn note_state(&mut self, queue_empty: bool, slot_free: bool) {
        self.queue_empty |= queue_empty;
        self.slot_free |= queue_empty && slot_free;
    }

    /// Ends the window if it is over, and adapts the level.
    pub fn tick(&mut self, queue_empty: bool, slot_free: bool, now: time::Instant) {
        let start = *self.window_start.get_or_insert(now);
        let age = now.saturating_duration_since(start);
        if age < self.window && self.arrivals < self.window_calls {
            return;
        }
        self.adapt();
        self.window_start = Some(now);
        self.arrivals = 0;
        self.overdue = 0;
        self.critical_refused = false;
        self.queue_empty = queue_empty;
        self.slot_free = queue_empty && slot_free;
        self.started *= WINDOW_MEMORY;
        for seen in &mut self.seen {
            *seen *= WINDOW_MEMORY;
        }
    }

    fn adapt(&mut self) {
        let demand: f32 = self.seen[self.level..].iter().sum();
        let wanted = self.started * SURPLUS;
        if self.overdue > 0 && demand > wanted {
            self.raise(demand, wanted);
            self.idle_windows = 0;
        } else if self.queue_empty && self.level > 0 {
            self.idle_windows = if self.slot_free { self.idle_windows + 1 } else { 0 };
            self.lower(demand);
        }
    }

    fn raise(&mut self, demand: f32, wanted: f32) {
        let top = if self.critical_refused {
            LEVEL_COUNT - 1
        } else {
            CRITICAL_START
        };
        let (mut rest, mut target) = (demand, self.level);
        while rest > wanted && target < top {
            rest -= self.seen[target];
            target += 1;
        }
        let (mut rest, step) = (demand, (demand - wanted) * RAISE_PART);
        while demand - rest < step && self.level < target {
            rest -= self.seen[self.level];
            self.level += 1;
        }
    }

    fn lower(&mut self, demand: f32) {
        let cohorts = usize::from(admission_level::COHORT_COUNT);
        let band_end = (self.level / cohorts + 1) * cohorts;
        let above: f32 = self.seen[self.level..band_end.min(LEVEL_COUNT)].iter().sum();
        let density = above / (band_end - self.level) as f32;
        let step = if density > 0.0 {
            demand * LOWER_PART / density
        } else {
            IDLE_STEP as f32
        };
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the step is held between 1 and IDLE_STEP"
        )]
        let step = step.clamp(1.0, IDLE_STEP as f32) as usize;
        self.level = self.level.saturating_sub(step << self.idle_windows.min(7));
    }
}

impl LevelController {
    /// Returns the lowest admitted level.
    #[must_use]
    pub fn level(&self) -> admission_level::AdmissionLevel {
        admission_level::AdmissionLevel::from_index(self.level)
    }
}
