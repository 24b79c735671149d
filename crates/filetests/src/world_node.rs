//! Daemons of a run, each with its admission, routing and retry state and a fake backend server.

use std::net;
use std::time;

use bytes::Bytes;
use damasktrack_admission::{admission_gate, admission_policy, level_view};
use damasktrack_entity::{request_identity, server_location};
use damasktrack_ownership::retry_ledger;
use damasktrack_routing::{hedge_policy, retry_budget, route_candidate, route_table};

use crate::control_arm;
use crate::fake_backend;
use crate::scenario_file;

slotmap::new_key_type! {
    /// Key of a call that was sent to a server.
    pub struct CallKey;
    /// Key of a call as its sender sees it: one or more copies sent to servers.
    pub struct SendKey;
}

/// A daemon with the state of its decisions.
#[derive(Debug)]
pub struct WorldNode {
    /// Service of the backend server beside it; none for daemons that only take calls of callers.
    pub service: Option<usize>,
    /// Decides on calls to the backend server.
    pub gate: admission_gate::AdmissionGate,
    /// Takes the place of `gate` in the `per-hop` arm.
    pub fixed: control_arm::FixedGate<CallKey>,
    /// Fake backend server; it gets no calls in daemons without a service.
    pub backend: fake_backend::FakeBackend<CallKey>,
    /// Admission levels that other services reported.
    pub view: level_view::LevelView,
    /// Servers of other services.
    pub table: route_table::RouteTable,
    /// Retries granted to the requests that this daemon owns.
    pub retries: retry_ledger::RetryLedger,
    /// Budget of retries and hedges of the requests that this daemon owns.
    pub budget: retry_budget::RetryBudget,
    /// Decides when a slow call gets a second copy.
    pub hedges: hedge_policy::HedgePolicy,
    /// Next scheduled poll of the gate.
    pub wake_at: Option<time::Instant>,
}

/// Returns the id that a daemon announces.
#[must_use]
pub fn daemon_id(node: usize) -> Bytes {
    Bytes::from(format!("d{node}"))
}

/// Returns the index of a daemon from its id; 0 if the id holds no number.
#[must_use]
pub fn node_of(daemon_id: &[u8]) -> usize {
    let text = std::str::from_utf8(&daemon_id[1..]).unwrap_or("0");
    text.parse().unwrap_or(0)
}

/// Returns the announcement of a daemon's backend server.
#[must_use]
pub fn candidate(
    setting: &scenario_file::ServiceSetting,
    node: usize,
    state: route_candidate::CandidateState,
) -> route_candidate::RouteCandidate {
    route_candidate::RouteCandidate {
        daemon_id: daemon_id(node),
        incarnation: 1,
        service: Bytes::from(setting.name.clone()),
        address: net::SocketAddr::from(([127, 0, 0, 1], 9000)),
        location: location(),
        slots: setting.slots,
        state,
        ready_since: None,
    }
}

/// Returns the daemons of a scenario: first those that callers use, then those of each service in turn.
#[must_use]
pub fn nodes(scenario: &scenario_file::Scenario, now: time::Instant) -> Vec<WorldNode> {
    let entries = std::iter::repeat_n(None, scenario.entries);
    let servers = scenario.services.iter().enumerate();
    let servers = servers.flat_map(|(service, setting)| std::iter::repeat_n(Some(service), setting.servers));
    let mut nodes: Vec<_> = entries
        .chain(servers)
        .map(|service| node(scenario, service, now))
        .collect();
    let services: Vec<_> = nodes.iter().map(|node| node.service).collect();
    for node in &mut nodes {
        for (other, service) in services.iter().enumerate() {
            let Some(service) = service else { continue };
            let announced = candidate(
                &scenario.services[*service],
                other,
                route_candidate::CandidateState::Ready,
            );
            node.table.upsert(announced);
        }
    }
    for fault in &scenario.faults {
        let servers = nodes
            .iter_mut()
            .filter(|node| node.service == Some(fault.service))
            .enumerate();
        for (_, node) in servers.filter(|(at, _)| fault.server.is_none_or(|server| server == *at)) {
            match fault.kind {
                scenario_file::FaultKind::Slow(factor) => node.backend.add_slow(factor, fault.span, false),
                scenario_file::FaultKind::Cold(factor) => node.backend.add_slow(factor, fault.span, true),
                scenario_file::FaultKind::Leave => {}
            }
        }
    }
    nodes
}

fn node(scenario: &scenario_file::Scenario, service: Option<usize>, now: time::Instant) -> WorldNode {
    let setting = service.map(|service| &scenario.services[service]);
    let slots = setting.map_or(1, |setting| setting.slots);
    let mean = setting.map_or(time::Duration::ZERO, |setting| setting.time);
    let mut gate = admission_gate::AdmissionGate::new(admission_policy::AdmissionPolicy::for_slots(slots));
    for (tenant, weight) in &scenario.tenants {
        gate.set_tenant_weight(&Bytes::from(tenant.clone()), *weight);
    }
    let owner = request_identity::RequestOwner {
        daemon_id: Bytes::from_static(b"owner"),
        incarnation: 1,
    };
    WorldNode {
        service,
        gate,
        fixed: control_arm::FixedGate::new(slots),
        backend: fake_backend::FakeBackend::new(slots, mean),
        view: level_view::LevelView::default(),
        table: route_table::RouteTable::new(location()),
        retries: retry_ledger::RetryLedger::new(owner, retry_ledger::RetryLimits::default()),
        budget: retry_budget::RetryBudget::new(now),
        hedges: hedge_policy::HedgePolicy::new(),
        wake_at: None,
    }
}

fn location() -> server_location::ServerLocation {
    server_location::ServerLocation {
        region: Bytes::from_static(b"lahore"),
        data_centre: Bytes::from_static(b"lahore-1"),
    }
}
