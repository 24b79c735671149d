//! Stateful fuzzing of records and tables against a simple oracle.

use std::collections::HashMap;
use std::time::Instant;

use bolero::TypeGenerator;
use bolero::generator::bolero_generator::driver::{ByteSliceDriver, Options};
use bytes::Bytes;
use damasktrack_entity::server_location::ServerLocation;
use damasktrack_membership::member_record::{MemberRecord, MemberState};
use damasktrack_membership::member_table::MemberTable;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, RngExt, SeedableRng};

const SEED: u64 = 20_261_204;
const CASES: u64 = 400;

/// Small ranges, so that records of one member often meet.
#[derive(Clone, Copy, Debug, TypeGenerator)]
struct Update {
    #[generator(0..6_u8)]
    member: u8,
    #[generator(0..3_u8)]
    start: u8,
    #[generator(0..4_u8)]
    version: u8,
    #[generator(0..6_u8)]
    state: u8,
    slots: bool,
}

impl Update {
    fn record(self) -> MemberRecord {
        let states = [
            MemberState::Joining,
            MemberState::Up,
            MemberState::Draining,
            MemberState::Suspect,
            MemberState::Dead,
            MemberState::Left,
        ];
        let state = states[usize::from(self.state)];
        MemberRecord {
            daemon_id: Bytes::from(format!("vm-{}", self.member)),
            started_ms: u64::from(self.start),
            incarnation: u64::from(self.start) * 7,
            version: u64::from(self.version),
            state,
            leaving: matches!(state, MemberState::Draining | MemberState::Left),
            address: ([10, 0, 0, self.member], 7000).into(),
            service: Bytes::from(format!("service-{}", self.start)),
            location: ServerLocation {
                region: Bytes::from_static(b"Lahore"),
                data_centre: Bytes::from_static(b"lhe-1"),
            },
            slots: u32::from(self.slots),
        }
    }
}

fn updates(case: u64, count: usize) -> Vec<MemberRecord> {
    let mut rng = StdRng::seed_from_u64(SEED ^ case);
    let mut bytes = vec![0; count * 8];
    rng.fill_bytes(&mut bytes);
    let options = Options::default();
    let mut driver = ByteSliceDriver::new(&bytes, &options);
    let updates = (0..count).filter_map(|_index| Update::generate(&mut driver));
    updates.map(Update::record).collect()
}

/// Merges in the given order, with some records twice. Unknown members are announced first, since dead ones that were
/// never known stay unknown by design.
fn table(records: &[MemberRecord], rng: &mut StdRng, now: Instant) -> MemberTable {
    let mut table = MemberTable::new();
    for member in 0..6 {
        let first = Update {
            member,
            start: 0,
            version: 0,
            state: 0,
            slots: false,
        };
        table.merge(&first.record(), now);
    }
    for record in records {
        for _copy in 0..rng.random_range(1..3) {
            table.merge(record, now);
        }
    }
    table
}

fn order_does_not_matter(last_wins: bool) -> Result<(), String> {
    println!("seed {SEED}");
    let now = Instant::now();
    for case in 0..CASES {
        let mut rng = StdRng::seed_from_u64(case);
        let mut records = updates(case, 24);
        let first = table(&records, &mut rng, now);
        records.shuffle(&mut rng);
        let mut second = table(&records, &mut rng, now);
        if last_wins {
            // The fault: the record that arrives last replaces the one known.
            let last = records.last().unwrap();
            let key = second.key_of(&last.daemon_id).unwrap();
            second.replace(key, last.clone(), now);
        }
        let by_id = |table: &MemberTable| -> HashMap<Bytes, MemberRecord> {
            let entries = table
                .iter()
                .map(|(_key, entry)| (entry.record.daemon_id.clone(), entry.record.clone()));
            entries.collect()
        };
        if by_id(&first) != by_id(&second) {
            return Err(format!("case {case}: tables differ"));
        }
        if first.digest() != second.digest() || first.live_count() != second.live_count() {
            return Err(format!("case {case}: digests or counts differ"));
        }
    }
    Ok(())
}

/// Guards against tables that depend on the order, loss of copies or duplication of gossip.
#[test]
fn tables_converge_in_any_order() {
    order_does_not_matter(false).unwrap();
}

#[test]
fn last_record_winning_is_objected_to() {
    order_does_not_matter(true).unwrap_err();
}

/// Guards against a stale record bringing back an old incarnation, a leaving server or a wrong list of candidates.
#[test]
fn merges_follow_the_oracle() {
    println!("seed {SEED}");
    let now = Instant::now();
    for case in 0..CASES {
        let records = updates(case, 48);
        let mut table = MemberTable::new();
        let mut left: HashMap<Bytes, u64> = HashMap::new();
        for record in &records {
            let before = table.find(&record.daemon_id).map(|entry| entry.record.clone());
            table.merge(record, now);
            let Some(entry) = table.find(&record.daemon_id) else {
                assert!(
                    !record.state.is_live() || record.state == MemberState::Suspect,
                    "case {case}: {record:?}"
                );
                continue;
            };
            let after = &entry.record;
            if let Some(before) = &before {
                assert!(after.started_ms >= before.started_ms, "case {case}: incarnation fell");
                let same = after.started_ms == before.started_ms;
                assert!(!same || after.version >= before.version, "case {case}: version fell");
            }
            if record.leaving && after.started_ms == record.started_ms {
                left.insert(record.daemon_id.clone(), record.started_ms);
            }
            for start in 0..3 {
                let service = Bytes::from(format!("service-{start}"));
                for (_key, entry) in table.candidates(&service) {
                    let record = &entry.record;
                    assert_eq!(record.service, service, "case {case}: listed under another service");
                    let gone = left.get(&record.daemon_id) == Some(&record.started_ms);
                    assert!(!gone, "case {case}: {record:?} leaves and is a candidate");
                    assert!(record.state.is_live() && record.state != MemberState::Joining);
                }
            }
        }
        let listed: usize = (0..3)
            .map(|start| table.candidates(&Bytes::from(format!("service-{start}"))).count())
            .sum();
        let fit = table.iter().filter(|(_key, entry)| entry.record.is_candidate()).count();
        assert_eq!(listed, fit, "case {case}: lists and members differ");
    }
}

/// Guards against members that are forgotten but stay in a list or in the digest.
#[test]
fn forgotten_members_leave_no_trace() {
    let now = Instant::now();
    let mut table = MemberTable::new();
    let empty = table.digest();
    let mut update = Update {
        member: 1,
        start: 1,
        version: 1,
        state: 1,
        slots: true,
    };
    table.merge(&update.record(), now);
    assert_ne!(table.digest(), empty);
    update.state = 4;
    table.merge(&update.record(), now);
    assert_eq!(table.digest(), empty);
    let hour = std::time::Duration::from_hours(1);
    table.forget(hour, now + hour / 2);
    assert_eq!(table.len(), 1);
    table.forget(hour, now + hour);
    assert!(table.is_empty());
    table.merge(&update.record(), now);
    assert!(table.is_empty(), "a dead record brought the member back");
}
