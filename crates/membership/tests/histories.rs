//! Stateful fuzzing of whole networks: after any history of faults the tables must converge.

mod virtual_network;

use std::collections::HashSet;
use std::time::Duration;

use bolero::TypeGenerator;
use bolero::generator::bolero_generator::driver::{ByteSliceDriver, Options};
use bytes::Bytes;
use damasktrack_membership::gossip_context::GossipContext;
use damasktrack_membership::member_record::MemberState;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use virtual_network::{Fault, Network, SERVICE, address, record};

const SEED: u64 = 20_261_204;
const CASES: u64 = 16;
const STEPS: usize = 30;
const MEMBERS: usize = 12;
/// Time after the last fault within which tables must become equal. Dead members are probed every 10 s at first.
const SETTLE: Duration = Duration::from_mins(3);

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    Drain(#[generator(0..12_u8)] u8),
    Leave(#[generator(0..12_u8)] u8),
    Kill(#[generator(0..12_u8)] u8),
    Restart(#[generator(0..12_u8)] u8),
    Pause(#[generator(0..12_u8)] u8),
    Resume(#[generator(0..12_u8)] u8),
    Cut(bool),
    Lose(#[generator(0..40_u8)] u8),
    Wait(#[generator(1..20_u8)] u8),
}

struct History {
    network: Network,
    started_ms: u64,
    /// Daemon id and start of leaving members, and the node whose table has contained them as leaving.
    seen_leaving: HashSet<(Bytes, u64, usize)>,
}

impl History {
    fn run(&mut self, step: Step) -> Result<(), String> {
        let network = &mut self.network;
        match step {
            Step::Drain(index) if network.nodes[usize::from(index)].running => {
                network.command(usize::from(index), GossipContext::drain);
            }
            Step::Leave(index) if network.nodes[usize::from(index)].running => {
                network.command(usize::from(index), GossipContext::leave);
                network.nodes[usize::from(index)].running = false;
            }
            Step::Kill(index) => network.nodes[usize::from(index)].running = false,
            Step::Restart(index) => {
                self.started_ms += 1;
                // A new process starts with an empty table.
                self.seen_leaving
                    .retain(|(_id, _started, node)| *node != usize::from(index));
                let seeds = [0, 4, 8, 9, 10].map(address);
                network.restart(usize::from(index), self.started_ms, &seeds);
            }
            Step::Pause(index) => network.nodes[usize::from(index)].paused = true,
            Step::Resume(index) => network.nodes[usize::from(index)].paused = false,
            Step::Cut(cut) => network.cut = cut,
            Step::Lose(percent) => network.loss = f64::from(percent) / 100.0,
            Step::Wait(seconds) => return self.wait(Duration::from_secs(u64::from(seconds))),
            Step::Drain(_) | Step::Leave(_) => {}
        }
        self.wait(Duration::from_millis(300))
    }

    /// Runs the network and checks that no node has a candidate that its table has contained as leaving.
    fn wait(&mut self, duration: Duration) -> Result<(), String> {
        let end = self.network.now + duration;
        while self.network.now < end {
            self.network.step();
            for (index, node) in self.network.nodes.iter().enumerate() {
                let table = node.context.table();
                for (_key, entry) in table.iter().filter(|(_key, entry)| entry.record.leaving) {
                    let record = &entry.record;
                    self.seen_leaving
                        .insert((record.daemon_id.clone(), record.started_ms, index));
                }
                for (_key, entry) in table.candidates(&Bytes::from_static(SERVICE)) {
                    let record = &entry.record;
                    if self
                        .seen_leaving
                        .contains(&(record.daemon_id.clone(), record.started_ms, index))
                    {
                        return Err(format!("node {index} has the leaving member {record:?} as a candidate"));
                    }
                }
            }
        }
        Ok(())
    }

    fn settle(&mut self) -> Result<(), String> {
        self.network.cut = false;
        self.network.loss = 0.0;
        self.network.duplication = 0.1;
        self.network.nodes.iter_mut().for_each(|node| node.paused = false);
        // Daemons that reached no seed join again, as the join plan has it.
        let isolated = |network: &Network, index: usize| network.nodes[index].context.table().live_count() == 1;
        for index in (0..MEMBERS)
            .filter(|index| isolated(&self.network, *index))
            .collect::<Vec<usize>>()
        {
            let all: Vec<_> = (0..MEMBERS).map(address).collect();
            self.network.command(index, |context, now| context.join(&all, now));
        }
        self.wait(SETTLE)?;
        let running = |node: &&virtual_network::Node| node.running;
        for index in 0..MEMBERS {
            let own = self.network.nodes[index].context.own_record();
            for node in self.network.nodes.iter().filter(running) {
                let seen = node
                    .context
                    .table()
                    .find(&record(index, 0).daemon_id)
                    .map(|entry| &entry.record);
                let correct = match (self.network.nodes[index].running, seen) {
                    (true, Some(seen)) => seen == own,
                    (true, None) => false,
                    (false, seen) => seen.is_none_or(|seen| !seen.state.is_live()),
                };
                if !correct {
                    return Err(format!("{:?} has record {seen:?} instead of {own:?}", node.address));
                }
            }
        }
        if self.network.equal_digests() {
            Ok(())
        } else {
            Err("digests differ".to_owned())
        }
    }
}

fn check_histories_converge(fault: Fault) -> Result<(), String> {
    println!("seed {SEED}");
    for case in 0..CASES {
        let mut bytes = vec![0; STEPS * 8];
        StdRng::seed_from_u64(SEED ^ case).fill_bytes(&mut bytes);
        let options = Options::default();
        let mut driver = ByteSliceDriver::new(&bytes, &options);
        let mut history = History {
            network: Network::steady(MEMBERS, case),
            started_ms: 5000,
            seen_leaving: HashSet::new(),
        };
        history.network.fault = fault;
        let steps: Vec<Step> = (0..STEPS).map_while(|_step| Step::generate(&mut driver)).collect();
        let result = steps.iter().try_for_each(|step| history.run(*step));
        result
            .and_then(|()| history.settle())
            .map_err(|error| format!("case {case}: {error}\n{steps:?}"))?;
    }
    Ok(())
}

/// Guards against tables that stay different, dead members that stay live and leaving members that become candidates,
/// after any history of pauses, deaths, restarts, partitions, loss and duplication.
#[test]
fn tables_converge_after_any_history() {
    check_histories_converge(Fault::None).unwrap();
}

#[test]
fn convergence_check_fails_without_updates() {
    check_histories_converge(Fault::NoUpdates).unwrap_err();
}

/// Guards against a member that is dead in all other tables not rejoining when it restarts without a running seed.
#[test]
fn restarted_member_is_found_by_its_address() {
    let mut network = Network::steady(6, SEED);
    network.nodes[2].running = false;
    network.run(Duration::from_secs(30));
    assert!(network.all_see(2, MemberState::Dead));
    network.restart(2, 9000, &[]);
    assert!(network.periods_until(60, Network::all_up).is_some());
}
