//! Fuzzing of holders and coordinators against an oracle that sums the spent credits over all daemons.

use std::time::Duration;

use bolero::TypeGenerator;
use bolero::generator::bolero_generator::driver::{ByteSliceDriver, Options};
use damasktrack_quota::credit_holder::SpentCredit;
use damasktrack_quota::credit_limit::CreditLimit;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::quota_world::{BOUNDS, Fault, QuotaWorld};

const SEED: u64 = 20_261_206;
/// Number of cases; [`CASES_VARIABLE`] sets another.
const CASES: u64 = 60;
const CASES_VARIABLE: &str = "QUOTA_FUZZ_CASES";
const STEPS: usize = 250;
const DAEMONS: u8 = 5;

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    Advance {
        #[generator(1..120_u8)]
        ticks: u8,
    },
    /// Longer than all leases.
    AdvanceLong {
        #[generator(1..4_u8)]
        seconds: u8,
    },
    Requests {
        #[generator(0..DAEMONS)]
        daemon: u8,
        #[generator(0..2_u8)]
        tenant: u8,
        #[generator(1..60_u8)]
        count: u8,
    },
    /// All daemons send at once.
    RequestsEverywhere {
        #[generator(0..2_u8)]
        tenant: u8,
        rounds: u8,
    },
    NotRun {
        #[generator(1..40_u8)]
        count: u8,
    },
    /// Load above the limit, whose first requests turn out not to have run after a wait and further requests.
    NotRunLate {
        #[generator(0..DAEMONS)]
        daemon: u8,
        #[generator(0..2_u8)]
        tenant: u8,
        /// In 16 ms.
        wait: u8,
    },
    Suspend {
        #[generator(0..DAEMONS)]
        daemon: u8,
    },
    Resume,
    Restart {
        #[generator(0..DAEMONS)]
        daemon: u8,
    },
    RestartAll {
        #[generator(0..4_u8)]
        chance: u8,
    },
    Partition {
        sides: u8,
    },
    View {
        #[generator(0..DAEMONS)]
        daemon: u8,
        live: u8,
    },
    Heal,
    Network {
        #[generator(0..4_u8)]
        loss: u8,
        #[generator(0..4_u8)]
        repeat: u8,
        #[generator(0..4_u8)]
        delay: u8,
    },
}

struct Run {
    world: QuotaWorld,
    credits: Vec<(usize, usize, SpentCredit, Duration)>,
}

impl Run {
    fn request(&mut self, daemon: usize, tenant: usize, count: usize) {
        for _request in 0..count {
            if let Some(credit) = self.world.request(daemon, tenant) {
                self.credits.push((daemon, tenant, credit, self.world.now));
            }
        }
    }

    fn not_run_late(&mut self, daemon: usize, tenant: usize, wait: u32) {
        self.credits.clear();
        self.overload(daemon, tenant, 40);
        let first = std::mem::take(&mut self.credits);
        self.world.run(Duration::from_millis(16) * wait);
        self.overload(daemon, tenant, 40);
        for (daemon, tenant, credit, spent) in first {
            self.world.refund(daemon, tenant, credit, spent);
        }
        self.overload(daemon, tenant, 800);
    }

    fn overload(&mut self, daemon: usize, tenant: usize, ticks: usize) {
        for _tick in 0..ticks {
            self.request(daemon, tenant, 8);
            self.world.tick();
        }
    }

