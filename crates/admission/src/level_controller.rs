//! Lowest level that a callee admits.

use std::time;

use damasktrack_entity::admission_level;

use crate::tenant_share;

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
/// Change of the admitted demand for each part of the arrivals that the queue refused. It is less than [`IDLE_GAIN`]:
/// an idle slot loses a whole request, while a refused call only loses the work that was done above it.
const OVERDUE_GAIN: f32 = 0.5;
/// Greatest parts of the admitted demand that one window adds and takes away.
const CHANGE_RANGE: (f32, f32) = (-0.3, 1.0);
/// Cohorts by which a window lowers the level into an importance whose demand is not known.
const UNKNOWN_STEP: usize = 16;

/// Part of a tenant's counts that the next window keeps.
const DEMAND_MEMORY: f32 = 0.9;
/// Greatest cohort of a tenant's threshold. The demand of a tenant is estimated from the cohorts above it.
const GREATEST_COHORT: f32 = 124.0;
/// Part of the distance to its wanted cohort that a tenant's threshold moves in a window.
const COHORT_PART: f32 = 0.5;

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
    tenants: Vec<TenantDemand>,
    /// Windows in a row in which most slots were idle; the step downwards doubles with each.
    idle_windows: u32,
}

/// Demand of one tenant and its part of the importance that the level lies in.
#[derive(Clone, Copy, Debug, Default)]
struct TenantDemand {
    /// Admitted arrivals by importance, decayed by [`DEMAND_MEMORY`] for each window.
    admitted: [f32; BAND_COUNT],
    /// Least admitted cohort in the importance of the level; at most [`GREATEST_COHORT`].
    cohort: f32,
    /// Cohorts above it while the arrivals were counted, decayed in the same way.
    cohorts: f32,
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
            tenants: Vec::new(),
            idle_windows: 0,
        }
    }

    /// Counts an arrival.
    pub fn note_arrival(&mut self, level: admission_level::AdmissionLevel, tenant: tenant_share::TenantIndex) {
        if self.tenants.len() <= tenant {
            self.tenants.resize(tenant + 1, TenantDemand::default());
        }
        let index = self.position(level, tenant);
        let band = index / COHORTS;
        self.seen[index] += 1.0;
        self.bands[band] += 1.0;
        self.arrivals += 1;
        if index >= self.level {
            self.admitted += 1;
            self.tenants[tenant].admitted[band] += 1.0;
        }
    }

    /// Returns where an arrival counts. In the importance of the level, thresholds of tenants differ; an arrival is
    /// moved so that it lies above the level if it is above its tenant's threshold.
    fn position(&self, level: admission_level::AdmissionLevel, tenant: tenant_share::TenantIndex) -> usize {
        let index = level.index().min(LEVEL_COUNT - 1);
        let start = self.level / COHORTS * COHORTS;
        if index / COHORTS != self.level / COHORTS {
            return index;
        }
        let (common, all) = ((self.level - start) as f32, COHORTS as f32);
        let (own, cohort) = (self.tenants[tenant].cohort, (index - start) as f32);
        let moved = if cohort >= own {
            (common + (cohort - own) * (all - common) / (all - own)).max(common)
        } else {
            (cohort * common / own).min(common - 1.0)
        };
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the position is held to the cohorts of one importance"
        )]
        let moved = moved.clamp(0.0, all - 1.0) as usize;
        start + moved
    }

    /// Divides what is admitted of the level's importance among its tenants by weight; what a tenant does not use goes
    /// to the others. Without this, a tenant that floods the service has the calls of all tenants shed alike.
    fn divide(&mut self, shares: &tenant_share::TenantShare) {
        let (band, all) = ((self.level / COHORTS).min(BAND_COUNT - 1), COHORTS as f32);
        let part = 1.0 - (self.level % COHORTS) as f32 / all;
        let demand = |tenant: &TenantDemand| tenant.admitted[band] * all / tenant.cohorts.max(1.0);
        let mut left = part * self.tenants.iter().map(demand).sum::<f32>();
        let weight = |tenant: usize| shares.weight(tenant) as f32;
        let mut weights: f32 = (0..self.tenants.len()).map(weight).sum();
        let mut order: Vec<(f32, usize)> = self
            .tenants
            .iter()
            .enumerate()
            .map(|(index, tenant)| (demand(tenant) / weight(index), index))
            .collect();
        order.sort_by(|one, other| one.0.total_cmp(&other.0));
        for (_, index) in order {
            let tenant = &mut self.tenants[index];
            let wanted = tenant.admitted[band] * all / tenant.cohorts.max(1.0);
            let given = wanted.min(left * weight(index) / weights.max(1.0));
            left -= given;
            weights -= weight(index);
            let cohort = if wanted > 0.0 {
                all * (1.0 - given / wanted)
            } else {
                0.0
            };
            tenant.cohort += (cohort.min(GREATEST_COHORT) - tenant.cohort) * COHORT_PART;
            if part >= 1.0 {
                tenant.cohort = 0.0;
            }
        }
    }

    /// Counts a call that the queue refused.
    pub fn note_overdue(&mut self, critical: bool) {
        self.overdue += 1;
        self.critical_refused |= critical;
    }

    /// Notes the part of the slots that is idle from now on, and ends the window if it is over.
    pub fn note_idle(&mut self, idle_part: f32, shares: &tenant_share::TenantShare, now: time::Instant) {
        let since = self.idle_since.unwrap_or(now);
        self.idle_time += now.saturating_duration_since(since).as_secs_f32() * self.idle_part;
        self.idle_since = Some(now);
        self.idle_part = idle_part;
        let start = *self.window_start.get_or_insert(now);
        let age = now.saturating_duration_since(start);
        if age < LEAST_WINDOW || (age < self.window && self.arrivals < self.window_calls) {
            return;
        }
        for tenant in &mut self.tenants {
            tenant.cohorts = tenant.cohorts * DEMAND_MEMORY + (COHORTS as f32 - tenant.cohort) * (1.0 - DEMAND_MEMORY);
        }
        let band = self.level / COHORTS;
        self.adapt(self.idle_time / age.as_secs_f32());
        if self.level / COHORTS != band {
            // The thresholds of tenants held for another importance.
            for tenant in &mut self.tenants {
                tenant.cohort = (self.level % COHORTS) as f32;
                tenant.cohorts = COHORTS as f32 - tenant.cohort;
            }
        }
        self.divide(shares);
        for tenant in &mut self.tenants {
            tenant
                .admitted
                .iter_mut()
                .for_each(|admitted| *admitted *= DEMAND_MEMORY);
        }
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

    /// Lowers the level until the demand above it has risen by about `part`. Calls below the level arrive only as
    /// probes, so the demand there is taken to be as dense as above the level in the same importance.
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
    /// Returns the lowest admitted level of a tenant's calls.
    #[must_use]
    pub fn level(&self, tenant: tenant_share::TenantIndex) -> admission_level::AdmissionLevel {
        let common = admission_level::AdmissionLevel::from_index(self.level);
        let Some(demand) = self.tenants.get(tenant) else {
            return common;
        };
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the cohort is at most GREATEST_COHORT"
        )]
        let cohort = demand.cohort as u8;
        admission_level::AdmissionLevel { cohort, ..common }
    }
}
