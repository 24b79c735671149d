//! Ends of connections that do not destroy the last response.

use std::time;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

/// Bounds on the time and the bytes for which input is read and discarded after the last response. Closing a connection
/// with unread input resets it, which can destroy the response before the caller has read it.
const LINGER_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// See [`LINGER_TIMEOUT`].
const MAX_LINGER_BYTES: usize = 8 << 20;

/// Shuts the sending side down and discards further input within bounds, so that the caller can read its response.
pub async fn linger(mut stream: tokio::net::TcpStream) {
    let _shut_down = stream.shutdown().await;
    let mut buffer = vec![0; 16 << 10];
    let discard = async {
        let mut total = 0;
        while let Ok(length) = stream.read(&mut buffer).await {
            total += length;
            if length == 0 || total > MAX_LINGER_BYTES {
                return;
            }
        }
    };
    let _timeout = tokio::time::timeout(LINGER_TIMEOUT, discard).await;
}

/// Resets a connection. A response whose end is marked by the end of the connection would otherwise look complete.
pub fn reset(stream: tokio::net::TcpStream) {
    // If the option can't be set, the connection has failed already.
    let _failed = socket2::SockRef::from(&stream).set_linger(Some(time::Duration::ZERO));
    drop(stream);
}
