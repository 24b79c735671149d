//! Work of the local backend server: arrival, queue, start and cancellation.

use std::sync::atomic;
use std::time;

use damasktrack_admission::gate_report;
use damasktrack_admission::level_view;
use damasktrack_entity::call_outcome;
use damasktrack_entity::ids;
use damasktrack_wire::peer_message;

use crate::call::call_class;
use crate::core::admission_control;
use crate::core::call_table;
use crate::core::core_command;
use crate::core::core_routes;
use crate::core::node_core;

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
        let decision = self.admission.cancel(call);
        if let Some(work) = self.calls.work(call) {
            work.cancelled.store(true, atomic::Ordering::Relaxed);
        }
        match decision {
            gate_report::CancelDecision::Running => {
                self.effects.cancel_at_backend_server(call);
                for child in self.calls.children(call) {
                    self.cancel_outgoing(child);
                }
            }
            gate_report::CancelDecision::Dropped => {
                self.refuse_work(call, call_outcome::RefusalReason::Cancelled, now);
            }
            gate_report::CancelDecision::Absent => {}
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
            let _delivered = reply.send(core_command::WorkDecision::Refuse { reason, report: None });
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
            let _delivered = reply.send(core_command::WorkDecision::Refuse { reason, report: None });
            return;
        };
        let gate_class = admission_control::gate_class(&arrival.context, &class);
        let decision = self.admission.offer(
            &gate_report::CallArrival {
                call: arrival.call,
                class: gate_class.clone(),
                tenant: class.tenant.clone(),
                // All calls of a request have the importance of the request, so that they are shed together.
                importance: arrival.context.level.importance,
                critical: self.classes.is_critical(&arrival.context.class),
                lane: admission_control::gate_lane(class.lane),
                level: arrival.context.level,
                deadline: arrival.deadline,
            },
            now,
        );
        self.metrics.count_arrival(&class, decision);
        let entry = call_table::WorkEntry {
            context: arrival.context,
            class,
            gate_class,
            deadline: arrival.deadline,
            sender: arrival.sender,
            waiting: None,
            cancelled: arrival.cancelled,
        };
        match decision {
            gate_report::ArrivalDecision::Refuse(reason) => {
                let report = Some(self.work_report(&entry, now));
                let _delivered = reply.send(core_command::WorkDecision::Refuse { reason, report });
            }
            gate_report::ArrivalDecision::Queued => {
                let waiting = Some(reply);
                let entry = call_table::WorkEntry { waiting, ..entry };
                self.calls.add_work(arrival.call, entry);
            }
            gate_report::ArrivalDecision::Start => {
                let _delivered = reply.send(start_decision(&entry.class));
                self.calls.add_work(arrival.call, entry);
            }
        }
        // The queue may have shed another call in favour of this one.
        self.start_queued(now);
    }

    /// Ends admitted work and returns the level that the path admits for its class.
    pub(crate) fn finish_work(
        &mut self,
        call: ids::CallId,
        result: gate_report::FinishResult,
        now: time::Instant,
    ) -> Option<call_outcome::LevelReport> {
        self.admission.finish(call, result, now);
        let work = self.calls.remove_work(call);
        if let Some(work) = &work {
            self.metrics.count_work_end(&work.class, result);
        }
        self.start_queued(now);
        work.map(|work| self.work_report(&work, now))
    }

    pub(crate) fn start_queued(&mut self, now: time::Instant) {
        loop {
            match self.admission.poll(now) {
                gate_report::NextStart::Idle => return,
                gate_report::NextStart::Refuse(call, reason) => self.refuse_work(call, reason, now),
                gate_report::NextStart::Start(call) => self.start_work(call, now),
            }
        }
    }

    fn start_work(&mut self, call: ids::CallId, now: time::Instant) {
        let Some(work) = self.calls.work_mut(call) else {
            self.admission.finish(call, gate_report::FinishResult::Cancelled, now);
            return;
        };
        let decision = start_decision(&work.class);
        let sent = work.waiting.take().map(|reply| reply.send(decision));
        if sent != Some(core_command::ReplyStep::Delivered) {
            self.calls.remove_work(call);
            self.admission.finish(call, gate_report::FinishResult::Cancelled, now);
        }
    }

    fn refuse_work(&mut self, call: ids::CallId, reason: call_outcome::RefusalReason, now: time::Instant) {
        let Some(work) = self.calls.remove_work(call) else {
            return;
        };
        let report = Some(self.work_report(&work, now));
        self.metrics.count_work_refused(&work.class, reason);
        if let Some(reply) = work.waiting {
            let _delivered = reply.send(core_command::WorkDecision::Refuse { reason, report });
        }
    }
}

/// Queries.
impl node_core::NodeCore {
    /// Returns the worse of two levels for the class of a call: that of the gate, and the worst one that the responses
    /// to nested calls have reported.
    fn work_report(&self, work: &call_table::WorkEntry, now: time::Instant) -> call_outcome::LevelReport {
        let own = self.admission.report(&work.gate_class, &work.class.tenant);
        let key = core_routes::view_key(&work.context);
        level_view::higher_report(own, self.levels.highest_nested_report(&key, now))
    }
}

fn start_decision(class: &call_class::CallClass) -> core_command::WorkDecision {
    core_command::WorkDecision::Start {
        lane: class.lane,
        idempotent: class.idempotent,
        close_delimited: class.close_delimited,
    }
}
