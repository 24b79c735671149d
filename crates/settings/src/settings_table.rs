//! Declaration of all settings of a daemon.

use std::fmt::Write;

/// Type of a setting's value.
#[derive(Clone, Copy, Debug)]
pub enum SettingKind {
    /// Non-empty text.
    Text,
    /// One of the listed texts.
    Choice(&'static [&'static str]),
    /// IP address with port; host names are not accepted.
    Address,
    /// List of IP addresses with ports.
    AddressList,
    /// Integer within inclusive bounds.
    Number {
        /// Minimum.
        min: u64,
        /// Maximum.
        max: u64,
    },
    /// SHA-256 digest as 64 hexadecimal digits.
    Sha256,
    /// Object whose settings the rows declare.
    Object(&'static [SettingRow]),
    /// List of objects, each with the settings that the rows declare.
    ObjectList(&'static [SettingRow]),
}

/// Value of a setting that is absent from the document.
#[derive(Clone, Copy, Debug)]
pub enum SettingDefault {
    /// None; a document without the setting is invalid.
    Required,
    /// None; the setting is optional.
    Absent,
    /// Text that is used as the value.
    Text(&'static str),
    /// Number that is used as the value, in the unit of the setting.
    Number(u64),
    /// Empty list.
    EmptyList,
}

/// Declaration of one setting.
#[derive(Clone, Copy, Debug)]
pub struct SettingRow {
    /// Key in the JSON object.
    pub name: &'static str,
    /// Type of the value.
    pub kind: SettingKind,
    /// Unit of a number; empty for other types.
    pub unit: &'static str,
    /// Value of the setting if it is absent from the document.
    pub default: SettingDefault,
    /// Description for operators, printed by `damasktrack explain-settings`.
    pub meaning: &'static str,
}

const fn row(
    name: &'static str,
    kind: SettingKind,
    unit: &'static str,
    default: SettingDefault,
    meaning: &'static str,
) -> SettingRow {
    SettingRow {
        name,
        kind,
        unit,
        default,
        meaning,
    }
}

const fn number(min: u64, max: u64) -> SettingKind {
    SettingKind::Number { min, max }
}

/// Settings of the daemon's local backend server.
pub const BACKEND_SERVER_ROWS: &[SettingRow] = &[
    row(
        "address",
        SettingKind::Address,
        "",
        SettingDefault::Required,
        "where the backend server listens",
    ),
    row(
        "slots",
        number(1, 100_000),
        "calls",
        SettingDefault::Required,
        "calls that it runs at once",
    ),
    row(
        "health_path",
        SettingKind::Text,
        "",
        SettingDefault::Text("/health"),
        "answers 2xx while it can work",
    ),
    row(
        "load_path",
        SettingKind::Text,
        "",
        SettingDefault::Text("/load"),
        "reports its load",
    ),
    row(
        "cancel_path",
        SettingKind::Text,
        "",
        SettingDefault::Text("/cancel"),
        "POST with ?call= stops a call",
    ),
    row(
        "drain_path",
        SettingKind::Text,
        "",
        SettingDefault::Text("/drain"),
        "POST announces its planned stop",
    ),
    row(
        "health_interval_ms",
        number(50, 600_000),
        "ms",
        SettingDefault::Number(1000),
        "time between two health checks",
    ),
];

/// Settings of one operator with access to the resource API.
pub const OPERATOR_ROWS: &[SettingRow] = &[
    row(
        "name",
        SettingKind::Text,
        "",
        SettingDefault::Required,
        "name in logs and in the change log",
    ),
    row(
        "role",
        SettingKind::Choice(&["viewer", "editor", "admin"]),
        "",
        SettingDefault::Required,
        "what the operator may do",
    ),
    row(
        "key_sha256",
        SettingKind::Sha256,
        "",
        SettingDefault::Required,
        "digest of the bearer key",
    ),
];

/// All settings of a daemon.
pub const DAEMON_ROWS: &[SettingRow] = &[
    row(
        "daemon_id",
        SettingKind::Text,
        "",
        SettingDefault::Required,
        "name of the daemon, unique in the deployment and stable over restarts",
    ),
    row(
        "region",
        SettingKind::Text,
        "",
        SettingDefault::Required,
        "region of the VM",
    ),
    row(
        "data_centre",
        SettingKind::Text,
        "",
        SettingDefault::Required,
        "data centre of the VM, unique within its region",
    ),
    row(
        "service",
        SettingKind::Text,
        "",
        SettingDefault::Absent,
        "service of the backend server beside the daemon",
    ),
    row(
        "entry_listen",
        SettingKind::Address,
        "",
        SettingDefault::Required,
        "listener for callers and for the local backend server",
    ),
    row(
        "peer_listen",
        SettingKind::Address,
        "",
        SettingDefault::Required,
        "TCP for peers and UDP for gossip, on one port",
    ),
    row(
        "api_listen",
        SettingKind::Address,
        "",
        SettingDefault::Required,
        "listener for operators, health and metrics",
    ),
    row(
        "backend_server",
        SettingKind::Object(BACKEND_SERVER_ROWS),
        "",
        SettingDefault::Absent,
        "the backend server beside the daemon; needs 'service'",
    ),
    row(
        "store_address",
        SettingKind::Address,
        "",
        SettingDefault::Absent,
        "table service and object store of the platform",
    ),
    row(
        "seeds",
        SettingKind::AddressList,
        "",
        SettingDefault::EmptyList,
        "peer addresses through which the daemon joins when the store is down",
    ),
    row(
        "operators",
        SettingKind::ObjectList(OPERATOR_ROWS),
        "",
        SettingDefault::EmptyList,
        "who may use the resource API",
    ),
    row(
        "log_level",
        SettingKind::Choice(&["off", "error", "warn", "info", "debug", "trace"]),
        "",
        SettingDefault::Text("info"),
        "least severe level that is logged",
    ),
    row(
        "drain_timeout_ms",
        number(0, 86_400_000),
        "ms",
        SettingDefault::Number(60_000),
        "longest time that a graceful shutdown waits for requests in flight",
    ),
    row(
        "drain_notice_ms",
        number(0, 60_000),
        "ms",
        SettingDefault::Number(1000),
        "time in which a stopping daemon still answers new requests before it closes idle connections",
    ),
    row(
        "max_header_bytes",
        number(8192, 1 << 20),
        "bytes",
        SettingDefault::Number(16 << 10),
        "largest header of a caller's request",
    ),
    row(
        "max_body_bytes",
        number(0, 3 << 20),
        "bytes",
        SettingDefault::Number(1 << 20),
        "largest body of a caller's request",
    ),
    row(
        "header_timeout_ms",
        number(10, 600_000),
        "ms",
        SettingDefault::Number(30_000),
        "time for a request header to arrive, and for a connection to stay idle",
    ),
    row(
        "body_timeout_ms",
        number(10, 600_000),
        "ms",
        SettingDefault::Number(30_000),
        "time for a request body to arrive",
    ),
    row(
        "stall_timeout_ms",
        number(10, 600_000),
        "ms",
        SettingDefault::Number(30_000),
        "time for which a caller or peer may take no byte of a response before its call is cancelled",
    ),
    row(
        "max_connections",
        number(1, 100_000),
        "connections",
        SettingDefault::Number(2000),
        "open connections of callers; further ones are closed at once",
    ),
    row(
        "max_calls",
        number(1, 10_000),
        "calls",
        SettingDefault::Number(512),
        "calls in progress in each of the roles entry and callee; further ones are refused",
    ),
    row(
        "cross_region_bytes_per_s",
        number(0, 1_000_000_000_000),
        "B/s",
        // Eight daemons of a region then use a third of a 4 Gbit/s link, which also carries other traffic.
        SettingDefault::Number(20_000_000),
        "response bytes that calls to other regions may bring; 0 keeps all calls in the region",
    ),
    row(
        "default_deadline_ms",
        number(1, 86_400_000),
        "ms",
        SettingDefault::Number(30_000),
        "deadline of requests whose class declares none",
    ),
];

/// Returns the table as text with one setting per line. The settings of an object follow it, indented by two spaces.
#[must_use]
pub fn render() -> String {
    let mut text = String::new();
    render_rows(DAEMON_ROWS, "", &mut text);
    text
}

fn render_rows(rows: &[SettingRow], indent: &str, text: &mut String) {
    for row in rows {
        // Writing to a String does not fail.
        let _ = writeln!(
            text,
            "{indent}{:<width$} {:<34} {:<12} {:<10} {}",
            row.name,
            kind_text(row.kind),
            row.unit,
            default_text(row.default),
            row.meaning,
            width = 21 - indent.len(),
        );
        if let SettingKind::Object(inner) | SettingKind::ObjectList(inner) = row.kind {
            render_rows(inner, "  ", text);
        }
    }
}

/// Returns the type in words, for findings and for the rendered table.
#[must_use]
pub fn kind_text(kind: SettingKind) -> String {
    match kind {
        SettingKind::Text => "non-empty text".to_owned(),
        SettingKind::Choice(words) => format!("one of {}", words.join(", ")),
        SettingKind::Address => "IP number with port".to_owned(),
        SettingKind::AddressList => "list of IP numbers with ports".to_owned(),
        SettingKind::Number { min, max } => format!("whole number {min}..{max}"),
        SettingKind::Sha256 => "64 hexadecimal digits".to_owned(),
        SettingKind::Object(_) => "object".to_owned(),
        SettingKind::ObjectList(_) => "list of objects".to_owned(),
    }
}

fn default_text(default: SettingDefault) -> String {
    match default {
        SettingDefault::Required => "required".to_owned(),
        SettingDefault::Absent => "absent".to_owned(),
        SettingDefault::Text(text) => text.to_owned(),
        SettingDefault::Number(value) => value.to_string(),
        SettingDefault::EmptyList => "[]".to_owned(),
    }
}
