//! Bodies as lists of chunks.
//!
//! A buffer that grows with the body needs up to three times its bytes while it is copied. A list needs them once.
//! Small chunks are joined, since an entry for each would cost many times its bytes.

use std::pin;
use std::sync;
use std::task;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use hyper::body;

use crate::account_handle;

/// Chunks of at least this length are kept without a copy.
const MIN_KEPT_BYTES: usize = 32 * 1024;
/// Bounds of the capacity of a block into which small chunks are joined.
const MIN_BLOCK_BYTES: usize = 8 * 1024;
/// See [`MIN_BLOCK_BYTES`].
const MAX_BLOCK_BYTES: usize = 64 * 1024;
/// A first chunk that is shorter is copied when another one follows, since it keeps its whole input buffer.
const MIN_FIRST_BYTES: usize = 4 * 1024;

/// Chunks of a body that is being received.
#[derive(Debug, Default)]
pub struct ChunkList {
    /// The only chunk so far, which need not be copied.
    first: Bytes,
    /// Full blocks behind `first`.
    rest: Vec<Bytes>,
    /// Block that small chunks are joined into, behind `rest`.
    block: BytesMut,
    length: usize,
    /// Capacity of `first`, `rest` and `block`.
    capacity: usize,
}

/// Commands.
impl ChunkList {
    /// Moves `count` bytes from the start of the buffer to the list.
    pub fn take(&mut self, buffer: &mut BytesMut, count: usize) {
        if self.length == 0 || count >= MIN_KEPT_BYTES {
            self.push(buffer.split_to(count).freeze());
        } else {
            self.copy(&buffer[..count]);
            buffer.advance(count);
        }
    }

    /// Appends a chunk.
    pub fn push(&mut self, chunk: Bytes) {
        if self.length == 0 {
            self.length = chunk.len();
            self.capacity = chunk.len().max(MIN_BLOCK_BYTES.min(chunk.len() * 2));
            self.first = chunk;
        } else if chunk.len() >= MIN_KEPT_BYTES {
            self.flush_block();
            self.length += chunk.len();
            self.capacity += chunk.len();
            self.rest.push(chunk);
        } else {
            self.copy(&chunk);
        }
    }

    /// Returns the complete body. `hold` is kept as long as it.
    #[must_use]
    pub fn finish(&mut self, hold: Option<account_handle::ForwardedHold>) -> ChunkedBody {
        self.flush_block();
        let list = std::mem::take(self);
        ChunkedBody {
            length: list.length,
            next: 0,
            shared: (!list.rest.is_empty() || hold.is_some()).then(|| {
                sync::Arc::new(SharedChunks {
                    rest: list.rest,
                    _hold: hold,
                })
            }),
            first: list.first,
        }
    }

    fn copy(&mut self, mut bytes: &[u8]) {
        if !self.first.is_empty() && self.first.len() < MIN_FIRST_BYTES {
            let first = std::mem::take(&mut self.first);
            self.capacity -= first.len().max(MIN_BLOCK_BYTES.min(first.len() * 2));
            self.length -= first.len();
            self.append(&first);
        }
        while !bytes.is_empty() {
            let taken = self.append(bytes);
            bytes = &bytes[taken..];
        }
    }

    /// Appends as many bytes as fit into the block, or into a new one if it is full.
    fn append(&mut self, bytes: &[u8]) -> usize {
        if self.block.len() == self.block.capacity() {
            self.flush_block();
            let size = self.length.next_power_of_two().clamp(MIN_BLOCK_BYTES, MAX_BLOCK_BYTES);
            self.block = BytesMut::with_capacity(size);
            self.capacity += self.block.capacity();
        }
        let count = bytes.len().min(self.block.capacity() - self.block.len());
        self.block.extend_from_slice(&bytes[..count]);
        self.length += count;
        count
    }

    /// Moves the block behind the full ones. One that is mostly empty, since a chunk follows that is kept without a copy,
    /// is copied to its size.
    fn flush_block(&mut self) {
        let block = std::mem::take(&mut self.block);
        if block.is_empty() {
            return;
        }
        if block.len() < block.capacity() / 2 {
            self.capacity -= block.capacity() - block.len();
            self.rest.push(Bytes::copy_from_slice(&block));
        } else {
            self.rest.push(block.freeze());
        }
    }
}

/// Queries.
impl ChunkList {
    /// Returns the number of bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether there is no byte.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the memory that the chunks occupy, in bytes.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.capacity
    }
}

/// A complete body. Clones share the chunks. As a body of hyper it yields one frame for each chunk.
#[derive(Clone, Debug, Default)]
pub struct ChunkedBody {
    first: Bytes,
    /// `None` if there is only the first chunk and nothing is counted.
    shared: Option<sync::Arc<SharedChunks>>,
    /// Chunks of `shared` that were read.
    next: usize,
    /// Bytes that were not read.
    length: usize,
}

#[derive(Debug)]
struct SharedChunks {
    rest: Vec<Bytes>,
    _hold: Option<account_handle::ForwardedHold>,
}

impl From<Bytes> for ChunkedBody {
    fn from(first: Bytes) -> Self {
        Self {
            length: first.len(),
            first,
            shared: None,
            next: 0,
        }
    }
}

impl ChunkedBody {
    /// Returns the number of bytes that were not read.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether there is no byte to read.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the bytes in one piece. A body of more than one chunk is copied.
    #[must_use]
    pub fn into_bytes(mut self) -> Bytes {
        let length = self.length;
        let first = self.next_chunk().unwrap_or_default();
        if first.len() == length {
            return first;
        }
        let mut joined = BytesMut::with_capacity(length);
        joined.extend_from_slice(&first);
        while let Some(chunk) = self.next_chunk() {
            joined.extend_from_slice(&chunk);
        }
        joined.freeze()
    }

    /// Returns the chunks that were not read, without a copy of their bytes.
    pub fn chunks(&self) -> impl Iterator<Item = Bytes> + use<> {
        let mut body = self.clone();
        std::iter::from_fn(move || body.next_chunk())
    }

    fn next_chunk(&mut self) -> Option<Bytes> {
        let chunk = if self.first.is_empty() {
            let chunk = self.shared.as_ref()?.rest.get(self.next)?.clone();
            self.next += 1;
            chunk
        } else {
            std::mem::take(&mut self.first)
        };
        self.length -= chunk.len();
        Some(chunk)
    }
}

impl body::Body for ChunkedBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        _cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, Self::Error>>> {
        task::Poll::Ready(self.next_chunk().map(|chunk| Ok(body::Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.length == 0
    }

    fn size_hint(&self) -> body::SizeHint {
        body::SizeHint::with_exact(self.length as u64)
    }
}