    fn apply(&mut self, step: Step) {
        let world = &mut self.world;
        match step {
            Step::Advance { ticks } => world.run(Duration::from_millis(5) * u32::from(ticks)),
            Step::AdvanceLong { seconds } => world.run(Duration::from_secs(u64::from(seconds))),
            Step::Requests { daemon, tenant, count } => {
                self.request(usize::from(daemon), usize::from(tenant), usize::from(count));
            }
            Step::RequestsEverywhere { tenant, rounds } => {
                for _round in 0..u32::from(rounds) * 3 {
                    for daemon in 0..DAEMONS {
                        self.request(usize::from(daemon), usize::from(tenant), 3);
                    }
                    self.world.tick();
                }
            }
            Step::NotRun { count } => {
                for _credit in 0..count {
                    let Some((daemon, tenant, credit, spent)) = self.credits.pop() else {
                        return;
                    };
                    world.refund(daemon, tenant, credit, spent);
                }
            }
            Step::NotRunLate { daemon, tenant, wait } => {
                self.not_run_late(usize::from(daemon), usize::from(tenant), u32::from(wait));
            }
            Step::Suspend { daemon } => world.daemons[usize::from(daemon)].paused = true,
            Step::Resume => world.daemons.iter_mut().for_each(|daemon| daemon.paused = false),
            Step::Restart { daemon } => {
                self.credits.retain(|credit| credit.0 != usize::from(daemon));
                world.restart(usize::from(daemon));
            }
            Step::RestartAll { chance } if chance > 0 => {}
            Step::RestartAll { .. } => {
                self.credits.clear();
                (0..usize::from(DAEMONS)).for_each(|daemon| world.restart(daemon));
            }
            Step::Partition { sides } => {
                for daemon in 0..usize::from(DAEMONS) {
                    world.sides[daemon] = (sides >> daemon) & 1;
                }
                for daemon in 0..usize::from(DAEMONS) {
                    world.daemons[daemon].view = world.sides.iter().map(|side| *side == world.sides[daemon]).collect();
                }
            }
            Step::View { daemon, live } => {
                let view = (0..DAEMONS).map(|other| (live >> other) & 1 == 1).collect();
                world.daemons[usize::from(daemon)].view = view;
            }
            Step::Heal => {
                world.sides.fill(0);
                let daemons = usize::from(DAEMONS);
                world
                    .daemons
                    .iter_mut()
                    .for_each(|daemon| daemon.view = vec![true; daemons]);
                (world.loss, world.repeat, world.delay) = (0.0, 0.0, Duration::from_millis(35));
                world.run(Duration::from_secs(4));
            }
            Step::Network { loss, repeat, delay } => {
                world.loss = f64::from(loss) * 0.15;
                world.repeat = f64::from(repeat) * 0.2;
                let delays = [10, 70, 400, 1500];
                world.delay = Duration::from_millis(delays[usize::from(delay)]);
            }
        }
    }
}

/// Runs all cases; returns the number of credits spent.
fn fuzz(fault: Fault) -> Result<usize, String> {
    println!("seed {SEED}");
    let mut spent = 0;
    let cases = std::env::var(CASES_VARIABLE).map_or(CASES, |cases| cases.parse().unwrap());
    for case in 0..cases {
        let mut bytes = vec![0; 1 << 13];
        StdRng::seed_from_u64(SEED + case).fill_bytes(&mut bytes);
        let options = Options::default();
        let mut driver = ByteSliceDriver::new(&bytes, &options);
        let limits = [(20.0, 20.0), (100.0, 300.0)];
        let limits = limits.map(|(rate, burst)| CreditLimit::new(rate, burst, &BOUNDS).unwrap());
        let world = QuotaWorld::new(usize::from(DAEMONS), limits.to_vec(), SEED + case, fault);
        let mut run = Run {
            world,
            credits: Vec::new(),
        };
        run.world.run(Duration::from_secs(5));
        for _step in 0..STEPS {
            let Some(step) = Step::generate(&mut driver) else {
                break;
            };
            run.apply(step);
        }
        run.world.check().map_err(|error| format!("case {case}: {error}"))?;
        spent += run.world.spent.iter().map(Vec::len).sum::<usize>();
    }
    Ok(spent)
}

/// Guards against credits beyond the limit after lost, repeated, late and reordered messages, partitions, different
/// views of the members, suspended and restarted daemons, and requests that don't run.
#[test]
fn credits_in_every_window_stay_below_the_limit() {
    let spent = fuzz(Fault::None).unwrap();
    println!("{spent} credits spent");
    assert!(spent > 100_000, "too few credits were spent: {spent}");
}

#[test]
fn whole_limit_without_coordinator_is_detected() {
    fuzz(Fault::WholeLimitAlone).unwrap_err();
}

/// Guards against refunds that are charged to less than the time since their request.
#[test]
fn refunds_without_the_age_of_the_request_are_detected() {
    println!("{}", fuzz(Fault::UndatedRefunds).unwrap_err());
}
