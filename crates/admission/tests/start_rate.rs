//! Limits on the rate of calls at a backend server, on virtual time.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use bytes::Bytes;
use damasktrack_admission::admission_gate::AdmissionGate;
use damasktrack_admission::admission_policy::AdmissionPolicy;
use damasktrack_admission::gate_report::{ArrivalDecision, CallArrival, CallLane, FinishResult, NextStart};
use damasktrack_admission::start_rate::MIN_RATE;
use damasktrack_entity::admission_level::AdmissionLevel;
use damasktrack_entity::call_outcome::RefusalReason;

/// Service time of each call; the gate has enough slots for all of them.
const SERVICE_TIME: Duration = Duration::from_millis(100);
const STEP: Duration = Duration::from_millis(1);

struct RateWorld {
    gate: AdmissionGate,
    now: Instant,
    next_call: u64,
    running: VecDeque<(Instant, u64)>,
    /// Time and call of each start.
    starts: Vec<(Instant, u64)>,
    refused: Vec<(u64, RefusalReason)>,
}

impl RateWorld {
    fn new(rate: Option<f64>) -> Self {
        let now = Instant::now();
        let mut policy = AdmissionPolicy::for_slots(200);
        policy.queue_target = Duration::from_millis(80);
        policy.queue_burst = Duration::from_millis(250);
        policy.adaptive = false;
        let mut gate = AdmissionGate::new(policy);
        gate.set_start_rate(rate, now);
        Self {
            gate,
            now,
            next_call: 0,
            running: VecDeque::new(),
            starts: Vec::new(),
            refused: Vec::new(),
        }
    }

    fn offer(&mut self, importance: u8) -> u64 {
        let call = self.next_call;
        self.next_call += 1;
        let arrival = CallArrival {
            call,
            class: Bytes::from(format!("class-{importance}")),
            tenant: Bytes::from_static(b"tenant"),
            importance,
            critical: false,
            lane: CallLane::Short,
            level: AdmissionLevel { importance, cohort: 0 },
            deadline: self.now + Duration::from_secs(2),
        };
        match self.gate.offer(&arrival, self.now) {
            ArrivalDecision::Start => self.start(call),
            ArrivalDecision::Queued => {}
            ArrivalDecision::Refuse(reason) => self.refused.push((call, reason)),
        }
        call
    }

    fn start(&mut self, call: u64) {
        self.starts.push((self.now, call));
        self.running.push_back((self.now + SERVICE_TIME, call));
    }

    /// Advances the time by [`STEP`], and ends and starts the calls that are due.
    fn step(&mut self) {
        self.now += STEP;
        while let Some((end, call)) = self.running.front().copied()
            && end <= self.now
        {
            self.running.pop_front();
            self.gate.finish(call, FinishResult::Completed, self.now);
        }
        self.gate.tick(self.now);
        loop {
            match self.gate.poll(self.now) {
                NextStart::Start(call) => self.start(call),
                NextStart::Refuse(call, reason) => self.refused.push((call, reason)),
                NextStart::Idle => return,
            }
        }
    }

    /// Offers calls of this importance at `rate` calls per second for `duration`.
    fn load(&mut self, rate: f64, importance: u8, duration: Duration) {
        let mut due = 0.0;
        for _step in 0..duration.as_millis() {
            due += rate * STEP.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                self.offer(importance);
            }
            self.step();
        }
    }

    /// Returns the largest number of starts in a window of this length.
    fn most_in(&self, window: Duration) -> usize {
        let in_window = |from: Instant| {
            let starts = self.starts.iter();
            starts.filter(|(at, _call)| (from..from + window).contains(at)).count()
        };
        self.starts
            .iter()
            .map(|(from, _call)| in_window(*from))
            .max()
            .unwrap_or(0)
    }
}

/// Guards against a server that gets more than its limit, or much less, at four times the limit.
#[test]
fn calls_start_at_the_rate_of_the_server() {
    for rate in [0.7, 5.0, 8.7, 40.0, 200.0] {
        let mut world = RateWorld::new(Some(rate));
        world.load(rate * 4.0, 5, Duration::from_secs(20));
        let most = world.most_in(Duration::from_secs(4)) as f64;
        assert!(most <= rate * 4.25 + 1.0, "{most} starts in 4 s at {rate}/s");
        let share = world.starts.len() as f64 / (rate * 20.0);
        assert!(share > 0.9, "{} starts in 20 s at {rate}/s", world.starts.len());
    }
}

/// Guards against callers that wait for a server with a low limit while another server has room.
#[test]
fn call_that_would_wait_for_the_rate_is_refused_at_once() {
    let mut world = RateWorld::new(Some(5.0));
    let call = world.offer(5);
    assert_eq!(world.refused, [(call, RefusalReason::RateReached)]);
}

/// Guards against a less important call that starts before a more important one.
#[test]
fn important_call_starts_first_when_the_rate_allows_one() {
    let mut world = RateWorld::new(Some(20.0));
    let low = world.offer(1);
    let high = world.offer(9);
    while world.starts.is_empty() {
        world.step();
    }
    assert_eq!(world.starts[0].1, high);
    assert_ne!(high, low);
}

/// Guards against a limit that stays in force after the server has withdrawn it.
#[test]
fn calls_start_at_once_after_the_limit_is_removed() {
    let mut world = RateWorld::new(Some(1.0));
    world.load(50.0, 5, Duration::from_secs(2));
    world.gate.set_start_rate(None, world.now);
    let before = world.starts.len();
    world.load(50.0, 5, Duration::from_secs(2));
    assert!(world.starts.len() - before >= 99);
}

/// Guards against a limit of 0 that can never be lifted, since only a response lifts it.
#[test]
fn limit_of_zero_lets_a_few_calls_through() {
    let mut world = RateWorld::new(Some(0.0));
    world.load(50.0, 5, Duration::from_secs(20));
    let expected = MIN_RATE * 20.0;
    assert!(
        (world.starts.len() as f64 - expected).abs() <= 1.0,
        "{}",
        world.starts.len()
    );
}

/// Guards against changes of the limit that let calls start in between.
#[test]
fn changes_of_the_limit_add_no_starts() {
    let mut world = RateWorld::new(Some(10.0));
    for round in 0..100_u32 {
        let rate = if round % 2 == 0 { 10.0 } else { 9.0 };
        world.gate.set_start_rate(Some(rate), world.now);
        world.load(100.0, 5, Duration::from_millis(100));
    }
    let most = world.most_in(Duration::from_secs(4));
    assert!(most <= 44, "{most} starts in 4 s");
}
