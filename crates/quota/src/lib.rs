//! Quotas of tenants, summed over all daemons.
//!
//! Every daemon owns an equal share of every limit ([`known_daemons`]) and delegates it to a coordinator for the time
//! of a lease. The coordinator ([`credit_coordinator`]) fills a bucket for each tenant in proportion to the delegated
//! shares and grants credits out of it to the daemons ([`credit_holder`], one for each of the [`holder_groups`]), which spend one per
//! request. A daemon
//! without a coordinator uses its own share. [`credit_wait`] decides on requests that find no credit. `docs/design/quotas.md` shows why the credits spent in a window are
//! bounded.
//!
//! The crate does no I/O and reads no clock. `now` is the time of a clock that includes suspensions of the machine; the
//! clocks of two daemons need not agree.

pub mod coordinator_choice;
pub mod credit_bucket;
pub mod credit_coordinator;
pub mod credit_holder;
pub mod credit_limit;
pub mod credit_message;
pub mod credit_wait;
pub mod holder_groups;
pub mod known_daemons;
pub mod refund_log;
pub mod room_record;

mod credit_account;
mod tenant_account;
