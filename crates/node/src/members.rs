//! Threads that keep the daemon's view up to date: members, configuration, health of the backend server and rows of the
//! store.

pub mod background_checks;
pub mod config_sync;
pub mod member_jobs;
pub(crate) mod store_worker;
