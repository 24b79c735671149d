//! Daemon settings: declaration, JSON reading and verification.
//!
//! [`settings_table`] declares every setting once; the reader, the verifier and the text rendering all follow it. The
//! crate reads no file and opens no socket.

pub mod daemon_settings;
pub mod settings_finding;
pub mod settings_reader;
pub mod settings_table;
mod settings_verifier;
