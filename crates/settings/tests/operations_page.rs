//! Compares the settings table in `docs/OPERATIONS.md` with the declared settings.

use std::fs;
use std::path;

use damasktrack_settings::settings_table;
use damasktrack_settings::settings_table::SettingDefault;

/// Guards against settings that the page omits or lists with another type, unit, default or meaning, and against rows
/// for settings that do not exist.
#[test]
fn page_lists_every_setting() {
    let file = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    let page = fs::read_to_string(file).unwrap();
    let (_, section) = page.split_once("\n## Settings\n").unwrap();
    let (section, _) = section.split_once("\n## ").unwrap();
    let page_rows: Vec<&str> = section.lines().filter(|line| line.starts_with("| `")).collect();
    let mut expected_rows = Vec::new();
    for (prefix, rows) in [
        ("", settings_table::DAEMON_ROWS),
        ("backend_server.", settings_table::BACKEND_SERVER_ROWS),
        ("operators[].", settings_table::OPERATOR_ROWS),
    ] {
        for row in rows {
            let unit = if row.unit.is_empty() { "-" } else { row.unit };
            let default = match row.default {
                SettingDefault::Required => "required".to_owned(),
                SettingDefault::Absent => "absent".to_owned(),
                SettingDefault::Text(text) => text.to_owned(),
                SettingDefault::Number(number) => number.to_string(),
                SettingDefault::EmptyList => "[]".to_owned(),
            };
            let kind = settings_table::kind_text(row.kind);
            let (name, meaning) = (row.name, row.meaning);
            expected_rows.push(format!(
                "| `{prefix}{name}` | {kind} | {unit} | {default} | {meaning} |"
            ));
        }
    }
    for line in &expected_rows {
        assert!(
            page_rows.contains(&line.as_str()),
            "docs/OPERATIONS.md has no row: {line}"
        );
    }
    assert_eq!(
        page_rows.len(),
        expected_rows.len(),
        "docs/OPERATIONS.md lists settings that do not exist"
    );
}
