//! Daemons as processes, with callers and backend servers on plain sockets.

mod actions;
mod cluster;
mod configuration;
mod failures;
mod overload;
mod request_path;
mod routes;
mod site;
mod support;
