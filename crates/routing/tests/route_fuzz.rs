//! Stateful fuzzing of the route table against an oracle.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use bolero::TypeGenerator;
use bolero::generator::bolero_generator::driver::{ByteSliceDriver, Options};
use bytes::Bytes;
use damasktrack_entity::call_outcome::RefusalReason;
use damasktrack_entity::server_location::{ServerDistance, ServerLocation};
use damasktrack_routing::completion_estimate::ServerLoad;
use damasktrack_routing::region_window::RegionPolicy;
use damasktrack_routing::route_candidate::{
    CallKey, CandidateState, RouteCandidate, RouteChoice, RouteLane, RouteRequest, RouteResult, ServerKey,
};
use damasktrack_routing::route_table::RouteTable;
use damasktrack_routing::straggler_ejection::EjectionCause;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SEED: u64 = 20_261_204;
const CASES: u64 = 300;
const STEPS: usize = 400;
const SERVERS: u8 = 9;
const OBJECTIVE: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    Announce {
        #[generator(0..SERVERS)]
        server: u8,
        #[generator(0..8_u8)]
        state: u8,
        #[generator(0..12_u8)]
        restart: u8,
    },
    Remove {
        #[generator(0..SERVERS)]
        server: u8,
    },
    Call {
        cross_region: bool,
        may_probe: bool,
        long: bool,
        has_objective: bool,
    },
    Retry {
        cross_region: bool,
        has_objective: bool,
    },
    /// Reports of a load; the last number is the server of another service.
    Report {
        #[generator(0..=SERVERS)]
        server: u8,
        wait_us: u64,
        free: u32,
        age_ms: u16,
    },
    Finish {
        call: u8,
        #[generator(0..16_u8)]
        result: u8,
    },
    Advance {
        millis: u8,
    },
}

/// Fault injected between the route table and the oracle, which has to detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The choice is replaced by any server.
    ArbitraryServer,
    /// The announcement that a server is leaving is not passed to the route table.
    LeaveNotAnnounced,
}

struct Oracle {
    table: RouteTable,
    now: Instant,
    rng: StdRng,
    fault: Fault,
    policy: RegionPolicy,
    states: HashMap<u8, (CandidateState, u64, ServerKey)>,
    /// Servers that refused a call since they are leaving.
    refused_leaving: Vec<ServerKey>,
    paused: HashMap<ServerKey, Instant>,
    /// By ejected server: when the ejection was first observed, or the last call to the server.
    probe_wait_started: HashMap<ServerKey, Instant>,
    calls: Vec<(CallKey, ServerKey)>,
    /// Calls begun at a server since it was ejected.
    probes: Vec<(CallKey, ServerKey)>,
    tried: Vec<ServerKey>,
    /// Calls that left the region for capacity.
    departures: u64,
}

fn other_service() -> RouteCandidate {
    RouteCandidate {
        daemon_id: Bytes::from_static(b"vm-other"),
        incarnation: 1,
        service: Bytes::from_static(b"tides"),
        address: ([10, 0, 1, 1], 7000).into(),
        location: location(2),
        slots: 4,
        state: CandidateState::Ready,
        ready_since: None,
    }
}

fn location(server: u8) -> ServerLocation {
    let regions: [&[u8]; 3] = [b"dk-east", b"dk-east", b"dk-west"];
    ServerLocation {
        region: Bytes::from_static(regions[usize::from(server % 3)]),
        data_centre: Bytes::from(format!("dc-{}", server % 3)),
    }
}

impl Oracle {
    fn new(case: u64, fault: Fault, policy: RegionPolicy) -> Self {
        let mut table = RouteTable::new(location(0));
        table.set_region_policy(policy);
        Self {
            table,
            now: Instant::now(),
            rng: StdRng::seed_from_u64(case),
            fault,
            policy,
            states: HashMap::new(),
            refused_leaving: Vec::new(),
            paused: HashMap::new(),
            probe_wait_started: HashMap::new(),
            calls: Vec::new(),
            probes: Vec::new(),
            tried: Vec::new(),
            departures: 0,
        }
    }

