//! What the daemon needs of the platform's store, and the tasks that use it.
//!
//! The store keeps the configuration and one row for each daemon. Calls go on while it is away: the configuration then
//! comes from peers, and members from the gossip.

use std::cell;
use std::pin;
use std::rc;
use std::time;

use bytes::Bytes;
use damasktrack_entity::ids;
use damasktrack_membership::join_plan;
use damasktrack_membership::member_record;
use damasktrack_membership::member_row;
use rand::RngExt;

use crate::node_context;
use crate::route_config;

/// Shortest and longest pause after a failed call to the store. Calls are priced, also refused ones.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(250);
/// See [`RETRY_PAUSE`].
const MAX_RETRY_PAUSE: time::Duration = time::Duration::from_secs(2);
/// Time from the first list of members to the second, which finds those that started together and wrote later.
const SECOND_LIST: time::Duration = time::Duration::from_millis(1500);
/// Time between two lists afterwards; the gossip brings changes sooner.
const LIST_INTERVAL: time::Duration = time::Duration::from_mins(2);

/// Longest wait for the removal of the own row at a stop; others remove it later if that fails.
const REMOVE_TIMEOUT: time::Duration = time::Duration::from_millis(150);

/// Future of a call to the store.
pub type StoreFuture<T> = pin::Pin<Box<dyn Future<Output = Result<T, StoreFailure>>>>;

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive_more::Display)]
pub enum StoreFailure {
    /// No response, or one that refuses.
    #[display("store unavailable: {_0}")]
    Unavailable(String),
    /// The requested history is gone; the current state has to be read.
    #[display("history is gone")]
    HistoryGone,
}

/// Position in the store's history.
pub type StoreVersion = u64;

/// State of the configuration in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredConfig {
    /// Text as operators wrote it; `None` if nothing changed or nothing is stored.
    pub text: Option<Bytes>,
    /// Version up to which it is known.
    pub version: StoreVersion,
}

/// Row of a daemon with the version that the store gave it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredMember {
    /// The row.
    pub row: member_row::MemberRow,
    /// Its version.
    pub version: StoreVersion,
}

/// Calls to the store, and the decoding of what operators write.
pub struct StorePort {
    /// Reads the configuration.
    pub read_config: Box<dyn Fn() -> StoreFuture<StoredConfig>>,
    /// Waits until the configuration is newer than a version, or for some seconds.
    pub await_config: Box<dyn Fn(StoreVersion) -> StoreFuture<StoredConfig>>,
    /// Writes the row of this daemon and returns its version.
    pub write_member: Box<dyn Fn(member_row::MemberRow) -> StoreFuture<StoreVersion>>,
    /// Removes a daemon's row if it still has this version.
    pub remove_member: Box<dyn Fn(ids::DaemonId, StoreVersion) -> StoreFuture<()>>,
    /// Lists the rows of all daemons.
    pub list_members: Box<dyn Fn() -> StoreFuture<Vec<StoredMember>>>,
    /// Decodes a configuration, or returns every finding with its place.
    pub decode_config: fn(&[u8]) -> Result<route_config::RouteConfig, Vec<String>>,
}

impl std::fmt::Debug for StorePort {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("StorePort").finish_non_exhaustive()
    }
}

/// Puts a configuration text in force if it is valid and newer.
pub fn adopt(node: &node_context::NodeContext, port: &StorePort, text: Bytes, source: &str) {
    match (port.decode_config)(&text) {
        Ok(config) => node.core.ask(|core, _now| core.adopt_config(config, text)),
        Err(findings) => {
            for finding in findings {
                log::error!(source = source, finding = finding; "configuration rejected; the one in force stays");
            }
        }
    }
}

/// Pause that doubles with each failure.
#[derive(Debug)]
struct RetryPause(time::Duration);

impl RetryPause {
    fn new() -> Self {
        Self(RETRY_PAUSE)
    }

    async fn wait(&mut self) {
        let share = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(self.0.mul_f64(share)).await;
        self.0 = (self.0 * 2).min(MAX_RETRY_PAUSE);
    }
}

