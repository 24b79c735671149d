//! Hedged attempt: a second copy of a slow idempotent call, sent from a separate thread.
//!
//! The thread of the call polls the copy while it waits for the first attempt. The attempt whose response head arrives
//! first is relayed to the caller, and the other one is cancelled.

use std::sync;
use std::sync::atomic;
use std::sync::mpsc;
use std::time;

use damasktrack_entity::ids;
use damasktrack_wire::call_frame;
use damasktrack_wire::peer_message;

use crate::call::call_class;
use crate::call::call_watch;
use crate::core::core_command;
use crate::core::core_hedges;
use crate::core::core_routes;
use crate::peer::peer_client;
use crate::run::call_runner;
use crate::shared::node_shared;
use crate::transport::frame_sink;
use crate::transport::worker_pool;

/// Interval at which the thread of the call polls a running copy.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);
/// Maximum number of frames of a copy that are buffered for the thread of the call.
const MAX_BUFFERED_FRAMES: usize = 4;

/// Event of a running copy.
#[derive(Debug)]
pub(crate) enum HedgeEvent {
    /// A frame of the response arrived.
    Frame(call_frame::CallFrame),
    /// The copy ended.
    End(peer_client::PeerEnd),
}

/// State of the copy, as a poll finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HedgePoll {
    /// No copy has responded yet; poll again after this time.
    PollAfter(time::Duration),
    /// The response head of the copy has arrived; the first attempt is no longer needed.
    Responded,
    /// No copy is running, and none will be sent.
    Ended,
}

/// Hedge of one call: the copy and the decision when to send it.
#[derive(Debug)]
pub(crate) struct CallHedge {
    shared: sync::Arc<node_shared::NodeShared>,
    call: ids::CallId,
    lane: call_class::CallLane,
    deadline: time::Instant,
    started: time::Instant,
    delay: time::Duration,
    phase: HedgePhase,
}

#[derive(Debug)]
enum HedgePhase {
    Pending(call_runner::OutgoingRequest),
    Running(mpsc::Receiver<HedgeEvent>),
    /// The response head of the copy arrived first.
    Responded(mpsc::Receiver<HedgeEvent>, call_frame::CallFrame),
    Ended,
}

/// Commands.
impl CallHedge {
    pub(crate) fn new(
        shared: &sync::Arc<node_shared::NodeShared>,
        plan: &core_command::CallPlan,
        request: &call_runner::OutgoingRequest,
    ) -> Self {
        let delay = plan.attempt.hedge_after;
        Self {
            shared: sync::Arc::clone(shared),
            call: plan.call,
            lane: plan.class.lane,
            deadline: plan.deadline,
            started: time::Instant::now(),
            delay: delay.unwrap_or_default(),
            phase: match delay {
                Some(_) => HedgePhase::Pending(request.clone()),
                None => HedgePhase::Ended,
            },
        }
    }

    /// Sends the copy once its delay has passed, and checks whether its response has begun.
    pub(crate) fn poll(&mut self) -> HedgePoll {
        match std::mem::replace(&mut self.phase, HedgePhase::Ended) {
            HedgePhase::Pending(request) => {
                let elapsed = self.started.elapsed();
                if elapsed >= self.delay {
                    return self.send(request, elapsed);
                }
                self.phase = HedgePhase::Pending(request);
                HedgePoll::PollAfter(self.delay.saturating_sub(elapsed))
            }
            HedgePhase::Running(events) => loop {
                match events.try_recv() {
                    Ok(HedgeEvent::Frame(call_frame::CallFrame::Working)) => {}
                    Ok(HedgeEvent::Frame(head @ call_frame::CallFrame::Head { .. })) => {
                        self.phase = HedgePhase::Responded(events, head);
                        return HedgePoll::Responded;
                    }
                    Err(mpsc::TryRecvError::Empty) => {
                        self.phase = HedgePhase::Running(events);
                        return HedgePoll::PollAfter(POLL_INTERVAL);
                    }
                    Ok(_) | Err(mpsc::TryRecvError::Disconnected) => {
                        self.cancel();
                        return HedgePoll::Ended;
                    }
                }
            },
            HedgePhase::Responded(events, head) => {
                self.phase = HedgePhase::Responded(events, head);
                HedgePoll::Responded
            }
            HedgePhase::Ended => HedgePoll::Ended,
        }
    }

    fn send(&mut self, request: call_runner::OutgoingRequest, elapsed: time::Duration) -> HedgePoll {
        let (call, copy) = (self.call, self.shared.next_call());
        let step = self.shared.core.ask(|reply| {
            core_command::CoreCommand::Hedge(core_hedges::HedgeCommand::Begin {
                call,
                copy,
                elapsed,
                reply,
            })
        });
        let step = match step {
            Some(core_hedges::HedgeStep::Never) | None => return HedgePoll::Ended,
            Some(step) => step,
        };
        let (sender, events) = mpsc::sync_channel(MAX_BUFFERED_FRAMES);
        let (shared, lane, deadline) = (sync::Arc::clone(&self.shared), self.lane, self.deadline);
        let submitted = self.shared.pool.submit(move || {
            if let Some(plan) = obtain_grant(&shared, call, step) {
                run(&shared, &plan, lane, deadline, &request, &sender);
            }
        });
        if submitted == worker_pool::SubmitResult::Full {
            self.cancel();
            return HedgePoll::Ended;
        }
        self.phase = HedgePhase::Running(events);
        HedgePoll::PollAfter(POLL_INTERVAL)
    }

