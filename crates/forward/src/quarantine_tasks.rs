//! Spread of the table of crashes: pushes to random daemons, comparisons with random daemons, and rows in the store,
//! which outlast the processes.

use std::collections;
use std::net;
use std::rc;
use std::time;

use damasktrack_quarantine::crash_report;
use rand::RngExt;
use rand::seq::SliceRandom;
use tokio::task;

use crate::http_server;
use crate::message_body;
use crate::node_context;
use crate::peer_client;
use crate::store_port;

/// Path of crashes that a daemon pushes.
pub const PUSH_PATH: &str = "/crashes/push";
/// Path of a comparison of two tables.
pub const COMPARE_PATH: &str = "/crashes/compare";
/// Daemons to which each daemon pushes a crash that is new to it. The comparisons reach those that pushes miss.
const PUSH_FANOUT: usize = 4;
/// Time limit of a push or comparison.
const MESSAGE_TIMEOUT: time::Duration = time::Duration::from_millis(800);
/// Pause before a push, in which changes are collected.
const PUSH_DELAY: time::Duration = time::Duration::from_millis(5);
/// Interval between comparisons while the table has changed lately, and between two looks at the other daemons.
const SHORT_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Interval between two looks while no crash is known.
const EMPTY_INTERVAL: time::Duration = time::Duration::from_secs(5);
/// Looks for each comparison with a random daemon otherwise.
const LOOKS_PER_COMPARISON: u32 = 4;
/// Time since the last change of the table within which comparisons are frequent.
const RECENT_CHANGE: time::Duration = time::Duration::from_secs(30);
/// Daemons that a starting daemon asks for their table, and most that are compared with since they have become live.
const START_CONTACTS: usize = 3;
/// Interval at which a starting daemon looks for other daemons, and how often.
const START_POLL: time::Duration = time::Duration::from_millis(200);
const START_POLLS: usize = 50;
/// Time after which the row of a crash is corrected. Most requests that had nothing to do with it are completed by then.
const CORRECTION_DELAY: time::Duration = time::Duration::from_secs(2);
/// Age from which a row in the store is ignored and removed.
const ROW_LIFETIME: time::Duration = time::Duration::from_hours(24);
/// Largest share of the hold that has passed for a crash from the store. Refusals may have prolonged its quarantine.
const MAX_ROW_AGE_SHARE: f64 = 0.75;
/// Share of the starting daemons that remove expired rows.
const REMOVE_SHARE: f64 = 0.2;

/// Pushes news and compares tables; never returns. Sends nothing while no crash is known, except at the start.
pub async fn spread(node: rc::Rc<node_context::NodeContext>) {
    ask_at_start(&node).await;
    let mut known = collections::HashSet::new();
    let mut looks = 0;
    loop {
        let empty = node.quarantine.is_empty();
        let interval = if empty { EMPTY_INTERVAL } else { SHORT_INTERVAL };
        let interval = interval.mul_f64(rand::rng().random_range(0.8..1.2));
        let woken = tokio::time::timeout(interval, node.quarantine.wake.notified()).await;
        tokio::time::sleep(PUSH_DELAY).await;
        push_news(&node);
        if woken.is_err() {
            looks += 1;
            node.quarantine.prune();
            node.metrics.record_quarantine(node.quarantine.quarantined());
            if node.quarantine.is_empty() {
                continue;
            }
            let live = live_peers(&node);
            for address in choose_contacts(&node, &known, &live, looks) {
                task::spawn_local(compare(rc::Rc::clone(&node), address));
            }
            known = live;
        }
    }
}

/// Returns the daemons to compare with: some of those that have become live since the last look, which may have missed
/// pushes, and a random one if it is due.
fn choose_contacts(
    node: &node_context::NodeContext,
    known: &collections::HashSet<net::SocketAddr>,
    live: &collections::HashSet<net::SocketAddr>,
    looks: u32,
) -> Vec<net::SocketAddr> {
    let mut contacts: Vec<_> = live.difference(known).copied().collect();
    contacts.shuffle(&mut rand::rng());
    contacts.truncate(START_CONTACTS);
    let recent = node.quarantine.unchanged_for().is_some_and(|time| time < RECENT_CHANGE);
    if recent || looks.is_multiple_of(LOOKS_PER_COMPARISON) {
        contacts.extend(random_members(node, 1));
    }
    contacts
}

