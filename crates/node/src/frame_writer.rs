//! Frames of a response on a peer connection.

use std::cell;
use std::io;
use std::io::Write;
use std::rc;

use damasktrack_wire::call_frame;

use crate::frame_sink;
use crate::header_filter;

/// Head of every frame stream.
const STREAM_HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: application/msgpack\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Bytes of one chunk. `chunked_transfer` 1.5.0 panics on chunks whose length has more than four hexadecimal digits.
const CHUNK_BYTES: usize = 60 << 10;

/// Output of the chunk encoder, kept outside it so that its final chunk can be read after it is dropped.
#[derive(Clone, Debug, Default)]
struct PendingBytes(rc::Rc<cell::RefCell<Vec<u8>>>);

impl io::Write for PendingBytes {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.borrow_mut().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writer of one response. A response that fits one `Data` frame goes out in one write; longer ones are flushed frame
/// by frame.
pub struct FrameWriter {
    stream: Box<dyn io::Write + Send>,
    pending: PendingBytes,
    /// Absent once the last frame is written.
    encoder: Option<chunked_transfer::Encoder<PendingBytes>>,
    /// Body bytes that the head announced and that have not been seen.
    expected: Option<u64>,
    failed: bool,
}

impl std::fmt::Debug for FrameWriter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("FrameWriter")
            .field("failed", &self.failed)
            .finish_non_exhaustive()
    }
}

impl FrameWriter {
    /// Starts a response; nothing is written before the first flush.
    #[must_use]
    pub fn new(stream: Box<dyn io::Write + Send>) -> Self {
        let pending = PendingBytes::default();
        pending.0.borrow_mut().extend_from_slice(STREAM_HEAD);
        let encoder = chunked_transfer::Encoder::with_chunks_size(pending.clone(), CHUNK_BYTES);
        Self {
            stream,
            pending,
            encoder: Some(encoder),
            expected: None,
            failed: false,
        }
    }

    /// Takes a frame.
    pub fn push(&mut self, frame: &call_frame::CallFrame) -> frame_sink::SinkStep {
        if self.failed {
            return frame_sink::SinkStep::Gone;
        }
        match self.write_frame(frame) {
            Ok(()) => frame_sink::SinkStep::Continue,
            Err(error) => {
                log::debug!(error:% = error; "peer connection closed during a response");
                self.failed = true;
                frame_sink::SinkStep::Gone
            }
        }
    }

    fn write_frame(&mut self, frame: &call_frame::CallFrame) -> io::Result<()> {
        let bytes = call_frame::encode_frame(frame).map_err(io::Error::other)?;
        let Some(encoder) = &mut self.encoder else {
            return Err(io::Error::other("frame after the last one"));
        };
        encoder.write_all(&bytes)?;
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
                self.flush()
            }
            call_frame::CallFrame::Working | call_frame::CallFrame::Call(_) => self.flush(),
            call_frame::CallFrame::Refused { .. }
            | call_frame::CallFrame::End { .. }
            | call_frame::CallFrame::Abort { .. } => {
                if let Some(mut encoder) = self.encoder.take() {
                    encoder.flush()?;
                }
                self.write_pending()
            }
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        if let Some(encoder) = &mut self.encoder {
            encoder.flush()?;
        }
        self.write_pending()
    }

    fn write_pending(&mut self) -> io::Result<()> {
        let mut pending = self.pending.0.borrow_mut();
        self.stream.write_all(&pending)?;
        pending.clear();
        self.stream.flush()
    }
}
