//! Servers with slots and queues in three regions, and entry daemons that choose among them, on virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use bytes::Bytes;
use damasktrack_entity::call_outcome::RefusalReason;
use damasktrack_entity::server_location::ServerLocation;
use damasktrack_routing::completion_estimate::ServerLoad;
use damasktrack_routing::region_window::RegionPolicy;
use damasktrack_routing::route_candidate::{
    CallKey, CandidateState, RouteCandidate, RouteChoice, RouteLane, RouteRequest, RouteResult, ServerKey,
};
use damasktrack_routing::route_table::RouteTable;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SEED: u64 = 20_261_206;
const REGIONS: usize = 3;
const DAEMONS: usize = 25;
const SLOTS: u32 = 40;
const SERVICE_TIME: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_millis(700);
const NEAR_DELAY: Duration = Duration::from_millis(1);
const CROSS_DELAY: Duration = Duration::from_millis(30);
/// Wait after which a server refuses a queued call, as the admission gate does for a standing queue.
const WAIT_BOUND: Duration = Duration::from_millis(100);
const MAX_TRIES: usize = 4;
const SWITCH_WINDOW: Duration = Duration::from_millis(200);

/// Load of the regions up to a time, as multiples of their capacity.
#[derive(Clone, Debug)]
pub struct LoadPhase {
    pub until: Duration,
    pub loads: [f64; REGIONS],
}

/// A run.
#[derive(Clone, Debug, Default)]
pub struct WorldSetting {
    /// Seed of the choices and of the slow periods.
    pub seed: u64,
    /// Speeds of the servers of each region.
    pub speeds: Vec<f64>,
    pub phases: Vec<LoadPhase>,
    /// Time by which reports arrive after the replies that carry them.
    pub report_delay: Duration,
    /// Whether each server is 2.5 times slower for 600 ms of each 4 s.
    pub slow_periods: bool,
    /// From when on the first server of the second region does not respond.
    pub silent_from: Option<Duration>,
}

/// Counts of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorldTotals {
    pub requests: u64,
    /// Completed within the deadline.
    pub in_time: u64,
    pub refusals: u64,
    /// Calls that were sent to another region.
    pub crossed: u64,
    /// Times that a region changed between sending most of its calls and hardly any to other regions.
    pub switches: u32,
    /// Calls to the silent server after it stopped responding.
    pub silent_calls: u64,
    wait: Duration,
    time: Duration,
}

impl WorldTotals {
    /// Adds the counts of another run.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.in_time += other.in_time;
        self.refusals += other.refusals;
        self.crossed += other.crossed;
        self.switches += other.switches;
        self.silent_calls += other.silent_calls;
        self.wait += other.wait;
        self.time += other.time;
    }

    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.requests as f64
    }

    pub fn crossed_share(&self) -> f64 {
        self.crossed as f64 / self.requests as f64
    }

    /// Returns the mean wait for slots of the requests completed in time, in seconds, over all tried servers.
    pub fn mean_wait(&self) -> f64 {
        self.wait.as_secs_f64() / self.in_time as f64
    }

    /// Returns the mean time of the requests completed in time, in seconds.
    pub fn mean_time(&self) -> f64 {
        self.time.as_secs_f64() / self.in_time as f64
    }
}

#[derive(Clone, Copy, Debug)]
enum WorldEvent {
    Request {
        region: usize,
    },
    Arrive {
        request: usize,
        server: usize,
    },
    End {
        server: usize,
        request: usize,
        service: f64,
    },
    Reply {
        request: usize,
        outcome: RouteResult,
    },
    Report {
        daemon: usize,
        server: usize,
        load: ServerLoad,
        made: Instant,
    },
    Deadline {
        request: usize,
    },
    Poll,
}

#[derive(Debug)]
struct Request {
    daemon: usize,
    arrived: Instant,
    call: Option<CallKey>,
    server: usize,
    tried: Vec<ServerKey>,
    wait: Duration,
    ended: bool,
}

