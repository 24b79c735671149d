//! The daemon as a library: actor, servers, clients, metrics, logs and shutdown.
//!
//! [`process::node_run::run`] starts a daemon. A caller's request enters at [`entry::entry_server`], is begun by
//! [`run::call_begin`], and [`run::call_runner`] makes its attempts: at the own backend server through
//! [`run::callee_runner`] and [`backend`], or at another daemon through [`peer::peer_client`], where
//! [`entry::peer_server`] takes it to that daemon's [`run::callee_runner`]. Every decision on the way is made by
//! [`core::node_core`], on the one thread of [`core::core_thread`]. Beliefs come in through [`members`], changes of operators
//! through [`api`].
//!
//! Folders depend on each other one way, in the order of `tests/folders.rs`, which checks it: `call`, `transport`, `store`,
//! `peer`, `backend`, `core`, `shared`, `members`, `run`, `entry`, `api`, `process`.

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
