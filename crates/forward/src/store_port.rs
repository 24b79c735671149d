//! Interface to the platform's store, and the tasks that use it.
//!
//! The store contains the configuration and one row for each daemon. Calls continue during an outage of the store, when
//! the configuration comes from peers and the members from gossip.

use std::cell;
use std::cmp;
use std::pin;
use std::rc;
use std::time;

use damasktrack_entity::ids;
use damasktrack_membership::join_plan;
use damasktrack_membership::member_record;
use damasktrack_membership::member_row;
use damasktrack_membership::row_filter;
use damasktrack_quarantine::crash_report;
use damasktrack_quarantine::request_digest;
use rand::RngExt;
use tokio::sync::watch;

use crate::config_text;
use crate::feed_schedule;
use crate::log_limiter;
use crate::node_context;
use crate::quota_tasks;
use crate::route_config;
use crate::stall_watch;

/// Shortest backoff after a failed call to the store. Each call is charged, including refused ones.
const MIN_BACKOFF: time::Duration = time::Duration::from_millis(250);
/// Longest backoff after a failed call to the store.
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(2);
/// Interval at which a daemon checks whether it has become a sentinel.
const ROLE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Delay from the first list of members to the second, which includes daemons that started at the same time and wrote
/// their rows after the first list.
const SECOND_LIST_DELAY: time::Duration = time::Duration::from_millis(1500);
/// Longest delay of the list of members after a restore of the store.
const MAX_RESTORE_DELAY: time::Duration = time::Duration::from_secs(1);
/// Interval between later lists of members; gossip spreads changes sooner.
const LIST_INTERVAL: time::Duration = time::Duration::from_mins(2);

/// Time limit for removing this daemon's row at a stop. If it fails, other daemons remove the row later.
const REMOVE_TIMEOUT: time::Duration = time::Duration::from_millis(150);

/// Longest part of a daemon id of another writer's row in a log line.
const MAX_LOGGED_CHARS: usize = 100;

/// Future of a call to the store.
pub type StoreFuture<T> = pin::Pin<Box<dyn Future<Output = Result<T, StoreFailure>>>>;

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive_more::Display)]
pub enum StoreFailure {
    /// No response, or a response that refuses the call.
    #[display("store unavailable: {_0}")]
    Unavailable(String),
    /// The store no longer has the history after the requested version; the current state must be read.
    #[display("requested history is no longer stored")]
    HistoryGone,
}

/// Version number in the store's history of changes.
pub type StoreVersion = u64;

/// Number of times that the store was restored from an older copy. Versions of different eras can't be compared.
pub type StoreEra = u64;

/// Configuration as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredConfig {
    /// Source text; `None` if nothing has changed or nothing is stored.
    pub text: Option<config_text::ConfigText>,
    /// Version of the store that the read reflects; the next wait starts from it.
    pub version: StoreVersion,
    /// Era of `version`; `None` if the store names none.
    pub era: Option<StoreEra>,
}

/// Rows of the members as listed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberList {
    /// Rows that could be decoded.
    pub members: Vec<StoredMember>,
    /// Findings of each other row, with their place.
    pub rejected: Vec<String>,
}

/// Member row of a daemon, with the version of its last write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredMember {
    /// Record in the row.
    pub record: member_record::MemberRecord,
    /// Version of the row, expected by [`StorePort::remove_member`].
    pub version: StoreVersion,
}

/// Crash of a backend server, as the store keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashRow {
    /// Key of the row.
    pub id: crash_report::CrashId,
    /// What the row stands for.
    pub kind: crash_report::RecordKind,
    /// Time of day of the end.
    pub at: time::SystemTime,
    /// Requests in flight, at most [`crash_report::MAX_SUSPECTS`].
    pub suspects: Vec<request_digest::RequestDigest>,
}

/// Rows of the crashes of backend servers as listed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashList {
    /// Rows that could be decoded.
    pub rows: Vec<CrashRow>,
    /// Findings of each other row, with their place.
    pub rejected: Vec<String>,
}

