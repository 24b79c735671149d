//! Tests of the damasktrackd program: daemons run as processes, callers and backend servers on plain sockets.

mod actions;
mod cluster;
mod configuration;
mod deployment;
mod failures;
mod members;
mod overload;
mod pipelining;
mod request_path;
mod routes;
mod support;
