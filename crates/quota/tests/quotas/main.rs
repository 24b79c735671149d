//! Tests of the quotas on virtual time.

mod comparison;
mod failures;
mod fuzz;
mod limit_changes;
mod messages;
mod quota_world;
mod rates;
mod refunds;
