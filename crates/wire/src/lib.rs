//! Messages and frames between daemons, encoded as MessagePack.
//!
//! The crate defines the messages between daemons and their encoding. It opens no connections and holds no policy.

pub mod call_frame;
pub mod codec;
pub mod frame_reader;
pub mod peer_message;
