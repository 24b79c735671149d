//! Messages between the holders of credits and a coordinator, and their encoding.

use std::time;

use damasktrack_entity::ids;

use crate::coordinator_choice;

/// Time for which a share is delegated by one report.
pub const SHARE_LEASE: time::Duration = time::Duration::from_millis(2500);
/// Time for which credits may be spent after the report whose reply granted or confirmed them. It is shorter than
/// [`SHARE_LEASE`] by more than the longest interval of reports, so that credits end before the shares that back them.
pub const CREDIT_LEASE: time::Duration = time::Duration::from_millis(1200);

/// Length in milliseconds of the slots in which the ages of refunds are reported.
pub const REFUND_SLOT_MS: u64 = 100;

/// [`TenantGrant::wait_ms`] of a coordinator that has started recently, so that its buckets are empty whether or not a
/// tenant is above its limit. Earlier builds take it for a long wait.
pub const RECOVERING: u32 = u32::MAX;

/// Random number that a coordinator draws at its start.
pub type CoordinatorEpoch = u64;
/// Time on the coordinator's clock.
pub type CoordinatorTime = time::Duration;

/// Report of a holder.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CreditReport {
    /// Id of the holder.
    pub daemon_id: ids::DaemonId,
    /// Incarnation of the holder.
    pub incarnation: ids::Incarnation,
    /// Start time of the holder in milliseconds since the Unix epoch. Orders the incarnations.
    pub started_ms: u64,
    /// Number of the link in the incarnation, from whose start the totals count. A holder that returns to a coordinator
    /// starts a new one.
    pub link: u64,
    /// Number of this report in the incarnation.
    pub sequence: u64,
    /// Epoch of the coordinator that the counters and the stamp refer to; 0 if the holder knows none.
    pub epoch: CoordinatorEpoch,
    /// [`CreditReply::stamp`] of the last reply plus the time since its arrival, in milliseconds. The coordinator's
    /// clock shows at least this time when the report is sent, so a report that was delayed doesn't extend a
    /// delegation.
    pub sent_ms: u64,
    /// Part of every limit that the holder delegates; 0 for none.
    pub share: f64,
    /// Tenants with activity.
    pub tenants: Vec<TenantReport>,
}

/// Counters of one tenant at a holder, since the start of the link.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct TenantReport {
    /// Name of the tenant.
    pub tenant: ids::TenantName,
    /// Credits spent.
    pub spent: u64,
    /// Credits returned without being spent.
    pub returned: u64,
    /// Credits counted as spent whose requests did not run.
    pub refunded: u64,
    /// Number of unspent credits that the holder wants to have.
    pub wanted: u32,
    /// Refunds since the last report that was replied to, oldest first. The sum of their counts is at least the number
    /// of refunds that the coordinator doesn't know. Part of [`ReportTail`].
    #[serde(skip)]
    pub refund_ages: Vec<RefundAge>,
}

/// Refunds of credits that were spent in the same slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefundAge {
    /// Time from the spending to the sending of the report in slots of [`REFUND_SLOT_MS`], rounded up.
    pub slots: u8,
    /// Number of credits.
    pub count: u32,
}

/// Value after a report, left out if it is empty. Earlier builds reject a report with further fields, and don't read
/// beyond it. The fields are named, so that others can be added.
#[derive(Debug, Default)]
#[derive(serde::Serialize, serde::Deserialize)]
struct ReportTail {
    /// Position of each tenant with refunds in the report, and [`RefundAge::slots`] and [`RefundAge::count`] of each
    /// age.
    #[serde(default)]
    refunds: Vec<(u32, Vec<(u8, u32)>)>,
}

/// Reply of a coordinator.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CreditReply {
    /// Epoch of the coordinator.
    pub epoch: CoordinatorEpoch,
    /// Time on the coordinator's clock, in milliseconds.
    pub stamp_ms: u64,
    /// Grants, in the order of the report's tenants. Empty if the report refers to another epoch.
    pub grants: Vec<TenantGrant>,
}

/// Grant to one tenant at a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct TenantGrant {
    /// Credits granted in total. It falls when credits are withdrawn.
    pub granted: u64,
    /// Milliseconds until a credit is available, or [`RECOVERING`]; 0 if the holder has unspent credits or wants
    /// none.
    pub wait_ms: u32,
}

/// Encodes a message, with fields by position to keep it short.
///
/// # Errors
/// Returns an error if the message can't be encoded.
pub fn encode<T: serde::Serialize>(message: &T) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    rmp_serde::to_vec(message)
}

/// Decodes a message; `None` if it is malformed.
#[must_use]
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    rmp_serde::from_slice(bytes).ok()
}

/// Encodes a report and the group of its tenants.
///
/// # Errors
/// Returns an error if the report can't be encoded.
pub fn encode_report(
    group: coordinator_choice::GroupKey,
    report: &CreditReport,
) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let mut bytes = encode(&(group, report))?;
    let lines = (0_u32..).zip(&report.tenants);
    let lines = lines.filter(|(_position, line)| !line.refund_ages.is_empty());
    let fields = |refund: &RefundAge| (refund.slots, refund.count);
    let refunds = lines.map(|(position, line)| (position, line.refund_ages.iter().map(fields).collect()));
    let tail = ReportTail {
        refunds: refunds.collect(),
    };
    if !tail.refunds.is_empty() {
        bytes.extend(rmp_serde::to_vec_named(&tail)?);
    }
    Ok(bytes)
}

/// Decodes a report and the group of its tenants; `None` if it is malformed. Without a tail, as from an earlier build,
/// the refunds have no ages.
#[must_use]
pub fn decode_report(bytes: &[u8]) -> Option<(coordinator_choice::GroupKey, CreditReport)> {
    let mut rest = bytes;
    let message = rmp_serde::from_read(&mut rest).ok()?;
    let (group, mut report): (coordinator_choice::GroupKey, CreditReport) = message;
    if !rest.is_empty() {
        let tail: ReportTail = decode(rest)?;
        for (position, ages) in tail.refunds {
            let ages = ages.into_iter().map(|(slots, count)| RefundAge { slots, count });
            report.tenants.get_mut(position as usize)?.refund_ages = ages.collect();
        }
    }
    Some((group, report))
}

/// Returns a time in whole milliseconds, rounded down.
#[must_use]
pub fn millis(time: time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
