//! Messages and frames between daemons, encoded as MessagePack.
//!
//! The crate defines what daemons send each other and how it is written. It opens no connection and decides nothing.

pub mod call_frame;
pub mod codec;
pub mod frame_reader;
pub mod peer_message;
