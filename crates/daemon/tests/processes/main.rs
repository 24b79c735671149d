//! Daemons as processes, with callers and backend servers on plain sockets.

mod failures;
mod request_path;
mod support;
