//! Daemon settings: declaration, JSON reading and verification.
//!
//! [`settings_table`] declares each setting once, and the reader, the verifier and the text rendering are driven by it.
//! The crate does not access files or sockets.

pub mod daemon_settings;
pub mod settings_finding;
pub mod settings_reader;
pub mod settings_table;
mod settings_verifier;
