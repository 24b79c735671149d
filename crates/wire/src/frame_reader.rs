//! Reader of frames from a byte stream.

use std::io;

use crate::call_frame;
use crate::codec;

/// Reason for which no frame could be read.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error, derive_more::From)]
pub enum FrameError {
    /// The stream failed, or ended within a frame.
    #[display("frame stream failed: {_0}")]
    Stream(io::Error),
    /// The bytes are not a valid frame, or the frame is too large.
    #[display("invalid frame: {_0}")]
    Codec(codec::CodecError),
}

/// Reader of frames, which reuses one buffer for all frames of a stream.
#[derive(Debug)]
pub struct FrameReader<R> {
    stream: R,
    buffer: Vec<u8>,
}

impl<R: io::Read> FrameReader<R> {
    /// Creates a reader. The stream must start at the beginning of a frame.
    #[must_use]
    pub fn new(stream: R) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads the next frame; `None` if the stream ended between two frames.
    ///
    /// # Errors
    /// Returns an error if the stream fails or ends within a frame, or if the bytes are not a valid frame.
    pub fn next_frame(&mut self) -> Result<Option<call_frame::CallFrame>, FrameError> {
        let mut prefix = [0; 4];
        let received = self.read_some(&mut prefix)?;
        if received == 0 {
            return Ok(None);
        }
        self.stream.read_exact(&mut prefix[received..])?;
        let length = u32::from_be_bytes(prefix) as usize;
        if length > codec::MAX_MESSAGE_BYTES {
            return Err(codec::CodecError::TooLarge { length }.into());
        }
        self.buffer.resize(length, 0);
        self.stream.read_exact(&mut self.buffer)?;
        Ok(Some(codec::decode(&self.buffer)?))
    }

    /// Reads at least one byte unless the stream has ended; an interrupted read is repeated.
    fn read_some(&mut self, prefix: &mut [u8]) -> io::Result<usize> {
        loop {
            match self.stream.read(prefix) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                result => return result,
            }
        }
    }
}
