//! What the daemon needs of the platform's store, and the tasks that use it.
//!
//! The store keeps the configuration and one row for each daemon. Calls go on while it is away: the configuration then
//! comes from peers, and members from the gossip.

use std::pin;
use std::rc;
use std::time;

use bytes::Bytes;
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

/// Calls to the store, and the decoding of what operators write.
pub struct StorePort {
    /// Reads the configuration.
    pub read_config: Box<dyn Fn() -> StoreFuture<StoredConfig>>,
    /// Waits until the configuration is newer than a version, or for some seconds.
    pub await_config: Box<dyn Fn(StoreVersion) -> StoreFuture<StoredConfig>>,
    /// Writes the row of this daemon.
    pub write_member: Box<dyn Fn(member_row::MemberRow) -> StoreFuture<()>>,
    /// Lists the rows of all daemons.
    pub list_members: Box<dyn Fn() -> StoreFuture<Vec<member_row::MemberRow>>>,
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

/// Writes the row of this daemon and lists those of the others; never returns.
pub async fn keep_members(node: rc::Rc<node_context::NodeContext>, port: rc::Rc<StorePort>) {
    let mut pause = RetryPause::new();
    let mut written = false;
    let mut wait = SECOND_LIST;
    loop {
        let record = node.core.ask(|core, _now| core.gossip().own_record().clone());
        if !written {
            let row = member_row::MemberRow::from_record(&record);
            if let Err(failure) = (port.write_member)(row).await {
                log::warn!(failure:% = failure; "member row not written");
                pause.wait().await;
                continue;
            }
            written = true;
        }
        match (port.list_members)().await {
            Ok(rows) => {
                pause = RetryPause::new();
                let records: Vec<_> = rows.iter().filter_map(member_row::MemberRow::to_record).collect();
                log::info!(members = records.len(); "members listed");
                node.core.ask(|core, now| core.learn_members(&records, now));
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
