//! State of the backend server stand-in: options, slots, faults, counts of executions and reported load.

use std::collections;
use std::net;
use std::sync;
use std::time;

use rand::{RngExt, SeedableRng};
use serde_json::json;

use crate::backend_faults;
use crate::backend_slots;
use crate::next_call;

/// Options of a backend server.
#[derive(Clone, Debug)]
pub struct BackendOptions {
    /// Name, reported in the header `Standin-Server`.
    pub name: String,
    /// Calls that run at the same time.
    pub slots: usize,
    /// Refuse with `Damasktrack-Not-Run: true` when all slots are taken, instead of queueing.
    pub refuse_when_full: bool,
    /// Shortest service time.
    pub service_time: time::Duration,
    /// Longest time added to the service time; drawn from a uniform distribution.
    pub jitter: time::Duration,
    /// Service times by class, used instead of `service_time`.
    pub class_times: collections::HashMap<String, time::Duration>,
    /// Seed of the jitter.
    pub seed: u64,
    /// Time from the start until `cold_factor` no longer applies.
    pub cold_ramp: time::Duration,
    /// Factor on the service time at the start; falls linearly to 1 over `cold_ramp`.
    pub cold_factor: f64,
    /// Age of the state that the health and load endpoints report.
    pub report_lag: time::Duration,
    /// Size in bytes of responses without `?bytes=`.
    pub answer_bytes: u64,
    /// Entry address of the daemon through which next calls go.
    pub daemon: Option<net::SocketAddr>,
    /// Calls to the next services.
    pub next: Vec<next_call::NextRule>,
    /// Longest wait for queued and running calls at a stop.
    pub drain_timeout: time::Duration,
}

impl Default for BackendOptions {
    fn default() -> Self {
        Self {
            name: "backend".to_owned(),
            slots: 10,
            refuse_when_full: false,
            service_time: time::Duration::from_millis(5),
            jitter: time::Duration::ZERO,
            class_times: collections::HashMap::new(),
            seed: 1,
            cold_ramp: time::Duration::ZERO,
            cold_factor: 1.0,
            report_lag: time::Duration::ZERO,
            answer_bytes: 200,
            daemon: None,
            next: Vec::new(),
            drain_timeout: time::Duration::from_secs(10),
        }
    }
}

/// How often each request was executed.
#[derive(Debug, Default)]
pub struct ExecutionCounts {
    /// By request id and path.
    counts: collections::HashMap<(String, String), u64>,
    total: u64,
}

impl ExecutionCounts {
    /// Counts an execution.
    pub fn add(&mut self, request_id: &str, path: &str) {
        *self.counts.entry((request_id.to_owned(), path.to_owned())).or_default() += 1;
        self.total += 1;
    }

    /// Returns the count of each request: id, path and count.
    #[must_use]
    pub fn list(&self) -> Vec<(String, String, u64)> {
        let counts = self.counts.iter();
        counts
            .map(|((id, path), count)| (id.clone(), path.clone(), *count))
            .collect()
    }

    /// Returns the totals overall and by path, and the counts of one request id if given.
    #[must_use]
    pub fn report(&self, request_id: Option<&str>) -> serde_json::Value {
        let mut paths: collections::BTreeMap<&str, (u64, u64, u64)> = collections::BTreeMap::new();
        let mut request_counts = serde_json::Map::new();
        for ((id, path), count) in &self.counts {
            let entry = paths.entry(path).or_default();
            *entry = (entry.0 + count, entry.1 + 1, entry.2.max(*count));
            if request_id == Some(id.as_str()) {
                request_counts.insert(path.clone(), json!(count));
            }
        }
        let max = self.counts.values().max().copied().unwrap_or(0);
        let paths: serde_json::Map<String, serde_json::Value> = paths
            .into_iter()
            .map(|(path, (total, ids, max))| (path.to_owned(), json!({ "total": total, "ids": ids, "max": max })))
            .collect();
        let mut report = json!({ "total": self.total, "ids": self.counts.len(), "max": max, "paths": paths });
        if request_id.is_some() {
            report["request"] = serde_json::Value::Object(request_counts);
        }
        report
    }
}

/// Counts of calls since the start, by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct BackendCounts {
    /// Calls with a status below 400 whose response was written whole.
    pub completed: u64,
    /// Calls refused as not run.
    pub refused: u64,
    /// Calls cancelled before or while they ran.
    pub cancelled: u64,
    /// Calls whose deadline passed before or while they ran.
    pub deadline_passed: u64,
    /// Calls that failed because a next call did not complete.
    pub next_failed: u64,
    /// Responses that could not be written, or were truncated by a fault.
    pub answers_cut: u64,
}

#[derive(Clone, Copy, Debug)]
struct LoadSample {
    at: time::Instant,
    counts: backend_slots::SlotCounts,
}

/// Part of the state that changes after the start.
#[derive(Debug)]
struct VaryingState {
    rng: rand::rngs::StdRng,
    faults: backend_faults::BackendFaultTable,
    executions: ExecutionCounts,
    counts: BackendCounts,
    /// Oldest first; the first one is reported, and at least as old as the report lag once such a sample exists.
    samples: collections::VecDeque<LoadSample>,
}

