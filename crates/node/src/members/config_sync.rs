//! Fetching and spreading of the configuration between the store, this daemon and its peers.

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

/// Interval of the reads of the head; 760 daemons make 25 reads/s of them.
const HEAD_INTERVAL: time::Duration = time::Duration::from_secs(30);
/// Interval of the questions to one random peer, for changes that neither a push nor the revision in a probe brought,
/// for example where UDP is blocked.
const PEER_INTERVAL: time::Duration = time::Duration::from_secs(30);
/// Pauses between two tries to find a configuration at the start.
const START_PAUSE_MIN: time::Duration = time::Duration::from_millis(100);
const START_PAUSE_MAX: time::Duration = time::Duration::from_millis(400);
/// Peers that must answer at the start when the store does not; fewer if fewer are known.
const START_PEERS: usize = 3;
/// Changes read from the store at once.
const CHANGE_PAGE: usize = 500;

/// Result of a look at a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncStep {
    /// This daemon has what the source has.
    Current,
    /// The source does not answer, or delivered less than it announced.
    Unavailable,
}

/// Starts the thread.
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
    while find_at_start(shared) == SyncStep::Unavailable {
        thread::sleep(rand::rng().random_range(START_PAUSE_MIN..START_PAUSE_MAX));
    }
    send(shared, core_config::ConfigCommand::Settled);
    let mut next_head = time::Instant::now() + jittered(HEAD_INTERVAL);
    let mut next_peer = time::Instant::now() + jittered(PEER_INTERVAL);
    loop {
        for peer in shared.effects.config_signal().wait_ahead(next_head.min(next_peer)) {
            fetch_from_peer(shared, peer);
        }
        let now = time::Instant::now();
        if now >= next_peer {
            if let Some(peer) = known_peers(shared).choose(&mut rand::rng()) {
                fetch_from_peer(shared, *peer);
            }
            next_peer = now + jittered(PEER_INTERVAL);
        }
        if now >= next_head {
            if let Some(store) = &shared.store {
                catch_up(shared, store);
            }
            next_head = now + jittered(HEAD_INTERVAL);
        }
    }
}

/// Takes the store's head, or the highest revision of [`START_PEERS`] peers if the store does not answer.
fn find_at_start(shared: &node_shared::NodeShared) -> SyncStep {
    if let Some(store) = &shared.store
        && catch_up(shared, store) == SyncStep::Current
    {
        return SyncStep::Current;
    }
    let mut peers = known_peers(shared);
    if peers.is_empty() {
        // A daemon alone without a store has nobody to ask.
        return match shared.store {
            Some(_) => SyncStep::Unavailable,
            None => SyncStep::Current,
        };
    }
    let mut needed = peers.len().min(START_PEERS);
    let mut answered = 0;
    while answered < needed && !peers.is_empty() {
        let peer = peers.swap_remove(rand::rng().random_range(0..peers.len()));
        match fetch_from_peer(shared, peer) {
            Some(reply) if reply.settled => answered += 1,
            // Daemons that start together would wait for each other.
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

/// Seeds and known daemons.
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

/// Fetches the changes that a peer has and this daemon lacks.
fn fetch_from_peer(shared: &node_shared::NodeShared, peer: net::SocketAddr) -> Option<config_message::ConfigReply> {
    let after = view(shared)?.set.revision();
    let request = peer_message::ConfigRequest { after };
    let reply = shared
        .peers
        .message::<_, config_message::ConfigReply>(peer, "/peer/config", &request)
        .inspect_err(|error| log::debug!(peer:% = peer, error:% = error; "peer gave no configuration"))
        .ok()?;
    if let Some(snapshot) = &reply.snapshot {
        install(shared, snapshot.clone());
    }
    if !reply.changes.is_empty() {
        apply(shared, reply.changes.clone());
    }
    Some(reply)
}

/// Reads the head and the changes that this daemon lacks.
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
            limit: CHANGE_PAGE,
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
            // The listing was older than the head.
            return SyncStep::Unavailable;
        }
    }
    SyncStep::Current
}

/// Installs the latest snapshot at or below the head, if it can be read; returns its revision, or 0.
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

/// Puts a change in force that this daemon accepted, and spreads it.
pub fn accept(shared: &node_shared::NodeShared, change: change_log::ConfigChange) {
    let change = sync::Arc::new(change);
    let Some(report) = apply(shared, vec![sync::Arc::clone(&change)]) else {
        return;
    };
    // A change that another daemon pushed back before this point is in force already and still spreads from here.
    spread(shared, &report.peers, vec![change], true);
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

/// Takes changes that a peer pushed; returns the revision in force.
pub fn take_push(shared: &node_shared::NodeShared, push: config_message::PushRequest) -> Option<ids::Revision> {
    let report = apply(shared, push.changes)?;
    if report.behind {
        shared.effects.config_signal().report_ahead(push.sender);
    }
    if push.spread && !report.applied.is_empty() {
        spread(shared, &report.peers, report.applied, false);
    }
    Some(report.revision)
}

/// Answers a peer that asks for changes.
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

/// Pushes changes to a few random peers without waiting.
fn spread(
    shared: &node_shared::NodeShared,
    peers: &[net::SocketAddr],
    changes: Vec<sync::Arc<change_log::ConfigChange>>,
    onwards: bool,
) {
    let request = config_message::PushRequest {
        sender: shared.peer_address,
        changes,
        spread: onwards,
    };
    for peer in peers.sample(&mut rand::rng(), config_rumour::PUSH_FANOUT) {
        shared.effects.push_config(*peer, request.clone());
    }
}

/// Returns the configuration in force.
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

/// Returns a time between three and five quarters of an interval, so that daemons that start together don't read
/// together.
fn jittered(interval: time::Duration) -> time::Duration {
    interval.mul_f64(rand::rng().random_range(0.75..1.25))
}