/// Calls to the store, and the decoder of the operators' configuration.
pub struct StorePort {
    /// Reads the configuration within a time limit.
    pub read_config: Box<dyn Fn(time::Duration) -> StoreFuture<StoredConfig>>,
    /// Waits for a configuration newer than a version.
    pub await_config: Box<dyn Fn(StoreVersion, feed_schedule::FeedWait) -> StoreFuture<StoredConfig>>,
    /// Writes the row of this daemon and returns its version.
    pub write_member: Box<dyn Fn(member_row::MemberRow) -> StoreFuture<StoreVersion>>,
    /// Removes a daemon's row if it still has the given version.
    pub remove_member: Box<dyn Fn(ids::DaemonId, StoreVersion) -> StoreFuture<()>>,
    /// Lists the rows of all daemons.
    pub list_members: Box<dyn Fn() -> StoreFuture<MemberList>>,
    /// Writes the row of a crash of the backend server.
    pub write_crash: Box<dyn Fn(CrashRow) -> StoreFuture<()>>,
    /// Removes such a row.
    pub remove_crash: Box<dyn Fn(crash_report::CrashId) -> StoreFuture<()>>,
    /// Lists the rows of the ends of all backend servers.
    pub list_crashes: Box<dyn Fn() -> StoreFuture<CrashList>>,
    /// Newest era that a response of the store named; `None` before the first.
    pub era: watch::Receiver<Option<StoreEra>>,
    /// Decodes and validates a configuration. The error lists every finding with its place in the text.
    pub decode_config: fn(&[u8]) -> Result<route_config::RouteConfig, Vec<String>>,
}

impl std::fmt::Debug for StorePort {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("StorePort").finish_non_exhaustive()
    }
}

/// Decodes a configuration text and puts it in force if it is valid and newer than the current one.
pub fn adopt(node: &rc::Rc<node_context::NodeContext>, port: &StorePort, text: config_text::ConfigText, source: &str) {
    match (port.decode_config)(text.bytes()) {
        Ok(config) => {
            node.core.ask(|core, now| core.adopt_config(config, text, now));
            quota_tasks::sync_tenants(node);
        }
        Err(findings) => {
            for finding in findings {
                log::error!(source = source, finding = finding; "configuration rejected; the one in force stays");
            }
        }
    }
}

/// Exponential backoff with jitter, doubled after each failure up to [`MAX_BACKOFF`].
#[derive(Debug)]
pub(crate) struct RetryBackoff {
    next: time::Duration,
    longest: time::Duration,
}

impl RetryBackoff {
    pub(crate) fn new() -> Self {
        Self::up_to(MAX_BACKOFF)
    }

    pub(crate) fn up_to(longest: time::Duration) -> Self {
        Self {
            next: MIN_BACKOFF.min(longest),
            longest,
        }
    }

    pub(crate) async fn wait(&mut self) {
        self.wait_since(time::Instant::now()).await;
    }

    /// Waits until the backoff since `began`, the start of the failed call, has passed. A call that failed by its time
    /// limit is followed by the next one at once.
    async fn wait_since(&mut self, began: time::Instant) {
        let share = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep_until((began + self.next.mul_f64(share)).into()).await;
        self.next = (self.next * 2).min(self.longest);
    }
}

/// How the configuration is read next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigCursor {
    /// Read the current configuration.
    Unknown,
    /// Wait for a configuration after this version.
    At {
        /// Version of the store that the last read reflects.
        version: StoreVersion,
        /// Era of `version`.
        era: Option<StoreEra>,
    },
}

impl ConfigCursor {
    /// Returns the cursor after a response. A restored store gives out versions again, so a wait from a version of an
    /// earlier era skips what was written below it.
    #[must_use]
    pub fn after(self, stored: &StoredConfig) -> Self {
        match self {
            Self::At { era, .. } if era != stored.era => Self::Unknown,
            _ => Self::At {
                version: stored.version,
                era: stored.era,
            },
        }
    }
}

