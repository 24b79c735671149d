//! Reading of successive requests from the bytes of a connection.

use bytes::BytesMut;

use crate::body_decoder;
use crate::chunk_list;
use crate::request_fault;
use crate::request_head;

/// Capacity above which an empty input buffer is replaced. A connection would otherwise keep the buffer of its longest
/// head or of the requests that it read ahead.
const MAX_IDLE_CAPACITY: usize = 16 * 1024;

/// Result of [`RequestReader::read_next`].
#[derive(Debug)]
pub enum ReadStep {
    /// The input ends within a request or between two requests.
    NeedInput,
    /// A head was read. The caller sets the limit of the body with [`RequestReader::read_body`].
    Head(Box<request_head::RequestHead>),
    /// The body of the last head was read.
    Body(chunk_list::ChunkList),
    /// The request is rejected. No further request is read.
    Fault(request_fault::RequestFault),
}

#[derive(Debug)]
enum ReaderPhase {
    Head,
    /// A head was returned, and the limit of its body is not set yet.
    Planned(request_head::BodyFraming),
    Body(body_decoder::BodyDecoder),
    /// No further request follows.
    Ended,
}

/// Splits the input of a connection into requests.
#[derive(Debug)]
pub struct RequestReader {
    input: BytesMut,
    phase: ReaderPhase,
    max_head_bytes: usize,
    /// Whether the request that is being read is the last one of the connection.
    is_last: bool,
}

/// Commands.
impl RequestReader {
    /// Creates a reader that rejects heads longer than `max_head_bytes`.
    #[must_use]
    pub fn new(max_head_bytes: usize) -> Self {
        Self {
            input: BytesMut::new(),
            phase: ReaderPhase::Head,
            max_head_bytes,
            is_last: false,
        }
    }

    /// Returns the buffer to which received bytes are appended.
    pub fn input(&mut self) -> &mut BytesMut {
        &mut self.input
    }

    /// Reads on in the input.
    pub fn read_next(&mut self) -> ReadStep {
        let step = self.read_step();
        if self.input.is_empty() && self.input.capacity() > MAX_IDLE_CAPACITY {
            self.input = BytesMut::new();
        }
        step
    }

    fn read_step(&mut self) -> ReadStep {
        match &mut self.phase {
            ReaderPhase::Head => self.next_head(),
            ReaderPhase::Planned(_framing) => ReadStep::NeedInput,
            ReaderPhase::Body(decoder) => match decoder.decode(&mut self.input) {
                body_decoder::BodyStep::NeedInput => ReadStep::NeedInput,
                body_decoder::BodyStep::Complete(body) => {
                    self.phase = if self.is_last {
                        ReaderPhase::Ended
                    } else {
                        ReaderPhase::Head
                    };
                    ReadStep::Body(body)
                }
                body_decoder::BodyStep::Fault(fault) => self.reject(fault),
            },
            ReaderPhase::Ended => {
                self.input.clear();
                ReadStep::NeedInput
            }
        }
    }

    /// Sets the limit of the body whose head was returned last.
    pub fn read_body(&mut self, max_bytes: usize) {
        if let ReaderPhase::Planned(framing) = self.phase {
            self.phase = ReaderPhase::Body(body_decoder::BodyDecoder::new(framing, max_bytes));
        }
    }

    /// Stops reading: input that follows is discarded.
    pub fn end(&mut self) {
        self.phase = ReaderPhase::Ended;
        self.input.clear();
    }

    fn next_head(&mut self) -> ReadStep {
        // A caller may send empty lines between requests (RFC 9112, section 2.2).
        let blank = self
            .input
            .iter()
            .take_while(|byte| matches!(byte, b'\r' | b'\n'))
            .count();
        let _blank_lines = self.input.split_to(blank);
        if self.input.is_empty() {
            return ReadStep::NeedInput;
        }
        match request_head::take(&mut self.input, self.max_head_bytes) {
            request_head::HeadStep::NeedInput => ReadStep::NeedInput,
            request_head::HeadStep::Complete(head) => {
                self.is_last = head.closes;
                self.phase = ReaderPhase::Planned(head.framing);
                ReadStep::Head(head)
            }
            request_head::HeadStep::Fault(fault) => self.reject(fault),
        }
    }

    fn reject(&mut self, fault: request_fault::RequestFault) -> ReadStep {
        self.end();
        ReadStep::Fault(fault)
    }
}

/// Queries.
impl RequestReader {
    /// Returns the number of received bytes that were not read yet.
    #[must_use]
    pub fn buffered(&self) -> usize {
        self.input.len()
    }

    /// Returns the memory of the input and of the incomplete body, in bytes.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.input.capacity() + self.body().map_or(0, chunk_list::ChunkList::capacity)
    }

    /// Returns the number of bytes of the incomplete body.
    #[must_use]
    pub fn body_length(&self) -> usize {
        self.body().map_or(0, chunk_list::ChunkList::len)
    }

    fn body(&self) -> Option<&chunk_list::ChunkList> {
        match &self.phase {
            ReaderPhase::Body(decoder) => Some(decoder.body()),
            _ => None,
        }
    }

    /// Returns whether the input ends within a head.
    #[must_use]
    pub fn is_in_head(&self) -> bool {
        matches!(self.phase, ReaderPhase::Head) && !self.input.is_empty()
    }

    /// Returns whether a head was returned whose body is incomplete.
    #[must_use]
    pub fn is_in_body(&self) -> bool {
        matches!(self.phase, ReaderPhase::Planned(_) | ReaderPhase::Body(_))
    }

    /// Returns whether no further request is read.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        matches!(self.phase, ReaderPhase::Ended)
    }
}
