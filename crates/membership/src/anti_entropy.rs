//! Exchange of members between two daemons whose digests differ.

use std::time;

use damasktrack_entity::ids;
use rand::RngExt;

use crate::gossip_message;
use crate::member_record;
use crate::member_table;

/// Time for which digests must differ before an exchange. Gossip brings most changes to all members sooner, so a change
/// under way starts no exchanges.
pub const SETTLE_TIME: time::Duration = time::Duration::from_secs(12);
/// Time without a difference that ends a series of differences.
const SERIES_GAP: time::Duration = time::Duration::from_secs(10);
/// Mean time between two exchanges of one daemon; doubled while digests keep differing.
const FIRST_INTERVAL: time::Duration = time::Duration::from_secs(10);
/// Longest mean time between two exchanges while digests keep differing.
const MAX_INTERVAL: time::Duration = time::Duration::from_secs(80);
/// Exchanges that a daemon answers per second; asking daemons try others later.
const ANSWERS_PER_SECOND: u32 = 4;

/// What to do about a peer's digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeDecision {
    /// Nothing.
    Skip,
    /// Exchange members with this peer.
    Start,
}

/// Request of an exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ExchangeRequest {
    /// Asking daemon.
    pub sender: ids::DaemonId,
    /// Parts of the digest, [`member_table::BUCKET_COUNT`] of them.
    pub buckets: Vec<u64>,
}

/// Answer to an [`ExchangeRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum ExchangeReply {
    /// The receiver answers enough exchanges already.
    Busy,
    /// Members in the parts that differ.
    Members {
        /// Positions of the parts.
        differing: Vec<u8>,
        /// All members of the receiver in these parts, with dead ones.
        records: Vec<member_record::MemberRecord>,
    },
}

/// Last message of an exchange: what the asking daemon has newer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ExchangeReturn {
    /// Members that the answering daemon lacked or had older.
    pub records: Vec<member_record::MemberRecord>,
}

/// Limits the exchanges that a daemon asks for and answers.
#[derive(Debug)]
pub struct ExchangeLimiter {
    /// First and last difference of the present series. A series ends when no difference is met for a while; a single
    /// equal digest doesn't end it, since two members may lack the same record.
    series: Option<(time::Instant, time::Instant)>,
    /// No exchange is asked for before this time.
    not_before: time::Instant,
    interval: time::Duration,
    answered_since: time::Instant,
    answered: u32,
}

impl ExchangeLimiter {
    /// Creates a limiter that allows an exchange after the settle time.
    #[must_use]
    pub fn new(now: time::Instant) -> Self {
        Self {
            series: None,
            not_before: now,
            interval: FIRST_INTERVAL,
            answered_since: now,
            answered: 0,
        }
    }

    /// Decides about a digest received from a peer.
    pub fn observe<R: rand::Rng + ?Sized>(&mut self, equal: bool, now: time::Instant, rng: &mut R) -> ExchangeDecision {
        if equal {
            return ExchangeDecision::Skip;
        }
        let series = self.series;
        let series = series.filter(|(_first, last)| now.saturating_duration_since(*last) < SERIES_GAP);
        let Some((first, _last)) = series else {
            self.series = Some((now, now));
            self.interval = FIRST_INTERVAL;
            // Members that meet the same difference at once don't exchange at once.
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

    /// Decides whether to answer an exchange.
    pub fn may_answer(&mut self, now: time::Instant) -> bool {
        if now.saturating_duration_since(self.answered_since) >= time::Duration::from_secs(1) {
            self.answered_since = now;
            self.answered = 0;
        }
        self.answered += 1;
        self.answered <= ANSWERS_PER_SECOND
    }
}

/// Encodes a message of an exchange by position. With named fields a table of 760 members takes more than twice as
/// long.
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

/// Returns the request of an exchange.
#[must_use]
pub fn request(sender: &ids::DaemonId, table: &member_table::MemberTable) -> ExchangeRequest {
    ExchangeRequest {
        sender: sender.clone(),
        buckets: table.buckets().to_vec(),
    }
}

/// Returns the members in the parts that differ from a request's.
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

/// Returns what this table has newer than a reply's records.
#[must_use]
pub fn newer_than(
    differing: &[u8],
    records: &[member_record::MemberRecord],
    table: &member_table::MemberTable,
) -> ExchangeReturn {
    let newer = members_in(differing, table).filter(|record| {
        let theirs = records.iter().find(|theirs| theirs.daemon_id == record.daemon_id);
        theirs.map_or(record.state.is_live(), |theirs| {
            theirs.clone().merge(record) == member_record::MergeResult::Changed
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
