//! Request ownership: at-most-once execution of actions, retry accounting and issue of request ids.
//!
//! One daemon incarnation is the authority for a request id: it decides whether an action runs and how many retries the
//! request may spend. The crate performs no I/O and reads no clock; the node crate sends calls, accesses the store and
//! passes in the current time.

mod action_entry;
pub mod action_key;
pub mod action_ledger;
pub mod action_step;
pub mod answer_archive;
pub mod answer_cache;
pub mod claim_plan;
mod claim_progress;
pub mod owner_choice;
pub mod request_issuer;
mod request_table;
pub mod retry_ledger;
