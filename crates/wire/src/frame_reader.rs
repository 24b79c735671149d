//! Reading of frames from a byte stream.

use std::io;

use crate::call_frame;
use crate::codec;

/// Why no frame could be read.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error, derive_more::From)]
pub enum FrameError {
    /// The stream failed or ended inside a frame.
    #[display("stream of frames failed: {_0}")]
    Stream(io::Error),
    /// The bytes are not a frame.
    #[display("invalid frame: {_0}")]
    Codec(codec::CodecError),
}

/// Reader of frames; it keeps one buffer for all frames of a stream.
#[derive(Debug)]
pub struct FrameReader<R> {
    stream: R,
    buffer: Vec<u8>,
}

impl<R: io::Read> FrameReader<R> {
    /// Wraps a stream.
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
    /// Returns an error if the stream fails or ends inside a frame, or if the bytes are no frame.
    pub fn next_frame(&mut self) -> Result<Option<call_frame::CallFrame>, FrameError> {
        let mut prefix = [0; 4];
        let first = self.read_some(&mut prefix)?;
        if first == 0 {
            return Ok(None);
        }
        self.stream.read_exact(&mut prefix[first..])?;
        let length = u32::from_be_bytes(prefix) as usize;
        if length > codec::MAX_MESSAGE_BYTES {
            return Err(codec::CodecError::TooLarge { length }.into());
        }
        self.buffer.resize(length, 0);
        self.stream.read_exact(&mut self.buffer)?;
        Ok(Some(codec::decode(&self.buffer)?))
    }

    fn read_some(&mut self, prefix: &mut [u8]) -> io::Result<usize> {
        loop {
            match self.stream.read(prefix) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                result => return result,
            }
        }
    }
}
