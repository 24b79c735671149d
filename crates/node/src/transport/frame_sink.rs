//! Receivers of response frames.

use std::cell;
use std::rc;

use damasktrack_wire::call_frame;

/// Whether the receiver takes further frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SinkStep {
    /// Go on.
    Continue,
    /// The receiver is gone.
    Gone,
}

/// Receiver of frames; shared with the watch of the call, which sends `Working` through it.
pub type FrameSink = rc::Rc<cell::RefCell<dyn FnMut(call_frame::CallFrame) -> SinkStep>>;

/// Hands a frame to a sink.
pub fn send(sink: &FrameSink, frame: call_frame::CallFrame) -> SinkStep {
    (sink.borrow_mut())(frame)
}
