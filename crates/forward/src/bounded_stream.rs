//! Stream that bounds how long the input of its connection occupies the event loop.
//!
//! Hyper reads and parses for as long as its connection has input, and all connections share one thread. A server that
//! sends heads as fast as they are read would hold the thread until its deadline. After a number of bytes the stream
//! reports that none are ready and wakes its task, so that the tasks of all other connections run first.

use std::cell;
use std::io;
use std::pin;
use std::rc;
use std::task;
use std::time;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;

/// Bytes read in one turn of the loop before the head of a response is complete. The shortest informational head has 16
/// bytes and takes under 2 microseconds to parse, so one turn takes about a millisecond.
const HEAD_TURN_BYTES: usize = 8 * 1024;
/// Bytes read in one turn otherwise. Bodies are copied, not parsed.
const BODY_TURN_BYTES: usize = 256 * 1024;
/// Bytes that a server may send before the final head of its response is complete, with all informational heads.
const MAX_HEAD_BYTES: usize = 128 * 1024;

/// Progress of a connection's input, shared by the stream and the sender of its requests.
#[derive(Debug, Default)]
pub struct InputMeter {
    /// Bytes that may still arrive before the final head; `None` while no head is awaited.
    head_left: cell::Cell<Option<usize>>,
    /// Time limit of data that the peer doesn't take, to be set before the next write.
    due_write_limit: cell::Cell<Option<time::Duration>>,
}

impl InputMeter {
    /// Records that a request is sent, whose response begins with a head.
    pub fn expect_head(&self) {
        self.head_left.set(Some(MAX_HEAD_BYTES));
    }

    /// Sets how long data may stay unacknowledged, or the peer's window closed, before the connection is closed. Applies
    /// from the next write on.
    pub fn set_write_limit(&self, limit: time::Duration) {
        self.due_write_limit.set(Some(limit));
    }

    /// Records that the final head of the response is complete.
    pub fn finish_head(&self) {
        self.head_left.set(None);
    }
}

/// Stream whose input is bounded in each turn of the event loop.
#[derive(Debug)]
pub struct BoundedStream {
    stream: tokio::net::TcpStream,
    meter: rc::Rc<InputMeter>,
    /// Bytes read since the last turn ended.
    turn_bytes: usize,
}

impl BoundedStream {
    /// Wraps a stream. `meter` says when a head is awaited.
    #[must_use]
    pub fn new(stream: tokio::net::TcpStream, meter: rc::Rc<InputMeter>) -> Self {
        Self {
            stream,
            meter,
            turn_bytes: 0,
        }
    }
}

impl BoundedStream {
    fn apply_write_limit(&self) {
        let Some(limit) = self.meter.due_write_limit.take() else {
            return;
        };
        if let Err(error) = socket2::SockRef::from(&self.stream).set_tcp_user_timeout(Some(limit)) {
            log::warn!(error:% = error; "time limit of unacknowledged data can't be set");
        }
    }

    /// Reads at most as many bytes as a head may still have in this turn.
    fn poll_head(
        &mut self,
        context: &mut task::Context<'_>,
        buffer: &mut tokio::io::ReadBuf<'_>,
        allowed: usize,
    ) -> task::Poll<io::Result<()>> {
        if buffer.remaining() <= allowed {
            return pin::Pin::new(&mut self.stream).poll_read(context, buffer);
        }
        // A part of the buffer has to be initialized, which the usual read of a whole one avoids.
        let mut part = tokio::io::ReadBuf::new(buffer.initialize_unfilled_to(allowed));
        let polled = pin::Pin::new(&mut self.stream).poll_read(context, &mut part);
        let length = part.filled().len();
        buffer.advance(length);
        polled
    }
}

/// Wakes the task after the runtime has polled its sockets and timers. A plain wake-up would run it again before that.
fn end_turn(context: &mut task::Context<'_>) -> task::Poll<io::Result<()>> {
    let mut turn = pin::pin!(tokio::task::yield_now());
    match turn.as_mut().poll(context) {
        task::Poll::Pending => {}
        // Outside of a runtime there is no other task to run first.
        task::Poll::Ready(()) => context.waker().wake_by_ref(),
    }
    task::Poll::Pending
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut tokio::io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let head_left = self.meter.head_left.get();
        if head_left == Some(0) {
            let text = "the bytes before the final head of the response exceed the limit";
            return task::Poll::Ready(Err(io::Error::other(text)));
        }
        let limit = head_left.map_or(BODY_TURN_BYTES, |left| left.min(HEAD_TURN_BYTES));
        let allowed = limit.saturating_sub(self.turn_bytes);
        if allowed == 0 {
            self.turn_bytes = 0;
            return end_turn(cx);
        }
        let (before, wanted) = (buf.filled().len(), buf.remaining().min(allowed));
        let polled = if head_left.is_some() {
            self.poll_head(cx, buf, allowed)
        } else {
            pin::Pin::new(&mut self.stream).poll_read(cx, buf)
        };
        let length = buf.filled().len() - before;
        // A read that leaves a part of the buffer has emptied the socket, so that the next one waits for the runtime.
        // The bytes of one response would otherwise limit the read of the next head, and `poll_head` would initialize 8
        // KiB.
        self.turn_bytes = if polled.is_pending() || length < wanted {
            0
        } else {
            self.turn_bytes + length
        };
        if let Some(left) = head_left {
            self.meter.head_left.set(Some(left.saturating_sub(length)));
        }
        polled
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        self.apply_write_limit();
        pin::Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: pin::Pin<&mut Self>, cx: &mut task::Context<'_>) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: pin::Pin<&mut Self>, cx: &mut task::Context<'_>) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        self.apply_write_limit();
        pin::Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
