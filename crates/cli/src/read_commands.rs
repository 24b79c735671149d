//! Commands that query resources, changes and the status of daemons.

use std::collections;
use std::thread;
use std::time;

use serde_json::json;

use crate::api_client;
use crate::cli_error;
use crate::command_output;
use crate::kind_names;

/// Duration of a long poll of `watch` without a change. The API limits it to 30 s.
const POLL_TIMEOUT: time::Duration = time::Duration::from_secs(25);
/// Number of consecutive failed polls after which `watch` fails.
const MAX_FAILED_POLLS: u32 = 5;
/// Delay between a failed poll and the next one.
const POLL_RETRY_DELAY: time::Duration = time::Duration::from_secs(1);

/// `get KIND [NAME]`: prints all resources of a kind, or one resource.
pub fn get(matches: &clap::ArgMatches) -> Result<(), cli_error::CliError> {
    let client = api_client::ApiClient::from_options(matches)?;
    let Some(kind) = matches.get_one::<kind_names::KindName>("kind") else {
        return Ok(());
    };
    let name = matches.get_one::<String>("name");
    let path = match name {
        Some(name) => format!("/v1/{}/{name}", kind.path),
        None => format!("/v1/{}", kind.path),
    };
    let response = query(&client, &path)?;
    match (response.status, name) {
        (200, _) => command_output::print_line(format!("{:#}", response.body))?,
        (404, Some(name)) => return Err(cli_error::CliError::Failed(format!("{} '{name}' not found", kind.kind))),
        _ => return Err(response.failure()),
    }
    Ok(())
}

/// `changes ID`: prints an accepted change.
pub fn change(matches: &clap::ArgMatches) -> Result<(), cli_error::CliError> {
    let client = api_client::ApiClient::from_options(matches)?;
    let id = matches.get_one::<String>("id").map_or("", String::as_str);
    let response = query(&client, &format!("/v1/changes/{id}"))?;
    match response.status {
        200 => command_output::print_line(format!("{:#}", response.body))?,
        404 => {
            let message = format!("no change with the id '{id}' has been accepted so far");
            return Err(cli_error::CliError::Failed(message));
        }
        _ => return Err(response.failure()),
    }
    Ok(())
}

/// `status`: prints the readiness of the daemon and its list of daemons. Fails if the daemon is not ready, for use in
/// scripts.
pub fn status(matches: &clap::ArgMatches) -> Result<(), cli_error::CliError> {
    let client = api_client::ApiClient::from_options(matches)?;
    let ready = query(&client, "/ready")?;
    let is_ready = ready.status == 200;
    command_output::print_line(format!("ready: {}", if is_ready { "yes" } else { "no" }))?;
    command_output::print_line(format!("revision in force: {}", ready.body["revision"]))?;
    let reasons: Vec<&str> = ready.body["reasons"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(serde_json::Value::as_str)
        .collect();
    for reason in &reasons {
        command_output::print_line(format!("not ready: {reason}"))?;
    }
    let daemons = query(&client, "/v1/daemons")?;
    if daemons.status != 200 {
        return Err(daemons.failure());
    }
    print_daemons(&daemons.body)?;
    if is_ready {
        return Ok(());
    }
    Err(cli_error::CliError::Failed("the daemon is not ready".to_owned()))
}

fn print_daemons(body: &serde_json::Value) -> Result<(), cli_error::CliError> {
    let items: Vec<&serde_json::Value> = body["items"].as_array().into_iter().flatten().collect();
    let mut states = collections::BTreeMap::new();
    for item in &items {
        *states.entry(cell(&item["status"]["state"])).or_insert(0) += 1;
    }
    let states: Vec<String> = states.iter().map(|(state, count)| format!("{count} {state}")).collect();
    command_output::print_line(format!("daemons: {} ({})", items.len(), states.join(", ")))?;
    for item in items {
        let spec = &item["spec"];
        command_output::print_line(format!(
            "  {:<24} {:<10} {:<20} {:<14} {}",
            cell(&item["name"]),
            cell(&item["status"]["state"]),
            cell(&spec["service"]),
            cell(&spec["region"]),
            cell(&spec["data_centre"]),
        ))?;
    }
    Ok(())
}

fn cell(value: &serde_json::Value) -> String {
    value.as_str().unwrap_or("-").to_owned()
}

/// `watch [KIND]`: prints changes as they take effect at the daemon, until `--count` lines are printed.
pub fn watch(matches: &clap::ArgMatches) -> Result<(), cli_error::CliError> {
    let client = api_client::ApiClient::from_options(matches)?;
    let kind = matches.get_one::<kind_names::KindName>("kind");
    let mut remaining = matches.get_one::<u64>("count").copied().unwrap_or(u64::MAX);
    let mut after = matches.get_one::<u64>("after").copied();
    let mut failed_polls = 0;
    while remaining > 0 {
        let start = after.map_or_else(String::new, |after| format!("after={after}&"));
        let path = format!("/v1/watch?{start}timeout_ms={}", POLL_TIMEOUT.as_millis());
        let response = match client.poll(&path, POLL_TIMEOUT) {
            Ok(response) if response.status == 200 => response,
            Ok(response) if response.status == 410 => {
                eprintln!("damasktrack: some changes are no longer available; continuing from the revision in force");
                after = None;
                continue;
            }
            Ok(response) if (400..500).contains(&response.status) && response.status != 429 => {
                return Err(response.failure());
            }
            result => {
                failed_polls += 1;
                let error = result.map_or_else(api_client::ApiFailure::into_query_error, |response| response.failure());
                if failed_polls == MAX_FAILED_POLLS {
                    return Err(error);
                }
                eprintln!("{error}");
                thread::sleep(POLL_RETRY_DELAY);
                continue;
            }
        };
        failed_polls = 0;
        after = response.body["revision"].as_u64().or(after);
        for line in change_lines(&response.body, kind) {
            if remaining == 0 {
                break;
            }
            command_output::print_line(line)?;
            remaining -= 1;
        }
    }
    Ok(())
}

/// Returns a JSON object for each changed resource, or for each one of the given kind.
fn change_lines(body: &serde_json::Value, kind: Option<&kind_names::KindName>) -> Vec<serde_json::Value> {
    let mut lines = Vec::new();
    for event in body["events"].as_array().into_iter().flatten() {
        for change in event["changes"].as_array().into_iter().flatten() {
            if kind.is_some_and(|kind| change["kind"] != kind.kind) {
                continue;
            }
            let mut line = json!({
                "revision": event["revision"],
                "id": event["id"],
                "operator": event["operator"],
                "action": change["action"],
                "kind": change["kind"],
                "name": change["name"],
            });
            for field in ["version", "spec"] {
                if !change[field].is_null() {
                    line[field] = change[field].clone();
                }
            }
            lines.push(line);
        }
    }
    lines
}

/// Sends a `GET` request.
fn query(client: &api_client::ApiClient, path: &str) -> Result<api_client::ApiResponse, cli_error::CliError> {
    client
        .send("GET", path, None, "")
        .map_err(api_client::ApiFailure::into_query_error)
}
