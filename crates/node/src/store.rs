//! Client of the platform's store.

pub mod store_circuit;
pub mod store_client;