/// Follows the configuration in the store; never returns.
pub async fn follow_config(node: rc::Rc<node_context::NodeContext>, port: rc::Rc<StorePort>) {
    let mut pause = RetryPause::new();
    let mut known: Option<StoreVersion> = None;
    let mut lost = false;
    loop {
        let read = match known {
            None => (port.read_config)().await,
            Some(version) => (port.await_config)(version).await,
        };
        match read {
            Ok(stored) => {
                if lost {
                    log::info!(version = stored.version; "store regained");
                    lost = false;
                }
                pause = RetryPause::new();
                let empty = known.is_none() && stored.text.is_none();
                known = Some(stored.version);
                if let Some(text) = stored.text {
                    adopt(&node, &port, text, "store");
                } else if empty {
                    log::info!("store holds no configuration yet");
                }
            }
            Err(StoreFailure::HistoryGone) => {
                log::info!(after = known.unwrap_or(0); "store dropped its history; reading the configuration again");
                known = None;
            }
            Err(failure) => {
                if !lost {
                    log::warn!(failure:% = failure; "store lost");
                    lost = true;
                }
                pause.wait().await;
            }
        }
    }
}

/// Version of this daemon's row; `None` while it has none.
pub type OwnRow = rc::Rc<cell::Cell<Option<StoreVersion>>>;

/// Writes the row of this daemon, lists those of the others and removes those of daemons that are gone; never returns.
pub async fn keep_members(node: rc::Rc<node_context::NodeContext>, port: rc::Rc<StorePort>, own: OwnRow) {
    let mut pause = RetryPause::new();
    let mut wait = SECOND_LIST;
    loop {
        if own.get().is_none() {
            let record = node.core.ask(|core, _now| core.gossip().own_record().clone());
            match (port.write_member)(member_row::MemberRow::from_record(&record)).await {
                Ok(version) => own.set(Some(version)),
                Err(failure) => {
                    log::warn!(failure:% = failure; "member row not written");
                    pause.wait().await;
                    continue;
                }
            }
        }
        match (port.list_members)().await {
            Ok(members) => {
                pause = RetryPause::new();
                let records: Vec<_> = members.iter().filter_map(ListedRow::of).collect();
                learn(&node, &records);
                if !records
                    .iter()
                    .any(|listed| listed.record.daemon_id == node.settings.daemon_id)
                {
                    log::info!("own member row is gone; writing it again");
                    own.set(None);
                }
                remove_gone(&node, &port, records).await;
                tokio::time::sleep(wait).await;
                wait = LIST_INTERVAL;
            }
            Err(failure) => {
                log::warn!(failure:% = failure; "members not listed");
                pause.wait().await;
            }
        }
    }
}

/// Row that could be decoded.
struct ListedRow {
    record: member_record::MemberRecord,
    version: StoreVersion,
}

impl ListedRow {
    fn of(member: &StoredMember) -> Option<Self> {
        let version = member.version;
        Some(Self {
            record: member.row.to_record()?,
            version,
        })
    }
}

fn learn(node: &node_context::NodeContext, rows: &[ListedRow]) {
    let records: Vec<_> = rows.iter().map(|row| row.record.clone()).collect();
    log::info!(members = records.len(); "members listed");
    node.core.ask(|core, now| core.learn_members(&records, now));
}

/// Removes rows of daemons that have been dead or gone for long; few daemons of all try the same row.
async fn remove_gone(node: &node_context::NodeContext, port: &StorePort, mut rows: Vec<ListedRow>) {
    node.core.ask(|core, now| {
        let table = core.gossip().table();
        rows.retain(|row| join_plan::may_remove_row(&row.record, table, now, &mut rand::rng()));
    });
    for row in rows {
        let name = ids::text(&row.record.daemon_id).into_owned();
        match (port.remove_member)(row.record.daemon_id, row.version).await {
            Ok(()) => log::info!(peer = name; "row of a daemon that is gone removed"),
            // Another daemon may have removed it first.
            Err(failure) => log::info!(peer = name, failure:% = failure; "row of a daemon that is gone not removed"),
        }
    }
}

/// Removes the row of this daemon, which ends.
pub async fn remove_own(node: &node_context::NodeContext, port: &StorePort, own: &OwnRow) {
    let Some(version) = own.get() else {
        return;
    };
    let removal = (port.remove_member)(node.settings.daemon_id.clone(), version);
    match tokio::time::timeout(REMOVE_TIMEOUT, removal).await {
        Ok(Ok(())) => {}
        Ok(Err(failure)) => log::info!(failure:% = failure; "own member row not removed"),
        Err(_elapsed) => log::info!("own member row not removed in time"),
    }
}
