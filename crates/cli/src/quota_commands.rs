//! Command that queries the quotas of tenants at daemons.

use std::net;

use crate::api_client;
use crate::cli_error;
use crate::command_output;

/// Header with the name of the only tenant to return.
const TENANT_HEADER: &str = "damasktrack-tenant";

/// `quotas --metrics ADDRESS... [NAME]`: prints the limits, credits and refusals of the tenants at each daemon.
pub fn quotas(matches: &clap::ArgMatches) -> Result<(), cli_error::CliError> {
    let name = matches.get_one::<String>("name");
    let header = name.map(|name| (TENANT_HEADER, name.as_str()));
    for address in matches.get_many::<net::SocketAddr>("metrics").into_iter().flatten() {
        let client = api_client::ApiClient::without_key(*address);
        let response = client
            .query("/tenants", header)
            .map_err(api_client::ApiFailure::into_query_error)?;
        match (response.status, name) {
            (200, Some(name)) if response.body["matches"] == 0 => {
                let message = format!("{address}: no tenant '{name}' with a limit");
                return Err(cli_error::CliError::Failed(message));
            }
            (200, _) => print_daemon(&response.body)?,
            (404, _) => {
                let message = format!("{address}: the settings of the daemon have no bounds for quotas");
                return Err(cli_error::CliError::Failed(message));
            }
            _ => return Err(response.failure()),
        }
    }
    Ok(())
}

fn print_daemon(body: &serde_json::Value) -> Result<(), cli_error::CliError> {
    let tenants: Vec<&serde_json::Value> = body["tenants"].as_array().into_iter().flatten().collect();
    command_output::print_line(format!(
        "daemon {}: {} tenants with a limit, share of the limits {}",
        cell(&body["daemon"]),
        body["matches"],
        number(&body["share"], 4),
    ))?;
    let columns = [
        "tenant",
        "rate/s",
        "burst",
        "in window",
        "held",
        "refused",
        "last refusal",
        "credits",
        "coordinator",
    ];
    command_output::print_line(line(&columns.map(str::to_owned)))?;
    for tenant in &tenants {
        let last = &tenant["last_refusal_s"];
        let last = if last.is_null() {
            "-".to_owned()
        } else {
            format!("{} s ago", number(last, 0))
        };
        command_output::print_line(line(&[
            cell(&tenant["name"]),
            number(&tenant["rate_per_s"], 1),
            number(&tenant["burst"], 1),
            number(&tenant["window_bound"], 0),
            tenant["held"].to_string(),
            tenant["refused"].to_string(),
            last,
            cell(&tenant["origin"]),
            cell(&tenant["coordinator"]),
        ]))?;
        let coordinated = &tenant["coordinated"];
        if !coordinated.is_null() {
            command_output::print_line(format!(
                "    coordinated here: share {}, {} credits granted to {} daemons, {} available",
                number(&coordinated["share"], 4),
                coordinated["granted"],
                coordinated["holders"],
                number(&coordinated["available"], 1),
            ))?;
        }
    }
    if body["left_out"] != 0 {
        command_output::print_line(format!("{} tenants left out; name one of them", body["left_out"]))?;
    }
    Ok(())
}

fn line(cells: &[String; 9]) -> String {
    let [tenant, rate, burst, window, held, refused, last, origin, coordinator] = cells;
    format!(
        "  {tenant:<20} {rate:>10} {burst:>10} {window:>10} {held:>8} {refused:>8} {last:>14}  {origin:<12}  {coordinator}"
    )
}

fn cell(value: &serde_json::Value) -> String {
    value.as_str().unwrap_or("-").to_owned()
}

fn number(value: &serde_json::Value, decimals: usize) -> String {
    format!("{:.decimals$}", value.as_f64().unwrap_or_default())
}
