//! Execution of an operator's change: reads, plan, commit and response.

use std::thread;
use std::time;

use damasktrack_entity::ids;
use damasktrack_resource::change_log;
use damasktrack_resource::change_plan;
use damasktrack_resource::resource_set;
use damasktrack_resource::store_rows;
use rand::RngExt;
use serde_json::json;

use crate::api::api_documents;
use crate::api::api_response;
use crate::members::config_sync;
use crate::shared::node_shared;
use crate::store::store_client;

/// Maximum time for a change with all its reads and commits. The client of an operator waits longer.
const CHANGE_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Bounds of the random delay before the rows are read again.
const MIN_REREAD_DELAY: time::Duration = time::Duration::from_millis(5);
const MAX_REREAD_DELAY: time::Duration = time::Duration::from_millis(50);
/// Maximum number of edits whose rows are read one by one. For more edits, one listing costs the store less.
const MAX_SINGLE_READS: usize = 4;

/// The store did not return the rows of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StoreUnreadable;

/// Plans and commits a change. Except for a dry run, the response holds the change id as `id`.
pub fn run(shared: &node_shared::NodeShared, request: change_plan::ChangeRequest) -> api_response::ApiResponse {
    let id = request.change_id.clone();
    let dry_run = request.dry_run;
    let response = match &shared.store {
        Some(store) => attempt(shared, store, change_plan::ChangeAttempt::new(request)),
        None => api_response::ApiResponse::error(503, "this daemon has no store; send the change to another one"),
    };
    if dry_run {
        response
    } else {
        response.with("id", json!(id))
    }
}

fn attempt(
    shared: &node_shared::NodeShared,
    store: &store_client::StoreClient,
    mut attempt: change_plan::ChangeAttempt,
) -> api_response::ApiResponse {
    let deadline = time::Instant::now() + CHANGE_TIMEOUT;
    while time::Instant::now() < deadline {
        let Ok(reads) = read_rows(store, attempt.request()) else {
            return unfinished(&attempt.give_up());
        };
        let Some(view) = config_sync::view(shared) else {
            return unfinished(&attempt.give_up());
        };
        match attempt.plan(&view.set, &reads) {
            change_plan::PlanStep::Commit(planned) if is_in_force(&view.set, attempt.request()) => {
                return accepted(&view.set, attempt.request(), planned.change.revision - 1, false);
            }
            change_plan::PlanStep::Commit(planned) => {
                let reply = match store.commit(&planned.commit) {
                    store_client::StoreReply::Ok(_) => change_plan::CommitReply::Committed,
                    store_client::StoreReply::Conflict => change_plan::CommitReply::Conflict,
                    store_client::StoreReply::Unavailable => change_plan::CommitReply::Unavailable,
                    store_client::StoreReply::Unsettled => change_plan::CommitReply::Unsettled,
                };
                match attempt.settle(*planned, reply) {
                    change_plan::SettleStep::Accepted(change) => {
                        let revision = change.revision;
                        log::info!(revision = revision, operator = change.operator.as_str(); "change accepted");
                        config_sync::accept(shared, change);
                        return accepted(&view.set, attempt.request(), revision, true);
                    }
                    change_plan::SettleStep::Reread => {}
                    step => return unfinished(&step),
                }
            }
            change_plan::PlanStep::Accepted(revision) => return repeated(shared, store, attempt.request(), revision),
            change_plan::PlanStep::CatchUp(_) => {
                config_sync::catch_up(shared, store);
            }
            change_plan::PlanStep::Reread => {}
            change_plan::PlanStep::Conflict(conflicts) => return conflict(&conflicts),
            change_plan::PlanStep::Invalid(findings) => {
                let findings: Vec<_> = findings.iter().map(|finding| json!(finding)).collect();
                return invalid(findings);
            }
            change_plan::PlanStep::IdReused => {
                return api_response::ApiResponse::error(422, "the change id was used for another change");
            }
            change_plan::PlanStep::DryRun { .. } => {
                return accepted(&view.set, attempt.request(), view.set.revision(), false);
            }
        }
        thread::sleep(rand::rng().random_range(MIN_REREAD_DELAY..MAX_REREAD_DELAY));
    }
    unfinished(&attempt.give_up())
}

/// Reads the row of the head, then those of the resources, then that of the change id. [`change_plan::PlanReads`]
/// states the reason for this order.
fn read_rows(
    store: &store_client::StoreClient,
    request: &change_plan::ChangeRequest,
) -> Result<change_plan::PlanReads, StoreUnreadable> {
    let head = read(store, store_rows::HEAD_TABLE, store_rows::HEAD_KEY)?;
    let keys = request
        .edits
        .iter()
        .map(|edit| store_rows::resource_key(&edit.edit.key));
    let row_versions = if request.edits.len() > MAX_SINGLE_READS {
        let store_client::StoreReply::Ok(versions) = store.list_versions(store_rows::RESOURCE_TABLE) else {
            return Err(StoreUnreadable);
        };
        keys.map(|key| versions.get(&key).copied().unwrap_or(0)).collect()
    } else {
        let versions: Result<_, _> = keys
            .map(|key| {
                let row = read::<serde_json::Value>(store, store_rows::RESOURCE_TABLE, &key)?;
                Ok(row.map_or(0, |row| row.version))
            })
            .collect();
        versions?
    };
    Ok(change_plan::PlanReads {
        head,
        row_versions,
        change_id: read(store, store_rows::CHANGE_ID_TABLE, &request.change_id)?,
    })
}

