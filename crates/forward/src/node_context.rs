//! State and connections shared by the tasks of a daemon.

use std::cell;
use std::collections;
use std::net;
use std::rc;
use std::time;

use damasktrack_entity::ids;
use damasktrack_pipeline::account_handle;
use damasktrack_quarantine::crash_report;
use damasktrack_quarantine::request_digest;
use hyper::header;
use rand::RngExt;
use tokio::sync::mpsc;

use crate::core_handle;
use crate::crash_watch;
use crate::departure_log;
use crate::forward_metrics;
use crate::forward_settings;
use crate::http_link;
use crate::link_budget;
use crate::log_limiter;
use crate::quarantine_state;
use crate::quota_state;
use crate::stop_schedule;

/// Longest wait for a connection to another daemon. The round trip between regions is 60 ms. A lost SYN is
/// retransmitted only after a second, and trying another server is faster.
const PEER_CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Idle time after which a connection to another daemon is closed.
const PEER_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Longest wait for a connection to the backend server, which runs on the same VM.
const SERVER_CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Idle time after which a connection to the backend server is closed, unless its `Keep-Alive` header states a shorter
/// one.
const SERVER_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(4);

/// State and connections shared by the tasks of a daemon.
#[derive(Debug)]
pub struct NodeContext {
    /// Settings, fixed for the lifetime of the process.
    pub settings: rc::Rc<forward_settings::ForwardSettings>,
    /// Handle to the decision state.
    pub core: core_handle::CoreHandle,
    /// Connections to the backend server.
    pub server: rc::Rc<http_link::LinkPool>,
    /// Instruments that the metrics endpoint exports.
    pub metrics: forward_metrics::ForwardMetrics,
    /// Rate limit of log lines about requests.
    pub log_limiter: log_limiter::LogLimiter,
    /// Rate limit of log lines about rows of members.
    pub row_limiter: log_limiter::LogLimiter,
    /// Bytes and connections that callers occupy.
    pub account: account_handle::AccountHandle,
    /// Departures of the backend server that the store has to keep.
    pub departures: departure_log::DepartureLog,
    /// Calls at the backend server, by which its end is detected.
    pub crash_watch: crash_watch::CrashWatch,
    /// Requests that crash the servers that run them.
    pub quarantine: quarantine_state::QuarantineState,
    /// Crashes of the backend server that the store has to keep.
    crash_rows: mpsc::UnboundedSender<crash_report::CrashId>,
    /// Planned stop of this daemon, once it has begun.
    pub stop: stop_schedule::PlannedStop,
    /// Number of callers' requests in flight.
    pub in_flight: cell::Cell<usize>,
    /// Quotas of the tenants; `None` without bounds for them in the settings.
    pub quota: Option<quota_state::QuotaState>,
    /// Bound of the connections to the backend server.
    pub server_links: rc::Rc<link_budget::LinkBudget>,
    /// Bound of the connections to other daemons.
    pub peer_links: rc::Rc<link_budget::LinkBudget>,
    due_crash_rows: cell::RefCell<Option<mpsc::UnboundedReceiver<crash_report::CrashId>>>,
    peers: cell::RefCell<collections::HashMap<net::SocketAddr, rc::Rc<http_link::LinkPool>>>,
}

impl NodeContext {
    /// Creates the shared state, without open connections.
    #[must_use]
    pub fn new(
        settings: rc::Rc<forward_settings::ForwardSettings>,
        core: core_handle::CoreHandle,
        metrics: forward_metrics::ForwardMetrics,
    ) -> rc::Rc<Self> {
        let policy = http_link::LinkPolicy {
            connect_timeout: SERVER_CONNECT_TIMEOUT,
            idle_limit: SERVER_IDLE_TIMEOUT,
        };
        let account = account_handle::AccountHandle::new(settings.process_limits.account_bounds());
        let limit = settings.process_limits.outgoing_connections();
        let server_links = link_budget::LinkBudget::new(limit, account.clone());
        let peer_links = link_budget::LinkBudget::new(limit, account.clone());
        let (crash_rows, due_crash_rows) = mpsc::unbounded_channel();
        rc::Rc::new(Self {
            account,
            server: http_link::LinkPool::new(settings.server_address, policy, &server_links),
            server_links,
            peer_links,
            quarantine: quarantine_state::QuarantineState::new(settings.quarantine),
            quota: settings.quota_bounds.map(quota_state::QuotaState::new),
            settings,
            core,
            metrics,
            log_limiter: log_limiter::LogLimiter::default(),
            row_limiter: log_limiter::LogLimiter::default(),
            departures: departure_log::DepartureLog::default(),
            crash_watch: crash_watch::CrashWatch::default(),
            crash_rows,
            due_crash_rows: cell::RefCell::new(Some(due_crash_rows)),
            stop: stop_schedule::PlannedStop::default(),
            in_flight: cell::Cell::new(0),
            peers: cell::RefCell::default(),
        })
    }

