//! Tests of the reader and the verifier of daemon settings.

use std::time;

use damasktrack_settings::settings_reader;
use damasktrack_settings::settings_table;

/// Document with only the required settings.
const MINIMAL_DOCUMENT: &str = r#"{"daemon_id": "a", "region": "dk-east", "data_centre": "e1",
    "entry_listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0", "api_listen": "127.0.0.1:0"}"#;

/// Guards against defaults that the table declares but the reader does not apply.
#[test]
fn minimal_document_gets_the_declared_defaults() {
    let settings = settings_reader::read(MINIMAL_DOCUMENT, "a.json").unwrap();
    assert_eq!(settings.max_body_bytes, 1 << 20);
    assert_eq!(settings.header_timeout, time::Duration::from_secs(30));
    assert!(settings.service.is_none() && settings.backend_server.is_none() && settings.seeds.is_empty());
}

/// Guards against a verifier that stops at the first error or reports an error without its place.
#[test]
fn every_error_is_reported_with_its_place() {
    let text = r#"{"daemon_id": "", "region": "r", "data_centre": 3, "entry_listen": "localhost:1",
        "peer_listen": "127.0.0.1:7", "api_listen": "127.0.0.1:7", "colour": 1, "max_connections": 0,
        "seeds": ["127.0.0.1:1", "x"], "backend_server": {"address": "127.0.0.1:2", "slot": 4},
        "operators": [{"name": "o", "role": "root", "key_sha256": "12"}]}"#;
    let findings = settings_reader::read(text, "b.json").unwrap_err();
    let mut places: Vec<_> = findings.iter().map(|finding| finding.path.as_str()).collect();
    places.sort_unstable();
    assert_eq!(
        places,
        [
            "api_listen",
            "backend_server.slot",
            "backend_server.slots",
            "colour",
            "daemon_id",
            "data_centre",
            "entry_listen",
            "max_connections",
            "operators[0].key_sha256",
            "operators[0].role",
            "seeds[1]",
            "service",
        ]
    );
    assert!(findings.iter().all(|finding| finding.file == "b.json"));
}

/// Guards against a syntax error that is reported without line and column.
#[test]
fn syntax_error_names_line_and_column() {
    let findings = settings_reader::read("{\n  \"a\": }", "c.json").unwrap_err();
    assert_eq!(findings.len(), 1);
    assert_eq!(findings[0].path, "line 2 column 8");
}

/// Guards against settings that are missing from the rendered table.
#[test]
fn rendered_table_contains_every_setting() {
    let text = settings_table::render();
    let rows = [
        settings_table::DAEMON_ROWS,
        settings_table::BACKEND_SERVER_ROWS,
        settings_table::OPERATOR_ROWS,
    ];
    let names: Vec<_> = rows.iter().flat_map(|rows| rows.iter().map(|row| row.name)).collect();
    assert_eq!(text.lines().count(), names.len());
    assert!(
        names
            .iter()
            .all(|name| text.lines().any(|line| line.trim_start().starts_with(name)))
    );
}
