//! Commands that change resources.

use std::fs;
use std::hash;
use std::hash::{BuildHasher, Hasher};
use std::io;
use std::io::Read;

use serde_json::json;

use crate::api_client;
use crate::cli_error;
use crate::command_output;
use crate::kind_names;

/// Resources read from all files of a command, with the place of each.
#[derive(Debug, Default)]
struct ResourceFiles {
    resources: Vec<serde_json::Value>,
    /// Place of each resource, as `FILE: resources[INDEX]`; parallel to `resources`.
    places: Vec<String>,
}

/// `apply FILE...`: sends the resources of all files as one change.
pub fn apply(matches: &clap::ArgMatches) -> Result<(), cli_error::CliError> {
    let client = api_client::ApiClient::from_options(matches)?;
    let mut files = ResourceFiles::default();
    let mut findings = Vec::new();
    for path in matches.get_many::<String>("files").unwrap_or_default() {
        files.read(path, &mut findings);
    }
    if !findings.is_empty() {
        let message = "invalid resource files; no request was sent".to_owned();
        return Err(cli_error::CliError::Findings(message, findings));
    }
    let dry_run = matches.get_flag("dry-run");
    let path = if dry_run { "/v1/apply?dry_run=true" } else { "/v1/apply" };
    let body = json!({ "resources": files.resources }).to_string();
    let change_id = change_id(matches);
    let response = match client.send("POST", path, Some(&change_id), &body) {
        Err(failure) if dry_run => return Err(failure.into_query_error()),
        result => resolve_outcome(&client, result, &change_id)?,
    };
    if response.status != 200 {
        return Err(response.failure_with_places(|place| files.place_in_file(place)));
    }
    print_results(&response.body, &change_id, dry_run)
}

/// `delete KIND NAME`: deletes one resource.
pub fn delete(matches: &clap::ArgMatches) -> Result<(), cli_error::CliError> {
    let client = api_client::ApiClient::from_options(matches)?;
    let (Some(kind), Some(name)) = (
        matches.get_one::<kind_names::KindName>("kind"),
        matches.get_one::<String>("name"),
    ) else {
        return Ok(());
    };
    let mut path = format!("/v1/{}/{name}", kind.path);
    if let Some(version) = matches.get_one::<u64>("version") {
        path = format!("{path}?version={version}");
    }
    let change_id = change_id(matches);
    let result = client.send("DELETE", &path, Some(&change_id), "");
    let response = resolve_outcome(&client, result, &change_id)?;
    match response.status {
        200 => print_results(&response.body, &change_id, false),
        404 => Err(cli_error::CliError::Failed(format!("{} '{name}' not found", kind.kind))),
        _ => Err(response.failure()),
    }
}

/// Returns the response to a change. If there is none, or if its status is 504 (the store may have committed the
/// change), the change log is queried once for the outcome.
fn resolve_outcome(
    client: &api_client::ApiClient,
    result: Result<api_client::ApiResponse, api_client::ApiFailure>,
    change_id: &str,
) -> Result<api_client::ApiResponse, cli_error::CliError> {
    let reason = match result {
        Ok(response) if response.status == 504 => {
            response.body["error"].as_str().unwrap_or("no reason given").to_owned()
        }
        Ok(response) => return Ok(response),
        Err(api_client::ApiFailure::NotSent(reason)) => {
            return Err(cli_error::CliError::Failed(format!("{reason}; nothing was changed")));
        }
        Err(api_client::ApiFailure::NoResponse(reason)) => reason,
    };
    match client.send("GET", &format!("/v1/changes/{change_id}"), None, "") {
        Ok(response) if response.status == 200 => Ok(accepted_response(&response.body)),
        // Status 404 does not prove that the change failed: its commit may still be in progress.
        _ => Err(cli_error::CliError::OutcomeUnknown {
            change_id: change_id.to_owned(),
            reason,
        }),
    }
}