fn read<T: serde::de::DeserializeOwned>(
    store: &store_client::StoreClient,
    table: &str,
    key: &str,
) -> Result<Option<store_rows::StoredRow<T>>, StoreUnreadable> {
    match store.get(table, key) {
        store_client::StoreReply::Ok(row) => Ok(row),
        _ => Err(StoreUnreadable),
    }
}

/// Returns whether all edits of a request are in force already, so that the change would have no effect.
fn is_in_force(set: &resource_set::ResourceSet, request: &change_plan::ChangeRequest) -> bool {
    request.edits.iter().all(|requested| {
        let current = set.get(&requested.edit.key).map(|versioned| &versioned.resource);
        current == requested.edit.resource.as_ref()
    })
}

/// Returns the response to a change that is committed, or that changes nothing, or to a dry run. `set` holds the
/// resources before the change.
fn accepted(
    set: &resource_set::ResourceSet,
    request: &change_plan::ChangeRequest,
    revision: ids::Revision,
    committed: bool,
) -> api_response::ApiResponse {
    let results: Vec<_> = request
        .edits
        .iter()
        .map(|requested| {
            let key = &requested.edit.key;
            let current = set.get(key);
            let result = match (&requested.edit.resource, current) {
                (None, _) => "deleted",
                (Some(_), None) => "created",
                (Some(new), Some(old)) if *new == old.resource && !committed => "unchanged",
                (Some(_), Some(_)) => "updated",
            };
            let version = if committed { revision } else { set.version(key) };
            json!({"kind": key.kind.to_string(), "name": ids::text(&key.name), "result": result, "version": version})
        })
        .collect();
    api_response::ApiResponse::ok(json!({
        "revision": revision,
        "dry_run": request.dry_run,
        "results": results,
    }))
}

/// Returns the response to a repeated request whose change id is committed already.
fn repeated(
    shared: &node_shared::NodeShared,
    store: &store_client::StoreClient,
    request: &change_plan::ChangeRequest,
    revision: ids::Revision,
) -> api_response::ApiResponse {
    // This daemon may have committed the change without receiving the response of the store. In that case no other
    // daemon has the change yet.
    let row = read::<change_log::ConfigChange>(store, store_rows::CHANGE_TABLE, &store_rows::change_key(revision));
    if let Ok(Some(row)) = row {
        config_sync::catch_up(shared, store);
        config_sync::accept(shared, row.value);
    }
    let results: Vec<_> = request
        .edits
        .iter()
        .map(|requested| {
            let key = &requested.edit.key;
            let result = match (&requested.edit.resource, requested.expected) {
                (None, _) => "deleted",
                (Some(_), change_plan::ExpectedVersion::Absent) => "created",
                (Some(_), _) => "updated",
            };
            json!({"kind": key.kind.to_string(), "name": ids::text(&key.name), "result": result, "version": revision})
        })
        .collect();
    api_response::ApiResponse::ok(json!({"revision": revision, "dry_run": request.dry_run, "results": results}))
}

fn conflict(conflicts: &[change_plan::VersionConflict]) -> api_response::ApiResponse {
    let descriptions: Vec<_> = conflicts
        .iter()
        .map(|conflict| format!("{} has version {}", conflict.key, conflict.current))
        .collect();
    let current = conflicts.first().map_or(0, |conflict| conflict.current);
    api_response::ApiResponse::error(409, descriptions.join(", ")).with("current_version", json!(current))
}

/// Returns the response to an invalid change: status 422 with the findings.
#[must_use]
pub fn invalid(findings: Vec<serde_json::Value>) -> api_response::ApiResponse {
    let count = findings.len();
    let text = if count == 1 {
        "1 finding".to_owned()
    } else {
        format!("{count} findings")
    };
    api_response::ApiResponse::error(422, text).with("findings", serde_json::Value::Array(findings))
}

fn unfinished(step: &change_plan::SettleStep) -> api_response::ApiResponse {
    if *step == change_plan::SettleStep::Unsettled {
        return api_response::ApiResponse::error(504, "the store may have committed the change; query it by its id");
    }
    api_response::ApiResponse::error(503, "the store can't be reached")
}

/// Returns the response to a query for the committed change with an id.
pub fn find(shared: &node_shared::NodeShared, id: &str) -> api_response::ApiResponse {
    let unavailable = || api_response::ApiResponse::error(503, "the store can't be read");
    let Some(store) = &shared.store else {
        return unavailable();
    };
    let revision = match read::<store_rows::ChangeIdRow>(store, store_rows::CHANGE_ID_TABLE, id) {
        Ok(Some(row)) => row.value.revision,
        Ok(None) => return api_response::ApiResponse::error(404, "no change with this id has been accepted so far"),
        Err(StoreUnreadable) => return unavailable(),
    };
    let key = store_rows::change_key(revision);
    match read::<change_log::ConfigChange>(store, store_rows::CHANGE_TABLE, &key) {
        Ok(Some(row)) => api_response::ApiResponse::ok(api_documents::change(&row.value)),
        _ => unavailable(),
    }
}
