//! HTTP API for operators.

pub mod api_changes;
pub mod api_documents;
pub mod api_queries;
pub mod api_response;
pub mod api_server;
