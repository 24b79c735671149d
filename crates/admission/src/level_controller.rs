//! Adaptive control of the lowest level that a callee admits.

use std::time;

use damasktrack_entity::admission_level;

use crate::tenant_share;

/// A band holds the levels of one importance.
const BAND_COUNT: usize = admission_level::MAX_IMPORTANCE as usize + 1;
const COHORTS_PER_BAND: usize = admission_level::COHORT_COUNT as usize;
const LEVEL_COUNT: usize = BAND_COUNT * COHORTS_PER_BAND;
/// Minimum length of a window, also when the maximum number of arrivals is reached earlier.
const MIN_WINDOW: time::Duration = time::Duration::from_millis(20);
/// Decayed arrivals above which a band counts as in use.
const MIN_BAND_ARRIVALS: f32 = 0.1;
/// First level of the highest importance. The threshold is raised above it only in a window in which the queue refused
/// a critical call.
const CRITICAL_START: usize = LEVEL_COUNT - COHORTS_PER_BAND;
/// Factor applied to the arrivals by level after each window. A single window holds too few calls to determine a level.
const LEVEL_DECAY_FACTOR: f32 = 0.7;
/// Decayed arrivals of a level below which they count as none, after about 130 windows. By then, the level of idle
/// slots is the lowest. Decay by multiplication alone ends at the smallest denormal, with which arithmetic is slow.
const MIN_LEVEL_ARRIVALS: f32 = 1e-20;
/// Factor applied to the arrivals by band after each window. Calls below the level arrive only as probes, so a band has
/// to remain in use for about 2 s.
const BAND_DECAY_FACTOR: f32 = 0.95;
/// Relative increase of the admitted demand per idle fraction of the slot time.
const IDLE_GAIN: f32 = 2.0;
/// Relative decrease of the admitted demand per fraction of the admitted arrivals that the queue refused. It is less
/// than [`IDLE_GAIN`]: an idle slot costs a whole request, while a refused call costs only the work that the services
/// above already did for the request.
const REFUSAL_GAIN: f32 = 0.5;
/// Minimum and maximum relative change of the admitted demand in one window.
const CHANGE_RANGE: (f32, f32) = (-0.3, 1.0);
/// Cohorts by which a window lowers the level in a band whose demand is unknown.
const UNKNOWN_DEMAND_STEP: usize = 16;

/// Factor applied to the counts of a tenant after each window.
const TENANT_DECAY_FACTOR: f32 = 0.9;
/// Maximum cohort of a tenant's threshold. The demand of a tenant is estimated from the cohorts above its
/// threshold.
const MAX_TENANT_COHORT: f32 = 124.0;
/// Fraction of the distance to its target cohort that a tenant's threshold moves in one window.
const COHORT_GAIN: f32 = 0.5;

/// Adjusts the lowest admitted level once per window, from the arrivals, the calls that the queue refused and the idle
/// time of the slots.
#[derive(Debug)]
pub struct LevelController {
    window: time::Duration,
    window_calls: u32,
    /// Lowest admitted level, as an [`admission_level::AdmissionLevel::index`].
    level: usize,
    /// Arrivals by level, decayed by [`LEVEL_DECAY_FACTOR`] after each window.
    level_arrivals: Box<[f32]>,
    /// Whether any of `level_arrivals` is above zero.
    has_level_arrivals: bool,
    /// Arrivals by importance, decayed by [`BAND_DECAY_FACTOR`] after each window.
    band_arrivals: [f32; BAND_COUNT],
    window_start: Option<time::Instant>,
    arrivals: u32,
    /// Arrivals at or above the level.
    admitted: u32,
    /// Calls that the queue refused in this window.
    queue_refusals: u32,
    critical_refused: bool,
    /// Idle fraction of the slots since `idle_since`.
    idle_fraction: f32,
    idle_since: Option<time::Instant>,
    /// Integral of `idle_fraction` over the window, in seconds.
    idle_time: f32,
    tenants: Vec<TenantDemand>,
    /// Consecutive windows in which most slots were idle. Each doubles the step by which the level falls, up to a
    /// factor of 128.
    idle_windows: u32,
}

/// Demand of one tenant, and its own threshold within the band that the level lies in.
#[derive(Clone, Copy, Debug, Default)]
struct TenantDemand {
    /// Admitted arrivals by importance, decayed by [`TENANT_DECAY_FACTOR`] after each window.
    admitted: [f32; BAND_COUNT],
    /// Lowest admitted cohort in the band of the level. It may exceed [`MAX_TENANT_COHORT`] for some windows after the
    /// level moved to another band.
    cohort: f32,
    /// Moving average, with weight [`TENANT_DECAY_FACTOR`], of the number of cohorts at or above the threshold.
    admitted_cohorts: f32,
}

