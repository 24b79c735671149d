//! Waiting for the next event of a connection.

use std::future;
use std::io;
use std::pin;
use std::task;
use std::time;

use bytes::Buf;
use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::BodyExt;
use hyper::body;
use tokio::sync::watch;

use super::Connection;
use super::SendingResponse;
use crate::account_handle;
use crate::output_queue;
use crate::request_order;

/// Capacity of a new input buffer.
const READ_BYTES: usize = 8 * 1024;
/// Least free space of the input buffer before each read. The heads of requests share a buffer until it has less left.
const MIN_READ_BYTES: usize = 2 * 1024;
/// Bytes of a response that may wait to be written before its body is read on.
const MAX_OUTPUT_BYTES: usize = 64 * 1024;
/// Interval at which a connection is checked for a disconnect while reading is paused.
const DISCONNECT_POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// A new phase, and the receiver for the next one.
pub(super) type PhaseChange = (
    request_order::ConnectionPhase,
    watch::Receiver<request_order::ConnectionPhase>,
);

/// What happened to a connection.
pub(super) enum ConnectionEvent<B> {
    Read(io::Result<usize>),
    Written(io::Result<usize>),
    Response(hyper::Response<B>),
    Frame(Option<Result<body::Frame<Bytes>, ()>>),
    PhaseChanged(PhaseChange),
    Timer,
    /// The account selected the connection.
    GivenUp(account_handle::HoldDemand),
    DisconnectPoll,
}

impl<T, P, S, F, R, B> Connection<'_, T, P, S, R, F, B>
where
    F: Future<Output = hyper::Response<B>>,
    B: body::Body<Data = Bytes> + Unpin,
{
    /// Waits for the next event.
    pub(super) async fn next_event(
        &mut self,
        stream: &mut tokio::net::TcpStream,
        phase_change: pin::Pin<&mut impl Future<Output = PhaseChange>>,
        timer: pin::Pin<&mut tokio::time::Sleep>,
    ) -> ConnectionEvent<B> {
        let wants_input = self.wants_input();
        let reads_body = self.sending.is_some() && self.out.remaining() < MAX_OUTPUT_BYTES;
        let closed = self.phase == request_order::ConnectionPhase::Closed;
        let (mut input, mut output) = stream.split();
        if wants_input {
            let buffer = self.reader.input();
            if buffer.capacity() - buffer.len() < MIN_READ_BYTES {
                buffer.reserve(READ_BYTES);
            }
        }
        tokio::select! {
            biased;
            Some(response) = self.running.next(), if !self.running.is_empty() => ConnectionEvent::Response(response),
            frame = next_frame(&mut self.sending), if reads_body => ConnectionEvent::Frame(frame),
            written = write(&mut output, &mut self.out), if self.out.has_remaining() => {
                ConnectionEvent::Written(written)
            }
            // Before reading, since input that never pauses would keep the request that has to be refused growing.
            demand = self.hold.given_up() => ConnectionEvent::GivenUp(demand),
            read = read(&mut input, self.reader.input()), if wants_input => ConnectionEvent::Read(read),
            change = phase_change, if !closed => ConnectionEvent::PhaseChanged(change),
            () = timer => ConnectionEvent::Timer,
            () = async { tokio::time::sleep(DISCONNECT_POLL_INTERVAL).await },
                if !wants_input && !self.disconnected => ConnectionEvent::DisconnectPoll,
        }
    }
}

/// Returns whether the caller has disconnected behind input that is not read. On platforms that don't report it, the
/// result is false.
pub(super) async fn has_disconnected(stream: &tokio::net::TcpStream) -> bool {
    let mut ready = pin::pin!(stream.ready(tokio::io::Interest::READABLE));
    let ready = future::poll_fn(|cx| task::Poll::Ready(ready.as_mut().poll(cx))).await;
    matches!(ready, task::Poll::Ready(Ok(ready)) if ready.is_read_closed())
}

async fn next_frame<B: body::Body<Data = Bytes> + Unpin>(
    sending: &mut Option<SendingResponse<B>>,
) -> Option<Result<body::Frame<Bytes>, ()>> {
    let frame = sending.as_mut()?.body.frame().await?;
    Some(frame.map_err(|_truncated| log::debug!("response of an inbound connection is truncated")))
}

/// Waits for a change of the phase. A listener that is gone has closed its connections.
pub(super) async fn next_phase(mut phases: watch::Receiver<request_order::ConnectionPhase>) -> PhaseChange {
    let phase = match phases.changed().await {
        Ok(()) => *phases.borrow_and_update(),
        Err(_closed) => request_order::ConnectionPhase::Closed,
    };
    (phase, phases)
}

async fn read(input: &mut tokio::net::tcp::ReadHalf<'_>, buffer: &mut bytes::BytesMut) -> io::Result<usize> {
    tokio::io::AsyncReadExt::read_buf(input, buffer).await
}

async fn write(
    output: &mut tokio::net::tcp::WriteHalf<'_>,
    queue: &mut output_queue::OutputQueue,
) -> io::Result<usize> {
    tokio::io::AsyncWriteExt::write_buf(output, queue).await
}