async fn ask_at_start(node: &rc::Rc<node_context::NodeContext>) {
    for _poll in 0..START_POLLS {
        let members = random_members(node, START_CONTACTS);
        if !members.is_empty() {
            for address in members {
                task::spawn_local(compare(rc::Rc::clone(node), address));
            }
            return;
        }
        tokio::time::sleep(START_POLL).await;
    }
}

fn push_news(node: &rc::Rc<node_context::NodeContext>) {
    let news = node.quarantine.take_news();
    if news.is_empty() {
        return;
    }
    let Ok(body) = crash_report::encode(&news) else {
        return;
    };
    for address in random_members(node, PUSH_FANOUT) {
        let (node, body) = (rc::Rc::clone(node), body.clone());
        task::spawn_local(async move {
            peer_client::post(&node.peer(address), PUSH_PATH, body, MESSAGE_TIMEOUT).await;
        });
    }
}

/// Compares the table with that of another daemon, and exchanges what either lacks.
async fn compare(node: rc::Rc<node_context::NodeContext>, address: net::SocketAddr) {
    let request = crash_report::CompareRequest {
        summary: node.quarantine.summary(),
    };
    let Ok(body) = crash_report::encode(&request) else {
        return;
    };
    let reply = peer_client::post(&node.peer(address), COMPARE_PATH, body, MESSAGE_TIMEOUT).await;
    let reply = reply.and_then(|body| crash_report::decode::<crash_report::CompareReply>(&body));
    let Some(crash_report::CompareReply::Differs(report)) = reply else {
        return;
    };
    node.quarantine.merge(&report, "comparison");
    let missing = node.quarantine.missing_from(&report);
    if !missing.is_empty()
        && let Ok(body) = crash_report::encode(&missing)
    {
        peer_client::post(&node.peer(address), PUSH_PATH, body, MESSAGE_TIMEOUT).await;
    }
}

/// Serves crashes that another daemon pushes.
#[must_use]
pub fn serve_push(node: &node_context::NodeContext, body: &[u8]) -> http_server::ServerResponse {
    let Some(report) = crash_report::decode::<crash_report::CrashReport>(body) else {
        return http_server::empty_response(hyper::StatusCode::BAD_REQUEST);
    };
    node.quarantine.merge(&report, "push");
    http_server::empty_response(hyper::StatusCode::OK)
}