impl LevelController {
    /// Returns a controller that admits every level.
    #[must_use]
    pub fn new(window: time::Duration, window_calls: u32) -> Self {
        Self {
            window,
            window_calls,
            level: 0,
            level_arrivals: vec![0.0; LEVEL_COUNT].into_boxed_slice(),
            has_level_arrivals: false,
            band_arrivals: [0.0; BAND_COUNT],
            window_start: None,
            arrivals: 0,
            admitted: 0,
            queue_refusals: 0,
            critical_refused: false,
            idle_fraction: 1.0,
            idle_since: None,
            idle_time: 0.0,
            tenants: Vec::new(),
            idle_windows: 0,
        }
    }

    /// Counts an arrival, whatever the decision on it.
    pub fn note_arrival(&mut self, level: admission_level::AdmissionLevel, tenant: tenant_share::TenantIndex) {
        if self.tenants.len() <= tenant {
            self.tenants.resize(tenant + 1, TenantDemand::default());
        }
        let index = self.position(level, tenant);
        let band = index / COHORTS_PER_BAND;
        self.level_arrivals[index] += 1.0;
        self.has_level_arrivals = true;
        self.band_arrivals[band] += 1.0;
        self.arrivals += 1;
        if index >= self.level {
            self.admitted += 1;
            self.tenants[tenant].admitted[band] += 1.0;
        }
    }

