//! Client of the platform's store and its circuit breaker.

pub mod store_circuit;
pub mod store_client;
