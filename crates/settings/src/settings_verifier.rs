//! Verifier of documents against the settings table. It collects all findings instead of stopping at the first.

use std::net;

use crate::settings_finding;
use crate::settings_table;

/// State of one verification: the file name and the findings reported so far.
#[derive(Debug)]
pub(crate) struct VerifierContext<'a> {
    file: &'a str,
    findings: Vec<settings_finding::Finding>,
}

impl<'a> VerifierContext<'a> {
    pub(crate) fn new(file: &'a str) -> Self {
        Self {
            file,
            findings: Vec::new(),
        }
    }

    pub(crate) fn into_findings(self) -> Vec<settings_finding::Finding> {
        self.findings
    }

    pub(crate) fn report(&mut self, path: &str, expected: String) {
        self.findings.push(settings_finding::Finding {
            file: self.file.to_owned(),
            path: path.to_owned(),
            expected,
        });
    }

    /// Checks an object against its rows and inserts the defaults of absent settings.
    pub(crate) fn check_object(
        &mut self,
        value: &mut serde_json::Value,
        rows: &[settings_table::SettingRow],
        path: &str,
    ) {
        let Some(object) = value.as_object_mut() else {
            self.report(path, format!("expected an object, found {}", describe(value)));
            return;
        };
        for key in object.keys() {
            if !rows.iter().any(|row| row.name == key) {
                self.report(&join(path, key), "unknown setting".to_owned());
            }
        }
        for row in rows {
            let place = join(path, row.name);
            if let Some(value) = object.get_mut(row.name) {
                self.check_value(value, row.kind, &place);
                continue;
            }
            match row.default {
                settings_table::SettingDefault::Required => {
                    let kind = settings_table::kind_text(row.kind);
                    self.report(&place, format!("missing; expected {kind}"));
                }
                settings_table::SettingDefault::Absent => {}
                settings_table::SettingDefault::Text(text) => {
                    object.insert(row.name.to_owned(), text.into());
                }
                settings_table::SettingDefault::Number(number) => {
                    object.insert(row.name.to_owned(), number.into());
                }
                settings_table::SettingDefault::EmptyList => {
                    object.insert(row.name.to_owned(), serde_json::Value::Array(Vec::new()));
                }
            }
        }
    }

    fn check_value(&mut self, value: &mut serde_json::Value, kind: settings_table::SettingKind, path: &str) {
        match kind {
            settings_table::SettingKind::Object(rows) => return self.check_object(value, rows, path),
            settings_table::SettingKind::ObjectList(rows) => {
                return self.check_list(value, kind, path, |context, item, place| {
                    context.check_object(item, rows, place);
                });
            }
            settings_table::SettingKind::AddressList => {
                return self.check_list(value, kind, path, |context, item, place| {
                    context.check_value(item, settings_table::SettingKind::Address, place);
                });
            }
            _ => {}
        }
        if !is_valid(value, kind) {
            let expected = settings_table::kind_text(kind);
            self.report(path, format!("expected {expected}, found {}", describe(value)));
        }
    }

    fn check_list(
        &mut self,
        value: &mut serde_json::Value,
        kind: settings_table::SettingKind,
        path: &str,
        check: impl Fn(&mut Self, &mut serde_json::Value, &str),
    ) {
        let Some(items) = value.as_array_mut() else {
            let expected = settings_table::kind_text(kind);
            self.report(path, format!("expected {expected}, found {}", describe(value)));
            return;
        };
        for (index, item) in items.iter_mut().enumerate() {
            check(self, item, &format!("{path}[{index}]"));
        }
    }
}

/// Returns whether a value has the type and bounds of a setting. Lists and objects are checked by
/// [`VerifierContext::check_value`].
fn is_valid(value: &serde_json::Value, kind: settings_table::SettingKind) -> bool {
    match kind {
        settings_table::SettingKind::Text => value.as_str().is_some_and(|text| !text.is_empty()),
        settings_table::SettingKind::Choice(words) => value.as_str().is_some_and(|text| words.contains(&text)),
        settings_table::SettingKind::Address => value
            .as_str()
            .is_some_and(|text| text.parse::<net::SocketAddr>().is_ok()),
        settings_table::SettingKind::Number { min, max } => {
            value.as_u64().is_some_and(|number| (min..=max).contains(&number))
        }
        settings_table::SettingKind::Sha256 => value
            .as_str()
            .is_some_and(|text| text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit())),
        settings_table::SettingKind::AddressList
        | settings_table::SettingKind::Object(_)
        | settings_table::SettingKind::ObjectList(_) => false,
    }
}

/// Describes a value for a finding. The content of texts is omitted, since settings contain digests of keys.
fn describe(value: &serde_json::Value) -> String {
    match value {
        serde_json::Value::Null => "null".to_owned(),
        serde_json::Value::Bool(value) => value.to_string(),
        serde_json::Value::Number(value) => value.to_string(),
        serde_json::Value::String(value) => format!("text of {} bytes", value.len()),
        serde_json::Value::Array(_) => "a list".to_owned(),
        serde_json::Value::Object(_) => "an object".to_owned(),
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        return key.to_owned();
    }
    format!("{path}.{key}")
}
