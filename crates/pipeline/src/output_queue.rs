//! Bytes that are to be written to a connection.

use std::collections;
use std::io;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;

/// Largest chunk that is appended to the previous one by copying. Larger ones are queued apart.
const MAX_COPIED_BYTES: usize = 16 * 1024;

/// Queue of chunks, written with as few system calls as possible.
#[derive(Debug, Default)]
pub struct OutputQueue {
    chunks: collections::VecDeque<Bytes>,
    /// Bytes behind those of `chunks`.
    tail: BytesMut,
    /// Sum of the lengths of `chunks` and `tail`.
    length: usize,
}

impl OutputQueue {
    /// Appends a copy of `bytes`.
    pub fn copy(&mut self, bytes: &[u8]) {
        self.length += bytes.len();
        self.tail.extend_from_slice(bytes);
    }

    /// Appends `bytes`, without a copy if they are many.
    pub fn push(&mut self, bytes: Bytes) {
        if bytes.len() <= MAX_COPIED_BYTES {
            self.copy(&bytes);
            return;
        }
        self.length += bytes.len();
        self.flush_tail();
        self.chunks.push_back(bytes);
    }

    fn flush_tail(&mut self) {
        if !self.tail.is_empty() {
            self.chunks.push_back(self.tail.split().freeze());
        }
    }
}

impl Buf for OutputQueue {
    fn remaining(&self) -> usize {
        self.length
    }

    fn chunk(&self) -> &[u8] {
        self.chunks.front().map_or(&self.tail, Bytes::as_ref)
    }

    fn chunks_vectored<'a>(&'a self, dst: &mut [io::IoSlice<'a>]) -> usize {
        let tail = (!self.tail.is_empty()).then_some(&*self.tail);
        let chunks = self.chunks.iter().map(Bytes::as_ref).chain(tail);
        let mut count = 0;
        for (slot, chunk) in dst.iter_mut().zip(chunks) {
            *slot = io::IoSlice::new(chunk);
            count += 1;
        }
        count
    }

    fn advance(&mut self, cnt: usize) {
        self.length -= cnt;
        let mut left = cnt;
        while let Some(front) = self.chunks.front_mut() {
            if left < front.len() {
                front.advance(left);
                return;
            }
            left -= front.len();
            self.chunks.pop_front();
        }
        self.tail.advance(left);
    }
}