    /// Returns the level index at which an arrival is counted. Within the band of the level, the thresholds of tenants
    /// differ from the level. The cohort is rescaled there, so that an arrival at or above the threshold of its tenant
    /// is counted at or above the level.
    fn position(&self, level: admission_level::AdmissionLevel, tenant: tenant_share::TenantIndex) -> usize {
        let index = level.index().min(LEVEL_COUNT - 1);
        let start = self.level / COHORTS_PER_BAND * COHORTS_PER_BAND;
        if index / COHORTS_PER_BAND != self.level / COHORTS_PER_BAND {
            return index;
        }
        let (common_cohort, cohort_count) = ((self.level - start) as f32, COHORTS_PER_BAND as f32);
        let (tenant_cohort, cohort) = (self.tenants[tenant].cohort, (index - start) as f32);
        let rescaled = if cohort >= tenant_cohort {
            (common_cohort + (cohort - tenant_cohort) * (cohort_count - common_cohort) / (cohort_count - tenant_cohort))
                .max(common_cohort)
        } else {
            (cohort * common_cohort / tenant_cohort).min(common_cohort - 1.0)
        };
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the value is clamped to the cohorts of one band"
        )]
        let rescaled = rescaled.clamp(0.0, cohort_count - 1.0) as usize;
        start + rescaled
    }

    /// Sets the thresholds of the tenants so that they share the admitted demand in the band of the level by weighted
    /// max-min fairness: capacity that a tenant does not use is divided among the others. Without this, a tenant that
    /// floods the service causes the calls of all tenants to be shed at the same rate.
    fn divide_demand(&mut self, shares: &tenant_share::TenantShare) {
        let (band, cohort_count) = (
            (self.level / COHORTS_PER_BAND).min(BAND_COUNT - 1),
            COHORTS_PER_BAND as f32,
        );
        let admitted_fraction = 1.0 - (self.level % COHORTS_PER_BAND) as f32 / cohort_count;
        let demand = |tenant: &TenantDemand| tenant.admitted[band] * cohort_count / tenant.admitted_cohorts.max(1.0);
        let mut remaining = admitted_fraction * self.tenants.iter().map(demand).sum::<f32>();
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
            let tenant_demand = tenant.admitted[band] * cohort_count / tenant.admitted_cohorts.max(1.0);
            let allocated = tenant_demand.min(remaining * weight(index) / weights.max(1.0));
            remaining -= allocated;
            weights -= weight(index);
            let cohort = if tenant_demand > 0.0 {
                cohort_count * (1.0 - allocated / tenant_demand)
            } else {
                0.0
            };
            tenant.cohort += (cohort.min(MAX_TENANT_COHORT) - tenant.cohort) * COHORT_GAIN;
            if admitted_fraction >= 1.0 {
                tenant.cohort = 0.0;
            }
        }
    }

    /// Counts a call that the queue refused for its wait, for its deadline or because it was full.
    pub fn note_queue_refusal(&mut self, critical: bool) {
        self.queue_refusals += 1;
        self.critical_refused |= critical;
    }

    /// Sets the idle fraction of the slots from `now` on, and ends the window if it is complete.
    pub fn note_idle(&mut self, idle_fraction: f32, shares: &tenant_share::TenantShare, now: time::Instant) {
        let since = self.idle_since.unwrap_or(now);
        self.idle_time += now.saturating_duration_since(since).as_secs_f32() * self.idle_fraction;
        self.idle_since = Some(now);
        self.idle_fraction = idle_fraction;
        let start = *self.window_start.get_or_insert(now);
        let age = now.saturating_duration_since(start);
        if age < MIN_WINDOW || (age < self.window && self.arrivals < self.window_calls) {
            return;
        }
        for tenant in &mut self.tenants {
            tenant.admitted_cohorts = tenant.admitted_cohorts * TENANT_DECAY_FACTOR
                + (COHORTS_PER_BAND as f32 - tenant.cohort) * (1.0 - TENANT_DECAY_FACTOR);
        }
        let band = self.level / COHORTS_PER_BAND;
        self.adapt(self.idle_time / age.as_secs_f32());
        if self.level / COHORTS_PER_BAND != band {
            // The thresholds of tenants apply to the previous band, so they restart at the common level.
            for tenant in &mut self.tenants {
                tenant.cohort = (self.level % COHORTS_PER_BAND) as f32;
                tenant.admitted_cohorts = COHORTS_PER_BAND as f32 - tenant.cohort;
            }
        }
        self.divide_demand(shares);
        for tenant in &mut self.tenants {
            tenant
                .admitted
                .iter_mut()
                .for_each(|admitted| *admitted *= TENANT_DECAY_FACTOR);
        }
        self.window_start = Some(now);
        self.arrivals = 0;
        self.admitted = 0;
        self.queue_refusals = 0;
        self.critical_refused = false;
        self.idle_time = 0.0;
        if self.has_level_arrivals {
            self.decay_level_arrivals();
        }
        for arrivals in &mut self.band_arrivals {
            *arrivals *= BAND_DECAY_FACTOR;
        }
    }

    fn decay_level_arrivals(&mut self) {
        self.has_level_arrivals = false;
        for arrivals in &mut self.level_arrivals {
            let decayed = *arrivals * LEVEL_DECAY_FACTOR;
            *arrivals = if decayed < MIN_LEVEL_ARRIVALS { 0.0 } else { decayed };
            self.has_level_arrivals |= *arrivals > 0.0;
        }
    }

    fn adapt(&mut self, idle: f32) {
        let refused_fraction = self.queue_refusals as f32 / self.admitted.max(self.queue_refusals).max(1) as f32;
        let change = idle * IDLE_GAIN - refused_fraction * REFUSAL_GAIN;
        let change = change.clamp(CHANGE_RANGE.0, CHANGE_RANGE.1);
        self.idle_windows = if idle > 0.5 { self.idle_windows + 1 } else { 0 };
        // Most windows admit all levels and have idle slots, so that the demand is not needed.
        if change < 0.0 {
            self.raise(-change * self.demand());
        } else if self.level > 0 {
            self.lower(change * self.demand());
        }
    }

    /// Returns the decayed arrivals at or above the level.
    fn demand(&self) -> f32 {
        self.level_arrivals[self.level..].iter().sum()
    }

    /// Raises the level until the demand at or above it has fallen by `amount`.
    fn raise(&mut self, amount: f32) {
        let top = if self.critical_refused {
            LEVEL_COUNT - 1
        } else {
            CRITICAL_START
        };
        let mut remaining = amount;
        while remaining > 0.0 && self.level < top {
            remaining -= self.level_arrivals[self.level];
            self.level += 1;
        }
    }

    /// Lowers the level until the demand at or above it has risen by about `amount`. Calls below the level arrive only
    /// as probes, so the demand per cohort there is estimated by that above the level in the same band.
    fn lower(&mut self, amount: f32) {
        if self.level.is_multiple_of(COHORTS_PER_BAND) {
            let band = self.level / COHORTS_PER_BAND;
            let next = self.band_arrivals[..band]
                .iter()
                .rposition(|arrivals| *arrivals > MIN_BAND_ARRIVALS);
            self.level = next.map_or(0, |next| (next + 1) * COHORTS_PER_BAND);
        }
        if self.level == 0 {
            return;
        }
        let start = (self.level - 1) / COHORTS_PER_BAND * COHORTS_PER_BAND;
        let end = start + COHORTS_PER_BAND;
        let above: f32 = self.level_arrivals[self.level.min(LEVEL_COUNT)..end].iter().sum();
        let admitted_cohorts = end - self.level;
        let step = if admitted_cohorts >= UNKNOWN_DEMAND_STEP && above > 0.0 {
            amount * admitted_cohorts as f32 / above
        } else {
            UNKNOWN_DEMAND_STEP as f32
        };
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the step is clamped to the cohorts of one band"
        )]
        let step = step.clamp(1.0, COHORTS_PER_BAND as f32) as usize;
        self.level = self.level.saturating_sub(step << self.idle_windows.min(7)).max(start);
    }
}

impl LevelController {
    /// Returns the lowest admitted level of a tenant's calls; the common level for an index that is not in use.
    #[must_use]
    pub fn level(&self, tenant: tenant_share::TenantIndex) -> admission_level::AdmissionLevel {
        let common = admission_level::AdmissionLevel::from_index(self.level);
        let Some(demand) = self.tenants.get(tenant) else {
            return common;
        };
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the cohort is below COHORTS_PER_BAND"
        )]
        let cohort = demand.cohort as u8;
        admission_level::AdmissionLevel { cohort, ..common }
    }
}