/// Applies the changes of the configuration in the store; never returns.
pub async fn follow_config(node: rc::Rc<node_context::NodeContext>, port: rc::Rc<StorePort>) {
    let schedule = feed_schedule::FeedSchedule::new(node.settings.hear_limit, node.settings.revoke_limit);
    let new_backoff = || RetryBackoff::up_to(schedule.response_limit());
    let mut backoff = new_backoff();
    let mut cursor = ConfigCursor::Unknown;
    let mut lost = false;
    loop {
        // The response reflects the store at some time after the call was sent.
        let sent = stall_watch::boot_time();
        let began = time::Instant::now();
        let read = match cursor {
            ConfigCursor::Unknown => (port.read_config)(schedule.response_limit()).await,
            ConfigCursor::At { version, .. } => match await_change(&node, &port, &schedule, version).await {
                FeedEnd::Done(read) => read,
                FeedEnd::RoleChanged => continue,
            },
        };
        match read {
            Ok(stored) => {
                if lost {
                    log::info!(version = stored.version, era = stored.era; "store regained");
                    lost = false;
                }
                if cursor != ConfigCursor::Unknown {
                    backoff = new_backoff();
                }
                let empty = cursor == ConfigCursor::Unknown && stored.text.is_none();
                cursor = cursor.after(&stored);
                if let Some(text) = stored.text {
                    adopt(&node, &port, text, "store");
                } else if empty {
                    log::info!("store holds no configuration yet");
                }
                node.core.ask(|core, _now| core.confirm_config(sent));
            }
            Err(StoreFailure::HistoryGone) => {
                log::info!(cursor:? = cursor; "store dropped its history; reading the configuration again");
                cursor = ConfigCursor::Unknown;
                // The store may drop its history again and again.
                backoff.wait_since(began).await;
            }
            Err(failure) => {
                node.metrics.count_feed_failure();
                if !lost {
                    let waited = began.elapsed().as_millis();
                    log::warn!(failure:% = failure, cursor:? = cursor, waited_ms = waited; "store lost");
                    lost = true;
                }
                // The store may come back from a copy. A wait from the old cursor would show that only when it ends.
                cursor = ConfigCursor::Unknown;
                backoff.wait_since(began).await;
            }
        }
    }
}

/// How a wait for a change of the configuration ended.
enum FeedEnd {
    /// With a response or a failure.
    Done(Result<StoredConfig, StoreFailure>),
    /// This daemon has become a sentinel, which must not wait for long.
    RoleChanged,
}

async fn await_change(
    node: &node_context::NodeContext,
    port: &StorePort,
    schedule: &feed_schedule::FeedSchedule,
    version: StoreVersion,
) -> FeedEnd {
    let role_of = || node.core.ask(|core, _now| core.feed_role());
    let role = role_of();
    node.metrics.record_feed_role(role);
    let became_sentinel = async {
        let mut current = role;
        while role == current || current == feed_schedule::FeedRole::Follower {
            tokio::time::sleep(ROLE_INTERVAL).await;
            current = role_of();
        }
        log::info!(role:% = current; "this daemon follows the store closely now");
    };
    let wait = schedule.next_wait(role, &mut rand::rng());
    tokio::select! {
        read = (port.await_config)(version, wait) => FeedEnd::Done(read),
        () = became_sentinel => FeedEnd::RoleChanged,
    }
}

/// Version of this daemon's row in the store; `None` while there is none.
pub type OwnRow = rc::Rc<cell::Cell<Option<StoreVersion>>>;

