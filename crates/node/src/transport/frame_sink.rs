//! Consumers of response frames.

use std::cell;
use std::rc;

use damasktrack_wire::call_frame;

/// Whether a sink accepts further frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SinkStep {
    /// Further frames may be sent.
    Continue,
    /// The receiver has closed its connection or accepts no more frames; the producer has to stop.
    Stop,
}

/// Consumer of the frames of one response. It is shared with the watch of the call, which sends `Working` frames to it.
pub type FrameSink = rc::Rc<cell::RefCell<dyn FnMut(call_frame::CallFrame) -> SinkStep>>;

/// Passes a frame to a sink; returns whether the sink accepts further ones.
pub fn send(sink: &FrameSink, frame: call_frame::CallFrame) -> SinkStep {
    (sink.borrow_mut())(frame)
}
