//! Threads that run the core's calls to the store; results return to the core as commands.

use std::io;
use std::sync;
use std::thread;
use std::time;

use damasktrack_ownership::claim_plan;
use damasktrack_resource::store_rows;
use serde_json::json;

use crate::core::core_command;
use crate::core::request_owner;
use crate::shared::node_shared;
use crate::store::store_client;

/// Number of threads: twice the maximum number of calls in flight, so that a freed permit is taken at once.
const WORKER_THREADS: usize = 8;
/// Delay after a stale read, which finds no row although an insert conflicted with one.
const STALE_READ_DELAY: time::Duration = time::Duration::from_millis(50);

/// Starts the threads; none if the daemon has no store.
///
/// # Errors
/// Returns an error if a thread can't be started.
pub fn start(shared: &sync::Arc<node_shared::NodeShared>, jobs: &request_owner::StoreJobs) -> io::Result<()> {
    let Some(store) = &shared.store else {
        return Ok(());
    };
    for _ in 0..WORKER_THREADS {
        let shared = sync::Arc::clone(shared);
        let store = sync::Arc::clone(store);
        let jobs = sync::Arc::clone(jobs);
        thread::Builder::new()
            .name("store".to_owned())
            .spawn(move || run(&shared, &store, &jobs))?;
    }
    Ok(())
}

fn run(shared: &node_shared::NodeShared, store: &store_client::StoreClient, jobs: &request_owner::StoreJobs) {
    loop {
        let job = {
            let jobs = jobs.lock().unwrap_or_else(sync::PoisonError::into_inner);
            jobs.recv()
        };
        let (plan, result) = match job {
            Ok(request_owner::StoreJob::Insert(plan)) => {
                let result = insert(store, &plan);
                (plan, result)
            }
            Ok(request_owner::StoreJob::Read(plan)) => {
                let result = read(store, &plan);
                (plan, result)
            }
            Ok(request_owner::StoreJob::Archive { key, content }) => {
                if store.put_object(&key, content) != store_client::StoreReply::Ok(()) {
                    log::info!(key = key.as_str(); "answer was not archived in the object store");
                }
                continue;
            }
            Err(_stopped) => return,
        };
        let command = request_owner::OwnerCommand::ClaimSettled {
            request_id: plan.request_id,
            token: plan.token,
            result,
        };
        shared.core.send(core_command::CoreCommand::Owner(command));
    }
}

fn insert(store: &store_client::StoreClient, plan: &claim_plan::ClaimPlan) -> claim_plan::ClaimResult {
    let commit = store_rows::TableCommit {
        conditions: vec![store_rows::RowCondition {
            table: claim_plan::CLAIM_TABLE.to_owned(),
            key: plan.key.clone(),
            version: 0,
        }],
        writes: vec![store_rows::RowWrite {
            table: claim_plan::CLAIM_TABLE.to_owned(),
            key: plan.key.clone(),
            value: json!(plan.row),
        }],
    };
    match store.commit(&commit) {
        store_client::StoreReply::Ok(_) => claim_plan::ClaimResult::Inserted,
        store_client::StoreReply::Conflict => claim_plan::ClaimResult::Conflict,
        store_client::StoreReply::Unavailable => claim_plan::ClaimResult::Unavailable,
        store_client::StoreReply::Unsettled => claim_plan::ClaimResult::Unsettled,
    }
}

fn read(store: &store_client::StoreClient, plan: &claim_plan::ClaimPlan) -> claim_plan::ClaimResult {
    match store.get::<serde_json::Value>(claim_plan::CLAIM_TABLE, &plan.key) {
        store_client::StoreReply::Ok(Some(row)) => match serde_json::from_value(row.value) {
            Ok(row) => claim_plan::ClaimResult::Found(row),
            Err(error) => {
                log::error!(key = plan.key.as_str(), error:% = error; "the row of a claim can't be read");
                claim_plan::ClaimResult::Unreadable
            }
        },
        store_client::StoreReply::Ok(None) => {
            thread::sleep(STALE_READ_DELAY);
            claim_plan::ClaimResult::Absent
        }
        store_client::StoreReply::Unavailable => claim_plan::ClaimResult::Unavailable,
        store_client::StoreReply::Conflict | store_client::StoreReply::Unsettled => claim_plan::ClaimResult::Unsettled,
    }
}