/// Serves a comparison of tables.
#[must_use]
pub fn serve_compare(node: &node_context::NodeContext, body: &[u8]) -> http_server::ServerResponse {
    let Some(request) = crash_report::decode::<crash_report::CompareRequest>(body) else {
        return http_server::empty_response(hyper::StatusCode::BAD_REQUEST);
    };
    let reply = if request.summary == node.quarantine.summary() {
        crash_report::CompareReply::Same
    } else {
        crash_report::CompareReply::Differs(node.quarantine.report())
    };
    match crash_report::encode(&reply) {
        Ok(bytes) => hyper::Response::new(message_body::ReplyBody::whole(bytes::Bytes::from(bytes))),
        Err(error) => {
            log::warn!(error:% = error; "crashes can't be encoded");
            http_server::empty_response(hyper::StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn live_peers(node: &node_context::NodeContext) -> collections::HashSet<net::SocketAddr> {
    node.core.ask(|core, _now| core.live_peers()).into_iter().collect()
}

fn random_members(node: &node_context::NodeContext, count: usize) -> Vec<net::SocketAddr> {
    let mut addresses = node.core.ask(|core, _now| core.live_peers());
    addresses.shuffle(&mut rand::rng());
    addresses.truncate(count);
    addresses
}

/// Loads the crashes that the store has, and saves those of this daemon's server; never returns. After a restore of the
/// store, which may have lost rows, all crashes are saved again.
pub async fn keep_rows(node: rc::Rc<node_context::NodeContext>, port: rc::Rc<store_port::StorePort>) {
    let Some(mut due) = node.take_crash_rows() else {
        return;
    };
    let load = task::spawn_local(load_rows(rc::Rc::clone(&node), rc::Rc::clone(&port)));
    let mut era = port.era.clone();
    let mut known_era = *era.borrow_and_update();
    loop {
        tokio::select! {
            id = due.recv() => match id {
                Some(id) => {
                    task::spawn_local(save_row(rc::Rc::clone(&node), rc::Rc::clone(&port), id));
                }
                None => break,
            },
            Ok(()) = era.changed() => {
                let newest = *era.borrow_and_update();
                if known_era.is_some() && newest != known_era {
                    task::spawn_local(restore_rows(rc::Rc::clone(&node), rc::Rc::clone(&port)));
                }
                known_era = newest;
            }
        }
    }
    load.abort();
}

/// Writes the rows of all known crashes of which this daemon is the keeper.
async fn restore_rows(node: rc::Rc<node_context::NodeContext>, port: rc::Rc<store_port::StorePort>) {
    let kept = node.core.ask(|core, _now| {
        let ids = node.quarantine.report().into_iter().map(|crash| crash.id);
        ids.filter(|id| core.keeps_crash(*id)).collect::<Vec<_>>()
    });
    if !kept.is_empty() {
        log::info!(crashes = kept.len(); "rows of crashes written again after a restore of the store");
    }
    for id in kept {
        write_row(&node, &port, id).await;
    }
}

/// Writes the row of a crash, and once more if its requests have become fewer.
async fn save_row(
    node: rc::Rc<node_context::NodeContext>,
    port: rc::Rc<store_port::StorePort>,
    id: crash_report::CrashId,
) {
    let Some(saved) = write_row(&node, &port, id).await else {
        return;
    };
    tokio::time::sleep(CORRECTION_DELAY).await;
    match node.quarantine.crash(id) {
        Some(record) if record.suspects.len() == saved => {}
        Some(record) if !record.suspects.is_empty() => {
            write_row(&node, &port, id).await;
        }
        _ => {
            if let Err(failure) = (port.remove_crash)(id).await {
                log::info!(failure:% = failure; "row of a crash without requests not removed");
            }
        }
    }
}

/// Returns the number of requests in the row; `None` if there is nothing to write any more.
async fn write_row(
    node: &node_context::NodeContext,
    port: &store_port::StorePort,
    id: crash_report::CrashId,
) -> Option<usize> {
    let mut backoff = store_port::RetryBackoff::new();
    loop {
        let record = node.quarantine.crash(id).filter(|crash| !crash.suspects.is_empty())?;
        let requests = record.suspects.len();
        let row = store_port::CrashRow {
            id,
            kind: record.kind,
            at: time::SystemTime::now()
                .checked_sub(record.age)
                .unwrap_or(time::UNIX_EPOCH),
            suspects: record.suspects,
        };
        match (port.write_crash)(row).await {
            Ok(()) => return Some(requests),
            Err(failure) => log::warn!(failure:% = failure; "crash not saved"),
        }
        backoff.wait().await;
    }
}

async fn load_rows(node: rc::Rc<node_context::NodeContext>, port: rc::Rc<store_port::StorePort>) {
    let mut backoff = store_port::RetryBackoff::new();
    let list = loop {
        match (port.list_crashes)().await {
            Ok(list) => break list,
            Err(failure) => log::warn!(failure:% = failure; "crashes not listed"),
        }
        backoff.wait().await;
    };
    for findings in &list.rejected {
        node.metrics.count_rejected("crash_row");
        log::warn!(findings = findings.as_str(); "crash row rejected");
    }
    let now = time::SystemTime::now();
    let age = |row: &store_port::CrashRow| now.duration_since(row.at).unwrap_or_default();
    let (expired, valid): (Vec<_>, Vec<_>) = list.rows.into_iter().partition(|row| age(row) >= ROW_LIFETIME);
    let hold = node.quarantine.policy().hold;
    let report: Vec<_> = valid
        .iter()
        .map(|row| crash_report::CrashRecord {
            id: row.id,
            kind: row.kind,
            age: age(row),
            idle: age(row).min(hold.mul_f64(MAX_ROW_AGE_SHARE)),
            suspects: row.suspects.clone(),
        })
        .collect();
    if !report.is_empty() {
        log::info!(crashes = report.len(); "crashes listed");
        node.quarantine.merge(&report, "store");
    }
    if rand::rng().random_bool(REMOVE_SHARE) {
        for row in expired {
            if let Err(failure) = (port.remove_crash)(row.id).await {
                log::info!(failure:% = failure; "expired crash row not removed");
            }
        }
    }
}
