//! Synchronizes the configuration between the store, this daemon and its peers.

use std::io;
use std::net;
use std::sync;
use std::thread;
use std::time;

use damasktrack_entity::ids;
use damasktrack_membership::config_rumour;
use damasktrack_resource::change_log;
use damasktrack_resource::config_log;
use damasktrack_resource::store_rows;
use damasktrack_wire::peer_message;
use rand::RngExt;
use rand::seq::IndexedRandom;

use crate::core::core_command;
use crate::core::core_config;
use crate::peer::config_message;
use crate::shared::node_shared;
use crate::store::store_client;

/// Interval of head reads from the store. At 760 daemons this amounts to 25 reads/s.
const HEAD_READ_INTERVAL: time::Duration = time::Duration::from_secs(30);
/// Interval of pulls from one random peer. They fetch changes of which neither a push nor the revision in a gossip
/// probe has informed this daemon, for example where UDP is blocked.
const PEER_PULL_INTERVAL: time::Duration = time::Duration::from_secs(30);
/// Bounds of the random delay between two attempts to obtain a configuration at start-up.
const MIN_START_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);
/// See [`MIN_START_RETRY_DELAY`].
const MAX_START_RETRY_DELAY: time::Duration = time::Duration::from_millis(400);
/// Number of peers that must answer at start-up if the store is unavailable; fewer if fewer are known.
const MIN_START_PEERS: usize = 3;
/// Changes read from the store in one listing.
const CHANGE_PAGE_ROWS: usize = 500;

/// Result of a synchronization with the store or with peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncStep {
    /// This daemon has every change that the source has.
    Current,
    /// The source did not answer, or returned fewer changes than its revision implies.
    Unavailable,
}

/// Starts the thread that obtains the configuration at start-up and then keeps it up to date.
///
/// # Errors
/// Returns an error if the thread can't be started.
pub fn start(shared: &sync::Arc<node_shared::NodeShared>) -> io::Result<()> {
    let shared = sync::Arc::clone(shared);
    thread::Builder::new()
        .name("config".to_owned())
        .spawn(move || run(&shared))
        .map(|_thread| ())
}

fn run(shared: &node_shared::NodeShared) {
    while sync_at_start(shared) == SyncStep::Unavailable {
        thread::sleep(rand::rng().random_range(MIN_START_RETRY_DELAY..MAX_START_RETRY_DELAY));
    }
    send(shared, core_config::ConfigCommand::Settled);
    let mut next_head_read = time::Instant::now() + jittered(HEAD_READ_INTERVAL);
    let mut next_peer_pull = time::Instant::now() + jittered(PEER_PULL_INTERVAL);
    loop {
        for peer in shared
            .effects
            .config_signal()
            .wait_ahead(next_head_read.min(next_peer_pull))
        {
            fetch_from_peer(shared, peer);
        }
        let now = time::Instant::now();
        if now >= next_peer_pull {
            if let Some(peer) = known_peers(shared).choose(&mut rand::rng()) {
                fetch_from_peer(shared, *peer);
            }
            next_peer_pull = now + jittered(PEER_PULL_INTERVAL);
        }
        if now >= next_head_read {
            if let Some(store) = &shared.store {
                catch_up(shared, store);
            }
            next_head_read = now + jittered(HEAD_READ_INTERVAL);
        }
    }
}

/// Catches up with the store, or with the highest revision among [`MIN_START_PEERS`] peers if the store is unavailable.
fn sync_at_start(shared: &node_shared::NodeShared) -> SyncStep {
    if let Some(store) = &shared.store
        && catch_up(shared, store) == SyncStep::Current
    {
        return SyncStep::Current;
    }
    let mut peers = known_peers(shared);
    if peers.is_empty() {
        // A daemon without peers and store has no source, so its own configuration is current.
        return match shared.store {
            Some(_) => SyncStep::Unavailable,
            None => SyncStep::Current,
        };
    }
    let mut needed = peers.len().min(MIN_START_PEERS);
    let mut answered = 0;
    while answered < needed && !peers.is_empty() {
        let peer = peers.swap_remove(rand::rng().random_range(0..peers.len()));
        match fetch_from_peer(shared, peer) {
            Some(reply) if reply.settled => answered += 1,
            // A peer that is itself starting does not count as required, since daemons that start together would wait
            // for each other.
            Some(_starting) => needed = needed.min(answered + peers.len()),
            None => {}
        }
    }
    if answered > 0 && answered == needed {
        SyncStep::Current
    } else {
        SyncStep::Unavailable
    }
}

