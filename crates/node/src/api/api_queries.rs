//! Queries of the API for resources, changes and daemons.

use std::sync;
use std::thread;
use std::time;

use bytes::Bytes;
use damasktrack_entity::ids;
use damasktrack_membership::member_record;
use damasktrack_resource::change_status;
use damasktrack_resource::config_log;
use damasktrack_resource::resource_document;
use damasktrack_wire::peer_message;
use serde_json::json;

use crate::api::api_documents;
use crate::api::api_response;
use crate::core::core_command;
use crate::core::core_config;
use crate::core::peer_directory;
use crate::members::config_sync;
use crate::members::member_jobs;
use crate::peer::config_message;
use crate::shared::node_shared;

/// Maximum duration of a long poll.
pub const MAX_WATCH_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Maximum number of threads that fetch revisions from daemons for one request.
const MAX_FETCH_THREADS: usize = 16;

/// Lists the resources of a kind.
pub fn list(shared: &node_shared::NodeShared, kind: resource_document::ResourceKind) -> api_response::ApiResponse {
    let Some(view) = config_sync::view(shared) else {
        return stopping();
    };
    let items: Vec<_> = view
        .set
        .resources()
        .filter(|versioned| versioned.resource.key().kind == kind)
        .map(|versioned| api_documents::document(versioned, &status(&view, &versioned.resource.key())))
        .collect();
    api_response::ApiResponse::ok(json!({"revision": view.set.revision(), "items": items}))
}

/// Returns one resource.
pub fn get(shared: &node_shared::NodeShared, key: &resource_document::ResourceKey) -> api_response::ApiResponse {
    let Some(view) = config_sync::view(shared) else {
        return stopping();
    };
    match view.set.get(key) {
        Some(versioned) => api_response::ApiResponse::ok(api_documents::document(versioned, &status(&view, key))),
        None => api_response::ApiResponse::error(404, "no such resource"),
    }
}

fn status(view: &core_config::ConfigView, key: &resource_document::ResourceKey) -> serde_json::Value {
    let mut status = json!({ "revision": view.set.revision() });
    if key.kind == resource_document::ResourceKind::Class {
        let counts = view.class_counts.get(&key.name).copied().unwrap_or_default();
        status["admitted"] = json!(counts.admitted);
        status["refused"] = json!(counts.refused);
        status["retried"] = json!(counts.retried);
    }
    status
}

/// Returns at most `limit` changes after a revision; status 410 if this daemon no longer holds all of them.
pub fn changes(shared: &node_shared::NodeShared, after: ids::Revision, limit: usize) -> api_response::ApiResponse {
    match changes_after(shared, after) {
        Ok((revision, mut items)) => {
            items.truncate(limit);
            api_response::ApiResponse::ok(json!({"revision": revision, "items": items}))
        }
        Err(response) => response,
    }
}

/// Waits until the revision in force exceeds `after`, or until the timeout, and returns the changes after it. Without
/// `after`, the wait starts at the revision in force.
pub fn watch(
    shared: &node_shared::NodeShared,
    after: Option<ids::Revision>,
    timeout: time::Duration,
) -> api_response::ApiResponse {
    let Some(view) = config_sync::view(shared) else {
        return stopping();
    };
    let after = after.unwrap_or_else(|| view.set.revision());
    let deadline = time::Instant::now() + timeout;
    let _revision = shared.effects.config_signal().wait_revision(after, deadline);
    match changes_after(shared, after) {
        // A client that is ahead of this daemon continues at its own revision.
        Ok((revision, events)) => {
            api_response::ApiResponse::ok(json!({"revision": revision.max(after), "events": events}))
        }
        Err(response) => response,
    }
}

type ChangeDocuments = (ids::Revision, Vec<serde_json::Value>);

fn changes_after(
    shared: &node_shared::NodeShared,
    after: ids::Revision,
) -> Result<ChangeDocuments, api_response::ApiResponse> {
    let feed = shared
        .core
        .ask(|reply| core_command::CoreCommand::Config(core_config::ConfigCommand::Feed(after, reply)));
    match feed {
        Some(config_log::ChangeFeed::Changes(changes)) => {
            let revision = changes.last().map_or(after, |change| change.revision);
            let changes = changes.iter().map(|change| api_documents::change(change)).collect();
            Ok((revision, changes))
        }
        Some(config_log::ChangeFeed::UpToDate) => {
            let revision = config_sync::view(shared).map_or(after, |view| view.set.revision());
            Ok((revision, Vec::new()))
        }
        Some(config_log::ChangeFeed::Snapshot(_)) => {
            let text = "the change log no longer reaches back to this revision";
            Err(api_response::ApiResponse::error(410, text))
        }
        None => Err(stopping()),
    }
}

