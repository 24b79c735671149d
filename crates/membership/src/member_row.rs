//! Row of a member in the table service.

use std::net;

use bytes::Bytes;
use damasktrack_entity::ids;
use damasktrack_entity::server_location;

use crate::member_record;
use crate::server_departure;

/// Table that holds one row per daemon; the key is the daemon id.
pub const MEMBERS_TABLE: &str = "members";

/// JSON form of a member's record, readable for operators. Only the daemon itself writes its row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct MemberRow {
    /// Id of the daemon; all fields mirror those of [`member_record::MemberRecord`].
    pub daemon_id: String,
    /// Start of the process in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Incarnation as 16 hexadecimal digits, since JSON readers may round numbers beyond 2^53.
    pub incarnation: String,
    /// Version of the record when the row was written.
    pub version: u64,
    /// TCP address for peers and UDP address for gossip.
    pub address: net::SocketAddr,
    /// Service of the backend server beside the daemon.
    pub service: String,
    /// Region of the backend server.
    pub region: String,
    /// Data centre of the backend server.
    pub data_centre: String,
    /// Number of concurrent calls that the backend server is declared to handle.
    pub slots: u32,
    /// Latest departure of a backend server beside the daemon.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub departure: Option<RowDeparture>,
}

/// JSON form of a [`server_departure::ServerDeparture`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RowDeparture {
    /// Start time of the instance, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Id of the instance.
    pub instance: String,
}

impl MemberRow {
    /// Returns the row of a record.
    #[must_use]
    pub fn from_record(record: &member_record::MemberRecord) -> Self {
        Self {
            daemon_id: ids::text(&record.daemon_id).into_owned(),
            started_ms: record.started_ms,
            incarnation: format!("{:016x}", record.incarnation),
            version: record.version,
            address: record.address,
            service: ids::text(&record.service).into_owned(),
            region: ids::text(&record.location.region).into_owned(),
            data_centre: ids::text(&record.location.data_centre).into_owned(),
            slots: record.slots,
            departure: record.departure.as_ref().map(|departure| RowDeparture {
                started_ms: departure.started_ms,
                instance: ids::text(&departure.instance).into_owned(),
            }),
        }
    }

    /// Returns the record of a row, in the joining state since a row holds no state; gossip supplies the current one.
    /// Returns `None` if the incarnation is not a hexadecimal number.
    #[must_use]
    pub fn to_record(&self) -> Option<member_record::MemberRecord> {
        Some(member_record::MemberRecord {
            daemon_id: Bytes::copy_from_slice(self.daemon_id.as_bytes()),
            started_ms: self.started_ms,
            incarnation: u64::from_str_radix(&self.incarnation, 16).ok()?,
            version: self.version,
            state: member_record::MemberState::Joining,
            leaving: false,
            address: self.address,
            service: Bytes::copy_from_slice(self.service.as_bytes()),
            location: server_location::ServerLocation {
                region: Bytes::copy_from_slice(self.region.as_bytes()),
                data_centre: Bytes::copy_from_slice(self.data_centre.as_bytes()),
            },
            slots: self.slots,
            departure: self
                .departure
                .as_ref()
                .map(|departure| server_departure::ServerDeparture {
                    started_ms: departure.started_ms,
                    instance: Bytes::copy_from_slice(departure.instance.as_bytes()),
                }),
        })
    }
}
