//! Verified settings of a daemon.

use std::net;
use std::time;

use bytes::Bytes;
use damasktrack_entity::ids;
use damasktrack_entity::server_location;

/// Settings of a daemon. [`crate::settings_table::DAEMON_ROWS`] declares the meaning, unit and bounds of each.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[expect(missing_docs, reason = "the settings table gives the meaning of each field")]
pub struct DaemonSettings {
    #[serde(deserialize_with = "name")]
    pub daemon_id: ids::DaemonId,
    #[serde(deserialize_with = "name")]
    pub region: ids::RegionName,
    #[serde(deserialize_with = "name")]
    pub data_centre: ids::DataCentreName,
    #[serde(default, deserialize_with = "optional_name")]
    pub service: Option<ids::ServiceName>,
    pub entry_listen: net::SocketAddr,
    pub peer_listen: net::SocketAddr,
    pub api_listen: net::SocketAddr,
    pub backend_server: Option<BackendServerSettings>,
    pub store_address: Option<net::SocketAddr>,
    pub seeds: Vec<net::SocketAddr>,
    pub operators: Vec<OperatorSettings>,
    pub log_level: String,
    #[serde(rename = "drain_timeout_ms", deserialize_with = "milliseconds")]
    pub drain_timeout: time::Duration,
    #[serde(rename = "drain_notice_ms", deserialize_with = "milliseconds")]
    pub drain_notice: time::Duration,
    pub max_header_bytes: usize,
    pub max_body_bytes: usize,
    #[serde(rename = "header_timeout_ms", deserialize_with = "milliseconds")]
    pub header_timeout: time::Duration,
    #[serde(rename = "body_timeout_ms", deserialize_with = "milliseconds")]
    pub body_timeout: time::Duration,
    #[serde(rename = "stall_timeout_ms", deserialize_with = "milliseconds")]
    pub stall_timeout: time::Duration,
    pub max_connections: usize,
    pub max_calls: usize,
    pub cross_region_bytes_per_s: u64,
    #[serde(rename = "default_deadline_ms", deserialize_with = "milliseconds")]
    pub default_deadline: time::Duration,
}

/// Settings of the daemon's local backend server, declared in [`crate::settings_table::BACKEND_SERVER_ROWS`].
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[expect(missing_docs, reason = "the settings table gives the meaning of each field")]
pub struct BackendServerSettings {
    pub address: net::SocketAddr,
    pub slots: u32,
    pub health_path: String,
    pub load_path: String,
    pub cancel_path: String,
    pub drain_path: String,
    #[serde(rename = "health_interval_ms", deserialize_with = "milliseconds")]
    pub health_interval: time::Duration,
}

/// Access of an operator to the resource API.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
pub struct OperatorSettings {
    /// Name in logs and in the change log; unique in a settings document.
    pub name: String,
    /// Role, which determines the permitted API requests.
    pub role: OperatorRole,
    /// SHA-256 digest of the bearer key, as 64 hexadecimal digits.
    pub key_sha256: String,
}

/// Role of an operator. Each role includes the permissions of the roles before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorRole {
    /// May read resources, changes, status and daemons.
    Viewer,
    /// May create and change resources.
    Editor,
    /// May delete resources.
    Admin,
}

impl DaemonSettings {
    /// Returns the region and data centre of the daemon's VM.
    #[must_use]
    pub fn location(&self) -> server_location::ServerLocation {
        server_location::ServerLocation {
            region: self.region.clone(),
            data_centre: self.data_centre.clone(),
        }
    }
}

/// Deserializes a name as the bytes of its UTF-8 text.
fn name<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
    let text: String = serde::Deserialize::deserialize(deserializer)?;
    Ok(Bytes::from(text))
}

fn optional_name<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Option<Bytes>, D::Error> {
    name(deserializer).map(Some)
}

/// Deserializes a duration from a number of milliseconds.
fn milliseconds<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<time::Duration, D::Error> {
    let value: u64 = serde::Deserialize::deserialize(deserializer)?;
    Ok(time::Duration::from_millis(value))
}
