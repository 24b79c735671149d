//! Requests that end the servers that run them.
//!
//! [`request_digest`] identifies a request independent of the attempt, so that a request which a client sends again at
//! another machine is recognized.
//!
//! The crate does no I/O and reads no clock.

pub mod request_digest;
