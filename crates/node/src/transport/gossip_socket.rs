//! UDP socket of the gossip protocol.

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use bytes::Bytes;
use damasktrack_membership::gossip_message;
use damasktrack_membership::traffic_count;

use crate::call::byte_count;

/// Maximum number of received datagrams that the core has not processed. Further ones are dropped, so that a flood
/// can't exhaust memory.
const MAX_QUEUED: usize = 1024;
/// Bound on the wait for space in the send buffer, since sending blocks the core.
const SEND_TIMEOUT: time::Duration = time::Duration::from_millis(1);
/// Delay after a failed receive.
const RECEIVE_RETRY_DELAY: time::Duration = time::Duration::from_millis(10);

/// UDP socket of the gossip protocol. Clones share the socket and its counts.
#[derive(Clone, Debug)]
pub struct GossipSocket {
    socket: sync::Arc<net::UdpSocket>,
    queued: sync::Arc<atomic::AtomicUsize>,
    bytes: sync::Arc<byte_count::ByteCount>,
}

/// Received datagram. It counts towards the bound on unprocessed datagrams until it is dropped.
#[derive(Debug)]
pub struct ReceivedDatagram {
    /// Source address.
    pub from: net::SocketAddr,
    /// Payload, at most [`gossip_message::MAX_DATAGRAM_BYTES`] long.
    pub content: Bytes,
    queued: sync::Arc<atomic::AtomicUsize>,
}

impl Drop for ReceivedDatagram {
    fn drop(&mut self) {
        self.queued.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

impl GossipSocket {
    /// Binds the socket.
    ///
    /// # Errors
    /// Returns an error if the address can't be bound, for example because it is in use.
    pub fn bind(address: net::SocketAddr) -> io::Result<Self> {
        let socket = net::UdpSocket::bind(address)?;
        socket.set_write_timeout(Some(SEND_TIMEOUT))?;
        Ok(Self {
            socket: sync::Arc::new(socket),
            queued: sync::Arc::default(),
            bytes: sync::Arc::default(),
        })
    }

    /// Sends a datagram. A failure is treated as the loss of the datagram, which the gossip protocol tolerates.
    pub fn send(&self, to: net::SocketAddr, datagram: &[u8]) {
        match self.socket.send_to(datagram, to) {
            Ok(length) => self.bytes.add(with_headers(length), 0),
            Err(error) => log::debug!(to:% = to, error:% = error; "gossip datagram can't be sent"),
        }
    }

    /// Starts the thread that passes received datagrams to `on_datagram`.
    ///
    /// # Errors
    /// Returns an error if the thread can't be started.
    pub fn start(&self, on_datagram: impl Fn(ReceivedDatagram) + Send + 'static) -> io::Result<()> {
        let socket = self.clone();
        thread::Builder::new()
            .name("gossip".to_owned())
            .spawn(move || socket.receive(&on_datagram))
            .map(|_thread| ())
    }

    /// Returns the byte count of all datagrams, including the headers of the lower layers.
    #[must_use]
    pub fn bytes(&self) -> &sync::Arc<byte_count::ByteCount> {
        &self.bytes
    }

    fn receive(&self, on_datagram: &impl Fn(ReceivedDatagram)) {
        // One byte longer than the maximum, so that an oversized datagram is detected and not processed truncated.
        let mut buffer = [0; gossip_message::MAX_DATAGRAM_BYTES + 1];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer) {
                Ok(received) => received,
                Err(error) => {
                    log::debug!(error:% = error; "gossip datagram can't be received");
                    thread::sleep(RECEIVE_RETRY_DELAY);
                    continue;
                }
            };
            self.bytes.add(0, with_headers(length));
            if length > gossip_message::MAX_DATAGRAM_BYTES || self.queued.load(atomic::Ordering::Relaxed) >= MAX_QUEUED
            {
                continue;
            }
            self.queued.fetch_add(1, atomic::Ordering::Relaxed);
            on_datagram(ReceivedDatagram {
                from,
                content: Bytes::copy_from_slice(&buffer[..length]),
                queued: sync::Arc::clone(&self.queued),
            });
        }
    }
}

fn with_headers(length: usize) -> usize {
    length + usize::try_from(traffic_count::DATAGRAM_OVERHEAD).unwrap_or(0)
}
