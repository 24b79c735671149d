//! Planned stop of a daemon, which lets requests in flight complete.

use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use damasktrack_pipeline::request_order;

use crate::core::core_command;
use crate::core::member_sync;
use crate::entry::entry_server;
use crate::members::member_jobs;
use crate::shared::node_shared;

/// Interval at which the remaining work is polled.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// How a planned stop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownResult {
    /// All requests in flight completed.
    Complete,
    /// `drain_timeout_ms` passed with requests in flight.
    TimedOut,
}

/// Stops a daemon; requests in flight get up to `drain_timeout_ms` to complete. New work for the backend server is
/// refused at once. Callers are served for `drain_notice_ms`, with responses that close their connection, and for as
/// long as the backend server has running work, since that work may send further calls.
pub fn run(shared: &sync::Arc<node_shared::NodeShared>, entry: &entry_server::EntryServer) -> ShutdownResult {
    let started = time::Instant::now();
    let deadline = started + shared.settings.drain_timeout;
    log::info!("planned stop started");
    shared.draining.store(true, atomic::Ordering::Relaxed);
    shared.core.send(core_command::CoreCommand::Drain);
    entry.enter(request_order::ConnectionPhase::Closing);
    thread::sleep(shared.settings.drain_notice.min(shared.settings.drain_timeout));
    let work_ended = wait_until(deadline, || count(shared).is_none_or(|counts| counts.work == 0));
    entry.enter(request_order::ConnectionPhase::Closed);
    let calls_ended = wait_until(deadline, || {
        let idle = count(shared).is_none_or(|counts| counts.calls == 0 && counts.work == 0);
        idle && entry.connections() == 0 && shared.peer_requests.load(atomic::Ordering::Relaxed) == 0
    });
    // The departure is announced last, since a member that has left answers no messages. Its row is then removed, so
    // that no daemon reads from the store a member that has already left.
    let _stopped = shared
        .core
        .ask(|reply| core_command::CoreCommand::Member(member_sync::MemberCommand::Leave(reply)));
    member_jobs::remove_own_row(shared);
    if work_ended && calls_ended {
        log::info!(seconds = started.elapsed().as_secs_f64(); "planned stop complete");
        ShutdownResult::Complete
    } else {
        log::warn!("planned stop timed out with requests in flight");
        ShutdownResult::TimedOut
    }
}

fn count(shared: &node_shared::NodeShared) -> Option<core_command::NodeCounts> {
    shared.core.ask(core_command::CoreCommand::Counts)
}

fn wait_until(deadline: time::Instant, done: impl Fn() -> bool) -> bool {
    loop {
        if done() {
            return true;
        }
        if time::Instant::now() >= deadline {
            return false;
        }
        thread::sleep(POLL_INTERVAL);
    }
}
