//! What daemons tell each other about the notices of backend servers.
//!
//! The daemon beside a server enforces its notices, but forgets them when it restarts. The other daemons remember what
//! the responses that they passed on said, and return it with their calls.

use std::collections;
use std::time;

use damasktrack_entity::ids;
use damasktrack_membership::server_departure;

use crate::server_notice;
use crate::server_report;

/// Time without a new hint after which one is discarded. Its daemon was replaced or gets no calls.
const HINT_LIFETIME: time::Duration = time::Duration::from_mins(10);

/// Notices of one start of a backend server.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ServerHint {
    /// Instance that the notices are from.
    pub instance: server_report::InstanceId,
    /// Start time of the instance, in milliseconds since 1970.
    pub started_ms: u64,
    /// Limit of requests per second in force; `None` if there is none.
    pub request_limit: Option<server_notice::RequestRate>,
    /// Whether the instance is leaving.
    pub leaving: bool,
}

/// Newest hint of each daemon's backend server.
#[derive(Debug, Default)]
pub struct HintTable {
    hints: collections::HashMap<ids::DaemonId, (ServerHint, time::Instant)>,
}

/// Commands.
impl HintTable {
    /// Stores the hint of a response that the backend server beside `daemon` sent; `None` if it has no notices. A
    /// departure stays known until a later start has notices, since responses may overtake each other.
    pub fn note_response(&mut self, daemon: &ids::DaemonId, hint: Option<ServerHint>, now: time::Instant) {
        let departed = self
            .get(daemon)
            .filter(|known| known.leaving)
            .map(|known| known.started_ms);
        match hint {
            Some(hint) if departed.is_none_or(|departed| hint.leaving || hint.started_ms > departed) => {
                self.hints.insert(daemon.clone(), (hint, now));
            }
            None if departed.is_none() => {
                self.hints.remove(daemon);
            }
            _ => {}
        }
    }

    /// Stores the hint of a refusal by `daemon`. A refusal without a hint changes nothing, since the daemon may have
    /// just started.
    pub fn note_refusal(&mut self, daemon: &ids::DaemonId, hint: Option<ServerHint>, now: time::Instant) {
        if hint.is_some() {
            self.note_response(daemon, hint, now);
        }
    }

    /// Stores a departure of the backend server beside `daemon`, unless a hint of a later start is known.
    pub fn note_departure(
        &mut self,
        daemon: &ids::DaemonId,
        departure: &server_departure::ServerDeparture,
        now: time::Instant,
    ) {
        let outdated = self
            .get(daemon)
            .is_none_or(|known| (known.started_ms, known.leaving) < (departure.started_ms, true));
        if outdated {
            let hint = ServerHint {
                instance: departure.instance.clone(),
                started_ms: departure.started_ms,
                request_limit: None,
                leaving: true,
            };
            self.hints.insert(daemon.clone(), (hint, now));
        }
    }

    /// Discards hints that are older than [`HINT_LIFETIME`].
    pub fn prune(&mut self, now: time::Instant) {
        self.hints
            .retain(|_daemon, (_hint, noted)| now.saturating_duration_since(*noted) < HINT_LIFETIME);
    }
}

/// Queries.
impl HintTable {
    /// Returns the hint of the backend server beside `daemon`.
    #[must_use]
    pub fn get(&self, daemon: &ids::DaemonId) -> Option<&ServerHint> {
        self.hints.get(daemon).map(|(hint, _noted)| hint)
    }
}
