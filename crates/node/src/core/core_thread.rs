//! The thread of the core, which runs stakker, and the handle by which other threads send commands to it.

use std::io;
use std::sync::mpsc;
use std::thread;
use std::time;
// The `after!` macro of stakker refers to `Duration` without a path.
use std::time::Duration;

use crate::core::core_command;
use crate::core::node_core;

/// Maximum sleep of the thread; timers and commands end it earlier.
const MAX_SLEEP: Duration = Duration::from_mins(1);

/// Minimum delay of the membership timer.
const MIN_MEMBER_DELAY: Duration = Duration::from_millis(1);

/// Handle of the core; cheap to clone.
#[derive(Clone)]
pub struct CoreHandle {
    channel: stakker::sync::Channel<core_command::CoreCommand>,
}

impl std::fmt::Debug for CoreHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CoreHandle").finish_non_exhaustive()
    }
}

impl CoreHandle {
    /// Sends a command without waiting for it. A stopped core drops it.
    pub fn send(&self, command: core_command::CoreCommand) {
        self.channel.send(command);
    }

    /// Sends a command and waits for its reply; `None` if the core has stopped.
    pub fn ask<T: Send + 'static>(
        &self,
        command: impl FnOnce(core_command::ReplySender<T>) -> core_command::CoreCommand,
    ) -> Option<T> {
        let (reply, receiver) = core_command::ReplySender::channel();
        self.channel.send(command(reply));
        receiver.recv().ok()
    }
}

struct CoreActor {
    core: node_core::NodeCore,
    /// Timer for [`node_core::NodeCore::wake_members`].
    member_timer: stakker::MinTimerKey,
    /// Timer for [`node_core::NodeCore::wake`], at the earliest time that the core returned.
    wake_timer: stakker::MinTimerKey,
    /// Closes the channel when the actor ends, which ends all waits for replies.
    _guard: stakker::sync::ChannelGuard,
}

impl CoreActor {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "stakker passes the arguments of an actor's constructor by value"
    )]
    fn init(
        cx: stakker::CX![],
        core: node_core::NodeCore,
        ready: mpsc::SyncSender<stakker::sync::Channel<core_command::CoreCommand>>,
    ) -> Option<Self> {
        let receiver = stakker::fwd_to!([cx], receive() as (core_command::CoreCommand));
        let (channel, guard) = stakker::sync::Channel::new(cx, receiver);
        ready.send(channel).ok()?;
        stakker::after!(node_core::TICK_INTERVAL, [cx], tick());
        stakker::after!(Duration::ZERO, [cx], wake_members());
        Some(Self {
            core,
            member_timer: stakker::MinTimerKey::default(),
            wake_timer: stakker::MinTimerKey::default(),
            _guard: guard,
        })
    }

    fn receive(&mut self, cx: stakker::CX![], command: core_command::CoreCommand) {
        if matches!(command, core_command::CoreCommand::Stop) {
            stakker::stop!(cx);
            return;
        }
        let is_member_command = matches!(command, core_command::CoreCommand::Member(_));
        let now = cx.now();
        self.core.handle(command, now);
        if is_member_command {
            self.set_member_timer(cx);
        }
        self.schedule_wake(cx, now);
    }

    fn wake_members(&mut self, cx: stakker::CX![]) {
        let now = cx.now();
        self.core.wake_members(now);
        self.set_member_timer(cx);
    }

    fn set_member_timer(&mut self, cx: stakker::CX![]) {
        let now = cx.now();
        let due = self.core.next_member_wake(now).max(now + MIN_MEMBER_DELAY);
        stakker::timer_min!(&mut self.member_timer, due, [cx], wake_members());
    }

    fn wake(&mut self, cx: stakker::CX![]) {
        let now = cx.now();
        self.core.wake(now);
        self.schedule_wake(cx, now);
    }

    fn schedule_wake(&mut self, cx: stakker::CX![], now: time::Instant) {
        if let Some(at) = self.core.next_wake(now) {
            stakker::timer_min!(&mut self.wake_timer, at, [cx], wake());
        }
    }

    fn tick(&mut self, cx: stakker::CX![]) {
        let now = cx.now();
        self.core.tick(now);
        self.schedule_wake(cx, now);
        stakker::after!(node_core::TICK_INTERVAL, [cx], tick());
    }
}

/// Starts the thread. A process runs one core, since stakker with its default features allows one instance only.
///
/// # Errors
/// Returns an error if the thread can't be started.
pub fn start(core: node_core::NodeCore) -> io::Result<CoreHandle> {
    let (ready, channel) = mpsc::sync_channel(1);
    thread::Builder::new()
        .name("core".to_owned())
        .spawn(move || run(core, ready))?;
    let channel = channel
        .recv()
        .map_err(|_closed| io::Error::other("the core thread ended at its start"))?;
    Ok(CoreHandle { channel })
}

fn run(core: node_core::NodeCore, ready: mpsc::SyncSender<stakker::sync::Channel<core_command::CoreCommand>>) {
    let mut runtime = stakker::Stakker::new(time::Instant::now());
    let core_thread = thread::current();
    runtime.set_poll_waker(move || core_thread.unpark());
    let actor = stakker::actor!(runtime, CoreActor::init(core, ready), stakker::ret_shutdown!(runtime));
    while runtime.not_shutdown() {
        runtime.poll_wake();
        runtime.run(time::Instant::now(), false);
        let sleep = runtime.next_wait_max(time::Instant::now(), MAX_SLEEP, false);
        // An unpark between the poll and this call sets the token of the thread, so the wake-up is not lost.
        thread::park_timeout(sleep);
    }
    drop(actor);
}
