//! Queue of the calls that wait for a slot of a backend server.

use std::collections;
use std::time;

use damasktrack_entity::{admission_level, ids};

use crate::tenant_share;

/// Minimum and maximum cost of a call, in microseconds. The range bounds the number of turns until a tenant can
/// afford its next call.
const COST_RANGE_US: (i64, i64) = (500, 100_000);
/// A band holds the calls of one importance.
const BAND_COUNT: usize = admission_level::MAX_IMPORTANCE as usize + 1;

/// A call that waits for a slot.
#[derive(Clone, Debug)]
pub struct QueuedCall {
    /// Unique among the calls of the queue.
    pub call: ids::CallId,
    /// Index of the class in the gate.
    pub class: usize,
    /// Index of the tenant in [`tenant_share::TenantShare`].
    pub tenant: tenant_share::TenantIndex,
    /// Importance, at most [`admission_level::MAX_IMPORTANCE`]; selects the band.
    pub importance: u8,
    /// The wait of a critical call is bounded only by its deadline.
    pub critical: bool,
    /// Deadline of the call; the calls of a tenant start in this order within a band.
    pub deadline: time::Instant,
    /// When the call was queued; start of its wait.
    pub queued_at: time::Instant,
    /// Expected slot time, charged to the deficit of the tenant.
    pub cost: time::Duration,
}

/// A queued call that the queue removed to refuse it.
#[derive(Clone, Debug)]
pub struct ShedCall {
    /// The call, as it was queued.
    pub call: QueuedCall,
    /// Whether its tenant had more calls in the band than its share by weight.
    pub over_share: bool,
}

/// Queued calls, ordered by importance, tenant and deadline.
///
/// Calls of a higher importance always start first. Within an importance, tenants are scheduled by deficit round robin,
/// and the calls of a tenant by earliest deadline first.
#[derive(Debug)]
pub struct ClassQueue {
    calls: slab::Slab<QueuedCall>,
    index: collections::HashMap<ids::CallId, usize>,
    bands: [QueueBand; BAND_COUNT],
    /// Sequence number of the last call; calls with equal deadlines start in order of arrival.
    sequence: u64,
}

#[derive(Debug, Default)]
struct QueueBand {
    count: usize,
    /// Sum of the costs of the queued calls, in microseconds.
    cost_us: i64,
    /// Sum of the expected slot times of the queued calls, which unlike their costs are not clamped.
    work: time::Duration,
    tenants: Vec<TenantQueue>,
    /// Active list of the round robin: tenants with queued calls, each once. The front has the turn.
    active: collections::VecDeque<tenant_share::TenantIndex>,
    /// Non-critical calls in order of arrival. Entries of calls that are no longer queued are skipped.
    arrivals: collections::VecDeque<(ids::CallId, usize)>,
}

#[derive(Debug, Default)]
struct TenantQueue {
    /// Queued calls by deadline, sequence number and key in the slab.
    order: collections::BTreeSet<(time::Instant, u64, usize)>,
    /// Slot time that the tenant may still use in its turn, in microseconds.
    deficit: i64,
}

impl Default for ClassQueue {
    fn default() -> Self {
        Self {
            calls: slab::Slab::new(),
            index: collections::HashMap::new(),
            bands: std::array::from_fn(|_| QueueBand::default()),
            sequence: 0,
        }
    }
}

impl ClassQueue {
    /// Adds a call. Its importance must not exceed [`admission_level::MAX_IMPORTANCE`].
    pub fn push(&mut self, call: QueuedCall) {
        let band = &mut self.bands[usize::from(call.importance)];
        self.sequence += 1;
        let entry = (call.deadline, self.sequence, 0);
        let (id, tenant, critical, cost) = (call.call, call.tenant, call.critical, call.cost);
        let key = self.calls.insert(call);
        if band.tenants.len() <= tenant {
            band.tenants.resize_with(tenant + 1, TenantQueue::default);
        }
        let queue = &mut band.tenants[tenant];
        if queue.order.is_empty() {
            band.active.push_back(tenant);
        }
        queue.order.insert((entry.0, entry.1, key));
        if !critical {
            band.arrivals.push_back((id, key));
        }
        band.count += 1;
        band.cost_us += cost_us(cost);
        band.work += cost;
        self.index.insert(id, key);
    }

    /// Removes and returns the call that starts next.
    pub fn pop(&mut self, shares: &tenant_share::TenantShare) -> Option<QueuedCall> {
        let band = self.bands.iter().rposition(|band| band.count > 0)?;
        let band = &mut self.bands[band];
        loop {
            let tenant = *band.active.front()?;
            let queue = &mut band.tenants[tenant];
            let &(_, _, key) = queue.order.first()?;
            let cost = cost_us(self.calls[key].cost);
            if queue.deficit < cost {
                // With the mean cost as quantum, a tenant of weight 1 starts about one call per turn. A fixed quantum
                // would start many short calls of one tenant consecutively, while calls of other tenants exceed their
                // wait bound.
                let quantum = band.cost_us / i64::try_from(band.count).unwrap_or(1);
                queue.deficit += quantum.max(COST_RANGE_US.0) * i64::from(shares.weight(tenant));
                band.active.rotate_left(1);
                continue;
            }
            queue.deficit -= cost;
            return self.take(key);
        }
    }

    /// Removes a call by id; `None` if it is not queued.
    pub fn remove(&mut self, call: ids::CallId) -> Option<QueuedCall> {
        let key = *self.index.get(&call)?;
        self.take(key)
    }

