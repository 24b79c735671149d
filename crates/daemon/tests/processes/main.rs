//! Daemons as processes, with callers and backend servers on plain sockets.

mod failures;
mod members;
mod request_path;
mod support;