#[derive(Debug)]
struct Server {
    region: usize,
    speed: f64,
    running: u32,
    queue: VecDeque<(usize, Instant)>,
    /// Mean service time in seconds, over recent calls.
    mean: f64,
    slow_offset: Duration,
}

struct Daemon {
    region: usize,
    table: RouteTable,
    keys: Vec<ServerKey>,
}

/// The state of a run.
pub struct CapacityWorld<'a> {
    setting: &'a WorldSetting,
    active: bool,
    rng: StdRng,
    /// Source of the arrivals, which are the same with and without the decision.
    arrivals: StdRng,
    start: Instant,
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    payloads: Vec<Option<WorldEvent>>,
    requests: Vec<Request>,
    servers: Vec<Server>,
    daemons: Vec<Daemon>,
    totals: WorldTotals,
    windows: Vec<[(u64, u64); REGIONS]>,
    service: Bytes,
    class: Bytes,
}

impl<'a> CapacityWorld<'a> {
    /// Runs a setting; `active` selects whether the class has a latency objective.
    pub fn run(setting: &'a WorldSetting, active: bool) -> WorldTotals {
        let start = Instant::now();
        let mut world = Self {
            setting,
            active,
            rng: StdRng::seed_from_u64(SEED ^ setting.seed),
            arrivals: StdRng::seed_from_u64(SEED),
            start,
            now: start,
            events: BinaryHeap::new(),
            payloads: Vec::new(),
            requests: Vec::new(),
            servers: Vec::new(),
            daemons: Vec::new(),
            totals: WorldTotals::default(),
            windows: Vec::new(),
            service: Bytes::from_static(b"depths"),
            class: Bytes::from_static(b"depth-lookup"),
        };
        world.build();
        while let Some(Reverse((at, index))) = world.events.pop() {
            world.now = at;
            let event = world.payloads[usize::try_from(index).unwrap()].take().unwrap();
            world.handle(event);
        }
        world.count_switches();
        world.totals
    }

    fn build(&mut self) {
        for region in 0..REGIONS {
            for speed in self.setting.speeds.clone() {
                let slow_offset = Duration::from_millis(self.rng.random_range(0..3400));
                self.servers.push(Server {
                    region,
                    speed,
                    running: 0,
                    queue: VecDeque::new(),
                    mean: SERVICE_TIME.as_secs_f64() / speed,
                    slow_offset,
                });
            }
        }
        for region in 0..REGIONS {
            for _daemon in 0..DAEMONS {
                let daemon = self.daemon(region);
                self.daemons.push(daemon);
            }
            self.schedule(Duration::ZERO, WorldEvent::Request { region });
        }
        self.schedule(Duration::ZERO, WorldEvent::Poll);
    }

    fn daemon(&self, region: usize) -> Daemon {
        let mut table = RouteTable::new(location(region));
        table.set_region_policy(RegionPolicy::Windowed);
        table.set_ejection_ratio(8.0);
        let mut keys = Vec::new();
        for (index, server) in self.servers.iter().enumerate() {
            keys.push(table.upsert(candidate(index, server.region, &self.service)));
        }
        // The other daemons of the region have servers of another service.
        for index in 0..DAEMONS {
            table.upsert(candidate(100 + index, region, &Bytes::from_static(b"tides")));
        }
        Daemon { region, table, keys }
    }

    fn schedule(&mut self, delay: Duration, event: WorldEvent) {
        let index = self.payloads.len() as u64;
        self.payloads.push(Some(event));
        self.events.push(Reverse((self.now + delay, index)));
    }

    fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    fn loads(&self) -> Option<[f64; REGIONS]> {
        let phase = self.setting.phases.iter().find(|phase| self.elapsed() < phase.until)?;
        Some(phase.loads)
    }

