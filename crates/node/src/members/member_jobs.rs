//! Blocking jobs of the membership: member rows in the table service, and anti-entropy exchanges with peers.

use std::io;
use std::sync;
use std::sync::mpsc;
use std::thread;
use std::time;

use damasktrack_entity::ids;
use damasktrack_membership::anti_entropy;
use damasktrack_membership::join_plan;
use damasktrack_membership::member_row;
use damasktrack_resource::store_rows;

use crate::core::core_command;
use crate::core::member_sync;
use crate::core::peer_directory;
use crate::shared::node_shared;
use crate::store::store_client;
use crate::transport::worker_pool;

/// Maximum number of concurrent jobs: one call to the store and a few exchanges.
const MAX_JOBS: usize = 4;
/// Rows read from the store in one listing.
const PAGE_ROWS: usize = 500;
/// Bound on the wait for the removal of this daemon's row. If the store is down, another daemon removes the row a day
/// later.
const ROW_REMOVAL_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Message of an anti-entropy exchange, as posted to a peer.
#[derive(Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
enum ExchangeMessage {
    /// Requests the records in which the member tables differ.
    Ask(anti_entropy::ExchangeRequest),
    /// Returns the records that the receiver lacks.
    Return(anti_entropy::ExchangeReturn),
}

/// Starts the thread that hands the jobs to a pool of workers.
///
/// # Errors
/// Returns an error if the thread can't be started.
pub fn start(
    shared: &sync::Arc<node_shared::NodeShared>,
    jobs: mpsc::Receiver<member_sync::MemberJob>,
) -> io::Result<()> {
    let shared = sync::Arc::clone(shared);
    let pool = worker_pool::WorkerPool::new("member", MAX_JOBS);
    thread::Builder::new()
        .name("members".to_owned())
        .spawn(move || {
            for job in jobs {
                while pool.is_full() {
                    thread::sleep(time::Duration::from_millis(10));
                }
                let shared = sync::Arc::clone(&shared);
                if pool.submit(move || run(&shared, job)) == worker_pool::SubmitResult::Full {
                    log::warn!("membership job dropped since no thread can be started");
                }
            }
        })
        .map(|_thread| ())
}

fn run(shared: &node_shared::NodeShared, job: member_sync::MemberJob) {
    match job {
        member_sync::MemberJob::WriteRow(row) => {
            let result = write_row(shared, &row);
            send(shared, member_sync::MemberCommand::RowWritten(result));
        }
        member_sync::MemberJob::ListRows => {
            let rows = list_rows(shared);
            send(shared, member_sync::MemberCommand::RowsListed(rows));
        }
        member_sync::MemberJob::RemoveRows(rows) => {
            for (daemon_id, version) in rows {
                remove_row(shared, &daemon_id, version);
            }
        }
        member_sync::MemberJob::Exchange(peer, request) => exchange(shared, peer, request),
    }
}

fn send(shared: &node_shared::NodeShared, command: member_sync::MemberCommand) {
    shared.core.send(core_command::CoreCommand::Member(command));
}

/// Writes this daemon's row unless a later process with the same daemon id has written one.
fn write_row(shared: &node_shared::NodeShared, row: &member_row::MemberRow) -> member_sync::RowResult {
    let failed = |other| member_sync::RowResult {
        result: join_plan::StoreResult::Failed,
        other,
    };
    let Some(store) = &shared.store else {
        return failed(None);
    };
    let read = store.get::<member_row::MemberRow>(member_row::MEMBERS_TABLE, &row.daemon_id);
    let store_client::StoreReply::Ok(stored) = read else {
        return failed(None);
    };
    let version = stored.as_ref().map_or(0, |stored| stored.version);
    let existing = stored.map(|stored| stored.value);
    let unchanged = existing.as_ref() == Some(row);
    let other = existing.filter(|existing| existing.incarnation != row.incarnation);
    // The process that started later keeps the row; the core handles the conflict.
    let started_later =
        |other: &member_row::MemberRow| (other.started_ms, &other.incarnation) > (row.started_ms, &row.incarnation);
    if other.as_ref().is_some_and(started_later) {
        return failed(other);
    }
    let value = serde_json::json!(row);
    let written = unchanged || is_done(&store.commit(&commit(&row.daemon_id, version, value)));
    if !written {
        return failed(other);
    }
    member_sync::RowResult {
        result: join_plan::StoreResult::Done,
        other,
    }
}

fn list_rows(shared: &node_shared::NodeShared) -> Option<Vec<member_sync::ListedMember>> {
    let store = shared.store.as_ref()?;
    let mut members = Vec::new();
    let mut after = String::new();
    loop {
        let page = store.list(store_client::ListQuery {
            table: member_row::MEMBERS_TABLE,
            prefix: "",
            after: &after,
            limit: PAGE_ROWS,
        });
        let store_client::StoreReply::Ok(page) = page else {
            return None;
        };
        let last = page.rows.last().map(|row| row.key.clone());
        for row in page.rows {
            let record = serde_json::from_value::<member_row::MemberRow>(row.value).ok();
            match record.and_then(|row| row.to_record()) {
                Some(record) => members.push(member_sync::ListedMember {
                    record,
                    version: row.version,
                }),
                None => log::warn!(row:% = row.key; "member row can't be read"),
            }
        }
        match last {
            Some(key) if page.more => after = key,
            _ => return Some(members),
        }
    }
}