    /// Cancels the copy, because the first attempt has responded or the copy failed.
    pub(crate) fn cancel(&mut self) {
        self.phase = HedgePhase::Ended;
        let command = core_hedges::HedgeCommand::Cancel(self.call);
        self.shared.core.send(core_command::CoreCommand::Hedge(command));
    }

    /// Cancels the copy if it was sent, and otherwise prevents it from being sent.
    pub(crate) fn cancel_if_sent(&mut self) {
        match self.phase {
            HedgePhase::Running(_) | HedgePhase::Responded(..) => self.cancel(),
            HedgePhase::Pending(_) | HedgePhase::Ended => self.phase = HedgePhase::Ended,
        }
    }

    /// Replaces the first attempt, which ended with the result `first`, by the copy and passes the frames of the copy
    /// to `on_frame`. `None` if no copy is running.
    pub(crate) fn promote(
        &mut self,
        first: core_command::AttemptResult,
        cancelled: &call_watch::CancelFlag,
        on_frame: &mut dyn FnMut(call_frame::CallFrame) -> frame_sink::SinkStep,
    ) -> Option<peer_client::PeerEnd> {
        let (events, head) = match std::mem::replace(&mut self.phase, HedgePhase::Ended) {
            HedgePhase::Running(events) => (events, None),
            HedgePhase::Responded(events, head) => (events, Some(head)),
            HedgePhase::Pending(_) | HedgePhase::Ended => return None,
        };
        let command = core_hedges::HedgeCommand::Promote(self.call, first);
        self.shared.core.send(core_command::CoreCommand::Hedge(command));
        if let Some(head) = head
            && on_frame(head) == frame_sink::SinkStep::Stop
        {
            return Some(peer_client::PeerEnd::Cancelled);
        }
        loop {
            let frame = match events.recv_timeout(call_watch::POLL_INTERVAL) {
                Ok(HedgeEvent::Frame(frame)) => frame,
                Ok(HedgeEvent::End(end)) => return Some(end),
                Err(mpsc::RecvTimeoutError::Timeout) => call_frame::CallFrame::Working,
                Err(mpsc::RecvTimeoutError::Disconnected) => return Some(peer_client::PeerEnd::Failed),
            };
            let stopped = on_frame(frame) == frame_sink::SinkStep::Stop;
            if stopped || cancelled.load(atomic::Ordering::Relaxed) {
                return Some(peer_client::PeerEnd::Cancelled);
            }
        }
    }
}

/// Requests the grant for a copy from the owner of the request, unless this daemon is the owner. `None` if no copy may
/// be sent.
fn obtain_grant(
    shared: &node_shared::NodeShared,
    call: ids::CallId,
    step: core_hedges::HedgeStep,
) -> Option<core_hedges::HedgePlan> {
    let step = match step {
        core_hedges::HedgeStep::RequestGrant(address, request) => {
            let reply = shared.peers.message(address, "/peer/grant", &request);
            let grant = reply.unwrap_or(peer_message::GrantReply::Denied);
            shared.core.ask(|reply| {
                core_command::CoreCommand::Hedge(core_hedges::HedgeCommand::Granted { call, grant, reply })
            })?
        }
        step => step,
    };
    match step {
        core_hedges::HedgeStep::Send(plan) => Some(*plan),
        core_hedges::HedgeStep::RequestGrant(..) | core_hedges::HedgeStep::Never => None,
    }
}

fn run(
    shared: &sync::Arc<node_shared::NodeShared>,
    plan: &core_hedges::HedgePlan,
    lane: call_class::CallLane,
    deadline: time::Instant,
    request: &call_runner::OutgoingRequest,
    sender: &mpsc::SyncSender<HedgeEvent>,
) {
    let core_routes::RouteTarget::Peer(address) = plan.attempt.target else {
        return;
    };
    let Ok(body) = call_runner::encode_call(shared, plan.copy, &plan.attempt, request) else {
        return;
    };
    let watch = call_watch::CallWatch {
        deadline: deadline + call_runner::DEADLINE_GRACE,
        silence_timeout: Some(call_watch::PEER_SILENCE_TIMEOUT),
        cancelled: sync::Arc::clone(&plan.cancelled),
        poll_interval: call_watch::POLL_INTERVAL,
        on_wait: Box::new(|| call_watch::WatchStep::Continue),
    };
    let end = shared.peers.call(address, lane, body, watch, &mut |frame| {
        // The thread of the call either takes frames or drops the receiver, so the send does not block for long.
        match sender.send(HedgeEvent::Frame(frame)) {
            Ok(()) => frame_sink::SinkStep::Continue,
            Err(_) => frame_sink::SinkStep::Stop,
        }
    });
    let _receiver_dropped = sender.send(HedgeEvent::End(end));
}
