//! Which requests a table quarantines, and for how long.

use std::time::Duration;

use bytes::Bytes;
use damasktrack_quarantine::completion_log::CompletionLog;
use damasktrack_quarantine::crash_report::{self, CrashRecord, RecordKind};
use damasktrack_quarantine::quarantine_table::{QuarantinePolicy, QuarantineTable, RequestVerdict, TrialDecision};
use damasktrack_quarantine::request_digest::{RequestDigest, RequestIdentity};

const HOLD: Duration = Duration::from_secs(80);
const POLICY: QuarantinePolicy = QuarantinePolicy { crashes: 3, hold: HOLD };

fn at(seconds: u64) -> Duration {
    Duration::from_secs(1_000 + seconds)
}

/// Returns a table after crashes 1, 2 and 3 with request 7 and another one each.
fn quarantining() -> QuarantineTable {
    let mut table = QuarantineTable::new(POLICY);
    for id in 1..=3 {
        let effect = table.record_crash(id, [7, RequestDigest::from(10 + id)], at(id));
        let expected = if id == 3 { vec![(7, 3)] } else { Vec::new() };
        assert_eq!(effect.quarantined, expected);
    }
    table
}

/// Guards against a quarantine of requests that were in flight at fewer crashes.
#[test]
fn request_is_quarantined_after_three_crashes() {
    let table = quarantining();
    assert_eq!(table.verdict(7), RequestVerdict::Quarantined(3));
    assert_eq!(table.verdict(11), RequestVerdict::Suspect(1));
    assert_eq!(table.verdict(8), RequestVerdict::Sound);
    assert_eq!(table.quarantined(), 1);
}

/// Guards against a popular request that is refused since it was in flight at the crashes that another one caused.
#[test]
fn completed_request_is_cleared() {
    let mut table = QuarantineTable::new(POLICY);
    for id in 1..=9 {
        table.record_crash(id, [7, 8], at(id));
        table.note_completed(8, at(id));
        assert_eq!(table.verdict(8), RequestVerdict::Sound);
    }
    assert_eq!(table.verdict(7), RequestVerdict::Quarantined(9));
    // One that completed late, in flight before its quarantine, is released.
    assert_eq!(table.note_completed(7, at(10)).len(), 9);
    assert!(table.is_sound());
    assert!(table.note_completed(7, at(10)).is_empty());
}

/// Guards against crashes that count twice when they are learned twice, or from several daemons.
#[test]
fn crash_counts_once() {
    let mut table = QuarantineTable::new(POLICY);
    let record = |suspects: &[RequestDigest]| CrashRecord {
        id: 5,
        kind: RecordKind::Crash,
        age: Duration::ZERO,
        idle: Duration::ZERO,
        suspects: suspects.to_vec(),
    };
    assert_eq!(table.merge(&[record(&[7, 7, 9])], at(0)).news.len(), 1);
    for _again in 0..3 {
        assert!(table.merge(&[record(&[7, 9])], at(0)).news.is_empty());
    }
    assert_eq!(table.verdict(7), RequestVerdict::Suspect(1));
    // Another daemon knows that 9 was completed.
    assert_eq!(table.merge(&[record(&[7])], at(0)).news, [record(&[7])]);
    assert_eq!(table.verdict(9), RequestVerdict::Sound);
    assert!(table.merge(&[record(&[7, 9])], at(0)).news.is_empty());
}

/// Guards against a quarantine that ends although the request keeps coming, and against one without an end.
#[test]
fn quarantine_ends_when_the_request_stays_away() {
    let mut table = quarantining();
    for second in 10..200 {
        table.note_refused(7, at(second));
        table.prune(at(second));
        assert_eq!(table.verdict(7), RequestVerdict::Quarantined(3), "after {second} s");
    }
    let mut other = QuarantineTable::new(POLICY);
    other.merge(&table.report(at(200)), at(200));
    table.prune(at(290));
    other.prune(at(290));
    assert!(table.is_empty() && other.is_empty());
}

/// Guards against memory without bound, and against messages of another writer that exceed the bounds.
#[test]
fn table_is_bounded() {
    let mut table = QuarantineTable::new(POLICY);
    for id in 0..2_000 {
        table.record_crash(id, 0..600, at(0));
    }
    let report = table.report(at(0));
    assert_eq!(report.len(), crash_report::MAX_CRASHES);
    assert!(
        report
            .iter()
            .all(|crash| crash.suspects.len() == crash_report::MAX_SUSPECTS)
    );
    let huge = Duration::from_secs(u64::MAX);
    assert!(
        table
            .merge(
                &[CrashRecord {
                    id: 1,
                    kind: RecordKind::Crash,
                    age: huge,
                    idle: huge,
                    suspects: vec![1]
                }],
                at(1)
            )
            .news
            .is_empty()
    );
}

/// Guards against a request that is never counted since more are in flight at each crash than are kept.
#[test]
fn request_among_many_in_flight_is_quarantined() {
    const CAUSE: RequestDigest = RequestDigest::MAX;
    let mut table = QuarantineTable::new(POLICY);
    let mut crashes = 0;
    while table.verdict(CAUSE) != RequestVerdict::Quarantined(POLICY.crashes) {
        crashes += 1;
        assert!(crashes <= 40, "{:?} after {crashes} crashes", table.verdict(CAUSE));
        // The other requests in flight differ between the crashes.
        let others = (0..2_000).map(|number| RequestDigest::from(crashes * 10_000 + number));
        table.record_crash(crashes, others.chain([CAUSE]), at(0));
    }
    println!("quarantined after {crashes} crashes");
}

