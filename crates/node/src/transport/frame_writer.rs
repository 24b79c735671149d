//! Frames of a response on a peer connection.

use std::cell;
use std::io;
use std::io::Write;

use damasktrack_wire::call_frame;

use crate::transport::frame_sink;
use crate::transport::header_filter;

/// Head of every frame stream.
const STREAM_HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: application/msgpack\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Bytes of one chunk. `chunked_transfer` 1.5.0 panics on chunks whose length has more than four hexadecimal digits.
const CHUNK_BYTES: usize = 32 << 10;
/// Bytes that are gathered for one write; chunks of this size and above are written as they are.
const GATHERED_BYTES: usize = 16 << 10;

thread_local! {
    /// Encoded form of the current frame.
    static ENCODED: cell::RefCell<Vec<u8>> = const { cell::RefCell::new(Vec::new()) };
}

/// Stream of a request, flushed when the response ends.
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
        // The peer sees a failed flush as a missing end of the stream.
        let _failed = self.0.flush();
    }
}

/// Writer of one response. A response that fits one `Data` frame goes out in one write; longer ones are flushed frame
/// by frame.
pub struct FrameWriter {
    /// Absent once the last frame is written or a write has failed.
    encoder: Option<chunked_transfer::Encoder<io::BufWriter<ResponseStream>>>,
    head_written: bool,
    /// Body bytes that the head announced and that have not been seen.
    expected: Option<u64>,
}

impl std::fmt::Debug for FrameWriter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("FrameWriter")
            .field("expected", &self.expected)
            .finish_non_exhaustive()
    }
}

impl FrameWriter {
    /// Starts a response; nothing is written before the first frame.
    #[must_use]
    pub fn new(stream: Box<dyn io::Write + Send>) -> Self {
        let output = io::BufWriter::with_capacity(GATHERED_BYTES, ResponseStream(stream));
        Self {
            encoder: Some(chunked_transfer::Encoder::with_chunks_size(output, CHUNK_BYTES)),
            head_written: false,
            expected: None,
        }
    }

    /// Takes a frame.
    pub fn push(&mut self, frame: &call_frame::CallFrame) -> frame_sink::SinkStep {
        match self.write_frame(frame) {
            Ok(()) => frame_sink::SinkStep::Continue,
            Err(error) => {
                log::debug!(error:% = error; "peer connection closed during a response");
                self.encoder = None;
                frame_sink::SinkStep::Gone
            }
        }
    }

    fn write_frame(&mut self, frame: &call_frame::CallFrame) -> io::Result<()> {
        let Some(encoder) = &mut self.encoder else {
            return Err(io::ErrorKind::BrokenPipe.into());
        };
        if !self.head_written {
            // Outside the encoder, since the head is not part of the body.
            encoder.get_mut().write_all(STREAM_HEAD)?;
            self.head_written = true;
        }
        ENCODED.with_borrow_mut(|encoded| {
            encoded.clear();
            call_frame::encode_frame(frame, encoded).map_err(io::Error::other)?;
            encoder.write_all(encoded)
        })?;
        match frame {
            call_frame::CallFrame::Head { headers, .. } => {
                self.expected = header_filter::content_length(headers);
                Ok(())
            }
            call_frame::CallFrame::Data(data) => {
                self.expected = self
                    .expected
                    .and_then(|expected| expected.checked_sub(data.len() as u64));
                if self.expected == Some(0) {
                    // `End` follows at once and goes out with this frame.
                    return Ok(());
                }
                flush(encoder)
            }
            call_frame::CallFrame::Working | call_frame::CallFrame::Call(_) => flush(encoder),
            call_frame::CallFrame::Refused { .. }
            | call_frame::CallFrame::End { .. }
            | call_frame::CallFrame::Abort { .. } => {
                // Its drop writes the last chunk and flushes the stream.
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
