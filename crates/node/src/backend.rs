//! Client of the backend server.

pub mod backend_client;
