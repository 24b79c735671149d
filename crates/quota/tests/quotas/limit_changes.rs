//! Model check of the credits in existence while limits are withdrawn and set again, the coordinator changes, daemons are
//! restarted and suspended, and their lists of members differ: all orders of a few events, and many orders of more.

use std::time::Duration;

use damasktrack_quota::credit_limit::CreditLimit;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::quota_world::{BOUNDS, Fault, QuotaWorld};

const SEED: u64 = 20_261_207;
const DAEMONS: usize = 3;
/// Events of each order of the exhaustive check.
const DEPTH: u32 = 3;
/// Orders of the seeded check; [`CASES_VARIABLE`] sets another number.
const CASES: u64 = 150;
const CASES_VARIABLE: &str = "QUOTA_MODEL_CASES";
const EVENTS: usize = 25;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    /// A configuration without limits, and 0.3 s later one with them.
    Flip,
    Withdraw,
    SetAgain,
    /// The first daemon has the next configuration before the others.
    FlipOfOne,
    /// Two of three daemons see another set of live members, and so may choose another coordinator.
    TwoLists,
    OneList,
    Restart,
    Suspend,
    Resume,
    Quiet,
}

const ALL: [Event; 10] = [
    Event::Flip,
    Event::Withdraw,
    Event::SetAgain,
    Event::FlipOfOne,
    Event::TwoLists,
    Event::OneList,
    Event::Restart,
    Event::Suspend,
    Event::Resume,
    Event::Quiet,
];

struct Model {
    world: QuotaWorld,
    /// Number of events, from which the daemon of an event is chosen.
    step: usize,
}

impl Model {
    fn new(seed: u64, fault: Fault) -> Self {
        let limit = CreditLimit::new(100.0, 50.0, &BOUNDS).unwrap();
        let mut world = QuotaWorld::new(DAEMONS, vec![limit], seed, fault);
        world.sends_refusals = true;
        Self { world, step: 0 }
    }

    /// Sends `rate` requests a second to one daemon for a time. Returns an error once more credits exist than the limit
    /// allows.
    fn load(&mut self, daemon: usize, rate: u32, time: Duration) -> Result<(), String> {
        let end = self.world.now + time;
        let mut due = 0.0;
        while self.world.now < end {
            due += f64::from(rate) * 0.005;
            while due >= 1.0 {
                due -= 1.0;
                self.world.request(daemon, 0);
            }
            self.world.tick();
            let (spendable, capacity) = (self.world.spendable(0), self.world.limits[0].capacity);
            if spendable > capacity + 1e-6 {
                return Err(format!("{spendable} credits exist, {capacity} allowed"));
            }
        }
        Ok(())
    }

    fn set_all(&mut self, limited: bool) {
        (0..DAEMONS).for_each(|daemon| self.world.set_limited(daemon, limited));
    }

    fn apply(&mut self, event: Event) -> Result<(), String> {
        let daemon = self.step % DAEMONS;
        self.step += 1;
        match event {
            Event::Flip => {
                self.set_all(false);
                self.load(daemon, 50, Duration::from_millis(300))?;
                self.set_all(true);
            }
            Event::Withdraw => self.set_all(false),
            Event::SetAgain => self.set_all(true),
            Event::FlipOfOne => {
                self.world.set_limited(daemon, false);
                self.load(daemon, 50, Duration::from_millis(200))?;
                self.world.set_limited(daemon, true);
            }
            Event::TwoLists => {
                let other = (daemon + 1) % DAEMONS;
                for index in [daemon, other] {
                    self.world.daemons[index].view = (0..DAEMONS).map(|member| member == index).collect();
                }
            }
            Event::OneList => {
                let daemons = self.world.daemons.iter_mut();
                daemons.for_each(|daemon| daemon.view = vec![true; DAEMONS]);
            }
            Event::Restart => {
                let limited = self.world.daemons[daemon].is_limited();
                self.world.restart(daemon);
                self.world.set_limited(daemon, limited);
            }
            Event::Suspend => self.world.daemons[daemon].paused = true,
            Event::Resume => {
                let daemons = self.world.daemons.iter_mut();
                daemons.for_each(|daemon| daemon.paused = false);
            }
            Event::Quiet => self.load(daemon, 20, Duration::from_secs(4))?,
        }
        self.load(daemon, 80, Duration::from_millis(700))
    }

    /// Sends more than the limit to each daemon in turn, as soon as all have the limit again.
    fn finish(&mut self) -> Result<(), String> {
        self.apply(Event::Resume)?;
        self.apply(Event::OneList)?;
        self.set_all(true);
        self.load(0, 20, Duration::from_secs(4))?;
        for daemon in 0..DAEMONS {
            self.load(daemon, 500, Duration::from_millis(1500))?;
        }
        self.world.check()
    }
}

/// Runs one order of events after a time in which the limit is used. There are few reports until then, so that those of a
/// later holder that starts its numbers anew soon pass them.
fn run(events: &[Event], seed: u64, fault: Fault) -> Result<(), String> {
    let mut model = Model::new(seed, fault);
    let steps = |model: &mut Model| {
        model.load(0, 0, Duration::from_secs(4))?;
        model.load(0, 90, Duration::from_millis(1700))?;
        events.iter().try_for_each(|event| model.apply(*event))?;
        model.finish()
    };
    steps(&mut model).map_err(|error| format!("seed {seed}, {events:?}: {error}"))
}

fn check_all_orders(fault: Fault) -> Result<(), String> {
    let orders = ALL.len().pow(DEPTH);
    for order in 0..orders {
        let mut rest = order;
        let events: Vec<_> = (0..DEPTH)
            .map(|_event| {
                let event = ALL[rest % ALL.len()];
                rest /= ALL.len();
                event
            })
            .collect();
        run(&events, SEED, fault)?;
    }
    Ok(())
}

/// Guards against credits that are spent twice after a limit was taken back and set again, in any order with restarts,
/// suspensions and changes of the coordinator.
#[test]
fn credits_never_exceed_the_limit_in_all_orders_of_three_events() {
    check_all_orders(Fault::None).unwrap();
}

/// Guards against the same over longer histories.
#[test]
fn credits_never_exceed_the_limit_in_many_orders_of_events() {
    let cases = std::env::var(CASES_VARIABLE).map_or(CASES, |cases| cases.parse().unwrap());
    for case in 0..cases {
        println!("seed {}", SEED + case);
        let mut rng = StdRng::seed_from_u64(SEED + case);
        let events: Vec<_> = (0..EVENTS).map(|_event| ALL[rng.random_range(0..ALL.len())]).collect();
        run(&events, SEED + case, Fault::None).unwrap();
    }
}

#[test]
fn reused_numbers_of_links_are_detected() {
    println!("{}", check_all_orders(Fault::ReusedNumbers).unwrap_err());
}
