//! Work of the local backend server: arrival, queue, start and cancellation.

use std::sync::atomic;
use std::time;

use damasktrack_entity::call_outcome;
use damasktrack_entity::ids;
use damasktrack_wire::peer_message;

use crate::admission_control;
use crate::call_table;
use crate::core_command;
use crate::node_core;

/// Commands.
impl node_core::NodeCore {
    pub(crate) fn cancel_from_peer(&mut self, request: peer_message::CancelRequest, now: time::Instant) {
        let sender = (request.sender, request.sender_call);
        let Some(call) = self.calls.find_sender(&sender) else {
            if let Some(call) = self.find_pending(&sender) {
                self.cancel_pending(call);
            }
            return;
        };
        if self.calls.outgoing(call).is_some() {
            self.cancel_outgoing(call);
            return;
        }
        self.cancel_work(call, now);
    }

    fn cancel_work(&mut self, call: ids::CallId, now: time::Instant) {
        let decision = self.admission.cancel(call, now);
        if let Some(work) = self.calls.work(call) {
            work.cancelled.store(true, atomic::Ordering::Relaxed);
        }
        match decision {
            admission_control::CancelDecision::Running => {
                self.effects.cancel_at_backend_server(call);
                for child in self.calls.children(call) {
                    self.cancel_outgoing(child);
                }
            }
            admission_control::CancelDecision::Dropped => {
                self.refuse_work(call, call_outcome::RefusalReason::Cancelled, now);
            }
            admission_control::CancelDecision::Absent => {}
        }
    }

    pub(crate) fn arrive(
        &mut self,
        arrival: core_command::WorkArrival,
        reply: core_command::ReplySender<core_command::WorkDecision>,
        now: time::Instant,
    ) {
        if !self.config.settled {
            let reason = call_outcome::RefusalReason::Starting;
            let _gone = reply.send(core_command::WorkDecision::Refuse { reason, report: None });
            return;
        }
        let found = self.classes.find(
            &arrival.service,
            &arrival.method,
            &arrival.path,
            Some(&arrival.context.tenant),
        );
        let Some(class) = found else {
            let reason = call_outcome::RefusalReason::NotDeclared;
            let _gone = reply.send(core_command::WorkDecision::Refuse { reason, report: None });
            return;
        };
        let decision = self.admission.offer(
            &admission_control::CallArrival {
                call: arrival.call,
                class: class.clone(),
                level: arrival.context.level,
                deadline: arrival.deadline,
            },
            now,
        );
        if let admission_control::ArrivalDecision::Refuse(reason) = decision {
            let report = self.admission.report(&class.name, now);
            let _gone = reply.send(core_command::WorkDecision::Refuse { reason, report });
            return;
        }
        let waiting = if matches!(decision, admission_control::ArrivalDecision::Queued) {
            Some(reply)
        } else {
            let _gone = reply.send(core_command::WorkDecision::Start {
                report: self.admission.report(&class.name, now),
                idempotent: class.idempotent,
                close_delimited: class.close_delimited,
            });
            None
        };
        self.calls.add_work(
            arrival.call,
            call_table::WorkEntry {
                context: arrival.context,
                class,
                deadline: arrival.deadline,
                sender: arrival.sender,
                waiting,
                cancelled: arrival.cancelled,
            },
        );
    }

    pub(crate) fn start_queued(&mut self, now: time::Instant) {
        loop {
            match self.admission.poll(now) {
                admission_control::NextStart::Idle => return,
                admission_control::NextStart::Refuse(call, reason) => self.refuse_work(call, reason, now),
                admission_control::NextStart::Start(call) => self.start_work(call, now),
            }
        }
    }

    fn start_work(&mut self, call: ids::CallId, now: time::Instant) {
        let Some(work) = self.calls.work_mut(call) else {
            self.admission
                .finish(call, admission_control::FinishResult::Cancelled, now);
            return;
        };
        let decision = core_command::WorkDecision::Start {
            report: self.admission.report(&work.class.name, now),
            idempotent: work.class.idempotent,
            close_delimited: work.class.close_delimited,
        };
        let sent = work.waiting.take().map(|reply| reply.send(decision));
        if sent != Some(core_command::ReplyStep::Taken) {
            self.calls.remove_work(call);
            self.admission
                .finish(call, admission_control::FinishResult::Cancelled, now);
        }
    }

    fn refuse_work(&mut self, call: ids::CallId, reason: call_outcome::RefusalReason, now: time::Instant) {
        let Some(work) = self.calls.remove_work(call) else {
            return;
        };
        let report = self.admission.report(&work.class.name, now);
        if let Some(reply) = work.waiting {
            let _gone = reply.send(core_command::WorkDecision::Refuse { reason, report });
        }
    }
}
