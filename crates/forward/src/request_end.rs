//! Metrics and log lines at the end of a caller's request.

use std::net;
use std::time;

use damasktrack_entity::ids;
use hyper::header;

use crate::local_reply;
use crate::log_limiter;
use crate::message_body;
use crate::node_context;
use crate::stall_watch;

/// A request whose response is known.
#[derive(Clone, Copy, Debug)]
pub struct EndedRequest<'a> {
    /// Id of the caller's attempt, if the request has one.
    pub attempt_id: Option<&'a header::HeaderValue>,
    /// Name of the request's route; `none` if no route matched.
    pub class: &'a ids::ClassName,
    /// Tenant of the request; `None` for the default tenant.
    pub tenant: Option<&'a ids::TenantName>,
    /// When the head was read.
    pub arrived: time::Instant,
}

impl EndedRequest<'_> {
    /// Records a request that gets a backend server's response.
    pub fn record_answer(&self, node: &node_context::NodeContext, status: hyper::StatusCode) {
        self.count(node, "answered");
        let category = if status.is_server_error() {
            log_limiter::LogCategory::Failure
        } else {
            log_limiter::LogCategory::Success
        };
        self.log(node, category, "request answered", status.as_str());
    }

    /// Records a request that gets no backend server's response, and returns the response of this daemon.
    #[must_use]
    pub fn finish_locally(
        &self,
        node: &node_context::NodeContext,
        reply: local_reply::LocalReply,
    ) -> hyper::Response<message_body::ReplyBody> {
        self.count(node, reply.outcome_label());
        let text = format!("{} {}", reply.status().as_str(), reply.text());
        self.log(node, log_limiter::LogCategory::Failure, "request not served", &text);
        reply.response()
    }

    /// Writes a log line, unless the rate limit drops it. Its time is that since the arrival.
    pub fn log(
        &self,
        node: &node_context::NodeContext,
        category: log_limiter::LogCategory,
        message: &str,
        outcome: &str,
    ) {
        let line = node_context::RequestLog {
            message,
            attempt_id: self.attempt_id,
            class: self.class,
            tenant: self.tenant,
            outcome,
            elapsed: self.arrived.elapsed(),
        };
        node.log_request(category, &line);
    }

    /// Logs where an attempt waited until the deadline of its request, `None` for the own backend server, and a pause
    /// of this process just before.
    pub fn log_timeout(&self, node: &node_context::NodeContext, peer: Option<net::SocketAddr>) {
        let paused = node.core.ask(|core, _now| core.longest_wait(stall_watch::boot_time()));
        let place = peer.map_or_else(|| "own backend server".to_owned(), |peer| peer.to_string());
        let outcome = format!("{place}; this process was paused for {} ms before", paused.as_millis());
        let category = log_limiter::LogCategory::Failure;
        self.log(node, category, "attempt not answered by the deadline", &outcome);
    }

    fn count(&self, node: &node_context::NodeContext, outcome: &'static str) {
        let elapsed = self.arrived.elapsed();
        node.metrics.record_request(self.class, outcome, elapsed);
        let Some(tenant) = self.tenant else {
            return;
        };
        // The configuration may have lost its tenants since the request arrived.
        let label = node.core.ask(|core, _now| {
            let table = core.config().and_then(|config| config.tenants());
            table.map(|table| table.metric_label(tenant))
        });
        if let Some(label) = label {
            node.metrics.record_tenant(label, outcome, elapsed);
        }
    }
}
