//! Checks of the demonstration: compares the callers' responses with the executions that the backend servers report.

use std::collections;

use crate::demo_plan;
use crate::http_query;
use crate::load_mix;
use crate::load_summary;

/// Number of executions at all backend servers, by request id and path.
pub type ExecutionTable = collections::HashMap<(String, String), u64>;

/// Adds the executions that one backend server reports, as request id, path and count.
pub fn add_executions(table: &mut ExecutionTable, executions: Vec<(String, String, u64)>) {
    for (id, path, count) in executions {
        *table.entry((id, path)).or_default() += count;
    }
}

/// Returns a finding for each violation: an action that ran twice, a refused request that ran, a completed one that
/// did not run, and a response that was truncated, wrong or missing. The findings are sorted.
#[must_use]
pub fn check(
    plan: &demo_plan::DemoPlan,
    records: &[load_summary::RequestRecord],
    executions: &ExecutionTable,
) -> Vec<String> {
    let mut findings = Vec::new();
    for ((id, path), count) in executions {
        if *count > 1 && plan.actions.iter().any(|action| action == path) {
            findings.push(format!("request {id} ran {count} times at {path}"));
        }
    }
    for record in records {
        let Some(entry) = plan.mix.entries.iter().find(|entry| entry.name == record.entry) else {
            continue;
        };
        let ran = executions
            .get(&(record.request_id.clone(), backend_path(entry)))
            .copied()
            .unwrap_or(0);
        let violation = match record.end {
            load_summary::RequestEnd::Whole if ran == 0 => "was completed but did not run",
            // With several attempts, an earlier one may have run; without a key, each attempt is a separate request.
            load_summary::RequestEnd::Refused if ran > 0 && record.attempts == 1 => "was refused but ran",
            load_summary::RequestEnd::Cut => "got a truncated response",
            load_summary::RequestEnd::Wrong => "got a wrong response",
            load_summary::RequestEnd::NoAnswer => "got no response",
            _ => continue,
        };
        findings.push(format!(
            "{} {}: {violation} {}",
            record.entry, record.request_id, record.error
        ));
    }
    findings.sort();
    findings
}

/// Returns the path that the backend server receives: without the first segment, which names the service.
fn backend_path(entry: &load_mix::MixEntry) -> String {
    let path = http_query::split(&entry.path).0.trim_start_matches('/');
    path.find('/').map_or("/", |at| &path[at..]).to_owned()
}
