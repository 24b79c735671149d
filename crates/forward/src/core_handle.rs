//! Actor that owns the decision state, and the handle through which tasks of the same thread call it.

use std::cell;
use std::rc;
// The `after!` macro of stakker names `Duration` without a path.
use std::time::Duration;
use std::time::Instant;

use crate::forward_core;
use crate::stall_watch;

/// Longest sleep between two runs of the actor runtime.
const MAX_SLEEP: Duration = Duration::from_secs(1);
/// Shortest sleep between two runs of the actor runtime.
const MIN_SLEEP: Duration = Duration::from_millis(1);
/// Interval of [`forward_core::ForwardCore::tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time between two runs of the gossip timer.
const MIN_GOSSIP_INTERVAL: Duration = Duration::from_millis(5);

struct CoreActor {
    core: forward_core::ForwardCore,
    gossip_timer: stakker::MinTimerKey,
}

impl CoreActor {
    #[expect(
        clippy::unnecessary_wraps,
        reason = "stakker requires an actor constructor to return an option"
    )]
    fn init(cx: stakker::CX![], core: forward_core::ForwardCore) -> Option<Self> {
        stakker::after!(TICK_INTERVAL, [cx], tick());
        stakker::after!(MIN_GOSSIP_INTERVAL, [cx], gossip());
        Some(Self {
            core,
            gossip_timer: stakker::MinTimerKey::default(),
        })
    }

    fn tick(&mut self, cx: stakker::CX![]) {
        self.core.beat(stall_watch::boot_time());
        self.core.tick(cx.now());
        stakker::after!(TICK_INTERVAL, [cx], tick());
    }

    fn gossip(&mut self, cx: stakker::CX![]) {
        let now = cx.now();
        self.core.gossip_tick(now);
        let due = self.core.gossip_due().max(now + MIN_GOSSIP_INTERVAL);
        stakker::timer_min!(&mut self.gossip_timer, due, [cx], gossip());
    }
}

/// Handle to the decision state; cheap to clone.
#[derive(Clone)]
pub struct CoreHandle {
    runtime: rc::Rc<cell::RefCell<stakker::Stakker>>,
    /// Dropping the last owner terminates the actor.
    actor: rc::Rc<stakker::ActorOwn<CoreActor>>,
}

impl std::fmt::Debug for CoreHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CoreHandle").finish_non_exhaustive()
    }
}

/// Starts the actor on this thread. A process has one core, since stakker allows only one instance per process.
///
/// # Panics
/// Panics if the actor can't be started, which is a bug.
#[must_use]
pub fn start(core: forward_core::ForwardCore) -> CoreHandle {
    let mut runtime = stakker::Stakker::new(Instant::now());
    let actor = stakker::actor!(runtime, CoreActor::init(core), stakker::ret_shutdown!(runtime));
    runtime.run(Instant::now(), false);
    CoreHandle {
        runtime: rc::Rc::new(cell::RefCell::new(runtime)),
        actor: rc::Rc::new(actor),
    }
}

impl CoreHandle {
    /// Runs `step` on the decision state and returns its result. A step must not block.
    ///
    /// # Panics
    /// Panics if the actor has terminated or if a step calls `ask`, which is a bug.
    pub fn ask<R>(&self, step: impl FnOnce(&mut forward_core::ForwardCore, Instant) -> R) -> R {
        let now = Instant::now();
        let mut runtime = self.runtime.borrow_mut();
        let result = self.actor.query(&mut runtime, |actor, _cx| step(&mut actor.core, now));
        result.expect("the core actor runs until the process exits")
    }

    /// Runs the actor's timers; never returns.
    pub async fn drive(&self) {
        loop {
            let sleep = {
                let mut runtime = self.runtime.borrow_mut();
                runtime.run(Instant::now(), false);
                runtime.next_wait_max(Instant::now(), MAX_SLEEP, false)
            };
            tokio::time::sleep(sleep.max(MIN_SLEEP)).await;
        }
    }
}
