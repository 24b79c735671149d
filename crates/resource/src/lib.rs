//! Declared resources, their verifier, revisions and change log.
//!
//! Decisions about an operator's change are made here: whether it is valid, which transaction commits it, and what a
//! daemon puts in force. The node crate reads, writes and sends.

pub mod change_log;
pub mod change_plan;
pub mod change_status;
pub mod config_log;
pub mod operator_access;
pub mod resource_document;
pub mod resource_set;
pub mod resource_verifier;
pub mod store_rows;
mod text_field;
