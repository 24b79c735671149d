//! Retries that each root request has spent, across its whole chain.

use std::collections;
use std::time;

use bytes::Bytes;
use damasktrack_entity::request_identity;

/// Limits of a [`RetryLedger`].
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Most records, one per request. A record takes about 300 bytes.
    pub max_requests: usize,
    /// Retention of a record after its request's deadline, so that a late repeat by the caller is still counted.
    pub keep_after_deadline: time::Duration,
}

impl Default for RetryLimits {
    /// 30,000 records take about 9 MB of the 64 MB of a daemon. At 2,000 requests/s with a deadline of 2 s, 24,000 are
    /// live.
    fn default() -> Self {
        Self {
            max_requests: 30_000,
            keep_after_deadline: time::Duration::from_secs(10),
        }
    }
}

/// Request for one more attempt of a call.
#[derive(Clone, Debug)]
pub struct GrantCall {
    /// Id of the root request.
    pub request_id: Bytes,
    /// Allowance that the chain of the request declares.
    pub allowance: u32,
    /// Latest possible deadline of the request: now plus the deadline that the chain declares. With an earlier one, the
    /// record of a request that began while the ledger was full could expire too soon, and its allowance would be
    /// granted again.
    pub deadline: time::Instant,
}

/// Result of a request for one more attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantReply {
    /// One more attempt may be made.
    Granted {
        /// Retries left for the whole request.
        left: u32,
    },
    /// No further attempt may be made.
    Denied(DenialReason),
}

/// Why an attempt is denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(derive_more::Display)]
pub enum DenialReason {
    /// The request has spent its retry allowance.
    #[display("allowance_spent")]
    AllowanceSpent,
    /// The request's deadline has passed.
    #[display("deadline_passed")]
    DeadlinePassed,
    /// The id is bound to another incarnation.
    #[display("not_owner")]
    NotOwner,
    /// No record can be kept, and a grant without a record would not be counted.
    #[display("ledger_full")]
    LedgerFull,
}

/// Result of the arrival of a caller's call at the daemon that holds the retry ledger of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ArrivalReply {
    /// No record of an earlier arrival exists; the arrival takes nothing from the allowance.
    First,
    /// A repeat of the id, which counts as one of its retries.
    Repeat(GrantReply),
}

#[derive(Debug)]
struct RetryRecord {
    /// Number of grants so far. Never decreases.
    spent: u32,
    /// Time at which the record is dropped. Never moves to an earlier time.
    expires: time::Instant,
}

/// Ledger of the requests whose retries one daemon incarnation grants.
#[derive(Debug)]
pub struct RetryLedger {
    /// Only this incarnation grants retries of its bound ids: after a restart, earlier grants are not known.
    owner: request_identity::RequestOwner,
    limits: RetryLimits,
    /// At most `limits.max_requests`. A record is dropped only after its expiry, never to make room: an earlier drop
    /// would grant its allowance again.
    records: collections::HashMap<Bytes, RetryRecord>,
    /// Expiry times and ids of all `records`, earliest first.
    expiries: collections::BTreeSet<(time::Instant, Bytes)>,
}

impl RetryLedger {
    /// Creates an empty ledger for the incarnation `owner`.
    #[must_use]
    pub fn new(owner: request_identity::RequestOwner, limits: RetryLimits) -> Self {
        Self {
            owner,
            limits,
            records: collections::HashMap::new(),
            expiries: collections::BTreeSet::new(),
        }
    }

    /// Counts an arrival from the caller: the first one of an id creates its record, further ones need a grant.
    pub fn arrive(&mut self, call: &GrantCall, now: time::Instant) -> ArrivalReply {
        self.expire(now);
        if self.records.contains_key(&call.request_id) {
            return ArrivalReply::Repeat(self.grant(call, now));
        }
        // If the ledger is full, the call still runs; later grants are denied unless a record can be created by then.
        self.ensure_record(call);
        ArrivalReply::First
    }

    /// Grants one more attempt if the request's allowance is not spent.
    pub fn grant(&mut self, call: &GrantCall, now: time::Instant) -> GrantReply {
        self.expire(now);
        if let request_identity::RequestIdentity::Bound { owner, .. } = request_identity::parse(&call.request_id)
            && owner != self.owner
        {
            return GrantReply::Denied(DenialReason::NotOwner);
        }
        if now >= call.deadline {
            return GrantReply::Denied(DenialReason::DeadlinePassed);
        }
        if !self.ensure_record(call) {
            return GrantReply::Denied(DenialReason::LedgerFull);
        }
        let Some(record) = self.records.get_mut(&call.request_id) else {
            return GrantReply::Denied(DenialReason::LedgerFull);
        };
        if record.spent >= call.allowance {
            return GrantReply::Denied(DenialReason::AllowanceSpent);
        }
        record.spent += 1;
        GrantReply::Granted {
            left: call.allowance - record.spent,
        }
    }

    /// Drops expired records.
    pub fn expire(&mut self, now: time::Instant) {
        while let Some((expires, request_id)) = self.expiries.first()
            && *expires <= now
        {
            self.records.remove(request_id);
            self.expiries.pop_first();
        }
    }

    /// Creates the record or extends its lifetime; returns whether it exists.
    fn ensure_record(&mut self, call: &GrantCall) -> bool {
        let expires = call.deadline + self.limits.keep_after_deadline;
        if let Some(record) = self.records.get_mut(&call.request_id) {
            if record.expires < expires {
                self.expiries.remove(&(record.expires, call.request_id.clone()));
                self.expiries.insert((expires, call.request_id.clone()));
                record.expires = expires;
            }
            return true;
        }
        let oversized = call.request_id.len() > request_identity::MAX_REQUEST_ID_BYTES;
        if oversized || self.records.len() >= self.limits.max_requests {
            return false;
        }
        let request_id = Bytes::copy_from_slice(&call.request_id);
        self.expiries.insert((expires, request_id.clone()));
        self.records.insert(request_id, RetryRecord { spent: 0, expires });
        true
    }
}

impl RetryLedger {
    /// Returns the number of records, including expired ones that were not dropped yet.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there is no record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