    fn run(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Announce { server, state, restart } => self.announce(server, state, restart == 0),
            Step::Remove { server } => {
                if let Some((_state, _incarnation, key)) = self.states.remove(&server) {
                    self.table.remove(key);
                }
            }
            Step::Call {
                cross_region,
                may_probe,
                long,
                has_objective,
            } => {
                self.tried.clear();
                self.call(cross_region, may_probe, long, has_objective.then_some(OBJECTIVE))?;
            }
            Step::Retry {
                cross_region,
                has_objective,
            } => self.call(cross_region, true, false, has_objective.then_some(OBJECTIVE))?,
            Step::Report {
                server,
                wait_us,
                free,
                age_ms,
            } => self.report(server, wait_us, free, age_ms),
            Step::Finish { call, result } => self.finish(call, result),
            Step::Advance { millis } => {
                self.now += Duration::from_millis(u64::from(millis));
                self.table.tick(self.now);
            }
        }
        self.check_counts()
    }

    fn announce(&mut self, server: u8, state: u8, restart: bool) {
        let before = self
            .states
            .get(&server)
            .map_or((CandidateState::Ready, 0), |known| (known.0, known.1));
        let incarnation = before.1 + u64::from(restart);
        let mut state = match state {
            0 => CandidateState::Leaving,
            1 => CandidateState::Starting,
            2 => CandidateState::Suspect,
            _ => CandidateState::Ready,
        };
        if !restart && before.0 == CandidateState::Leaving {
            state = CandidateState::Leaving;
        }
        let announced = match (self.fault, state) {
            (Fault::LeaveNotAnnounced, CandidateState::Leaving) => CandidateState::Ready,
            _ => state,
        };
        let key = self.table.upsert(RouteCandidate {
            daemon_id: Bytes::from(format!("vm-{server}")),
            incarnation,
            service: Bytes::from_static(b"permits"),
            address: ([10, 0, 0, server], 7000).into(),
            location: location(server),
            slots: 4,
            state: announced,
            ready_since: (state == CandidateState::Ready && server.is_multiple_of(2)).then_some(self.now),
        });
        self.states.insert(server, (state, incarnation, key));
    }

    /// Reports any load, of past and future times too, of the servers of one data centre.
    fn report(&mut self, server: u8, wait_us: u64, free: u32, age_ms: u16) {
        let load = ServerLoad {
            wait: Duration::from_micros(wait_us >> (32 + free % 32)),
            free,
        };
        let age = Duration::from_millis(u64::from(age_ms >> (4 + age_ms % 12)));
        let at = if free.is_multiple_of(5) {
            self.now + age
        } else {
            self.now.checked_sub(age).unwrap_or(self.now)
        };
        let group = self.states.iter().filter(|(other, _known)| **other % 3 == server % 3);
        let mut keys: Vec<ServerKey> = group.map(|(_server, known)| known.2).collect();
        if server == SERVERS {
            keys = vec![self.table.upsert(other_service())];
        }
        for key in keys {
            self.table.note_load(key, &Bytes::from_static(b"permit"), load, at);
        }
    }

    fn call(
        &mut self,
        cross_region: bool,
        may_probe: bool,
        long: bool,
        objective: Option<Duration>,
    ) -> Result<(), String> {
        let (class, lane) = if long {
            ("ledger", RouteLane::Long)
        } else {
            ("permit", RouteLane::Short)
        };
        let class = Bytes::from_static(class.as_bytes());
        let tried = self.tried.clone();
        let request = RouteRequest {
            service: &Bytes::from_static(b"permits"),
            class: &class,
            lane,
            cross_region,
            may_probe,
            exclude: &tried,
            latency_objective: objective,
        };
        let mut choice = self.table.choose(&request, self.now, &mut self.rng);
        if self.fault == Fault::ArbitraryServer
            && let Some((_state, _incarnation, key)) = self.states.values().next()
        {
            let distance = ServerDistance::SameRegion;
            choice = RouteChoice::Use {
                key: *key,
                probe: false,
                distance,
            };
        }
        self.departures += u64::from(self.table.take_departure().is_some());
        let eligible: Vec<u8> = self
            .states
            .keys()
            .copied()
            .filter(|server| self.is_eligible(*server, cross_region))
            .collect();
        let RouteChoice::Use { key, probe, distance } = choice else {
            // A closed window refuses a call that has tried the servers of the region.
            return if eligible.iter().all(|server| self.is_bounded(*server)) {
                Ok(())
            } else {
                Err(format!("no candidate although {eligible:?} are eligible"))
            };
        };
        let server = self
            .states
            .iter()
            .find(|(_server, known)| known.2 == key)
            .map(|(server, _known)| *server);
        let server = server.ok_or("a removed server was chosen")?;
        if !eligible.contains(&server) {
            return Err(format!(
                "vm-{server} was chosen and is not eligible: {:?}",
                self.states[&server].0
            ));
        }
        if distance == ServerDistance::CrossRegion && !cross_region {
            return Err("the call left the region".to_owned());
        }
        let ejected = |server: &u8| self.table.ejection(self.states[server].2).is_some();
        if ejected(&server) && !probe {
            return Err("an ejected server was chosen without being a probe".to_owned());
        }
        // A call that may not be a probe goes to an ejected server only if no other is eligible, or if the probe of any
        // kind is due.
        let waited = self
            .probe_wait_started
            .get(&key)
            .is_some_and(|probe_wait_started| self.now - *probe_wait_started >= Duration::from_secs(8));
        // A closed window keeps calls in the region, with an ejected server if it has no other.
        let other = eligible.iter().any(|other| !ejected(other) && !self.is_bounded(*other));
        if ejected(&server) && other && !may_probe && !waited {
            return Err(format!("ejected vm-{server} was chosen although another is eligible"));
        }
        let call = self
            .table
            .begin(key, &class, lane, self.now)
            .ok_or("the chosen server is missing")?;
        if probe {
            let running = self
                .probes
                .iter()
                .any(|(other, at)| *at == key && self.calls.contains(&(*other, *at)));
            if running && other {
                return Err(format!("a second probe of vm-{server} while one is running"));
            }
            self.probes.push((call, key));
        }
        self.calls.push((call, key));
        self.probe_wait_started.insert(key, self.now);
        self.tried.push(key);
        Ok(())
    }

    /// Returns whether calls to a server are bounded by the region window.
    fn is_bounded(&self, server: u8) -> bool {
        self.policy == RegionPolicy::Windowed && location(server).region != location(0).region
    }

    fn is_eligible(&self, server: u8, cross_region: bool) -> bool {
        let (state, _incarnation, key) = self.states[&server];
        let gets_calls = matches!(state, CandidateState::Ready | CandidateState::Suspect);
        let reachable = cross_region || location(server).region == location(0).region;
        let paused = self.paused.get(&key).is_some_and(|until| self.now < *until);
        let refused = self.refused_leaving.contains(&key);
        gets_calls && reachable && !paused && !refused && !self.tried.contains(&key)
    }

    fn finish(&mut self, call: u8, result: u8) {
        if self.calls.is_empty() {
            return;
        }
        let (call, key) = self.calls.swap_remove(usize::from(call) % self.calls.len());
        let result = match result {
            0 => RouteResult::Silent,
            1 => RouteResult::Failed,
            2 => RouteResult::Cancelled,
            3 => RouteResult::Refused(RefusalReason::QueueFull),
            4 => RouteResult::Refused(RefusalReason::BackendServerDown),
            5 => RouteResult::Refused(RefusalReason::Leaving),
            6 => RouteResult::Refused(RefusalReason::Starting),
            _ => RouteResult::Completed,
        };
        match result {
            RouteResult::Refused(RefusalReason::Leaving) => self.refused_leaving.push(key),
            RouteResult::Refused(RefusalReason::Starting) => {
                self.paused.insert(key, self.now + Duration::from_millis(500));
            }
            _ => {}
        }
        self.table.finish(call, result, self.now);
    }

    fn check_counts(&mut self) -> Result<(), String> {
        self.now += Duration::from_millis(50);
        self.table.tick(self.now);
        for (server, (_state, _incarnation, key)) in &self.states {
            if self.table.ejection(*key).is_none() {
                self.probe_wait_started.remove(key);
                self.probes.retain(|(_call, other)| other != key);
            } else {
                self.probe_wait_started.entry(*key).or_insert(self.now);
            }
            let running = self.calls.iter().filter(|(_call, other)| other == key).count();
            if self.table.in_flight(*key) as usize != running {
                return Err(format!(
                    "vm-{server} has {running} calls in flight, but the table counts {}",
                    self.table.in_flight(*key)
                ));
            }
        }
        let eligible_servers = self.states.iter().filter(|(_server, known)| {
            let gets_calls = matches!(known.0, CandidateState::Ready | CandidateState::Suspect);
            gets_calls && !self.refused_leaving.contains(&known.2)
        });
        let keys: Vec<ServerKey> = eligible_servers.map(|(_server, known)| known.2).collect();
        let straggler = |key: &&ServerKey| self.table.ejection(**key) == Some(EjectionCause::Straggler);
        let ejected = keys.iter().filter(straggler).count();
        if ejected * 3 > keys.len() {
            return Err(format!("{ejected} of {} are ejected as stragglers", keys.len()));
        }
        Ok(())
    }
}

