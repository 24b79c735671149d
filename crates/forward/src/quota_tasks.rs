//! Reports of a daemon to the coordinators of its tenants' quotas, and the coordinator's side of them.

use std::rc;
use std::time;

use bytes::Bytes;
use damasktrack_quota::coordinator_choice;
use damasktrack_quota::credit_holder;
use damasktrack_quota::credit_message;
use tokio::task;

use crate::http_server;
use crate::message_body;
use crate::node_context;
use crate::peer_client;
use crate::quota_state;
use crate::stall_watch;

/// Path of a report to a coordinator.
pub const REPORT_PATH: &str = "/quota/report";
/// Time limit of a report. The round trip between regions is 60 ms, and the leases end after 1.2 s.
const REPORT_TIMEOUT: time::Duration = time::Duration::from_millis(800);
/// Longest sleep between two looks at the members.
const MAX_SLEEP: time::Duration = time::Duration::from_secs(1);
/// Shortest sleep between two looks at the reports that are due.
const MIN_SLEEP: time::Duration = time::Duration::from_millis(20);

/// Starts the task that sends reports, if the configuration in force has tenants with a limit and the settings have
/// bounds for quotas. Due after each change of the configuration.
pub fn sync_tenants(node: &rc::Rc<node_context::NodeContext>) {
    let Some(quota) = &node.quota else {
        return;
    };
    if sync_groups(node, quota) && !quota.is_running.replace(true) {
        task::spawn_local(send_reports(rc::Rc::clone(node)));
    }
    quota.wake.notify_one();
}

fn sync_groups(node: &node_context::NodeContext, quota: &quota_state::QuotaState) -> bool {
    let (limited, identity) = node.core.ask(|core, _now| {
        let tenants = core.config().and_then(|config| config.tenants());
        let limited = tenants.map_or(0, |tenants| {
            tenants.iter().filter(|rule| quota.limit(rule).is_some()).count()
        });
        let record = core.gossip().own_record();
        let identity = credit_holder::HolderIdentity {
            daemon_id: record.daemon_id.clone(),
            incarnation: record.incarnation,
            started_ms: record.started_ms,
        };
        (limited, identity)
    });
    quota.set_tenants(limited, &identity, stall_watch::boot_time())
}

/// Sends reports until no tenant has a limit.
async fn send_reports(node: rc::Rc<node_context::NodeContext>) {
    let Some(quota) = &node.quota else {
        return;
    };
    while quota.has_limits() {
        let now = stall_watch::boot_time();
        for due in quota.due_reports(&node.core, now) {
            node.metrics.count_quota_report();
            if due.coordinator == node.settings.daemon_id {
                let reply = serve(&node, quota, due.group, &due.report);
                quota.finish_report(due.group, due.report.sequence, reply.as_ref(), stall_watch::boot_time());
            } else {
                task::spawn_local(send_report(rc::Rc::clone(&node), due));
            }
        }
        let next = quota.next_report().unwrap_or(now + MAX_SLEEP);
        let sleep = next
            .saturating_sub(stall_watch::boot_time())
            .clamp(MIN_SLEEP, MAX_SLEEP);
        // A request that waits for a credit ends the sleep.
        let _woken = tokio::time::timeout(sleep, quota.wake.notified()).await;
    }
    quota.is_running.set(false);
}

async fn send_report(node: rc::Rc<node_context::NodeContext>, due: quota_state::DueReport) {
    let Some(quota) = &node.quota else {
        return;
    };
    let sequence = due.report.sequence;
    let reply = match credit_message::encode_report(due.group, &due.report) {
        Ok(body) => peer_client::post(&node.peer(due.address), REPORT_PATH, body, REPORT_TIMEOUT).await,
        Err(error) => {
            log::warn!(error:% = error; "quota report can't be encoded");
            None
        }
    };
    let reply = reply.and_then(|body| credit_message::decode::<credit_message::CreditReply>(&body));
    quota.finish_report(due.group, sequence, reply.as_ref(), stall_watch::boot_time());
    // Requests may wait for a report that could not be sent while this one was open.
    quota.wake.notify_one();
}

/// Serves the report of another daemon.
#[must_use]
pub fn serve_report(node: &node_context::NodeContext, body: &[u8]) -> http_server::ServerResponse {
    let message = credit_message::decode_report(body);
    let (Some(quota), Some((group, report))) = (&node.quota, message) else {
        return http_server::empty_response(hyper::StatusCode::BAD_REQUEST);
    };
    let Some(reply) = serve(node, quota, group, &report) else {
        return http_server::empty_response(hyper::StatusCode::CONFLICT);
    };
    match credit_message::encode(&reply) {
        Ok(bytes) => hyper::Response::new(message_body::ReplyBody::whole(Bytes::from(bytes))),
        Err(error) => {
            log::warn!(error:% = error; "quota reply can't be encoded");
            http_server::empty_response(hyper::StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn serve(
    node: &node_context::NodeContext,
    quota: &quota_state::QuotaState,
    group: coordinator_choice::GroupKey,
    report: &credit_message::CreditReport,
) -> Option<credit_message::CreditReply> {
    let config = node.core.ask(|core, _now| core.config().cloned());
    let tenants = config.as_ref().and_then(|config| config.tenants());
    quota.serve_report(group, report, tenants, stall_watch::boot_time())
}
