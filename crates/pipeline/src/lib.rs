//! Server side of an HTTP/1.1 connection whose requests may be pipelined.
//!
//! hyper takes one request at a time from a connection, and does not notice that its peer has disconnected while
//! further bytes are buffered. Here [`server_connection`] starts idempotent requests before earlier ones are answered,
//! within a bound, and writes the responses in the order of the requests. A connection that this side
//! ends has sent its whole response first ([`connection_close`]), unless the caller does not read it.
//!
//! [`request_reader`] turns bytes into requests and [`request_order`] decides what is started and which response closes
//! the connection; both are free of input and output. Parsing of heads and chunk sizes is left to `httparse`.

pub mod account_handle;
pub mod body_decoder;
pub mod byte_account;
pub mod chunk_list;
pub mod connection_close;
pub mod output_queue;
pub mod request_fault;
pub mod request_head;
pub mod request_order;
pub mod request_reader;
pub mod response_head;
pub mod server_connection;