/// Returns the addresses of the seeds and of the known daemons, without this one.
fn known_peers(shared: &node_shared::NodeShared) -> Vec<net::SocketAddr> {
    let mut peers = shared.settings.seeds.clone();
    if let Some(view) = view(shared) {
        peers.extend(view.peers.iter().map(|peer| peer.address));
    }
    peers.retain(|peer| *peer != shared.peer_address);
    peers.sort_unstable();
    peers.dedup();
    peers
}

/// Fetches and applies the changes that a peer has and this daemon lacks. `None` if the peer or the core did not
/// answer.
fn fetch_from_peer(shared: &node_shared::NodeShared, peer: net::SocketAddr) -> Option<config_message::ConfigReply> {
    let after = view(shared)?.set.revision();
    let request = peer_message::ConfigRequest { after };
    let reply = shared
        .peers
        .message::<_, config_message::ConfigReply>(peer, "/peer/config", &request)
        .inspect_err(|error| log::debug!(peer:% = peer, error:% = error; "configuration request to a peer failed"))
        .ok()?;
    if let Some(snapshot) = &reply.snapshot {
        install(shared, snapshot.clone());
    }
    if !reply.changes.is_empty() {
        apply(shared, reply.changes.clone());
    }
    Some(reply)
}

/// Reads the head from the store and applies the changes that this daemon lacks.
pub fn catch_up(shared: &node_shared::NodeShared, store: &store_client::StoreClient) -> SyncStep {
    let head = match store.get::<store_rows::HeadRow>(store_rows::HEAD_TABLE, store_rows::HEAD_KEY) {
        store_client::StoreReply::Ok(row) => row.map_or(0, |row| row.value.revision),
        _ => return SyncStep::Unavailable,
    };
    let Some(mut current) = view(shared).map(|view| view.set.revision()) else {
        return SyncStep::Unavailable;
    };
    if head >= current + config_log::SNAPSHOT_INTERVAL {
        current = current.max(read_snapshot(shared, store, head));
    }
    while current < head {
        let list = store.list(store_client::ListQuery {
            table: store_rows::CHANGE_TABLE,
            prefix: "",
            after: &store_rows::change_key(current),
            limit: CHANGE_PAGE_ROWS,
        });
        let store_client::StoreReply::Ok(list) = list else {
            return SyncStep::Unavailable;
        };
        let rows: Result<Vec<change_log::ConfigChange>, _> = list
            .rows
            .into_iter()
            .map(|row| serde_json::from_value(row.value))
            .collect();
        let rows = match rows {
            Ok(rows) => store_rows::contiguous(rows, current),
            Err(error) => {
                log::error!(error:% = error; "a change in the store can't be read");
                return SyncStep::Unavailable;
            }
        };
        let before = current;
        let report = apply(shared, rows.into_iter().map(sync::Arc::new).collect());
        current = report.map_or(current, |report| report.revision);
        if current <= before {
            // The listing returned an older state of the store than the read of the head.
            return SyncStep::Unavailable;
        }
    }
    SyncStep::Current
}

/// Installs the latest snapshot at or below the head. Returns the revision in force afterwards, or 0 if the snapshot is
/// missing or can't be read.
fn read_snapshot(
    shared: &node_shared::NodeShared,
    store: &store_client::StoreClient,
    head: ids::Revision,
) -> ids::Revision {
    let revision = head - head % config_log::SNAPSHOT_INTERVAL;
    let store_client::StoreReply::Ok(Some(content)) = store.get_object(&snapshot_key(revision)) else {
        return 0;
    };
    match serde_json::from_slice::<change_log::ConfigSnapshot>(&content) {
        Ok(snapshot) if snapshot.revision == revision => install(shared, snapshot).map_or(0, |report| report.revision),
        _ => {
            log::error!(revision = revision; "a snapshot in the store can't be read");
            0
        }
    }
}

