//! What the tasks of a daemon share.

use std::cell;
use std::collections;
use std::net;
use std::rc;
use std::time;

use damasktrack_entity::ids;
use hyper::header;

use crate::core_handle;
use crate::decision_log;
use crate::forward_metrics;
use crate::forward_settings;
use crate::http_link;

/// Longest wait for a connection to another daemon: regions are 60 ms apart both ways, and a lost opening packet is
/// sent again after a second, when another server has long been tried.
const PEER_CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Time for which an idle connection to another daemon is kept.
const PEER_IDLE: time::Duration = time::Duration::from_secs(30);
/// Longest wait for a connection to the backend server on this machine.
const SERVER_CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Time for which an idle connection to the backend server is kept unless it states a shorter one.
const SERVER_IDLE: time::Duration = time::Duration::from_secs(4);

/// State and links that the tasks of a daemon share.
#[derive(Debug)]
pub struct NodeContext {
    /// Settings.
    pub settings: rc::Rc<forward_settings::ForwardSettings>,
    /// Decision state.
    pub core: core_handle::CoreHandle,
    /// Connections to the backend server.
    pub server: rc::Rc<http_link::LinkPool>,
    /// Counters and histograms.
    pub metrics: forward_metrics::ForwardMetrics,
    /// Log of decisions on requests.
    pub log: decision_log::DecisionLog,
    /// Requests of callers in progress.
    pub in_flight: cell::Cell<usize>,
    peers: cell::RefCell<collections::HashMap<net::SocketAddr, rc::Rc<http_link::LinkPool>>>,
}

impl NodeContext {
    /// Creates the shared part of a daemon.
    #[must_use]
    pub fn new(
        settings: rc::Rc<forward_settings::ForwardSettings>,
        core: core_handle::CoreHandle,
        metrics: forward_metrics::ForwardMetrics,
    ) -> rc::Rc<Self> {
        let policy = http_link::LinkPolicy {
            connect_timeout: SERVER_CONNECT_TIMEOUT,
            idle_limit: SERVER_IDLE,
        };
        rc::Rc::new(Self {
            server: http_link::LinkPool::new(settings.server_address, policy),
            settings,
            core,
            metrics,
            log: decision_log::DecisionLog::default(),
            in_flight: cell::Cell::new(0),
            peers: cell::RefCell::default(),
        })
    }

    /// Returns the connections to the daemon at this address.
    #[must_use]
    pub fn peer(&self, address: net::SocketAddr) -> rc::Rc<http_link::LinkPool> {
        let policy = http_link::LinkPolicy {
            connect_timeout: PEER_CONNECT_TIMEOUT,
            idle_limit: PEER_IDLE,
        };
        let mut peers = self.peers.borrow_mut();
        let pool = peers
            .entry(address)
            .or_insert_with(|| http_link::LinkPool::new(address, policy));
        rc::Rc::clone(pool)
    }

    /// Closes the idle connections to the daemon at this address.
    pub fn unlink(&self, address: net::SocketAddr) {
        self.peers.borrow_mut().remove(&address);
    }

    /// Closes connections that were idle for too long.
    pub fn trim_links(&self, now: time::Instant) {
        self.server.trim(now);
        for pool in self.peers.borrow().values() {
            pool.trim(now);
        }
    }

    /// Logs what became of a request, unless too many such lines were written lately.
    pub fn log_request(&self, subject: decision_log::LogSubject, line: &RequestLine<'_>) {
        let decision_log::LogDecision::Write { left_out } = self.log.decide(subject, time::Instant::now()) else {
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
        log::info!(
            request = id, class:% = class, outcome = line.outcome, elapsed_ms = elapsed, config = version,
            running = running, queued = queued, left_out = left_out;
            "{}", line.event
        );
    }
}

/// What a log line says of a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestLine<'a> {
    /// What happened.
    pub event: &'a str,
    /// Id of the caller's attempt.
    pub attempt_id: Option<&'a header::HeaderValue>,
    /// Route of the request.
    pub class: &'a ids::ClassName,
    /// Result and its cause.
    pub outcome: &'a str,
    /// Time since the request arrived at this daemon.
    pub elapsed: time::Duration,
}
