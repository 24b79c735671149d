//! Second copy of a slow idempotent call, on a thread of its own.
//!
//! The thread of the call looks at the copy whenever it waits for the first attempt. The attempt whose head arrives
//! first answers the caller, and the other one is cancelled.

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

/// Interval in which the thread of the call looks at a running copy.
const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(5);
/// Frames of a copy that wait for the thread of the call.
const FRAMES_IN_FLIGHT: usize = 4;

/// Piece of what a copy delivers.
#[derive(Debug)]
pub(crate) enum HedgeEvent {
    /// Frame of the response.
    Frame(call_frame::CallFrame),
    /// End of the copy.
    End(peer_client::PeerEnd),
}

/// What a look at the copy shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HedgeLook {
    /// Look again after this time.
    Wait(time::Duration),
    /// The copy answers; the first attempt is no longer needed.
    Won,
    /// No copy runs, and none will be sent.
    Over,
}

/// Copy of one call.
#[derive(Debug)]
pub(crate) struct CallHedge {
    shared: sync::Arc<node_shared::NodeShared>,
    call: ids::CallId,
    lane: call_class::CallLane,
    deadline: time::Instant,
    started: time::Instant,
    after: time::Duration,
    phase: HedgePhase,
}

#[derive(Debug)]
enum HedgePhase {
    Waiting(call_runner::OutgoingRequest),
    Running(mpsc::Receiver<HedgeEvent>),
    /// Its head arrived first.
    Won(mpsc::Receiver<HedgeEvent>, call_frame::CallFrame),
    Over,
}

/// Commands.
impl CallHedge {
    pub(crate) fn new(
        shared: &sync::Arc<node_shared::NodeShared>,
        plan: &core_command::CallPlan,
        request: &call_runner::OutgoingRequest,
    ) -> Self {
        let after = plan.attempt.hedge_after;
        Self {
            shared: sync::Arc::clone(shared),
            call: plan.call,
            lane: plan.class.lane,
            deadline: plan.deadline,
            started: time::Instant::now(),
            after: after.unwrap_or_default(),
            phase: match after {
                Some(_) => HedgePhase::Waiting(request.clone()),
                None => HedgePhase::Over,
            },
        }
    }

    /// Sends the copy when it is time, and looks whether it answers.
    pub(crate) fn look(&mut self) -> HedgeLook {
        match std::mem::replace(&mut self.phase, HedgePhase::Over) {
            HedgePhase::Waiting(request) => {
                let elapsed = self.started.elapsed();
                if elapsed >= self.after {
                    return self.send(request, elapsed);
                }
                self.phase = HedgePhase::Waiting(request);
                HedgeLook::Wait(self.after.saturating_sub(elapsed))
            }
            HedgePhase::Running(events) => loop {
                match events.try_recv() {
                    Ok(HedgeEvent::Frame(call_frame::CallFrame::Working)) => {}
                    Ok(HedgeEvent::Frame(head @ call_frame::CallFrame::Head { .. })) => {
                        self.phase = HedgePhase::Won(events, head);
                        return HedgeLook::Won;
                    }
                    Err(mpsc::TryRecvError::Empty) => {
                        self.phase = HedgePhase::Running(events);
                        return HedgeLook::Wait(LOOK_INTERVAL);
                    }
                    Ok(_) | Err(mpsc::TryRecvError::Disconnected) => {
                        self.lose();
                        return HedgeLook::Over;
                    }
                }
            },
            HedgePhase::Won(events, head) => {
                self.phase = HedgePhase::Won(events, head);
                HedgeLook::Won
            }
            HedgePhase::Over => HedgeLook::Over,
        }
    }

