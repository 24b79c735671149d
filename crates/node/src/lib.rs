//! Library of the daemon: core actor, servers, clients, metrics, logging and shutdown.
//!
//! [`process::node_run::run`] runs a daemon. A caller's request arrives at [`entry::entry_server`], and
//! [`run::call_begin`] obtains the decision about it. [`run::call_runner`] then sends its attempts: to the local
//! backend server through [`run::callee_runner`] and [`backend`], or to another daemon through [`peer::peer_client`],
//! whose [`entry::peer_server`] passes the call to its own [`run::callee_runner`]. All decisions are made by
//! [`core::node_core`], on the single thread of [`core::core_thread`]. [`members`] supplies the state of members,
//! configuration and backend server, and [`api`] the changes of operators.
//!
//! Dependencies between the folders go in one direction, from later to earlier ones in this order, which
//! `tests/folders.rs` checks: `call`, `transport`, `store`, `peer`, `backend`, `core`, `shared`, `members`, `run`,
//! `entry`, `api`, `process`.

pub mod api;
pub mod backend;
pub mod call;
pub mod core;
pub mod entry;
pub mod members;
pub mod peer;
pub mod process;
pub mod run;
pub mod shared;
pub mod store;
pub mod transport;

pub use process::graceful_shutdown;
pub use process::node_run;
pub use store::store_circuit;
