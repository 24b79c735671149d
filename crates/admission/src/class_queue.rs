//! Queue in front of a backend server.

use std::collections;
use std::time;

use damasktrack_entity::{admission_level, ids};

use crate::tenant_share;

/// Costs are held to this range, so that a round ends after a few turns.
const COST_RANGE: (i64, i64) = (500, 100_000);
const BAND_COUNT: usize = admission_level::MAX_IMPORTANCE as usize + 1;

/// A call that waits for a slot.
#[derive(Clone, Debug)]
pub struct QueuedCall {
    /// Id of the call; unique in the queue.
    pub call: ids::CallId,
    /// Position of the class in the gate.
    pub class: usize,
    /// Position of the tenant in the shares.
    pub tenant: tenant_share::TenantIndex,
    /// Band of the call; a greater band starts first.
    pub importance: u8,
    /// Critical calls have no bound on their wait but the deadline.
    pub critical: bool,
    /// Order inside a tenant's queue.
    pub deadline: time::Instant,
    /// When the call was queued.
    pub queued_at: time::Instant,
    /// Expected slot time, charged to the tenant.
    pub cost: time::Duration,
}

/// A call that the queue gave up.
#[derive(Clone, Debug)]
pub struct ShedCall {
    /// The call.
    pub call: QueuedCall,
    /// Whether its tenant held more of the band than its weight gives it.
    pub over_share: bool,
}

/// Calls that wait, by importance, tenant and deadline.
///
/// A greater importance always starts first. Inside an importance, tenants take turns by deficit round robin, and each
/// tenant's calls start by earliest deadline.
#[derive(Debug)]
pub struct ClassQueue {
    calls: slab::Slab<QueuedCall>,
    index: collections::HashMap<ids::CallId, usize>,
    bands: [QueueBand; BAND_COUNT],
    /// Distinguishes calls with equal deadlines; they start in order of arrival.
    sequence: u64,
}

#[derive(Debug, Default)]
struct QueueBand {
    count: usize,
    cost_us: i64,
    tenants: Vec<TenantQueue>,
    /// Tenants with queued calls, each once; the front has the turn.
    round: collections::VecDeque<tenant_share::TenantIndex>,
    /// Non-critical calls in order of arrival. Entries of calls that left otherwise are skipped.
    arrivals: collections::VecDeque<(ids::CallId, usize)>,
}

#[derive(Debug, Default)]
struct TenantQueue {
    order: collections::BTreeSet<(time::Instant, u64, usize)>,
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
    /// Adds a call.
    pub fn push(&mut self, call: QueuedCall) {
        let band = &mut self.bands[usize::from(call.importance)];
        self.sequence += 1;
        let entry = (call.deadline, self.sequence, 0);
        let (id, tenant, critical, cost) = (call.call, call.tenant, call.critical, cost_us(call.cost));
        let key = self.calls.insert(call);
        if band.tenants.len() <= tenant {
            band.tenants.resize_with(tenant + 1, TenantQueue::default);
        }
        let queue = &mut band.tenants[tenant];
        if queue.order.is_empty() {
            band.round.push_back(tenant);
        }
        queue.order.insert((entry.0, entry.1, key));
        if !critical {
            band.arrivals.push_back((id, key));
        }
        band.count += 1;
        band.cost_us += cost;
        self.index.insert(id, key);
    }

    /// Removes the call that starts next.
    pub fn pop(&mut self, shares: &tenant_share::TenantShare) -> Option<QueuedCall> {
        let at = self.bands.iter().rposition(|band| band.count > 0)?;
        let band = &mut self.bands[at];
        loop {
            let tenant = *band.round.front()?;
            let queue = &mut band.tenants[tenant];
            let &(_, _, key) = queue.order.first()?;
            let cost = cost_us(self.calls[key].cost);
            if queue.deficit < cost {
                // The mean cost gives a tenant of weight 1 about one call a turn. A fixed quantum would start many
                // short calls of one tenant in a row while those of others wait past their bound.
                let quantum = band.cost_us / i64::try_from(band.count).unwrap_or(1);
                queue.deficit += quantum.max(COST_RANGE.0) * i64::from(shares.weight(tenant));
                band.round.rotate_left(1);
                continue;
            }
            queue.deficit -= cost;
            return self.take(key);
        }
    }

    /// Removes a call by id.
    pub fn remove(&mut self, call: ids::CallId) -> Option<QueuedCall> {
        let key = *self.index.get(&call)?;
        self.take(key)
    }

    /// Removes the oldest non-critical call of the least important band, if it has waited for longer than `bound`.
    ///
    /// Only the least important band is looked at, so that no call is refused for queue pressure while a less important
    /// one is queued.
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

    /// Removes the call that a full queue gives up: in the least important band, the last call of the tenant with the
    /// most queued calls for its weight.
    pub fn pop_victim(&mut self, shares: &tenant_share::TenantShare) -> Option<ShedCall> {
        let band = self.bands.iter().find(|band| band.count > 0)?;
        let tenant = band.round.iter().copied().max_by(|left, right| {
            let load = |tenant: usize| band.tenants[tenant].order.len() as f64 / f64::from(shares.weight(tenant));
            load(*left).total_cmp(&load(*right))
        })?;
        let &(_, _, key) = band.tenants[tenant].order.last()?;
        self.shed(key, shares)
    }

    /// Moves the ids of calls whose deadline has passed to `expired`.
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
        let weights: u32 = band.round.iter().map(|tenant| shares.weight(*tenant)).sum();
        let queued = band.tenants[tenant].order.len() * usize::try_from(weights).unwrap_or(usize::MAX);
        let share = band.count * usize::try_from(shares.weight(tenant)).unwrap_or(usize::MAX);
        let over_share = queued > share;
        self.take(key).map(|call| ShedCall { call, over_share })
    }

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
            band.round.retain(|tenant| *tenant != call.tenant);
        }
        Some(call)
    }
}

impl ClassQueue {
    /// Returns the number of queued calls.
    #[must_use]
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether nothing is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the least importance among the queued calls.
    #[must_use]
    pub fn least_importance(&self) -> Option<u8> {
        let at = self.bands.iter().position(|band| band.count > 0)?;
        u8::try_from(at).ok()
    }

    /// Returns the greatest importance among the queued calls.
    #[must_use]
    pub fn greatest_importance(&self) -> Option<u8> {
        let at = self.bands.iter().rposition(|band| band.count > 0)?;
        u8::try_from(at).ok()
    }

    /// Returns the slot time of the queued calls that start before a new call of `importance`.
    #[must_use]
    pub fn work_ahead(&self, importance: u8) -> time::Duration {
        let work: i64 = self.bands[usize::from(importance)..]
            .iter()
            .map(|band| band.cost_us)
            .sum();
        time::Duration::from_micros(u64::try_from(work).unwrap_or(0))
    }

    /// Returns when the oldest non-critical call of the least important band was queued.
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

fn cost_us(cost: time::Duration) -> i64 {
    let cost = i64::try_from(cost.as_micros()).unwrap_or(COST_RANGE.1);
    cost.clamp(COST_RANGE.0, COST_RANGE.1)
}
