//! Gossip datagrams and their encoding.

use std::net;

use damasktrack_entity::ids;

use crate::member_record;

/// Largest datagram, in bytes. It passes every usual path without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// First byte of every datagram; other versions are dropped.
const PROTOCOL_VERSION: u8 = 1;

/// Part of a message that differs by purpose.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum GossipKind {
    /// Asks the receiver to answer.
    #[serde(rename = "P")]
    Probe {
        /// Number that the answer repeats.
        sequence: u64,
        /// Daemon that is meant, since another one may have its address by now; empty for seeds, whose id is unknown.
        target: ids::DaemonId,
    },
    /// Answers a probe, directly or for another daemon.
    #[serde(rename = "A")]
    ProbeAck {
        /// Number of the probe.
        sequence: u64,
        /// Daemon that is alive.
        subject: ids::DaemonId,
    },
    /// Asks the receiver to probe another daemon.
    #[serde(rename = "I")]
    IndirectProbe {
        /// Number that the answer repeats.
        sequence: u64,
        /// Daemon to probe.
        target: ids::DaemonId,
        /// Its address, in case the receiver doesn't know it.
        address: net::SocketAddr,
    },
}

/// A gossip datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct GossipMessage {
    /// Sending daemon.
    pub sender: ids::DaemonId,
    /// Digest of the sender's member table.
    pub digest: u64,
    /// Configuration revision in force at the sender.
    pub revision: ids::Revision,
    /// Purpose.
    pub kind: GossipKind,
    /// Piggybacked records.
    pub updates: Vec<member_record::MemberRecord>,
}

/// Why a datagram can't be read or written.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error, derive_more::From)]
pub enum GossipError {
    /// The message can't be encoded.
    #[display("gossip message can't be encoded: {_0}")]
    Encode(rmp_serde::encode::Error),
    /// The bytes are not a gossip message.
    #[display("gossip message can't be decoded: {_0}")]
    Decode(rmp_serde::decode::Error),
    /// The sender speaks another version.
    #[display("gossip protocol version is not {PROTOCOL_VERSION}")]
    Version,
}

/// Encodes a message, by position to keep it short.
///
/// # Errors
/// Returns an error if the message can't be encoded.
pub fn encode(message: &GossipMessage) -> Result<Vec<u8>, GossipError> {
    let mut bytes = vec![PROTOCOL_VERSION];
    rmp_serde::encode::write(&mut bytes, message)?;
    Ok(bytes)
}

/// Decodes a message.
///
/// # Errors
/// Returns an error if the bytes are not a message of this version.
pub fn decode(bytes: &[u8]) -> Result<GossipMessage, GossipError> {
    let Some((&PROTOCOL_VERSION, rest)) = bytes.split_first() else {
        return Err(GossipError::Version);
    };
    Ok(rmp_serde::from_slice(rest)?)
}

/// Returns the encoded length of a record inside a message.
#[must_use]
pub fn record_length(record: &member_record::MemberRecord) -> usize {
    rmp_serde::to_vec(record).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len())
}