    /// Removes the oldest non-critical call of the least important nonempty band, if it has waited at least `bound`.
    ///
    /// Only this band is considered, so that no call is refused because of its wait while a less important call is
    /// queued.
    pub fn pop_overdue(
        &mut self,
        bound: time::Duration,
        shares: &tenant_share::TenantShare,
        now: time::Instant,
    ) -> Option<ShedCall> {
        let key = self.oldest()?;
        let waited = now.saturating_duration_since(self.calls[key].queued_at);
        if waited < bound {
            return None;
        }
        self.shed(key, shares)
    }

    /// Removes the call to refuse when the queue is full: in the least important nonempty band, the call with the
    /// latest deadline of the tenant with the most queued calls relative to its weight.
    pub fn pop_victim(&mut self, shares: &tenant_share::TenantShare) -> Option<ShedCall> {
        let band = self.bands.iter().find(|band| band.count > 0)?;
        let tenant = band.active.iter().copied().max_by(|left, right| {
            let load = |tenant: usize| band.tenants[tenant].order.len() as f64 / f64::from(shares.weight(tenant));
            load(*left).total_cmp(&load(*right))
        })?;
        let &(_, _, key) = band.tenants[tenant].order.last()?;
        self.shed(key, shares)
    }

    /// Removes the calls whose deadline has passed, and appends their ids to `expired`.
    pub fn take_expired(&mut self, now: time::Instant, expired: &mut Vec<ids::CallId>) {
        let start = expired.len();
        let late = self.calls.iter().filter(|(_, call)| call.deadline <= now);
        expired.extend(late.map(|(_, call)| call.call));
        for call in &expired[start..] {
            self.remove(*call);
        }
    }

    fn shed(&mut self, key: usize, shares: &tenant_share::TenantShare) -> Option<ShedCall> {
        let (band, tenant) = (usize::from(self.calls[key].importance), self.calls[key].tenant);
        let band = &self.bands[band];
        let weights: u32 = band.active.iter().map(|tenant| shares.weight(*tenant)).sum();
        let queued = band.tenants[tenant].order.len() * usize::try_from(weights).unwrap_or(usize::MAX);
        let share = band.count * usize::try_from(shares.weight(tenant)).unwrap_or(usize::MAX);
        let over_share = queued > share;
        self.take(key).map(|call| ShedCall { call, over_share })
    }

    /// Returns the key of the oldest non-critical call of the least important nonempty band, and removes stale entries
    /// of `arrivals` before it.
    fn oldest(&mut self) -> Option<usize> {
        let band = self.bands.iter_mut().find(|band| band.count > 0)?;
        while let Some(&(call, key)) = band.arrivals.front() {
            if self.index.get(&call) == Some(&key) {
                return Some(key);
            }
            band.arrivals.pop_front();
        }
        None
    }

    fn take(&mut self, key: usize) -> Option<QueuedCall> {
        let call = self.calls.try_remove(key)?;
        self.index.remove(&call.call);
        let band = &mut self.bands[usize::from(call.importance)];
        band.count -= 1;
        band.cost_us -= cost_us(call.cost);
        band.work = band.work.saturating_sub(call.cost);
        if band.count == 0 {
            band.arrivals.clear();
        }
        let queue = &mut band.tenants[call.tenant];
        let entry = queue
            .order
            .range((call.deadline, 0, 0)..)
            .find(|entry| entry.2 == key)
            .copied();
        if let Some(entry) = entry {
            queue.order.remove(&entry);
        }
        if queue.order.is_empty() {
            queue.deficit = 0;
            band.active.retain(|tenant| *tenant != call.tenant);
        }
        Some(call)
    }
}

impl ClassQueue {
    /// Returns the number of queued calls in all bands.
    #[must_use]
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether no call is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the lowest importance among the queued calls.
    #[must_use]
    pub fn lowest_importance(&self) -> Option<u8> {
        let band = self.bands.iter().position(|band| band.count > 0)?;
        u8::try_from(band).ok()
    }

    /// Returns the highest importance among the queued calls.
    #[must_use]
    pub fn highest_importance(&self) -> Option<u8> {
        let band = self.bands.iter().rposition(|band| band.count > 0)?;
        u8::try_from(band).ok()
    }

    /// Returns the expected slot time of the queued calls that may start before a new call of `importance`.
    #[must_use]
    pub fn work_ahead(&self, importance: u8) -> time::Duration {
        let work: i64 = self.bands[usize::from(importance)..]
            .iter()
            .map(|band| band.cost_us)
            .sum();
        time::Duration::from_micros(u64::try_from(work).unwrap_or(0))
    }

    /// Returns the expected slot time as [`Self::work_ahead`] does, without the clamp to the range of costs.
    #[must_use]
    pub fn slot_time_ahead(&self, importance: u8) -> time::Duration {
        self.bands[usize::from(importance)..].iter().map(|band| band.work).sum()
    }

    /// Returns the number of calls that are at least as important as `importance`.
    #[must_use]
    pub fn count_ahead(&self, importance: u8) -> usize {
        let bands = self.bands[usize::from(importance)..].iter();
        bands.map(|band| band.count).sum()
    }

    /// Returns when the oldest non-critical call of the least important nonempty band was queued.
    #[must_use]
    pub fn oldest_queued_at(&self) -> Option<time::Instant> {
        let band = self.bands.iter().find(|band| band.count > 0)?;
        let mut live = band
            .arrivals
            .iter()
            .filter(|entry| self.index.get(&entry.0) == Some(&entry.1));
        live.next().map(|entry| self.calls[entry.1].queued_at)
    }
}

/// Returns a cost in microseconds, clamped to [`COST_RANGE_US`].
fn cost_us(cost: time::Duration) -> i64 {
    let cost = i64::try_from(cost.as_micros()).unwrap_or(COST_RANGE_US.1);
    cost.clamp(COST_RANGE_US.0, COST_RANGE_US.1)
}
