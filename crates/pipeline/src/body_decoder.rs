//! Decoding of a request body from its framing.

use bytes::BytesMut;

use crate::chunk_list;
use crate::request_fault;
use crate::request_head;

/// Maximum length of a chunk's size line, including extensions, which are ignored.
const MAX_SIZE_LINE_BYTES: usize = 4 * 1024;
/// Maximum length of the trailers of a chunked body, which are ignored.
const MAX_TRAILER_BYTES: usize = 16 * 1024;
/// Maximum number of trailers of a chunked body.
const MAX_TRAILERS: usize = 32;

/// Result of [`BodyDecoder::decode`].
#[derive(Debug)]
pub enum BodyStep {
    /// The buffer ends within the body.
    NeedInput,
    /// The body is complete and was removed from the buffer with its framing.
    Complete(chunk_list::ChunkList),
    /// The body is rejected.
    Fault(request_fault::RequestFault),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkPhase {
    Size,
    Data(u64),
    DataEnd,
    Trailers,
}

#[derive(Clone, Copy, Debug)]
enum DecodePhase {
    /// Number of bytes that are missing.
    Length(u64),
    Chunked(ChunkPhase),
}

/// Whether decoding can go on with the bytes at hand.
enum ChunkStep {
    Next(ChunkPhase),
    NeedInput,
    Complete,
    Fault(request_fault::RequestFault),
}

/// Decodes one request body, which it holds until it is complete.
#[derive(Debug)]
pub struct BodyDecoder {
    phase: DecodePhase,
    max_bytes: u64,
    /// Decoded bytes; never longer than `max_bytes`.
    body: chunk_list::ChunkList,
}

impl BodyDecoder {
    /// Creates a decoder that rejects bodies longer than `max_bytes`.
    #[must_use]
    pub fn new(framing: request_head::BodyFraming, max_bytes: usize) -> Self {
        Self {
            phase: match framing {
                request_head::BodyFraming::Length(length) => DecodePhase::Length(length),
                request_head::BodyFraming::Chunked => DecodePhase::Chunked(ChunkPhase::Size),
            },
            max_bytes: max_bytes as u64,
            body: chunk_list::ChunkList::default(),
        }
    }

    /// Returns the chunks that were decoded so far.
    #[must_use]
    pub fn body(&self) -> &chunk_list::ChunkList {
        &self.body
    }

    /// Takes as much of the body as there is from the start of `buffer`.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> BodyStep {
        match self.phase {
            DecodePhase::Length(missing) => self.decode_length(buffer, missing),
            DecodePhase::Chunked(phase) => self.decode_chunks(buffer, phase),
        }
    }

    fn decode_length(&mut self, buffer: &mut BytesMut, missing: u64) -> BodyStep {
        if self.body.len() as u64 + missing > self.max_bytes {
            return BodyStep::Fault(request_fault::RequestFault::BodyTooLarge);
        }
        let missing = self.take(buffer, missing);
        self.phase = DecodePhase::Length(missing);
        if missing > 0 {
            return BodyStep::NeedInput;
        }
        BodyStep::Complete(std::mem::take(&mut self.body))
    }

    fn decode_chunks(&mut self, buffer: &mut BytesMut, mut phase: ChunkPhase) -> BodyStep {
        loop {
            let step = match phase {
                ChunkPhase::Size => self.take_size(buffer),
                ChunkPhase::Data(missing) => match self.take(buffer, missing) {
                    0 => ChunkStep::Next(ChunkPhase::DataEnd),
                    missing => {
                        phase = ChunkPhase::Data(missing);
                        ChunkStep::NeedInput
                    }
                },
                ChunkPhase::DataEnd => take_line_end(buffer),
                ChunkPhase::Trailers => take_trailers(buffer),
            };
            match step {
                ChunkStep::Next(next) => phase = next,
                ChunkStep::NeedInput => {
                    self.phase = DecodePhase::Chunked(phase);
                    return BodyStep::NeedInput;
                }
                ChunkStep::Complete => return BodyStep::Complete(std::mem::take(&mut self.body)),
                ChunkStep::Fault(fault) => return BodyStep::Fault(fault),
            }
        }
    }

    fn take_size(&self, buffer: &mut BytesMut) -> ChunkStep {
        match httparse::parse_chunk_size(buffer) {
            Ok(httparse::Status::Complete((length, size))) => {
                let _line = buffer.split_to(length);
                if size > self.max_bytes - self.body.len() as u64 {
                    ChunkStep::Fault(request_fault::RequestFault::BodyTooLarge)
                } else if size == 0 {
                    ChunkStep::Next(ChunkPhase::Trailers)
                } else {
                    ChunkStep::Next(ChunkPhase::Data(size))
                }
            }
            Ok(httparse::Status::Partial) if buffer.len() <= MAX_SIZE_LINE_BYTES => ChunkStep::NeedInput,
            Ok(httparse::Status::Partial) | Err(_) => ChunkStep::Fault(request_fault::RequestFault::Malformed),
        }
    }

    /// Moves up to `missing` bytes to the body and returns how many are still missing.
    fn take(&mut self, buffer: &mut BytesMut, missing: u64) -> u64 {
        let count = usize::try_from(missing).unwrap_or(usize::MAX).min(buffer.len());
        self.body.take(buffer, count);
        missing - count as u64
    }
}

fn take_line_end(buffer: &mut BytesMut) -> ChunkStep {
    match buffer.first_chunk::<2>() {
        Some(b"\r\n") => {
            let _line_end = buffer.split_to(2);
            ChunkStep::Next(ChunkPhase::Size)
        }
        None if buffer.is_empty() || buffer[0] == b'\r' => ChunkStep::NeedInput,
        _ => ChunkStep::Fault(request_fault::RequestFault::Malformed),
    }
}

fn take_trailers(buffer: &mut BytesMut) -> ChunkStep {
    let mut headers = [httparse::EMPTY_HEADER; MAX_TRAILERS];
    match httparse::parse_headers(buffer, &mut headers) {
        Ok(httparse::Status::Complete((length, _headers))) => {
            let _trailers = buffer.split_to(length);
            ChunkStep::Complete
        }
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_TRAILER_BYTES => ChunkStep::NeedInput,
        Ok(httparse::Status::Partial) | Err(_) => ChunkStep::Fault(request_fault::RequestFault::Malformed),
    }
}
