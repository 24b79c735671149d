//! Gossip datagrams and their encoding.

use std::net;

use damasktrack_entity::ids;

use crate::member_record;

/// Largest datagram, in bytes. It is below the MTU of all usual paths, so datagrams are not fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// First byte of every datagram; datagrams of other versions are dropped.
const PROTOCOL_VERSION: u8 = 1;

/// Purpose of a gossip message, with the fields specific to it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum GossipKind {
    /// Requests a [`GossipKind::ProbeAck`] from the receiver.
    #[serde(rename = "P")]
    Probe {
        /// Sequence number that the answer repeats.
        sequence: u64,
        /// Daemon that the probe is meant for, since another one may have its address by now; empty for seeds, whose id
        /// is unknown.
        target: ids::DaemonId,
    },
    /// Answers a probe, directly or on behalf of the probed daemon.
    #[serde(rename = "A")]
    ProbeAck {
        /// Sequence number of the probe.
        sequence: u64,
        /// Daemon that answered the probe.
        subject: ids::DaemonId,
    },
    /// Requests that the receiver probes another daemon.
    #[serde(rename = "I")]
    IndirectProbe {
        /// Sequence number that the answer repeats.
        sequence: u64,
        /// Daemon to probe.
        target: ids::DaemonId,
        /// Address of the daemon to probe, which may be missing in the receiver's table.
        address: net::SocketAddr,
    },
}

/// A gossip datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct GossipMessage {
    /// Id of the sending daemon.
    pub sender: ids::DaemonId,
    /// Digest of the sender's member table, see [`crate::member_table::MemberTable::digest`].
    pub digest: u64,
    /// Configuration revision in force at the sender.
    pub revision: ids::Revision,
    /// Purpose of the message.
    pub kind: GossipKind,
    /// Piggybacked records, as many as fit into [`MAX_DATAGRAM_BYTES`].
    pub updates: Vec<member_record::MemberRecord>,
}

/// Errors of encoding and decoding gossip datagrams and exchange messages.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error, derive_more::From)]
pub enum GossipError {
    /// The message can't be encoded.
    #[display("gossip message can't be encoded: {_0}")]
    Encode(rmp_serde::encode::Error),
    /// The bytes are not a message of the expected type.
    #[display("gossip message can't be decoded: {_0}")]
    Decode(rmp_serde::decode::Error),
    /// The datagram is empty or of another protocol version.
    #[display("gossip protocol version is not {PROTOCOL_VERSION}")]
    Version,
}

/// Encodes a message, with fields by position to keep it short.
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
/// Returns an error if the bytes are not a gossip message of this protocol version.
pub fn decode(bytes: &[u8]) -> Result<GossipMessage, GossipError> {
    let Some((&PROTOCOL_VERSION, rest)) = bytes.split_first() else {
        return Err(GossipError::Version);
    };
    Ok(rmp_serde::from_slice(rest)?)
}

/// Returns the encoded length of a record inside a message, in bytes.
#[must_use]
pub fn record_length(record: &member_record::MemberRecord) -> usize {
    rmp_serde::to_vec(record).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len())
}
