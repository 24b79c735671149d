//! Anti-entropy: exchange of member records between two daemons whose digests differ.

use std::time;

use damasktrack_entity::ids;
use rand::RngExt;

use crate::gossip_message;
use crate::member_record;
use crate::member_table;

/// Time for which digests must differ before an exchange. Gossip delivers most changes to all members within less, so
/// that a change still spreading starts no exchanges.
pub const SETTLE_TIME: time::Duration = time::Duration::from_secs(12);
/// Time without a differing digest after which a series of differences ends.
const SERIES_GAP: time::Duration = time::Duration::from_secs(10);
/// First mean time between two exchanges that a daemon starts; it doubles with each exchange while digests differ.
const FIRST_INTERVAL: time::Duration = time::Duration::from_secs(10);
/// Longest mean time between two exchanges that a daemon starts while digests differ.
const MAX_INTERVAL: time::Duration = time::Duration::from_secs(80);
/// Exchanges that a daemon answers per second; refused daemons try other members later.
const ANSWERS_PER_SECOND: u32 = 4;

/// Action on the digest of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeDecision {
    /// None.
    Skip,
    /// Start an exchange with this peer.
    Start,
}

/// First message of an exchange: the digest buckets of the requesting daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ExchangeRequest {
    /// Id of the requesting daemon.
    pub sender: ids::DaemonId,
    /// Buckets of the digest, [`member_table::BUCKET_COUNT`] of them.
    pub buckets: Vec<u64>,
}

/// Answer to an [`ExchangeRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum ExchangeReply {
    /// The receiver has reached its limit of exchanges per second.
    Busy,
    /// Members in the buckets that differ.
    Members {
        /// Indexes of the buckets.
        differing: Vec<u8>,
        /// All members of the receiver in these buckets, including dead ones.
        records: Vec<member_record::MemberRecord>,
    },
}

/// Last message of an exchange: records that are newer at the requesting daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ExchangeReturn {
    /// Members that the answering daemon lacks or has older records of.
    pub records: Vec<member_record::MemberRecord>,
}

/// Rate limiter of the exchanges that a daemon starts and answers.
#[derive(Debug)]
pub struct ExchangeLimiter {
    /// Times of the first and last differing digest of the current series. A series ends after [`SERIES_GAP`] without a
    /// difference; a single equal digest doesn't end it, since two members may lack the same record.
    series: Option<(time::Instant, time::Instant)>,
    /// Earliest time of the next exchange that this daemon starts.
    not_before: time::Instant,
    interval: time::Duration,
    window_start: time::Instant,
    answered: u32,
}

impl ExchangeLimiter {
    /// Creates a limiter that allows no exchange before digests have differed for [`SETTLE_TIME`].
    #[must_use]
    pub fn new(now: time::Instant) -> Self {
        Self {
            series: None,
            not_before: now,
            interval: FIRST_INTERVAL,
            window_start: now,
            answered: 0,
        }
    }

    /// Decides whether a digest received from a peer starts an exchange; `equal` states whether it equals the own one.
    pub fn observe<R: rand::Rng + ?Sized>(&mut self, equal: bool, now: time::Instant, rng: &mut R) -> ExchangeDecision {
        if equal {
            return ExchangeDecision::Skip;
        }
        let series = self.series;
        let series = series.filter(|(_first, last)| now.saturating_duration_since(*last) < SERIES_GAP);
        let Some((first, _last)) = series else {
            self.series = Some((now, now));
            self.interval = FIRST_INTERVAL;
            // The jitter keeps members that observe the same difference from exchanging at the same time.
            let jitter = FIRST_INTERVAL.mul_f64(rng.random_range(0.0..1.0));
            self.not_before = self.not_before.max(now + SETTLE_TIME + jitter);
            return ExchangeDecision::Skip;
        };
        self.series = Some((first, now));
        if now < self.not_before {
            return ExchangeDecision::Skip;
        }
        self.not_before = now + self.interval.mul_f64(rng.random_range(0.5..1.5));
        self.interval = (self.interval * 2).min(MAX_INTERVAL);
        ExchangeDecision::Start
    }

    /// Counts a request for an exchange and returns whether to answer it.
    pub fn may_answer(&mut self, now: time::Instant) -> bool {
        if now.saturating_duration_since(self.window_start) >= time::Duration::from_secs(1) {
            self.window_start = now;
            self.answered = 0;
        }
        self.answered += 1;
        self.answered <= ANSWERS_PER_SECOND
    }
}

/// Encodes a message of an exchange, with fields by position. With named fields, the encoding of a table of 760 members
/// is more than twice as long.
///
/// # Errors
/// Returns an error if the message can't be encoded.
pub fn encode<T: serde::Serialize>(message: &T) -> Result<Vec<u8>, gossip_message::GossipError> {
    Ok(rmp_serde::to_vec(message)?)
}

/// Decodes a message of an exchange.
///
/// # Errors
/// Returns an error if the bytes are not a message of this type.
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, gossip_message::GossipError> {
    Ok(rmp_serde::from_slice(bytes)?)
}

/// Returns the first message of an exchange.
#[must_use]
pub fn request(sender: &ids::DaemonId, table: &member_table::MemberTable) -> ExchangeRequest {
    ExchangeRequest {
        sender: sender.clone(),
        buckets: table.buckets().to_vec(),
    }
}

/// Returns the answer to a request: the members in the buckets that differ from the requested ones.
#[must_use]
pub fn reply(request: &ExchangeRequest, table: &member_table::MemberTable) -> ExchangeReply {
    let differing: Vec<u8> = (0_u8..)
        .zip(table.buckets())
        .filter(|(position, bucket)| request.buckets.get(usize::from(*position)) != Some(bucket))
        .map(|(position, _bucket)| position)
        .collect();
    let records = members_in(&differing, table).cloned().collect();
    ExchangeReply::Members { differing, records }
}

/// Returns the members of this table that are newer than those of a reply, and the live members that the reply lacks.
#[must_use]
pub fn newer_than(
    differing: &[u8],
    records: &[member_record::MemberRecord],
    table: &member_table::MemberTable,
) -> ExchangeReturn {
    let newer = members_in(differing, table).filter(|record| {
        let peer_record = records
            .iter()
            .find(|peer_record| peer_record.daemon_id == record.daemon_id);
        peer_record.map_or(record.state.is_live(), |peer_record| {
            peer_record.clone().merge(record) == member_record::MergeResult::Changed
        })
    });
    ExchangeReturn {
        records: newer.cloned().collect(),
    }
}

fn members_in<'a>(
    buckets: &'a [u8],
    table: &'a member_table::MemberTable,
) -> impl Iterator<Item = &'a member_record::MemberRecord> {
    let records = table.iter().map(|(_key, entry)| &entry.record);
    records.filter(|record| {
        let bucket = member_table::bucket_of(&record.daemon_id);
        buckets.iter().any(|other| usize::from(*other) == bucket)
    })
}