/// Writes this daemon's row, lists the rows of all daemons and removes those of departed daemons; never returns. Lists
/// them at once after a restore of the store, which may have lost the row or brought back one of an earlier start.
pub async fn sync_members(node: rc::Rc<node_context::NodeContext>, port: rc::Rc<StorePort>, own: OwnRow) {
    let mut backoff = RetryBackoff::new();
    let mut era = port.era.clone();
    let mut interval = SECOND_LIST_DELAY;
    let mut list_due = tokio::time::Instant::now();
    let mut listed_era = None;
    // The first list precedes the first write, since the row of an earlier process has the departure that it
    // acknowledged.
    let mut step = MemberStep::List;
    loop {
        let began = time::Instant::now();
        let done = match step {
            MemberStep::Write => write_own_row(&node, &port, &own).await,
            MemberStep::List => {
                listed_era = *era.borrow_and_update();
                list_rows(&node, &port, &own).await
            }
        };
        if let Err(failure) = done {
            log::warn!(step:? = step, failure:% = failure; "member rows not synchronized");
            backoff.wait_since(began).await;
            continue;
        }
        backoff = RetryBackoff::new();
        if step == MemberStep::List {
            list_due = tokio::time::Instant::now() + interval;
            interval = LIST_INTERVAL;
        }
        if own.get().is_none() {
            step = MemberStep::Write;
            continue;
        }
        let restored = async {
            // The result borrows the era, and a response with another one would block the thread until it is dropped.
            let changed = era.wait_for(|newest| listed_era.is_some() && *newest != listed_era);
            drop(changed.await);
        };
        step = tokio::select! {
            () = node.departures.due() => MemberStep::Write,
            () = restored => {
                // Spreads the calls of all daemons.
                tokio::time::sleep(MAX_RESTORE_DELAY.mul_f64(rand::rng().random())).await;
                MemberStep::List
            }
            () = tokio::time::sleep_until(list_due) => MemberStep::List,
        };
    }
}

/// Call to the store that [`sync_members`] makes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MemberStep {
    /// Write this daemon's row.
    Write,
    /// List the rows of all daemons.
    List,
}

async fn write_own_row(node: &node_context::NodeContext, port: &StorePort, own: &OwnRow) -> Result<(), StoreFailure> {
    let record = node.core.ask(|core, _now| core.gossip().own_record().clone());
    let version = (port.write_member)(member_row::MemberRow::from_record(&record)).await?;
    own.set(Some(version));
    node.departures.note_saved(record.departure);
    Ok(())
}

async fn list_rows(node: &node_context::NodeContext, port: &StorePort, own: &OwnRow) -> Result<(), StoreFailure> {
    let list = (port.list_members)().await?;
    for findings in &list.rejected {
        reject_row(node, findings);
    }
    let records = merge_members(node, list.members);
    let own_record = node.core.ask(|core, _now| core.gossip().own_record().clone());
    let listed = records
        .iter()
        .find(|listed| listed.record.daemon_id == own_record.daemon_id);
    let listed = listed.map(|listed| (&listed.record, listed.version));
    own.set(own_row_version(&own_record, listed, own.get()));
    if own.get().is_none() {
        // No acknowledgement of a departure before the row has it again.
        node.departures
            .note_saved(listed.and_then(|listed| listed.0.departure.clone()));
        log::info!("own member row missing from the store or outdated; writing it");
    }
    remove_departed(node, port, records).await;
    Ok(())
}

/// Returns the version of a daemon's own row after a list; `None` if the row is to be written, since it is missing, of
/// an earlier start, or without the latest departure of the backend server. `known` is the version of the last write.
/// It stays if the row is of a later process with the same daemon id, whose row this process must not remove.
#[must_use]
pub fn own_row_version(
    own: &member_record::MemberRecord,
    listed: Option<(&member_record::MemberRecord, StoreVersion)>,
    known: Option<StoreVersion>,
) -> Option<StoreVersion> {
    let (record, version) = listed?;
    match record.compare_incarnation(own) {
        cmp::Ordering::Less => None,
        cmp::Ordering::Equal if record.departure < own.departure => None,
        cmp::Ordering::Equal => Some(version),
        cmp::Ordering::Greater => known,
    }
}

