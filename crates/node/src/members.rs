//! Threads that keep beliefs fresh: members, configuration, health of the backend server, rows of the store.

pub mod background_checks;
pub mod config_sync;
pub mod member_jobs;
pub(crate) mod store_worker;