    fn send(&mut self, request: call_runner::OutgoingRequest, elapsed: time::Duration) -> HedgeLook {
        let (call, copy) = (self.call, self.shared.next_call());
        let step = self.shared.core.ask(|reply| {
            core_command::CoreCommand::Hedge(core_hedges::HedgeCommand::Ask {
                call,
                copy,
                elapsed,
                reply,
            })
        });
        let step = match step {
            Some(core_hedges::HedgeStep::Never) | None => return HedgeLook::Over,
            Some(step) => step,
        };
        let (sender, events) = mpsc::sync_channel(FRAMES_IN_FLIGHT);
        let (shared, lane, deadline) = (sync::Arc::clone(&self.shared), self.lane, self.deadline);
        let submitted = self.shared.pool.submit(move || {
            if let Some(plan) = settle(&shared, call, step) {
                run(&shared, &plan, lane, deadline, &request, &sender);
            }
        });
        if submitted == worker_pool::SubmitResult::Full {
            self.lose();
            return HedgeLook::Over;
        }
        self.phase = HedgePhase::Running(events);
        HedgeLook::Wait(LOOK_INTERVAL)
    }

    /// Ends the copy, since the first attempt answers or the copy can't.
    pub(crate) fn lose(&mut self) {
        self.phase = HedgePhase::Over;
        let lost = core_hedges::HedgeCommand::Lost(self.call);
        self.shared.core.send(core_command::CoreCommand::Hedge(lost));
    }

    /// Ends the copy if it was sent.
    pub(crate) fn lose_if_sent(&mut self) {
        match self.phase {
            HedgePhase::Running(_) | HedgePhase::Won(..) => self.lose(),
            HedgePhase::Waiting(_) | HedgePhase::Over => self.phase = HedgePhase::Over,
        }
    }

    /// Lets the copy take the place of the first attempt, which ended so, and hands its frames over. `None` if no copy
    /// runs.
    pub(crate) fn take_over(
        &mut self,
        first: core_command::AttemptResult,
        cancelled: &call_watch::CancelFlag,
        on_frame: &mut dyn FnMut(call_frame::CallFrame) -> frame_sink::SinkStep,
    ) -> Option<peer_client::PeerEnd> {
        let (events, head) = match std::mem::replace(&mut self.phase, HedgePhase::Over) {
            HedgePhase::Running(events) => (events, None),
            HedgePhase::Won(events, head) => (events, Some(head)),
            HedgePhase::Waiting(_) | HedgePhase::Over => return None,
        };
        let won = core_hedges::HedgeCommand::Won(self.call, first);
        self.shared.core.send(core_command::CoreCommand::Hedge(won));
        if let Some(head) = head
            && on_frame(head) == frame_sink::SinkStep::Gone
        {
            return Some(peer_client::PeerEnd::Cancelled);
        }
        loop {
            let frame = match events.recv_timeout(call_watch::WAIT_SLICE) {
                Ok(HedgeEvent::Frame(frame)) => frame,
                Ok(HedgeEvent::End(end)) => return Some(end),
                Err(mpsc::RecvTimeoutError::Timeout) => call_frame::CallFrame::Working,
                Err(mpsc::RecvTimeoutError::Disconnected) => return Some(peer_client::PeerEnd::Broken),
            };
            let gone = on_frame(frame) == frame_sink::SinkStep::Gone;
            if gone || cancelled.load(atomic::Ordering::Relaxed) {
                return Some(peer_client::PeerEnd::Cancelled);
            }
        }
    }
}

/// Asks the owner of the request for the grant, if it is not this daemon.
fn settle(
    shared: &node_shared::NodeShared,
    call: ids::CallId,
    step: core_hedges::HedgeStep,
) -> Option<core_hedges::HedgePlan> {
    let step = match step {
        core_hedges::HedgeStep::RequestGrant(address, request) => {
            let answer = shared.peers.message(address, "/peer/grant", &request);
            let grant = answer.unwrap_or(peer_message::GrantReply::Denied);
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
        silence: Some(call_watch::PEER_SILENCE),
        cancelled: sync::Arc::clone(&plan.cancelled),
        slice: call_watch::WAIT_SLICE,
        on_wait: Box::new(|| call_watch::WatchStep::Continue),
    };
    let end = shared.peers.call(address, lane, body, watch, &mut |frame| {
        // The thread of the call takes frames or drops the receiver, so this does not wait for long.
        match sender.send(HedgeEvent::Frame(frame)) {
            Ok(()) => frame_sink::SinkStep::Continue,
            Err(_) => frame_sink::SinkStep::Gone,
        }
    });
    let _gone = sender.send(HedgeEvent::End(end));
}