/// Counts and logs a row that changes nothing. Other writers may leave any number of them.
fn reject_row(node: &node_context::NodeContext, findings: &str) {
    node.metrics.count_rejected("member_row");
    let decision = node
        .row_limiter
        .decide(log_limiter::LogCategory::Failure, time::Instant::now());
    if let log_limiter::LogDecision::Write { left_out } = decision {
        log::warn!(findings = findings, left_out = left_out; "member row rejected");
    }
}

/// Merges the listed rows. Returns those with the peer port of the deployment.
fn merge_members(node: &node_context::NodeContext, mut rows: Vec<StoredMember>) -> Vec<StoredMember> {
    let records: Vec<_> = rows.iter().map(|row| row.record.clone()).collect();
    log::info!(members = records.len(); "members listed");
    let findings = node.core.ask(|core, now| core.merge_members(&records, now));
    for (daemon, verdict) in &findings {
        let name: String = ids::text(daemon).chars().take(MAX_LOGGED_CHARS).collect();
        let place = format!("{}/{name}", member_row::MEMBERS_TABLE);
        match verdict {
            row_filter::RowVerdict::ForeignPort => {
                reject_row(node, &format!("{place}.address: not the peer port of the deployment"));
            }
            _ => reject_row(
                node,
                &format!("{place}.service: no configuration names it; the row is held until one does"),
            ),
        }
    }
    let port = node.settings.peer_listen.port();
    rows.retain(|row| row.record.address.port() == port);
    if let Some(quota) = &node.quota {
        // Held rows count: a daemon that runs requests without a share of its own would exceed the quotas.
        let daemons = rows.iter().map(|row| &row.record.daemon_id);
        quota.note_list(daemons, &node.settings.daemon_id, stall_watch::boot_time());
    }
    rows
}

/// Removes rows of daemons that died or left long ago. Only few daemons, drawn at random, try to remove the same row.
async fn remove_departed(node: &node_context::NodeContext, port: &StorePort, mut rows: Vec<StoredMember>) {
    node.core.ask(|core, now| {
        let table = core.gossip().table();
        rows.retain(|row| join_plan::may_remove_row(&row.record, table, now, &mut rand::rng()));
    });
    for row in rows {
        let name = ids::text(&row.record.daemon_id).into_owned();
        match (port.remove_member)(row.record.daemon_id, row.version).await {
            Ok(()) => log::info!(peer = name; "member row of a departed daemon removed"),
            // Another daemon may have removed the row first.
            Err(failure) => log::info!(peer = name, failure:% = failure; "member row of a departed daemon not removed"),
        }
    }
}

/// Removes this daemon's row at a graceful stop. A row with a departure stays while that backend server may still run,
/// for the next process of this daemon; if there is none, other daemons remove the row later.
pub async fn remove_own_row(node: &node_context::NodeContext, port: &StorePort, own: &OwnRow) {
    let Some(version) = own.get() else {
        return;
    };
    let departed = node.core.ask(|core, _now| core.server().departure().is_some());
    if departed && server_accepts(node).await {
        log::info!("own member row stays: the backend server has announced its departure and still runs");
        return;
    }
    let removal = (port.remove_member)(node.settings.daemon_id.clone(), version);
    match tokio::time::timeout(REMOVE_TIMEOUT, removal).await {
        Ok(Ok(())) => {}
        Ok(Err(failure)) => log::info!(failure:% = failure; "own member row not removed"),
        Err(_elapsed) => log::info!("own member row not removed in time"),
    }
}

/// Returns whether the backend server's address accepts connections.
async fn server_accepts(node: &node_context::NodeContext) -> bool {
    let connection = tokio::net::TcpStream::connect(node.settings.server_address);
    matches!(tokio::time::timeout(REMOVE_TIMEOUT, connection).await, Ok(Ok(_stream)))
}