    /// Returns the connection pool of the daemon at this peer address; creates it if necessary.
    #[must_use]
    pub fn peer(&self, address: net::SocketAddr) -> rc::Rc<http_link::LinkPool> {
        let policy = http_link::LinkPolicy {
            connect_timeout: PEER_CONNECT_TIMEOUT,
            idle_limit: PEER_IDLE_TIMEOUT,
        };
        let mut peers = self.peers.borrow_mut();
        let pool = peers
            .entry(address)
            .or_insert_with(|| http_link::LinkPool::new(address, policy, &self.peer_links));
        rc::Rc::clone(pool)
    }

    /// Returns the queue of crashes that the store has to keep; `None` after the first call.
    #[must_use]
    pub fn take_crash_rows(&self) -> Option<mpsc::UnboundedReceiver<crash_report::CrashId>> {
        self.due_crash_rows.borrow_mut().take()
    }

    /// Drops the connection pool of the daemon at this address, which closes its idle connections.
    pub fn close_links(&self, address: net::SocketAddr) {
        self.peers.borrow_mut().remove(&address);
    }

    /// Saves the departure of the backend server, if it has announced one. Precedes each acknowledgement of a departure,
    /// which binds all daemons after a restart as well. It must not be given unless the store has the departure.
    pub async fn settle_departure(&self) -> departure_log::SaveResult {
        let (departure, unidentified) = self.core.ask(|core, _now| {
            let server = core.server();
            (server.departure(), server.has_unidentified_departure())
        });
        let result = match departure {
            _ if unidentified => departure_log::SaveResult::Unconfirmed,
            Some(departure) => self.departures.save(departure).await,
            None => departure_log::SaveResult::Saved,
        };
        if result == departure_log::SaveResult::Unconfirmed {
            self.metrics.count_unacknowledged_departure();
            log::warn!(
                unidentified = unidentified;
                "departure of the backend server not acknowledged, since the store doesn't have it"
            );
        }
        result
    }

    /// Requests that the store gets the departure of the backend server, if there is one.
    pub fn request_departure_save(&self) {
        if let Some(departure) = self.core.ask(|core, _now| core.server().departure()) {
            self.departures.request(departure);
        }
    }

    /// Records the crash of the backend server with these requests in flight, here and in the store.
    pub fn record_crash(&self, suspects: Vec<request_digest::RequestDigest>) {
        let id = rand::rng().random();
        self.quarantine.record_crash(id, suspects);
        self.save_crash(id);
    }

    /// Records that a quarantined request is sent once more, here and in the store.
    pub fn record_trial(&self, digest: request_digest::RequestDigest) {
        let id = rand::rng().random();
        self.quarantine.record_trial(id, digest);
        self.save_crash(id);
    }

    fn save_crash(&self, id: crash_report::CrashId) {
        // Nothing reads the queue in tests of single parts.
        let _closed = self.crash_rows.send(id);
    }

    /// Closes connections that have been idle for longer than their limit.
    pub fn close_idle_links(&self, now: time::Instant) {
        self.server.close_idle(now);
        for pool in self.peers.borrow().values() {
            pool.close_idle(now);
        }
    }

    /// Logs the outcome of a request, unless the rate limit drops the line.
    pub fn log_request(&self, category: log_limiter::LogCategory, line: &RequestLog<'_>) {
        let log_limiter::LogDecision::Write { left_out } = self.log_limiter.decide(category, time::Instant::now())
        else {
            return;
        };
        let id = line.attempt_id.and_then(|id| id.to_str().ok()).unwrap_or("");
        let (class, elapsed) = (ids::text(line.class), line.elapsed.as_millis());
        let (version, running, queued) = self.core.ask(|core, _now| {
            let counts = core.gate_counts();
            (
                core.config().map_or(0, |config| config.version),
                counts.running,
                counts.queued,
            )
        });
        if let Some(tenant) = line.tenant.map(ids::text) {
            log::info!(
                request = id, class:% = class, tenant:% = tenant, outcome = line.outcome, elapsed_ms = elapsed,
                config = version, running = running, queued = queued, left_out = left_out;
                "{}", line.message
            );
            return;
        }
        log::info!(
            request = id, class:% = class, outcome = line.outcome, elapsed_ms = elapsed, config = version,
            running = running, queued = queued, left_out = left_out;
            "{}", line.message
        );
    }
}

/// Contents of a log line about a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestLog<'a> {
    /// Message of the line.
    pub message: &'a str,
    /// Id of the caller's attempt, if the request has one.
    pub attempt_id: Option<&'a header::HeaderValue>,
    /// Name of the request's route; `none` if no route matched.
    pub class: &'a ids::ClassName,
    /// Tenant of the request; `None` for the default tenant.
    pub tenant: Option<&'a ids::TenantName>,
    /// Outcome: a status, a reason or an error.
    pub outcome: &'a str,
    /// Time since the request arrived at this daemon, or since a failed call was sent.
    pub elapsed: time::Duration,
}
