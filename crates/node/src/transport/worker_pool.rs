//! Thread pool for blocking jobs, such as calls of the entry server and messages that no call waits for.

use std::collections;
use std::sync;
use std::thread;
use std::time;

/// Idle time after which a worker ends.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Stack size of a worker; frames and bodies are on the heap.
pub const WORKER_STACK_BYTES: usize = 512 << 10;

type PoolJob = Box<dyn FnOnce() + Send>;

/// Whether the pool accepted a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitResult {
    /// A worker runs the job at once.
    Accepted,
    /// The job was dropped: all workers are busy, and no further one may or can be started.
    Full,
}

/// Pool that starts a worker only if none is idle, up to a limit. Clones share the workers.
#[derive(Clone)]
pub struct WorkerPool {
    shared: sync::Arc<PoolShared>,
}

struct PoolShared {
    name: &'static str,
    max: usize,
    state: sync::Mutex<PoolState>,
    wake: sync::Condvar,
}

#[derive(Default)]
struct PoolState {
    jobs: collections::VecDeque<PoolJob>,
    /// Workers that wait for a job; at least the number of queued jobs, so that each job has a worker at once.
    idle: usize,
    workers: usize,
}

impl std::fmt::Debug for WorkerPool {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("WorkerPool")
            .field("name", &self.shared.name)
            .finish_non_exhaustive()
    }
}

/// Commands.
impl WorkerPool {
    /// Creates a pool without workers; `name` becomes the name of their threads.
    #[must_use]
    pub fn new(name: &'static str, max: usize) -> Self {
        Self {
            shared: sync::Arc::new(PoolShared {
                name,
                max,
                state: sync::Mutex::new(PoolState::default()),
                wake: sync::Condvar::new(),
            }),
        }
    }

    /// Passes a job to an idle or new worker. A job that can't start at once is dropped.
    pub fn submit(&self, job: impl FnOnce() + Send + 'static) -> SubmitResult {
        let mut state = lock(&self.shared.state);
        if state.idle > state.jobs.len() {
            state.jobs.push_back(Box::new(job));
            drop(state);
            self.shared.wake.notify_one();
            return SubmitResult::Accepted;
        }
        if state.workers >= self.shared.max {
            return SubmitResult::Full;
        }
        let shared = sync::Arc::clone(&self.shared);
        let first_job: PoolJob = Box::new(job);
        let started = thread::Builder::new()
            .name(self.shared.name.to_owned())
            .stack_size(WORKER_STACK_BYTES)
            .spawn(move || run_worker(&shared, first_job));
        if started.is_err() {
            return SubmitResult::Full;
        }
        state.workers += 1;
        SubmitResult::Accepted
    }
}

/// Queries.
impl WorkerPool {
    /// Returns whether a job would be rejected. Other threads may change that at any time.
    #[must_use]
    pub fn is_full(&self) -> bool {
        let state = lock(&self.shared.state);
        state.idle <= state.jobs.len() && state.workers >= self.shared.max
    }
}

fn run_worker(shared: &PoolShared, first_job: PoolJob) {
    let mut job = first_job;
    loop {
        job();
        match next_job(shared) {
            Some(next) => job = next,
            None => return,
        }
    }
}

fn next_job(shared: &PoolShared) -> Option<PoolJob> {
    let mut state = lock(&shared.state);
    state.idle += 1;
    loop {
        if let Some(job) = state.jobs.pop_front() {
            state.idle -= 1;
            return Some(job);
        }
        let (guard, timeout) = shared
            .wake
            .wait_timeout(state, IDLE_TIMEOUT)
            .unwrap_or_else(sync::PoisonError::into_inner);
        state = guard;
        if timeout.timed_out() && state.jobs.is_empty() {
            state.idle -= 1;
            state.workers -= 1;
            return None;
        }
    }
}

fn lock(state: &sync::Mutex<PoolState>) -> sync::MutexGuard<'_, PoolState> {
    // No job runs while the lock is held, so a poisoned lock still guards a consistent state.
    state.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
