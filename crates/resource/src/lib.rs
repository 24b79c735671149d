//! Declared resources, their verifier, revisions and change log.
//!
//! The crate decides whether a change by an operator is valid, which transaction commits it, and what a daemon puts in
//! force. The node crate performs the input and output.

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
