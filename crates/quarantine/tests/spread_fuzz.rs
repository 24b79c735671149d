//! Fuzz test: tables of several daemons that exchange messages in any order, with losses, repeats and restarts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bolero::TypeGenerator;
use damasktrack_quarantine::crash_report::{CrashId, CrashReport};
use damasktrack_quarantine::quarantine_table::{QuarantinePolicy, QuarantineTable, RequestVerdict};
use damasktrack_quarantine::request_digest::RequestDigest;

const DAEMONS: usize = 4;
const REQUESTS: RequestDigest = 4;
const POLICY: QuarantinePolicy = QuarantinePolicy {
    crashes: 3,
    hold: Duration::from_hours(1),
};

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Operation {
    /// A server ends while the requests of the set bits run.
    Crash {
        daemon: u8,
        requests: u8,
    },
    Complete {
        daemon: u8,
        request: u8,
    },
    /// A message in transit arrives, and may arrive again.
    Deliver {
        daemon: u8,
        message: u8,
    },
    /// A daemon sends its table.
    Send {
        daemon: u8,
    },
    Restart {
        daemon: u8,
    },
}

fn now(step: usize) -> Duration {
    Duration::from_secs(100) + Duration::from_millis(step as u64)
}

/// Runs the operations and then exchanges all tables. A request that was completed at no daemon has to be quarantined
/// if and only if it was in flight at three crashes of daemons that have not restarted since, or whose crash another
/// daemon had learned.
fn run(operations: &[Operation]) {
    let mut tables: Vec<_> = (0..DAEMONS).map(|_daemon| QuarantineTable::new(POLICY)).collect();
    let mut messages: Vec<CrashReport> = Vec::new();
    let mut crashes: BTreeMap<CrashId, BTreeSet<RequestDigest>> = BTreeMap::new();
    let mut completed = BTreeSet::new();
    for (step, operation) in operations.iter().enumerate() {
        let at = now(step);
        match *operation {
            Operation::Crash { daemon, requests } => {
                let running = (0..REQUESTS).filter(|request| requests & (1 << request) != 0);
                let running: BTreeSet<RequestDigest> = running.collect();
                let id = step as u64;
                let effect = tables[usize::from(daemon) % DAEMONS].record_crash(id, running.iter().copied(), at);
                crashes.insert(id, running);
                messages.push(effect.news);
            }
            Operation::Complete { daemon, request } => {
                let request = RequestDigest::from(request) % REQUESTS;
                completed.insert(request);
                messages.push(tables[usize::from(daemon) % DAEMONS].note_completed(request, at));
            }
            Operation::Deliver { daemon, message } => {
                if let Some(message) = messages.get(usize::from(message)).cloned() {
                    let news = tables[usize::from(daemon) % DAEMONS].merge(&message, at).news;
                    messages.push(news);
                }
            }
            Operation::Send { daemon } => messages.push(tables[usize::from(daemon) % DAEMONS].report(at)),
            Operation::Restart { daemon } => tables[usize::from(daemon) % DAEMONS] = QuarantineTable::new(POLICY),
        }
    }
    let at = now(operations.len());
    let known: BTreeSet<u64> = tables
        .iter()
        .flat_map(|table| table.report(at))
        .map(|crash| crash.id)
        .collect();
    for _round in 0..2 {
        for from in 0..DAEMONS {
            for to in 0..DAEMONS {
                let theirs = tables[to].report(at);
                let missing = tables[from].missing_from(&theirs, at);
                tables[to].merge(&missing, at);
                let back = tables[to].report(at);
                tables[from].merge(&back, at);
            }
        }
    }
    for table in &tables {
        assert_eq!(table.summary(), tables[0].summary());
        for request in (0..REQUESTS).filter(|request| !completed.contains(request)) {
            let count = known.iter().filter(|id| crashes[*id].contains(&request)).count();
            let quarantined = matches!(table.verdict(request), RequestVerdict::Quarantined(_));
            assert_eq!(
                quarantined,
                count >= POLICY.crashes,
                "request {request} at {count} crashes"
            );
        }
    }
}

/// Guards against daemons that disagree after they have exchanged their tables, and against crashes that get lost or
/// count twice on the way.
#[test]
fn daemons_agree_after_exchanges() {
    bolero::check!()
        .with_iterations(4_000)
        .with_type::<Vec<Operation>>()
        .for_each(|operations| run(operations));
}
