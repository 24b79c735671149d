//! A TCP relay that counts bytes. The kernel doesn't count socket bytes per process, and its count for the loopback
//! interface includes all other processes of the system.

use std::io;
use std::io::{Read, Write};
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;

/// Size of the buffer of each direction of a connection.
const BUFFER_BYTES: usize = 16 * 1024;

/// A relay to one target address. The accepting thread runs until the process ends.
#[derive(Clone, Debug)]
pub struct BenchRelay {
    address: net::SocketAddr,
    bytes: sync::Arc<atomic::AtomicU64>,
}

impl BenchRelay {
    /// Starts a relay on a free port of loopback.
    ///
    /// # Errors
    /// Returns the error of the listening socket.
    pub fn start(target: net::SocketAddr) -> io::Result<Self> {
        let listener = net::TcpListener::bind("127.0.0.1:0")?;
        let relay = Self {
            address: listener.local_addr()?,
            bytes: sync::Arc::new(atomic::AtomicU64::new(0)),
        };
        let bytes = sync::Arc::clone(&relay.bytes);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                // If the target is unreachable, the client sees a closed connection, as without the relay.
                drop(relay_connection(&client, target, &bytes));
            }
        });
        Ok(relay)
    }

    /// Returns the address to connect to.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns the bytes relayed so far in both directions, without TCP and IP headers.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes.load(atomic::Ordering::Relaxed)
    }
}

fn relay_connection(
    client: &net::TcpStream,
    target: net::SocketAddr,
    bytes: &sync::Arc<atomic::AtomicU64>,
) -> io::Result<()> {
    let server = net::TcpStream::connect(target)?;
    for (from, to) in [(client, &server), (&server, client)] {
        from.set_nodelay(true)?;
        let (from, to, bytes) = (from.try_clone()?, to.try_clone()?, sync::Arc::clone(bytes));
        thread::Builder::new()
            .stack_size(64 * 1024)
            .spawn(move || copy(from, to, &bytes))?;
    }
    Ok(())
}

fn copy(mut from: net::TcpStream, mut to: net::TcpStream, bytes: &atomic::AtomicU64) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(count) = from.read(&mut buffer) {
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
        bytes.fetch_add(count as u64, atomic::Ordering::Relaxed);
    }
    // The sockets may be closed already.
    drop(to.shutdown(net::Shutdown::Both));
    drop(from.shutdown(net::Shutdown::Both));
}
