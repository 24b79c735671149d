//! Daemons as processes, with callers and backend servers on plain sockets.

mod actions;
mod cluster;
mod configuration;
mod failures;
mod members;
mod request_path;
mod support;
