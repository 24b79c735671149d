//! State of the backend server beside the daemon, from its heartbeats, deregistrations and connection attempts.

use std::collections;
use std::time;

use damasktrack_entity::ids;
use damasktrack_membership::server_departure;

use crate::server_hint;
use crate::server_notice;

/// Id of one instance of a backend server. An instance that restarts may keep its id.
pub type InstanceId = bytes::Bytes;

/// Whether the backend server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerCondition {
    /// It accepts requests.
    Ready,
    /// It completes its running requests and then exits.
    Draining,
}

/// One heartbeat of the backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerReport {
    /// Instance that sent the report.
    pub instance: InstanceId,
    /// Service that the instance provides.
    pub service: ids::ServiceName,
    /// Start time of the instance, in milliseconds since 1970; 0 if the heartbeat has none. The start time and the id
    /// identify one run of the instance, called a start.
    pub started_ms: u64,
    /// Sequence number, which increases with each report after one start.
    pub sequence: u64,
    /// Maximum number of requests that the instance runs concurrently.
    pub slots: u32,
    /// Whether the instance accepts new requests.
    pub condition: ServerCondition,
    /// Time left until the end of the slow phase after its start.
    pub cold_left: time::Duration,
}

/// Effect of a report on the known state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportEffect {
    /// None: it is older than the known state, or it doesn't concern the serving instance.
    Stale,
    /// None: it names neither the known instance nor a later start.
    Unknown,
    /// None, except for the sequence number.
    Unchanged,
    /// A change of the instance, service, slots, condition or reachability.
    Changed,
}

/// Maximum number of departures kept. One server at a time runs beside a daemon, and delayed heartbeats arrive within
/// seconds.
const MAX_DEPARTURES: usize = 8;

/// Departure of an instance, from its deregistration.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Departure {
    instance: InstanceId,
    /// Start time of the departed instance. If `None`, the next report of the instance sets it.
    started_ms: Option<u64>,
}

/// Known state of the backend server.
#[derive(Debug, Default)]
pub struct ServerState {
    report: Option<ServerReport>,
    /// Departures, oldest first. A departure may arrive before the first report of its instance, for example after a
    /// restart of the daemon.
    departures: collections::VecDeque<Departure>,
    /// Whether the backend server's address refused the last connection.
    unreachable: bool,
    /// Notices in the newest response of the start that `report` describes; `None` before its first response.
    notice: Option<server_notice::ServerNotice>,
    /// Limit of requests per second in force for that start.
    request_limit: Option<server_notice::RequestRate>,
}

/// Commands.
impl ServerState {
    /// Applies a heartbeat unless it is older than the known state.
    pub fn apply_report(&mut self, report: ServerReport) -> ReportEffect {
        for departure in &mut self.departures {
            if departure.instance == report.instance {
                departure.started_ms.get_or_insert(report.started_ms);
            }
        }
        let Some(known) = &self.report else {
            self.report = Some(report);
            self.unreachable = false;
            return ReportEffect::Changed;
        };
        let same_start = known.instance == report.instance && known.started_ms == report.started_ms;
        if report.started_ms < known.started_ms || (same_start && report.sequence <= known.sequence) {
            return ReportEffect::Stale;
        }
        let changed = !same_start
            || known.condition != report.condition
            || known.slots != report.slots
            || known.service != report.service
            || self.unreachable;
        // A draining instance becomes ready again only by a restart, so a ready report of the same start is outdated.
        let draining = same_start && known.condition == ServerCondition::Draining;
        let mut report = report;
        if draining {
            report.condition = ServerCondition::Draining;
        }
        self.unreachable = false;
        self.report = Some(report);
        if !same_start {
            self.notice = None;
            self.request_limit = None;
        }
        if changed {
            ReportEffect::Changed
        } else {
            ReportEffect::Unchanged
        }
    }

    /// Records that an instance has left. `started_ms` is `None` if the message has no start time. Later reports of the
    /// same start don't make it serving again. Nothing is recorded for an instance other than the known one, unless its
    /// start is later.
    pub fn apply_departure(&mut self, instance: &InstanceId, started_ms: Option<u64>) -> ReportEffect {
        let known = self.report.as_ref().filter(|report| report.instance == *instance);
        let departure = Departure {
            instance: instance.clone(),
            started_ms: started_ms.or(known.map(|report| report.started_ms)),
        };
        if self.departures.contains(&departure) {
            return ReportEffect::Stale;
        }
        if !self.may_depart(&departure) {
            return ReportEffect::Unknown;
        }
        let served = self.serving().is_some();
        if self.departures.len() == MAX_DEPARTURES {
            self.drop_departure();
        }
        self.departures.push_back(departure);
        if served && self.serving().is_none() {
            ReportEffect::Changed
        } else {
            ReportEffect::Stale
        }
    }

    /// Drops the oldest departure, but not one of the known instance as long as there is another.
    fn drop_departure(&mut self) {
        let known = self.report.as_ref().map(|report| &report.instance);
        let other = self
            .departures
            .iter()
            .position(|departure| Some(&departure.instance) != known);
        self.departures.remove(other.unwrap_or(0));
    }

