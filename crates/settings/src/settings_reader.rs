//! Reader of settings documents.

use std::collections;

use crate::daemon_settings;
use crate::settings_finding;
use crate::settings_table;
use crate::settings_verifier;

/// Parses and verifies a settings document, and adds the defaults of absent settings. `file` is only used in findings.
///
/// # Errors
/// Returns all findings. For a document that is not JSON, this is a single one with line and column.
pub fn read(text: &str, file: &str) -> Result<daemon_settings::DaemonSettings, Vec<settings_finding::Finding>> {
    let mut context = settings_verifier::VerifierContext::new(file);
    let mut value = match serde_json::from_str::<serde_json::Value>(text) {
        Ok(value) => value,
        Err(error) => {
            let place = format!("line {} column {}", error.line(), error.column());
            context.report(&place, format!("expected a JSON document: {error}"));
            return Err(context.into_findings());
        }
    };
    context.check_object(&mut value, settings_table::DAEMON_ROWS, "");
    check_relations(&value, &mut context);
    let settings = serde_path_to_error::deserialize::<_, daemon_settings::DaemonSettings>(&value);
    let findings = context.into_findings();
    if !findings.is_empty() {
        return Err(findings);
    }
    settings.map_err(|error| {
        vec![settings_finding::Finding {
            file: file.to_owned(),
            path: error.path().to_string(),
            expected: error.inner().to_string(),
        }]
    })
}

/// Checks the rules that involve more than one setting.
fn check_relations(value: &serde_json::Value, context: &mut settings_verifier::VerifierContext<'_>) {
    if value.get("backend_server").is_some() && value.get("service").is_none() {
        context.report("service", "missing; required if 'backend_server' is given".to_owned());
    }
    let mut listeners = collections::HashMap::new();
    for name in ["entry_listen", "peer_listen", "api_listen"] {
        let Some(address) = value.get(name).and_then(serde_json::Value::as_str) else {
            continue;
        };
        // For port 0 the operating system assigns a free port, so listeners with equal addresses do not conflict.
        if address.ends_with(":0") {
            continue;
        }
        if let Some(other) = listeners.insert(address, name) {
            context.report(name, format!("expected a unique address, found that of '{other}'"));
        }
    }
    let operators = value.get("operators").and_then(serde_json::Value::as_array);
    let mut names = collections::HashSet::new();
    for (index, operator) in operators.into_iter().flatten().enumerate() {
        let name = operator.get("name").and_then(serde_json::Value::as_str);
        if name.is_some_and(|name| !names.insert(name)) {
            context.report(
                &format!("operators[{index}].name"),
                "expected a unique name, found that of another operator".to_owned(),
            );
        }
    }
}
