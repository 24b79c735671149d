//! Writer of response frames to a peer connection.

use std::cell;
use std::io;
use std::io::Write;

use damasktrack_wire::call_frame;

use crate::transport::frame_sink;
use crate::transport::header_filter;

/// HTTP response head that precedes the frames.
const RESPONSE_HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: application/msgpack\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Size of a chunk. `chunked_transfer` 1.5.0 panics on a chunk whose length has more than four hexadecimal digits.
const MAX_CHUNK_BYTES: usize = 32 << 10;
/// Size of the write buffer. Chunks of at least this size bypass it.
const WRITE_BUFFER_BYTES: usize = 16 << 10;

thread_local! {
    /// Encoded form of the current frame; reused by all writers of a thread.
    static ENCODED: cell::RefCell<Vec<u8>> = const { cell::RefCell::new(Vec::new()) };
}

/// Output stream of a response, flushed on drop.
struct ResponseStream(Box<dyn io::Write + Send>);

impl io::Write for ResponseStream {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

impl Drop for ResponseStream {
    fn drop(&mut self) {
        // The peer detects a failed flush by the missing end of the stream.
        let _failed = self.0.flush();
    }
}

/// Writer of one response. A response whose body fits in one `Data` frame is sent in one write; a longer one is flushed
/// after each frame.
pub struct FrameWriter {
    /// `None` once the last frame was written or a write failed.
    encoder: Option<chunked_transfer::Encoder<io::BufWriter<ResponseStream>>>,
    head_written: bool,
    /// Body bytes that are still to come, if the head has a `Content-Length`.
    body_remaining: Option<u64>,
}

impl std::fmt::Debug for FrameWriter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("FrameWriter")
            .field("body_remaining", &self.body_remaining)
            .finish_non_exhaustive()
    }
}

impl FrameWriter {
    /// Creates a writer; nothing is written before the first frame.
    #[must_use]
    pub fn new(stream: Box<dyn io::Write + Send>) -> Self {
        let output = io::BufWriter::with_capacity(WRITE_BUFFER_BYTES, ResponseStream(stream));
        Self {
            encoder: Some(chunked_transfer::Encoder::with_chunks_size(output, MAX_CHUNK_BYTES)),
            head_written: false,
            body_remaining: None,
        }
    }

    /// Writes a frame; returns `Stop` if that fails, usually because the peer has closed the connection, or if the last
    /// frame was written before.
    pub fn push(&mut self, frame: &call_frame::CallFrame) -> frame_sink::SinkStep {
        match self.write_frame(frame) {
            Ok(()) => frame_sink::SinkStep::Continue,
            Err(error) => {
                log::debug!(error:% = error; "peer connection closed during a response");
                self.encoder = None;
                frame_sink::SinkStep::Stop
            }
        }
    }

    fn write_frame(&mut self, frame: &call_frame::CallFrame) -> io::Result<()> {
        let Some(encoder) = &mut self.encoder else {
            return Err(io::ErrorKind::BrokenPipe.into());
        };
        if !self.head_written {
            // The head bypasses the encoder, since it is not part of the chunked body.
            encoder.get_mut().write_all(RESPONSE_HEAD)?;
            self.head_written = true;
        }
        ENCODED.with_borrow_mut(|encoded| {
            encoded.clear();
            call_frame::encode_frame(frame, encoded).map_err(io::Error::other)?;
            encoder.write_all(encoded)
        })?;
        match frame {
            call_frame::CallFrame::Head { headers, .. } => {
                self.body_remaining = header_filter::content_length(headers);
                Ok(())
            }
            call_frame::CallFrame::Data(data) => {
                self.body_remaining = self
                    .body_remaining
                    .and_then(|remaining| remaining.checked_sub(data.len() as u64));
                if self.body_remaining == Some(0) {
                    // The `End` frame follows at once and is sent in the same write.
                    return Ok(());
                }
                flush(encoder)
            }
            call_frame::CallFrame::Working | call_frame::CallFrame::Call(_) => flush(encoder),
            call_frame::CallFrame::Refused { .. }
            | call_frame::CallFrame::End { .. }
            | call_frame::CallFrame::Abort { .. } => {
                // Dropping the encoder writes the last chunk and flushes the stream.
                self.encoder = None;
                Ok(())
            }
        }
    }
}

fn flush(encoder: &mut chunked_transfer::Encoder<io::BufWriter<ResponseStream>>) -> io::Result<()> {
    encoder.flush()?;
    encoder.get_mut().flush()
}
