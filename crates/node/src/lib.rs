//! The daemon as a library: actor, servers, clients, metrics, logs and shutdown.