fn remove_row(shared: &node_shared::NodeShared, daemon_id: &ids::DaemonId, version: store_rows::RowVersion) {
    if let Some(store) = &shared.store {
        let name = ids::text(daemon_id);
        let removed = is_done(&store.commit(&commit(&name, version, serde_json::Value::Null)));
        log::info!(member:% = name, removed = removed; "attempted to remove the row of a departed member");
    }
}

/// Removes this daemon's row at the end of a planned stop. The wait for the store is bounded.
pub fn remove_own_row(shared: &sync::Arc<node_shared::NodeShared>) {
    let Some(store) = shared.store.clone() else {
        return;
    };
    let name = ids::text(&shared.identity.daemon_id).into_owned();
    let incarnation = format!("{:016x}", shared.identity.incarnation);
    let (sender, receiver) = mpsc::channel();
    let started = thread::Builder::new().name("row".to_owned()).spawn(move || {
        let read = store.get::<member_row::MemberRow>(member_row::MEMBERS_TABLE, &name);
        if let store_client::StoreReply::Ok(Some(stored)) = read
            && stored.value.incarnation == incarnation
        {
            let removed = store.commit(&commit(&name, stored.version, serde_json::Value::Null));
            log::info!(removed = is_done(&removed); "attempted to remove the row of this daemon");
        }
        let _timed_out = sender.send(());
    });
    if started.is_ok() {
        let _timed_out = receiver.recv_timeout(ROW_REMOVAL_TIMEOUT);
    }
}

fn commit(key: &str, version: store_rows::RowVersion, value: serde_json::Value) -> store_rows::TableCommit {
    store_rows::TableCommit {
        conditions: vec![store_rows::RowCondition {
            table: member_row::MEMBERS_TABLE.to_owned(),
            key: key.to_owned(),
            version,
        }],
        writes: vec![store_rows::RowWrite {
            table: member_row::MEMBERS_TABLE.to_owned(),
            key: key.to_owned(),
            value,
        }],
    }
}

fn exchange(shared: &node_shared::NodeShared, peer: std::net::SocketAddr, request: anti_entropy::ExchangeRequest) {
    let Some(reply) = post::<anti_entropy::ExchangeReply>(shared, peer, &ExchangeMessage::Ask(request)) else {
        return;
    };
    let newer = shared
        .core
        .ask(|sender| core_command::CoreCommand::Member(member_sync::MemberCommand::ExchangeReplied(reply, sender)));
    if let Some(newer) = newer.filter(|newer| !newer.records.is_empty()) {
        let _reply = post::<()>(shared, peer, &ExchangeMessage::Return(newer));
    }
}

fn post<A: serde::de::DeserializeOwned>(
    shared: &node_shared::NodeShared,
    peer: std::net::SocketAddr,
    message: &ExchangeMessage,
) -> Option<A> {
    let body = anti_entropy::encode(message).ok()?;
    let sent = body.len();
    let reply = shared
        .peers
        .message_bytes(peer, "/peer/members", body)
        .inspect_err(|error| log::debug!(peer:% = peer, error:% = error; "member exchange with a peer failed"))
        .ok()?;
    shared.traffic.exchange.add(sent, reply.len());
    anti_entropy::decode(&reply).ok()
}

/// Answers a message of an exchange; `None` if it can't be decoded or the core has stopped.
#[must_use]
pub fn answer(shared: &node_shared::NodeShared, message: &[u8]) -> Option<Vec<u8>> {
    let reply = match anti_entropy::decode(message).ok()? {
        ExchangeMessage::Ask(request) => {
            let reply = shared.core.ask(|sender| {
                core_command::CoreCommand::Member(member_sync::MemberCommand::ExchangeRequested(request, sender))
            });
            anti_entropy::encode(&reply?).ok()?
        }
        ExchangeMessage::Return(returned) => {
            send(shared, member_sync::MemberCommand::ExchangeReturned(returned));
            anti_entropy::encode(&()).ok()?
        }
    };
    shared.traffic.exchange.add(reply.len(), message.len());
    Some(reply)
}

/// Returns all known members, including this daemon and dead ones. `None` if the core has stopped.
#[must_use]
pub fn view(shared: &node_shared::NodeShared) -> Option<Vec<peer_directory::PeerIdentity>> {
    shared
        .core
        .ask(|reply| core_command::CoreCommand::Member(member_sync::MemberCommand::View(reply)))
}

fn is_done<T>(reply: &store_client::StoreReply<T>) -> bool {
    matches!(reply, store_client::StoreReply::Ok(_))
}
