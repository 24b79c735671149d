//! Stateful fuzzing of record and table merges against a simple oracle.

use std::collections::HashMap;
use std::time::Instant;

use bolero::TypeGenerator;
use bolero::generator::bolero_generator::driver::{ByteSliceDriver, Options};
use bytes::Bytes;
use damasktrack_entity::server_location::ServerLocation;
use damasktrack_membership::member_record::{MemberRecord, MemberState, MergeResult};
use damasktrack_membership::member_table::MemberTable;
use damasktrack_membership::server_departure::ServerDeparture;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, RngExt, SeedableRng};

const SEED: u64 = 20_261_204;
const CASES: u64 = 400;

/// Fields of a generated record. The ranges are small, so that many records concern the same member and incarnation.
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
    /// Start time of a departed backend server; 0 for none.
    #[generator(0..4_u8)]
    departed: u8,
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
            departure: (self.departed > 0).then(|| ServerDeparture {
                started_ms: u64::from(self.departed),
                instance: Bytes::from_static(b"i-1"),
            }),
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

/// Merges records in the given order, some of them twice. All members are added first, since records of unknown members
/// that are dead are ignored by design.
fn table(records: &[MemberRecord], rng: &mut StdRng, now: Instant) -> MemberTable {
    let mut table = MemberTable::new();
    for member in 0..6 {
        let first = Update {
            member,
            start: 0,
            version: 0,
            state: 0,
            slots: false,
            departed: 0,
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

fn check_merges_commute(last_wins: bool) -> Result<(), String> {
    println!("seed {SEED}");
    let now = Instant::now();
    for case in 0..CASES {
        let mut rng = StdRng::seed_from_u64(case);
        let mut records = updates(case, 24);
        let first = table(&records, &mut rng, now);
        records.shuffle(&mut rng);
        let mut second = table(&records, &mut rng, now);
        if last_wins {
            // The injected fault: the last record replaces the one in the table without a merge.
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

/// Guards against tables that depend on the order of gossip, or on lost or duplicated copies.
#[test]
fn tables_converge_in_any_order() {
    check_merges_commute(false).unwrap();
}

#[test]
fn convergence_check_fails_if_last_record_replaces() {
    check_merges_commute(true).unwrap_err();
}

/// Guards against a stale record restoring an old incarnation, making a leaving server a candidate or corrupting the
/// list of candidates.
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
                assert!(after.started_ms >= before.started_ms, "case {case}: start decreased");
                let same = after.started_ms == before.started_ms;
                assert!(
                    !same || after.version >= before.version,
                    "case {case}: version decreased"
                );
            }
            if record.leaving && after.started_ms == record.started_ms {
                left.insert(record.daemon_id.clone(), record.started_ms);
            }
            for start in 0..3 {
                let service = Bytes::from(format!("service-{start}"));
                for (_key, entry) in table.candidates(&service) {
                    let record = &entry.record;
                    assert_eq!(record.service, service, "case {case}: listed under another service");
                    let has_left = left.get(&record.daemon_id) == Some(&record.started_ms);
                    assert!(!has_left, "case {case}: {record:?} is leaving and a candidate");
                    assert!(record.state.is_live() && record.state != MemberState::Joining);
                }
            }
        }
        let listed: usize = (0..3)
            .map(|start| table.candidates(&Bytes::from(format!("service-{start}"))).count())
            .sum();
        let candidates = table.iter().filter(|(_key, entry)| entry.record.is_candidate()).count();
        assert_eq!(listed, candidates, "case {case}: candidates and members differ");
    }
}

/// Guards against a departure of a backend server that is forgotten when a later process of its daemon is known.
#[test]
fn departure_outlasts_the_incarnation() {
    let update = Update {
        member: 1,
        start: 1,
        version: 3,
        state: 0,
        slots: true,
        departed: 2,
    };
    let departed = update.record();
    let restarted = Update {
        start: 2,
        version: 0,
        departed: 0,
        ..update
    };
    let restarted = restarted.record();
    for records in [[&departed, &restarted], [&restarted, &departed]] {
        let mut merged = records[0].clone();
        assert_eq!(merged.merge(records[1]), MergeResult::Changed);
        assert_eq!(merged.started_ms, restarted.started_ms);
        assert_eq!(merged.departure, departed.departure);
        assert_eq!(merged.merge(records[1]), MergeResult::Unchanged);
    }
}

/// Guards against records that daemons without the field for departures can't decode although there is none, and
/// against records of such daemons that can't be decoded here.
#[test]
fn record_without_a_departure_has_ten_fields() {
    let update = Update {
        member: 1,
        start: 1,
        version: 1,
        state: 1,
        slots: true,
        departed: 0,
    };
    let mut record = update.record();
    let encoded = rmp_serde::to_vec(&record).unwrap();
    assert_eq!(encoded[0], 0x9a, "not an array of ten");
    assert_eq!(rmp_serde::from_slice::<MemberRecord>(&encoded).unwrap(), record);
    record.departure = Some(ServerDeparture {
        started_ms: 5,
        instance: Bytes::from_static(b"i-1"),
    });
    let encoded = rmp_serde::to_vec(&record).unwrap();
    assert_eq!(rmp_serde::from_slice::<MemberRecord>(&encoded).unwrap(), record);
}

/// Guards against forgotten members staying in the table or in the digest, and against dead records adding them again.
#[test]
fn forgotten_members_are_removed_entirely() {
    let now = Instant::now();
    let mut table = MemberTable::new();
    let empty = table.digest();
    let mut update = Update {
        member: 1,
        start: 1,
        version: 1,
        state: 1,
        slots: true,
        departed: 0,
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
    assert!(table.is_empty(), "a dead record added the member again");
}
