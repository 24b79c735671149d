//! Stand-ins for the store, backend servers and callers of a small deployment on loopback. They use the standard
//! library only.

pub mod clock;
pub mod daemon;
pub mod http;
pub mod json;
pub mod record;
pub mod server;
pub mod site;
pub mod store;