    /// Records the notices in a response of a start. A response of an earlier start is stale.
    pub fn apply_notice(
        &mut self,
        instance: &InstanceId,
        started_ms: u64,
        notice: server_notice::ServerNotice,
    ) -> ReportEffect {
        if !self.is_start(instance, started_ms) {
            return ReportEffect::Stale;
        }
        if self.notice == Some(notice) {
            return ReportEffect::Unchanged;
        }
        self.notice = Some(notice);
        if notice.leaving {
            self.apply_departure(instance, Some(started_ms));
        }
        match notice.limit {
            server_notice::LimitNotice::Unlimited => self.request_limit = None,
            server_notice::LimitNotice::Limited(rate) => self.request_limit = Some(rate),
            server_notice::LimitNotice::Malformed => {}
        }
        ReportEffect::Changed
    }

    /// Applies what another daemon knows of a start. A departure is final; anything else applies unless the start has
    /// responded since this daemon's start.
    pub fn apply_hint(&mut self, hint: &server_hint::ServerHint) -> ReportEffect {
        if hint.leaving && self.is_start(&hint.instance, hint.started_ms) {
            return self.apply_departure(&hint.instance, Some(hint.started_ms));
        }
        if self.notice.is_some() || !self.is_start(&hint.instance, hint.started_ms) {
            return ReportEffect::Stale;
        }
        if self.request_limit == hint.request_limit {
            return ReportEffect::Unchanged;
        }
        self.request_limit = hint.request_limit;
        ReportEffect::Changed
    }

    /// Records that the backend server refused a connection. Its next report or response resets this.
    pub fn mark_unreachable(&mut self) -> ReportEffect {
        if self.unreachable {
            return ReportEffect::Unchanged;
        }
        self.unreachable = true;
        ReportEffect::Changed
    }

    /// Records that the backend server responded.
    pub fn mark_reachable(&mut self) -> ReportEffect {
        if !self.unreachable {
            return ReportEffect::Unchanged;
        }
        self.unreachable = false;
        ReportEffect::Changed
    }
}

/// Queries.
impl ServerState {
    /// Returns the newest report, also of a draining or departed instance.
    #[must_use]
    pub fn report(&self) -> Option<&ServerReport> {
        self.report.as_ref()
    }

    /// Returns the notices for other daemons; `None` if there are none.
    #[must_use]
    pub fn hint(&self) -> Option<server_hint::ServerHint> {
        let report = self.report.as_ref()?;
        let hint = server_hint::ServerHint {
            instance: report.instance.clone(),
            started_ms: report.started_ms,
            request_limit: self.request_limit,
            leaving: self.serving().is_none(),
        };
        (hint.leaving || hint.request_limit.is_some()).then_some(hint)
    }

    /// Returns the limit of requests per second in force; `None` if there is none.
    #[must_use]
    pub fn request_limit(&self) -> Option<server_notice::RequestRate> {
        self.request_limit
    }

    /// Returns the newest report if its instance is ready and has not departed.
    #[must_use]
    pub fn serving(&self) -> Option<&ServerReport> {
        let report = self.report.as_ref()?;
        let departed = self.departures.iter().any(|departure| {
            let covers = |started_ms: u64| report.started_ms <= started_ms;
            departure.instance == report.instance && departure.started_ms.is_some_and(covers)
        });
        let ready = report.condition == ServerCondition::Ready && !departed;
        ready.then_some(report)
    }

    /// Returns the latest start that has announced its departure, by a draining report, a deregistration or a response;
    /// `None` if the start of the newest report serves and no later one has. A departure may precede the first report of
    /// its start.
    #[must_use]
    pub fn departure(&self) -> Option<server_departure::ServerDeparture> {
        let announced = self.departures.iter().filter_map(|departure| {
            Some(server_departure::ServerDeparture {
                started_ms: departure.started_ms?,
                instance: departure.instance.clone(),
            })
        });
        let Some(report) = &self.report else {
            return announced.max();
        };
        let reported = self.serving().is_none().then(|| server_departure::ServerDeparture {
            started_ms: report.started_ms,
            instance: report.instance.clone(),
        });
        let later = announced.filter(|departure| departure.started_ms > report.started_ms);
        reported.into_iter().chain(later).max()
    }

    /// Returns whether the server may be one that has announced its departure without a start time, before its first report
    /// here. No later process could tell which start has left.
    #[must_use]
    pub fn has_unidentified_departure(&self) -> bool {
        let mut departures = self.departures.iter();
        self.report.is_none() && departures.any(|departure| departure.started_ms.is_none())
    }

    /// Returns whether the backend server is serving and didn't refuse the last connection.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.serving().is_some() && !self.unreachable
    }

    /// Returns whether a departure may concern this daemon: any one before the first report, then those of the known
    /// instance and of later starts.
    fn may_depart(&self, departure: &Departure) -> bool {
        self.report.as_ref().is_none_or(|report| {
            report.instance == departure.instance
                || departure
                    .started_ms
                    .is_some_and(|started_ms| started_ms > report.started_ms)
        })
    }

    /// Returns whether the newest report is of this start.
    fn is_start(&self, instance: &InstanceId, started_ms: u64) -> bool {
        self.report
            .as_ref()
            .is_some_and(|report| report.instance == *instance && report.started_ms == started_ms)
    }
}