/// State that all connections share.
#[derive(Debug)]
pub struct BackendState {
    /// Options given at the start.
    pub options: BackendOptions,
    /// Slots and queue.
    pub slots: backend_slots::SlotTable,
    /// Client for next calls.
    pub agent: ureq::Agent,
    started: time::Instant,
    varying: sync::Mutex<VaryingState>,
}

/// Commands.
impl BackendState {
    /// Returns the state of a server that starts now.
    #[must_use]
    pub fn new(options: BackendOptions) -> Self {
        let config = ureq::Agent::config_builder()
            .proxy(None)
            .max_idle_connections(options.slots.max(1))
            .max_idle_connections_per_host(options.slots.max(1))
            .build();
        let state = Self {
            slots: backend_slots::SlotTable::new(options.slots),
            agent: ureq::Agent::new_with_config(config),
            started: time::Instant::now(),
            varying: sync::Mutex::new(VaryingState {
                rng: rand::rngs::StdRng::seed_from_u64(options.seed),
                faults: backend_faults::BackendFaultTable::default(),
                executions: ExecutionCounts::default(),
                counts: BackendCounts::default(),
                samples: collections::VecDeque::new(),
            }),
            options,
        };
        // Lagging reports begin with the state at the start, even if the sampling thread takes its first sample late.
        state.sample();
        state
    }

    /// Adds a fault.
    pub fn add_fault(&self, fault: backend_faults::BackendFault) {
        self.lock().faults.add(fault, time::Instant::now());
    }

    /// Draws the faults of the next call.
    pub fn draw_faults(&self) -> backend_faults::CallFaults {
        self.lock().faults.draw()
    }

    /// Draws the service time of a call that starts now.
    pub fn draw_service_time(&self, class: &str, slow_factor: f64) -> time::Duration {
        let options = &self.options;
        let base = options.class_times.get(class).copied().unwrap_or(options.service_time);
        let share = self.lock().rng.random_range(0.0..=1.0);
        let mut time = base + options.jitter.mul_f64(share);
        let age = self.started.elapsed();
        if age < options.cold_ramp {
            let cold = 1.0 - age.as_secs_f64() / options.cold_ramp.as_secs_f64();
            time = time.mul_f64(1.0 + (options.cold_factor.max(1.0) - 1.0) * cold);
        }
        time.mul_f64(slow_factor)
    }

    /// Counts an execution.
    pub fn count_execution(&self, request_id: &str, path: &str) {
        self.lock().executions.add(request_id, path);
    }

    /// Applies a change to the counts under the lock.
    pub fn count(&self, change: impl FnOnce(&mut BackendCounts)) {
        change(&mut self.lock().counts);
    }

    /// Records a sample of the load for reports with a lag.
    pub fn sample(&self) {
        let counts = self.slots.counts();
        let at = time::Instant::now();
        let lag = self.options.report_lag;
        let mut varying = self.lock();
        varying.samples.push_back(LoadSample { at, counts });
        // The newest sample that is at least as old as the lag stays, since it is the one that is reported.
        while varying.samples.get(1).is_some_and(|sample| at - sample.at >= lag) {
            varying.samples.pop_front();
        }
    }
}

/// Queries.
impl BackendState {
    /// Returns the time for which the server stays frozen.
    #[must_use]
    pub fn frozen_for(&self) -> time::Duration {
        self.lock().faults.frozen_for(time::Instant::now())
    }

    /// Returns the status of the health endpoint.
    #[must_use]
    pub fn health_status(&self) -> u16 {
        let status = self.lock().faults.health_override();
        status.unwrap_or(if self.reported().draining { 503 } else { 200 })
    }

    /// Returns the body of the load endpoint.
    #[must_use]
    pub fn load_report(&self) -> serde_json::Value {
        let counts = self.reported();
        let slots = self.slots.slots();
        let load = (counts.running + counts.queued) as f64 / slots.max(1) as f64;
        json!({
            "load": self.lock().faults.load_override().unwrap_or(load),
            "running": counts.running,
            "queued": counts.queued,
            "slots": slots,
            "draining": counts.draining,
        })
    }

    /// Returns the report of [`ExecutionCounts::report`] with [`BackendCounts`] under the key `counts`.
    #[must_use]
    pub fn execution_report(&self, request_id: Option<&str>) -> serde_json::Value {
        let varying = self.lock();
        let mut report = varying.executions.report(request_id);
        report["counts"] = json!(varying.counts);
        report
    }

    /// Returns the executions of each request: id, path and count.
    #[must_use]
    pub fn execution_list(&self) -> Vec<(String, String, u64)> {
        self.lock().executions.list()
    }

    /// Returns the rules in force.
    #[must_use]
    pub fn fault_rules(&self) -> Vec<backend_faults::BackendFault> {
        self.lock().faults.rules()
    }

    fn reported(&self) -> backend_slots::SlotCounts {
        if self.options.report_lag.is_zero() {
            return self.slots.counts();
        }
        let varying = self.lock();
        varying.samples.front().map(|sample| sample.counts).unwrap_or_default()
    }

    fn lock(&self) -> sync::MutexGuard<'_, VaryingState> {
        self.varying.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