/// Lists all known daemons, or returns the one with `name`, with the state of each and the revision that each live one
/// has in force.
pub fn daemons(shared: &node_shared::NodeShared, name: Option<&str>) -> api_response::ApiResponse {
    let (Some(view), Some(mut members)) = (config_sync::view(shared), member_jobs::view(shared)) else {
        return stopping();
    };
    members.retain(|member| name.is_none_or(|name| name.as_bytes() == member.owner.daemon_id));
    members.sort_by(|left, right| left.owner.daemon_id.cmp(&right.owner.daemon_id));
    let revisions = fetch_revisions(shared, &members, view.set.revision());
    let mut items: Vec<_> = members
        .iter()
        .zip(revisions)
        .map(|(member, revision)| daemon_document(member, revision))
        .collect();
    match (name, items.pop()) {
        (None, last) => {
            items.extend(last);
            api_response::ApiResponse::ok(json!({"revision": view.set.revision(), "items": items}))
        }
        (Some(_), Some(item)) => api_response::ApiResponse::ok(item),
        (Some(_), None) => api_response::ApiResponse::error(404, "no such daemon"),
    }
}

fn daemon_document(member: &peer_directory::PeerIdentity, revision: Option<ids::Revision>) -> serde_json::Value {
    let text = |name: &Bytes| ids::text(name).into_owned();
    json!({
        "kind": "Daemon",
        "name": text(&member.owner.daemon_id),
        "spec": {
            "service": member.service.as_ref().map(text),
            "slots": member.slots,
            "region": text(&member.location.region),
            "data_centre": text(&member.location.data_centre),
            "peer_address": member.address.to_string(),
        },
        "status": {
            "state": state_name(member.state),
            "incarnation": format!("{:016x}", member.owner.incarnation),
            "revision": revision,
            "reachable": revision.is_some(),
        },
    })
}

fn state_name(state: member_record::MemberState) -> &'static str {
    match state {
        member_record::MemberState::Joining => "joining",
        member_record::MemberState::Up => "up",
        member_record::MemberState::Draining => "draining",
        member_record::MemberState::Suspect => "suspect",
        member_record::MemberState::Dead => "dead",
        member_record::MemberState::Left => "left",
    }
}

/// Returns where a revision is in force; by default, the one in force at this daemon.
pub fn revision_status(shared: &node_shared::NodeShared, revision: Option<ids::Revision>) -> api_response::ApiResponse {
    let (Some(view), Some(mut live)) = (config_sync::view(shared), member_jobs::view(shared)) else {
        return stopping();
    };
    live.retain(|member| member.state.is_live());
    let current = view.set.revision();
    let members: Vec<_> = live
        .iter()
        .zip(fetch_revisions(shared, &live, current))
        .map(|(peer, revision)| change_status::MemberRevision {
            daemon_id: peer.owner.daemon_id.clone(),
            location: peer.location.clone(),
            revision: revision.unwrap_or(0),
            reachable: revision.is_some(),
        })
        .collect();
    let status = change_status::status(revision.unwrap_or(current), &members);
    api_response::ApiResponse::ok(json!(status))
}

/// Fetches the revisions that daemons have in force, in the order of `peers`; `None` for a daemon that is not live or
/// does not answer.
fn fetch_revisions(
    shared: &node_shared::NodeShared,
    peers: &[peer_directory::PeerIdentity],
    own: ids::Revision,
) -> Vec<Option<ids::Revision>> {
    let next = sync::atomic::AtomicUsize::new(0);
    let fetched = sync::Mutex::new(vec![None; peers.len()]);
    let worker = || {
        while let Some((index, peer)) = {
            let index = next.fetch_add(1, sync::atomic::Ordering::Relaxed);
            peers.get(index).map(|peer| (index, peer))
        } {
            let revision = if peer.owner == shared.identity {
                Some(own)
            } else if peer.state.is_live() {
                fetch_revision(shared, peer)
            } else {
                None
            };
            fetched.lock().unwrap_or_else(sync::PoisonError::into_inner)[index] = revision;
        }
    };
    thread::scope(|scope| {
        for _ in 0..peers.len().min(MAX_FETCH_THREADS) {
            scope.spawn(worker);
        }
    });
    fetched.into_inner().unwrap_or_else(sync::PoisonError::into_inner)
}

fn fetch_revision(shared: &node_shared::NodeShared, peer: &peer_directory::PeerIdentity) -> Option<ids::Revision> {
    // No revision is greater than the maximum, so the reply holds no changes.
    let request = peer_message::ConfigRequest {
        after: ids::Revision::MAX,
    };
    let reply = shared
        .peers
        .message::<_, config_message::ConfigReply>(peer.address, "/peer/config", &request);
    reply.ok().map(|reply| reply.revision)
}

fn stopping() -> api_response::ApiResponse {
    api_response::ApiResponse::error(503, "the daemon is stopping")
}