    fn handle(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Request { region } => self.start_request(region),
            WorldEvent::Arrive { request, server } => self.arrive(request, server),
            WorldEvent::End {
                server,
                request,
                service,
            } => {
                let state = &mut self.servers[server];
                state.running -= 1;
                state.mean += (service - state.mean) * 0.1;
                self.start_queued(server);
                self.reply(server, request, RouteResult::Completed);
            }
            WorldEvent::Reply { request, outcome } => self.end_attempt(request, outcome),
            WorldEvent::Report {
                daemon,
                server,
                load,
                made,
            } => {
                let daemon = &mut self.daemons[daemon];
                daemon.table.note_load(daemon.keys[server], &self.class, load, made);
            }
            WorldEvent::Deadline { request } => self.end_attempt(request, RouteResult::Cancelled),
            WorldEvent::Poll => {
                for server in 0..self.servers.len() {
                    self.refuse_overdue(server);
                }
                for daemon in &mut self.daemons {
                    daemon.table.tick(self.now);
                }
                if self.loads().is_some() {
                    self.schedule(Duration::from_millis(10), WorldEvent::Poll);
                }
            }
        }
    }

    fn start_request(&mut self, region: usize) {
        let Some(loads) = self.loads() else {
            return;
        };
        let capacity = self.setting.speeds.iter().sum::<f64>() * f64::from(SLOTS) / SERVICE_TIME.as_secs_f64();
        let gap = -self.arrivals.random_range(1e-9..1.0_f64).ln() / (capacity * loads[region]);
        self.schedule(Duration::from_secs_f64(gap), WorldEvent::Request { region });
        let daemon = region * DAEMONS + self.arrivals.random_range(0..DAEMONS);
        self.requests.push(Request {
            daemon,
            arrived: self.now,
            call: None,
            server: 0,
            tried: Vec::new(),
            wait: Duration::ZERO,
            ended: false,
        });
        self.totals.requests += 1;
        let request = self.requests.len() - 1;
        self.schedule(DEADLINE, WorldEvent::Deadline { request });
        self.attempt(request);
    }

    fn attempt(&mut self, index: usize) {
        let request = &mut self.requests[index];
        let daemon = &mut self.daemons[request.daemon];
        let route = RouteRequest {
            service: &self.service,
            class: &self.class,
            lane: RouteLane::Short,
            cross_region: true,
            may_probe: true,
            exclude: &request.tried,
            latency_objective: self.active.then_some(DEADLINE),
        };
        let choice = daemon.table.choose(&route, self.now, &mut self.rng);
        let RouteChoice::Use { key, .. } = choice else {
            request.ended = true;
            return;
        };
        request.call = daemon.table.begin(key, &self.class, RouteLane::Short, self.now);
        request.tried.push(key);
        let server = daemon.keys.iter().position(|known| *known == key).unwrap();
        request.server = server;
        let (home, away) = (daemon.region, self.servers[server].region);
        let window = usize::try_from(self.elapsed().as_millis() / SWITCH_WINDOW.as_millis()).unwrap();
        self.windows
            .resize(self.windows.len().max(window + 1), Default::default());
        let counts = &mut self.windows[window][home];
        counts.0 += 1;
        if home != away {
            counts.1 += 1;
            self.totals.crossed += 1;
        }
        self.schedule(delay(home, away), WorldEvent::Arrive { request: index, server });
    }

    fn is_silent(&self, server: usize) -> bool {
        let silent = self.setting.silent_from.is_some_and(|from| self.elapsed() >= from);
        silent && server == self.setting.speeds.len()
    }

    fn arrive(&mut self, request: usize, server: usize) {
        if self.is_silent(server) {
            self.totals.silent_calls += 1;
            return;
        }
        self.servers[server].queue.push_back((request, self.now));
        self.start_queued(server);
    }

    fn start_queued(&mut self, server: usize) {
        self.refuse_overdue(server);
        while self.servers[server].running < SLOTS {
            let Some((request, queued)) = self.servers[server].queue.pop_front() else {
                return;
            };
            if self.requests[request].ended {
                continue;
            }
            self.requests[request].wait += self.now - queued;
            let service = self.service_time(server);
            self.servers[server].running += 1;
            let event = WorldEvent::End {
                server,
                request,
                service,
            };
            self.schedule(Duration::from_secs_f64(service), event);
        }
    }

    fn refuse_overdue(&mut self, server: usize) {
        while let Some((request, queued)) = self.servers[server].queue.front().copied()
            && self.now - queued >= WAIT_BOUND
        {
            self.servers[server].queue.pop_front();
            self.totals.refusals += 1;
            self.requests[request].wait += self.now - queued;
            self.reply(server, request, RouteResult::Refused(RefusalReason::QueueFull));
        }
    }

    fn service_time(&mut self, server: usize) -> f64 {
        let state = &self.servers[server];
        let phase = (self.elapsed() + state.slow_offset).as_millis() % 4000;
        let slow = self.setting.slow_periods && phase < 600;
        let factor = if slow { 2.5 } else { 1.0 };
        SERVICE_TIME.as_secs_f64() * factor / state.speed * self.rng.random_range(0.5..1.5)
    }

    fn reply(&mut self, server: usize, request: usize, outcome: RouteResult) {
        if self.is_silent(server) {
            return;
        }
        let (daemon, state) = (self.requests[request].daemon, &self.servers[server]);
        let delay = delay(self.daemons[daemon].region, state.region);
        let wait = if state.running < SLOTS {
            0.0
        } else {
            state.mean * (state.queue.len() + 1) as f64 / f64::from(SLOTS)
        };
        let load = ServerLoad {
            wait: Duration::from_secs_f64(wait),
            free: SLOTS - state.running,
        };
        let report = WorldEvent::Report {
            daemon,
            server,
            load,
            made: self.now,
        };
        self.schedule(delay + self.setting.report_delay, report);
        self.schedule(delay, WorldEvent::Reply { request, outcome });
    }

    fn end_attempt(&mut self, index: usize, outcome: RouteResult) {
        let request = &mut self.requests[index];
        if request.ended {
            return;
        }
        if let Some(call) = request.call.take() {
            self.daemons[request.daemon].table.finish(call, outcome, self.now);
        }
        match outcome {
            RouteResult::Refused(_) if request.tried.len() < MAX_TRIES => self.attempt(index),
            RouteResult::Completed => {
                request.ended = true;
                self.totals.in_time += 1;
                self.totals.wait += request.wait;
                self.totals.time += self.now - request.arrived;
            }
            _ => request.ended = true,
        }
    }

    fn count_switches(&mut self) {
        for region in 0..REGIONS {
            let mut crossing = false;
            for window in &self.windows {
                let (calls, crossed) = window[region];
                let share = crossed as f64 / calls.max(1) as f64;
                let next = if crossing { share > 0.1 } else { share > 0.5 };
                self.totals.switches += u32::from(next != crossing);
                crossing = next;
            }
        }
    }
}

fn location(region: usize) -> ServerLocation {
    ServerLocation {
        region: Bytes::from(format!("region-{region}")),
        data_centre: Bytes::from_static(b"a"),
    }
}

fn candidate(index: usize, region: usize, service: &Bytes) -> RouteCandidate {
    RouteCandidate {
        daemon_id: Bytes::from(format!("vm-{index}")),
        incarnation: 1,
        service: service.clone(),
        address: ([10, 0, 0, u8::try_from(index).unwrap()], 7000).into(),
        location: location(region),
        slots: SLOTS,
        state: CandidateState::Ready,
        ready_since: None,
    }
}

fn delay(home: usize, away: usize) -> Duration {
    if home == away { NEAR_DELAY } else { CROSS_DELAY }
}