/// Returns the numbers of ejected servers over all steps and of calls that left the region for capacity.
fn fuzz(fault: Fault, policy: RegionPolicy) -> Result<(u64, u64), String> {
    println!("seed {SEED}");
    let (mut ejections, mut departures) = (0, 0);
    for case in 0..CASES {
        let mut bytes = vec![0; STEPS * 8];
        StdRng::seed_from_u64(SEED ^ case).fill_bytes(&mut bytes);
        let options = Options::default();
        let mut driver = ByteSliceDriver::new(&bytes, &options);
        let mut oracle = Oracle::new(case, fault, policy);
        for step in 0..STEPS {
            let Some(next) = Step::generate(&mut driver) else {
                break;
            };
            oracle
                .run(next)
                .map_err(|error| format!("case {case}, step {step}, {next:?}: {error}"))?;
            let keys = oracle.states.values().map(|known| known.2);
            ejections += keys.filter(|key| oracle.table.ejection(*key).is_some()).count() as u64;
        }
        departures += oracle.departures;
    }
    println!("{ejections} steps with an ejected server, {departures} calls left the region for capacity");
    Ok((ejections, departures))
}

/// Guards against calls to leaving, starting or ejected servers while another is eligible, against calls that cross
/// regions although they must not, against wrong counts of calls in flight, and against more than a third of the
/// servers being ejected as stragglers.
#[test]
fn choices_follow_the_oracle() {
    let (ejections, _departures) = fuzz(Fault::None, RegionPolicy::Unbounded).unwrap();
    assert!(ejections > 1000, "too few steps have an ejected server: {ejections}");
}

/// Guards against reported loads, however wrong, that send a call to a server which is not of the service, leaving,
/// starting, tried before or out of bounds.
#[test]
fn reports_lead_to_no_other_server() {
    let (_ejections, departures) = fuzz(Fault::None, RegionPolicy::Windowed).unwrap();
    assert!(departures > 100, "too few calls leave for capacity: {departures}");
}

#[test]
fn arbitrary_choice_is_detected() {
    fuzz(Fault::ArbitraryServer, RegionPolicy::Windowed).unwrap_err();
}

#[test]
fn missing_leave_announcement_is_detected() {
    fuzz(Fault::LeaveNotAnnounced, RegionPolicy::Windowed).unwrap_err();
}