/// Builds the response to an accepted change from its entry in the change log. The result of a resource that was not
/// deleted is `accepted`, since the entry does not distinguish `created` from `updated`.
fn accepted_response(change: &serde_json::Value) -> api_client::ApiResponse {
    let edits = change["changes"].as_array().into_iter().flatten();
    let results: Vec<serde_json::Value> = edits
        .map(|edit| {
            let result = if edit["action"] == "delete" {
                "deleted"
            } else {
                "accepted"
            };
            json!({ "kind": edit["kind"], "name": edit["name"], "result": result, "version": edit["version"] })
        })
        .collect();
    api_client::ApiResponse {
        status: 200,
        body: json!({ "id": change["id"], "revision": change["revision"], "results": results }),
    }
}

fn print_results(body: &serde_json::Value, change_id: &str, dry_run: bool) -> Result<(), cli_error::CliError> {
    let text = |value: &serde_json::Value| value.as_str().unwrap_or("?").to_owned();
    for result in body["results"].as_array().into_iter().flatten() {
        let version = match result["version"].as_u64() {
            Some(version) if !dry_run => format!(" (version {version})"),
            _ => String::new(),
        };
        let (kind, name, result) = (text(&result["kind"]), text(&result["name"]), text(&result["result"]));
        command_output::print_line(format!("{kind} {name}: {result}{version}"))?;
    }
    let revision = &body["revision"];
    if dry_run {
        return command_output::print_line(format!("dry run at revision {revision}: nothing was changed"));
    }
    let id = body["id"].as_str().unwrap_or(change_id);
    command_output::print_line(format!("revision {revision}, change {id}"))
}

/// Returns the change id of the command line, or a random one.
fn change_id(matches: &clap::ArgMatches) -> String {
    let given = matches.get_one::<String>("change-id").cloned();
    // RandomState has random keys, so the hash of an empty input is a random number.
    given.unwrap_or_else(|| format!("cli-{:016x}", hash::RandomState::new().build_hasher().finish()))
}

impl ResourceFiles {
    fn read(&mut self, path: &str, findings: &mut Vec<String>) {
        let text = if path == "-" {
            let mut text = String::new();
            io::stdin().read_to_string(&mut text).map(|_| text)
        } else {
            fs::read_to_string(path)
        };
        let document: serde_json::Value = match text {
            Ok(text) => match serde_json::from_str(&text) {
                Ok(document) => document,
                Err(error) => return findings.push(format!("{path}: {error}")),
            },
            Err(error) => return findings.push(format!("{path}: {error}")),
        };
        let resources = match document {
            serde_json::Value::Array(resources) => resources,
            serde_json::Value::Object(mut object) => {
                match object.remove("resources").or_else(|| object.remove("items")) {
                    Some(serde_json::Value::Array(resources)) => resources,
                    Some(_) => return findings.push(format!("{path}: expected an array in `resources` or `items`")),
                    None => vec![serde_json::Value::Object(object)],
                }
            }
            _ => return findings.push(format!("{path}: expected a JSON object or array")),
        };
        for (index, resource) in resources.into_iter().enumerate() {
            let place = format!("{path}: resources[{index}]");
            for field in ["kind", "name"] {
                if !resource[field].is_string() {
                    findings.push(format!("{place}.{field}: expected a string, found {}", resource[field]));
                }
            }
            self.resources.push(resource);
            self.places.push(place);
        }
    }

    /// Converts a place of the API, `KIND/NAME.FIELD` or `resources[INDEX].FIELD`, to a place in a file. The place of a
    /// resource that is in none of the files is returned unchanged.
    fn place_in_file(&self, place: &str) -> String {
        let (resource, field) = place.split_once('.').unwrap_or((place, ""));
        let found = self
            .resources
            .iter()
            .zip(&self.places)
            .enumerate()
            .find(|(index, (document, _))| {
                let (kind, name) = (document["kind"].as_str(), document["name"].as_str());
                let is_named = kind
                    .is_some_and(|kind| resource.strip_prefix(kind).and_then(|rest| rest.strip_prefix('/')) == name);
                is_named || resource == format!("resources[{index}]")
            });
        match found {
            Some((_, (_, file_place))) if resource.contains('/') => format!("{file_place}.{field} ({resource})"),
            Some((_, (_, file_place))) => format!("{file_place}.{field}"),
            None => place.to_owned(),
        }
    }
}