/// Guards against a refreshed crash that daemons pass on to each other without end.
#[test]
fn transfer_times_are_no_news() {
    let mut tables = [quarantining(), QuarantineTable::new(POLICY)];
    let report = tables[0].report(at(4));
    assert_eq!(tables[1].merge(&report, at(5)).news.len(), 3);
    for second in 5..9 {
        let report = tables[1].report(at(second));
        assert!(tables[0].merge(&report, at(second + 1)).news.is_empty());
    }
    assert_eq!(tables[0].summary(), tables[1].summary());
}

fn digest(identity: &RequestIdentity<'_>, chunks: &[&'static str]) -> RequestDigest {
    identity.digest(chunks.iter().map(|chunk| Bytes::from_static(chunk.as_bytes())))
}

/// Guards against a request that is taken for another one, and against a repeat that isn't recognized.
#[test]
fn digest_covers_each_part_of_the_identity() {
    let (caller, other, tenant) = (Bytes::from("alpha"), Bytes::from("alph"), Bytes::from("plum"));
    let identity = RequestIdentity {
        caller: &caller,
        tenant: None,
        method: "GET",
        host: b"site",
        target: "/read/1",
    };
    let known = digest(&identity, &["bo", "dy"]);
    assert_eq!(digest(&identity, &["body"]), known);
    assert_eq!(digest(&identity, &["b", "", "ody"]), known);
    let changed = [
        RequestIdentity {
            caller: &other,
            ..identity.clone()
        },
        RequestIdentity {
            tenant: Some(&tenant),
            ..identity.clone()
        },
        RequestIdentity {
            method: "POST",
            ..identity.clone()
        },
        RequestIdentity {
            host: b"site2",
            ..identity.clone()
        },
        RequestIdentity {
            target: "/read/1?",
            ..identity.clone()
        },
        // The same bytes, divided in another way.
        RequestIdentity {
            caller: &other,
            tenant: Some(&Bytes::from("a")),
            ..identity.clone()
        },
    ];
    for identity in changed {
        assert_ne!(digest(&identity, &["body"]), known, "{identity:?}");
    }
    assert_ne!(digest(&identity, &["body2"]), known);
}

/// Guards against completions that are forgotten at once or kept for good, and against memory without bound.
#[test]
fn completions_are_known_for_a_while() {
    let mut log = CompletionLog::default();
    log.note(7, at(0));
    for second in 0..10 {
        assert!(log.contains(7, at(second)), "after {second} s");
        log.note(8, at(second));
    }
    assert!(log.contains(8, at(19)));
    assert!(!log.contains(7, at(31)) && !log.contains(8, at(31)));
    for digest in 0..100_000 {
        log.note(digest, at(32));
    }
    assert!(log.contains(0, at(32)) && !log.contains(99_999, at(32)));
}

/// Guards against a digest that a caller can aim at the request of another one, to get it quarantined.
#[test]
fn digest_has_128_bits_that_each_part_of_a_request_changes() {
    let identity = RequestIdentity {
        caller: &Bytes::from_static(b"alpha"),
        tenant: None,
        method: "GET",
        host: b"site.example",
        target: "/read/1",
    };
    let digest_of = |number: u32| identity.digest(std::iter::once(Bytes::copy_from_slice(&number.to_le_bytes())));
    let mut changed = [0_u32; 128];
    for number in 0..1_000 {
        let difference = digest_of(number) ^ digest_of(number ^ 1);
        for (bit, count) in changed.iter_mut().enumerate() {
            *count += u32::from(difference >> bit & 1 == 1);
        }
    }
    // Each bit differs for about half of the pairs.
    assert!(changed.iter().all(|count| (400..600).contains(count)), "{changed:?}");
}

/// Guards against trials that follow each other closely or go on without end, and against a restart of the daemon that
/// forgets one.
#[test]
fn quarantined_request_is_tried_twice_at_most() {
    const LONG_HOLD: QuarantinePolicy = QuarantinePolicy {
        crashes: 3,
        hold: Duration::from_hours(1),
    };
    let mut table = QuarantineTable::new(LONG_HOLD);
    for id in 1..=3 {
        table.record_crash(id, [7], at(id));
    }
    let mut due = Vec::new();
    for second in 4..100_000 {
        table.note_refused(7, at(second));
        if table.trial(7, at(second)) == TrialDecision::Due {
            due.push(second);
            table.record_trial(second, 7, at(second));
            let mut restarted = QuarantineTable::new(LONG_HOLD);
            restarted.merge(&table.report(at(second)), at(second));
            table = restarted;
        }
    }
    assert_eq!(due, [33, 633]);
    assert_eq!(table.verdict(7), RequestVerdict::Quarantined(5));
    table.note_completed(7, at(100_001));
    assert!(table.is_sound());
}

/// Guards against messages that outgrow the control traffic of a daemon.
#[test]
fn crash_takes_few_bytes_on_the_wire() {
    let mut table = QuarantineTable::new(POLICY);
    let requests = (0..20).map(|number| RequestDigest::MAX - number);
    let news = table.record_crash(u64::MAX, requests, at(0)).news;
    let bytes = crash_report::encode(&news).unwrap();
    assert!(bytes.len() <= 40 + 20 * 18, "{} bytes", bytes.len());
    let late = table.report(at(70));
    assert_eq!(
        crash_report::decode::<crash_report::CrashReport>(&crash_report::encode(&late).unwrap()),
        Some(late)
    );
    assert_eq!(crash_report::decode::<crash_report::CrashReport>(&bytes[1..]), None);
}
