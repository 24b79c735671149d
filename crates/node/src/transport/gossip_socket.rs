//! UDP socket of the gossip.

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

/// Datagrams that wait for the core; later ones are dropped, so that a flood takes no memory.
const MAX_QUEUED: usize = 1024;
/// Longest wait for room in the send buffer; the core must not wait longer.
const SEND_TIMEOUT: time::Duration = time::Duration::from_millis(1);
/// Pause after a failed receive.
const ERROR_PAUSE: time::Duration = time::Duration::from_millis(10);

/// UDP socket of the gossip; cheap to clone.
#[derive(Clone, Debug)]
pub struct GossipSocket {
    socket: sync::Arc<net::UdpSocket>,
    queued: sync::Arc<atomic::AtomicUsize>,
    bytes: sync::Arc<byte_count::ByteCount>,
}

/// Datagram on its way to the core.
#[derive(Debug)]
pub struct ReceivedDatagram {
    /// Sender.
    pub from: net::SocketAddr,
    /// Content.
    pub content: Bytes,
    queued: sync::Arc<atomic::AtomicUsize>,
}

impl Drop for ReceivedDatagram {
    fn drop(&mut self) {
        self.queued.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

impl GossipSocket {
    /// Opens the socket.
    ///
    /// # Errors
    /// Returns an error if the address is in use.
    pub fn bind(address: net::SocketAddr) -> io::Result<Self> {
        let socket = net::UdpSocket::bind(address)?;
        socket.set_write_timeout(Some(SEND_TIMEOUT))?;
        Ok(Self {
            socket: sync::Arc::new(socket),
            queued: sync::Arc::default(),
            bytes: sync::Arc::default(),
        })
    }

    /// Sends a datagram. One that can't be sent counts as lost, which the gossip repairs.
    pub fn send(&self, to: net::SocketAddr, datagram: &[u8]) {
        match self.socket.send_to(datagram, to) {
            Ok(length) => self.bytes.add(with_headers(length), 0),
            Err(error) => log::debug!(to:% = to, error:% = error; "gossip can't be sent"),
        }
    }

    /// Starts the thread that hands received datagrams on.
    ///
    /// # Errors
    /// Returns an error if the thread can't be started.
    pub fn start(&self, take: impl Fn(ReceivedDatagram) + Send + 'static) -> io::Result<()> {
        let socket = self.clone();
        thread::Builder::new()
            .name("gossip".to_owned())
            .spawn(move || socket.receive(&take))
            .map(|_thread| ())
    }

    /// Returns the bytes of all datagrams.
    #[must_use]
    pub fn bytes(&self) -> &sync::Arc<byte_count::ByteCount> {
        &self.bytes
    }

    fn receive(&self, take: &impl Fn(ReceivedDatagram)) {
        // One byte more than allowed, so that a longer datagram is not taken for a whole one.
        let mut buffer = [0; gossip_message::MAX_DATAGRAM_BYTES + 1];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer) {
                Ok(received) => received,
                Err(error) => {
                    log::debug!(error:% = error; "gossip can't be received");
                    thread::sleep(ERROR_PAUSE);
                    continue;
                }
            };
            self.bytes.add(0, with_headers(length));
            if length > gossip_message::MAX_DATAGRAM_BYTES || self.queued.load(atomic::Ordering::Relaxed) >= MAX_QUEUED
            {
                continue;
            }
            self.queued.fetch_add(1, atomic::Ordering::Relaxed);
            take(ReceivedDatagram {
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
