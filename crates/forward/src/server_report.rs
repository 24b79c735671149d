//! What the backend server beside the daemon says of itself.

use std::collections;
use std::time;

use damasktrack_entity::ids;

/// Id of one instance of a backend server.
pub type InstanceId = bytes::Bytes;

/// Whether the backend server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerCondition {
    /// It takes requests.
    Ready,
    /// It finishes its requests and then ends.
    Draining,
}

/// One heartbeat of the backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerReport {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Service that it runs.
    pub service: ids::ServiceName,
    /// Start of the instance, in milliseconds since 1970; 0 if it doesn't say.
    pub started_ms: u64,
    /// Rises with each report of one start.
    pub sequence: u64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub condition: ServerCondition,
    /// How much longer it stays slow after its start.
    pub cold_left: time::Duration,
}

/// What a report changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportEffect {
    /// It is older than what is known.
    Stale,
    /// Nothing but its sequence.
    Unchanged,
    /// The condition, the slots or the instance.
    Changed,
}

/// Departures that are remembered; one server runs beside a daemon at a time, and late heartbeats are seconds old.
const MAX_DEPARTURES: usize = 8;

/// Word of an instance that it has left.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Departure {
    instance: InstanceId,
    /// Start that has left; `None` until it is known, which the next report of the instance decides.
    started_ms: Option<u64>,
}

/// What is known of the backend server.
#[derive(Debug, Default)]
pub struct ServerState {
    report: Option<ServerReport>,
    /// Oldest first. A departure may be acknowledged before the daemon knows the server, for example after a restart.
    departures: collections::VecDeque<Departure>,
    /// Whether its address refused the last connection.
    unreachable: bool,
}

/// Commands.
impl ServerState {
    /// Takes over a heartbeat unless it is older than what is known.
    pub fn learn(&mut self, report: ServerReport) -> ReportEffect {
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
        // A start that drains stays draining: its ready reports are late ones.
        let draining = same_start && known.condition == ServerCondition::Draining;
        let mut report = report;
        if draining {
            report.condition = ServerCondition::Draining;
        }
        self.unreachable = false;
        self.report = Some(report);
        if changed {
            ReportEffect::Changed
        } else {
            ReportEffect::Unchanged
        }
    }

    /// Notes that an instance has left; `started_ms` is `None` if the message does not say. Later reports of the same start
    /// don't bring it back.
    pub fn depart(&mut self, instance: &InstanceId, started_ms: Option<u64>) -> ReportEffect {
        let known = self.report.as_ref().filter(|report| report.instance == *instance);
        let departure = Departure {
            instance: instance.clone(),
            started_ms: started_ms.or(known.map(|report| report.started_ms)),
        };
        if self.departures.contains(&departure) {
            return ReportEffect::Stale;
        }
        let served = self.serving().is_some();
        if self.departures.len() == MAX_DEPARTURES {
            self.departures.pop_front();
        }
        self.departures.push_back(departure);
        if served && self.serving().is_none() {
            ReportEffect::Changed
        } else {
            ReportEffect::Stale
        }
    }

    /// Notes that the backend server refused a connection. Its next report ends this.
    pub fn refuse_connection(&mut self) -> ReportEffect {
        if self.unreachable {
            return ReportEffect::Unchanged;
        }
        self.unreachable = true;
        ReportEffect::Changed
    }

    /// Notes that the backend server answered.
    pub fn reached(&mut self) -> ReportEffect {
        if !self.unreachable {
            return ReportEffect::Unchanged;
        }
        self.unreachable = false;
        ReportEffect::Changed
    }
}

/// Queries.
impl ServerState {
    /// Returns the newest report.
    #[must_use]
    pub fn report(&self) -> Option<&ServerReport> {
        self.report.as_ref()
    }

    /// Returns the report of an instance that takes new work.
    #[must_use]
    pub fn serving(&self) -> Option<&ServerReport> {
        let report = self.report.as_ref()?;
        let departed = self.departures.iter().any(|departure| {
            let gone = |started_ms: u64| report.started_ms <= started_ms;
            departure.instance == report.instance && departure.started_ms.is_some_and(gone)
        });
        let ready = report.condition == ServerCondition::Ready && !departed;
        ready.then_some(report)
    }

    /// Returns whether the backend server can be expected to answer.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.serving().is_some() && !self.unreachable
    }
}
