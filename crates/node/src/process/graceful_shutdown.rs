//! Planned stop of a daemon, which interrupts no request in flight.

use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use crate::core::core_command;
use crate::core::member_sync;
use crate::entry::entry_server;
use crate::members::member_jobs;
use crate::shared::node_shared;

/// Interval in which the remaining work is counted.
const COUNT_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// How a planned stop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownResult {
    /// All requests were answered.
    Complete,
    /// `drain_timeout_ms` passed with requests in flight.
    TimedOut,
}

/// Stops a daemon. New work for the backend server is refused at once. Callers are served for `drain_notice_ms`, with
/// responses that close their connection, and for as long as the backend server works, since its running work may
/// need further calls.
pub fn run(shared: &sync::Arc<node_shared::NodeShared>, entry: &entry_server::EntryServer) -> ShutdownResult {
    let started = time::Instant::now();
    let end = started + shared.settings.drain_timeout;
    log::info!("planned stop begins");
    shared.draining.store(true, atomic::Ordering::Relaxed);
    shared.core.send(core_command::CoreCommand::Drain);
    entry.enter(entry_server::EntryPhase::Closing);
    thread::sleep(shared.settings.drain_notice.min(shared.settings.drain_timeout));
    let work_ended = wait_until(end, || count(shared).is_none_or(|counts| counts.work == 0));
    entry.enter(entry_server::EntryPhase::Closed);
    let calls_ended = wait_until(end, || {
        let calls = count(shared).is_none_or(|counts| counts.calls == 0 && counts.work == 0);
        calls && entry.connections() == 0 && shared.peer_requests.load(atomic::Ordering::Relaxed) == 0
    });
    // Told last, since a member that has left answers nobody; the row goes after it, so that no daemon reads a member
    // that is gone already.
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

fn wait_until(end: time::Instant, done: impl Fn() -> bool) -> bool {
    loop {
        if done() {
            return true;
        }
        if time::Instant::now() >= end {
            return false;
        }
        thread::sleep(COUNT_INTERVAL);
    }
}
