//! Fake callers: arrivals, tries and their results.

use std::time;

use bytes::Bytes;
use damasktrack_admission::level_view;
use damasktrack_entity::admission_level;
use damasktrack_entity::call_outcome;
use rand::RngExt;
use stakker::CX;

use crate::call_world;
use crate::world_tally;

/// Greatest number of retries of a caller.
const MAX_CALLER_RETRIES: u32 = 3;
/// Mean backoff of a caller before its first retry; it doubles with each retry.
const CALLER_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

impl call_world::CallWorld {
    pub(super) fn arrive(&mut self, cx: CX![], index: usize) {
        let load = &self.scenario.loads[index];
        let (class, tenant, rate, end) = (load.class, load.tenant, load.rate, load.span.1);
        let draw: f64 = self.rng.random();
        let pause = time::Duration::from_secs_f64(-(1.0 - draw).ln() / rate.max(1e-9));
        let now = cx.now();
        if now - self.start >= end {
            return;
        }
        Self::schedule(cx, pause, call_world::WorldEvent::Arrive(index));
        let id = Bytes::from(format!("r{}", self.requests.len()));
        let importance = self.scenario.classes[class].importance;
        let owner = self.rng.random_range(0..self.scenario.entries);
        self.open += 1;
        self.requests.push(call_world::CallerRequest {
            class,
            tenant,
            level: admission_level::AdmissionLevel::of_request(importance, &id),
            id,
            started: now,
            tries: 0,
            current: None,
            ended: false,
            sent: vec![0; self.services.len()],
            owner,
        });
        Self::schedule(
            cx,
            self.scenario.network,
            call_world::WorldEvent::Try(self.requests.len() - 1),
        );
    }

    pub(super) fn caller_try(&mut self, cx: CX![], index: usize) {
        let now = cx.now();
        let node = self.rng.random_range(0..self.scenario.entries);
        let request = &mut self.requests[index];
        request.tries += 1;
        let (class, level, was_sent) = (request.class, request.level, request.sent[0] > 0);
        if self.is_damasktrack() {
            let key = self.view_key(index);
            let view = &mut self.nodes[node].view;
            let check = view.check(&self.services[0], &key, level, now);
            // A try that was refused before it was sent to a server used no server, so the next one needs no grant.
            // While a service sheds load, a retry takes the slot of another request, so only critical ones are retried.
            let (importance, critical) = (level.importance, self.scenario.classes[class].critical);
            let sheds = !critical && view.sheds(&self.services[0], &key, importance, now);
            let denied = check == level_view::LevelCheck::Refuse || (was_sent && sheds);
            if denied || (was_sent && !self.request_grant(index, now)) {
                self.record_refusal(call_outcome::RefusalReason::Overloaded);
                return Self::schedule(
                    cx,
                    self.scenario.network,
                    call_world::WorldEvent::Result(index, call_world::CallReply::Error),
                );
            }
            if !was_sent {
                let owner = self.requests[index].owner;
                self.nodes[owner].budget.first_attempt();
            }
        }
        let deadline = now + self.scenario.classes[class].deadline;
        let send = self.send(cx, index, 0, None, node, deadline);
        if self.sends.contains_key(send) {
            self.requests[index].current = Some(send);
            Self::schedule(
                cx,
                self.scenario.classes[class].deadline,
                call_world::WorldEvent::TryTimeout(index, send),
            );
        }
    }

    pub(super) fn caller_result(&mut self, cx: CX![], index: usize, reply: call_world::CallReply) {
        let now = cx.now();
        let draw: f64 = self.rng.random();
        let request = &mut self.requests[index];
        if request.ended {
            return;
        }
        request.current = None;
        let completed = reply == call_world::CallReply::Done;
        if !completed && request.tries <= MAX_CALLER_RETRIES {
            let pause = CALLER_RETRY_DELAY.mul_f64(f64::from(1_u32 << (request.tries - 1)) * (0.5 + draw));
            return Self::schedule(cx, pause, call_world::WorldEvent::Try(index));
        }
        request.ended = true;
        self.open -= 1;
        self.tally.borrow_mut().requests.push(world_tally::EndedRequest {
            class: request.class,
            tenant: request.tenant,
            started: request.started - self.start,
            ended: now - self.start,
            completed,
            most_attempts: request.sent.iter().copied().max().unwrap_or(0),
        });
    }
}