/// Puts a change that this daemon committed in force, pushes it to peers, and writes the snapshot that is due.
pub fn accept(shared: &node_shared::NodeShared, change: change_log::ConfigChange) {
    let change = sync::Arc::new(change);
    let Some(report) = apply(shared, vec![sync::Arc::clone(&change)]) else {
        return;
    };
    // The change is pushed even if another daemon has pushed it back already and it is in force by now.
    push_changes(shared, &report.peers, vec![change], true);
    if let Some(store) = &shared.store
        && report.revision.is_multiple_of(config_log::SNAPSHOT_INTERVAL)
        && let Some(view) = view(shared)
        && view.set.revision() == report.revision
    {
        let content = serde_json::json!(view.set.snapshot()).to_string().into_bytes();
        let key = snapshot_key(report.revision);
        if store.put_object(&key, content) != store_client::StoreReply::Ok(()) {
            log::warn!(revision = report.revision; "the snapshot was not written; starting daemons read the changes");
        }
    }
}

/// Applies changes that a peer pushed and returns the revision in force. Newly applied changes are pushed onwards if
/// the peer requested it. `None` if the core has stopped.
pub fn apply_push(shared: &node_shared::NodeShared, push: config_message::PushRequest) -> Option<ids::Revision> {
    let report = apply(shared, push.changes)?;
    if report.behind {
        shared.effects.config_signal().report_ahead(push.sender);
    }
    if push.spread && !report.applied.is_empty() {
        push_changes(shared, &report.peers, report.applied, false);
    }
    Some(report.revision)
}

/// Answers a peer's request for changes. `None` if the core has stopped.
#[must_use]
pub fn answer_request(
    shared: &node_shared::NodeShared,
    request: &peer_message::ConfigRequest,
) -> Option<config_message::ConfigReply> {
    let feed = shared
        .core
        .ask(|reply| core_command::CoreCommand::Config(core_config::ConfigCommand::Feed(request.after, reply)))?;
    let view = view(shared)?;
    let (changes, snapshot) = match feed {
        config_log::ChangeFeed::UpToDate => (Vec::new(), None),
        config_log::ChangeFeed::Changes(changes) => (changes, None),
        config_log::ChangeFeed::Snapshot(snapshot) => (Vec::new(), Some(snapshot)),
    };
    Some(config_message::ConfigReply {
        revision: view.set.revision(),
        settled: view.settled || shared.store.is_none(),
        changes,
        snapshot,
    })
}

/// Pushes changes to [`config_rumour::PUSH_FANOUT`] random peers without waiting for their replies.
fn push_changes(
    shared: &node_shared::NodeShared,
    peers: &[net::SocketAddr],
    changes: Vec<sync::Arc<change_log::ConfigChange>>,
    relay: bool,
) {
    let request = config_message::PushRequest {
        sender: shared.peer_address,
        changes,
        spread: relay,
    };
    for peer in peers.sample(&mut rand::rng(), config_rumour::PUSH_FANOUT) {
        shared.effects.push_config(*peer, request.clone());
    }
}

/// Returns the configuration in force and the known daemons. `None` if the core has stopped.
#[must_use]
pub fn view(shared: &node_shared::NodeShared) -> Option<core_config::ConfigView> {
    shared
        .core
        .ask(|reply| core_command::CoreCommand::Config(core_config::ConfigCommand::View(reply)))
}

fn apply(
    shared: &node_shared::NodeShared,
    changes: Vec<sync::Arc<change_log::ConfigChange>>,
) -> Option<core_config::ApplyReport> {
    shared
        .core
        .ask(|reply| core_command::CoreCommand::Config(core_config::ConfigCommand::Apply(changes, reply)))
}

fn install(shared: &node_shared::NodeShared, snapshot: change_log::ConfigSnapshot) -> Option<core_config::ApplyReport> {
    shared
        .core
        .ask(|reply| core_command::CoreCommand::Config(core_config::ConfigCommand::Install(Box::new(snapshot), reply)))
}

fn send(shared: &node_shared::NodeShared, command: core_config::ConfigCommand) {
    shared.core.send(core_command::CoreCommand::Config(command));
}

fn snapshot_key(revision: ids::Revision) -> String {
    format!("config/{}", store_rows::change_key(revision))
}

/// Returns a random duration between 0.75 and 1.25 times the interval, so that daemons that start together don't send
/// their reads at the same time.
fn jittered(interval: time::Duration) -> time::Duration {
    interval.mul_f64(rand::rng().random_range(0.75..1.25))
}
