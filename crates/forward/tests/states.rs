//! State machines without I/O: reports of the backend server, weighted choice, and the retry share.

use std::time;

use bytes::Bytes;
use damasktrack_forward::capacity_log::CapacityLog;
use damasktrack_forward::peer_call::{self, CallReply, CallVerdict, ReportedLoad};
use damasktrack_forward::retry_share::RetryBounds;
use damasktrack_forward::route_config::RouteTarget;
use damasktrack_forward::server_hint::{HintTable, ServerHint};
use damasktrack_forward::server_notice::{LimitNotice, ServerNotice};
use damasktrack_forward::server_report::{ReportEffect, ServerCondition, ServerReport, ServerState};
use damasktrack_forward::stall_watch::StallWatch;
use damasktrack_forward::store_port::{ConfigCursor, StoredConfig, own_row_version};
use damasktrack_forward::weighted_choice::WeightedChoice;
use damasktrack_membership::member_record::MemberRecord;
use damasktrack_membership::member_row::MemberRow;
use damasktrack_membership::server_departure::ServerDeparture;

fn report(instance: &'static str, started_ms: u64, sequence: u64, condition: ServerCondition) -> ServerReport {
    ServerReport {
        instance: Bytes::from_static(instance.as_bytes()),
        service: Bytes::from_static(b"alpha"),
        started_ms,
        sequence,
        slots: 8,
        condition,
        cold_left: time::Duration::ZERO,
    }
}

/// Guards against a departure without a start time that is acknowledged although no later process could recall it, and
/// against one that holds up the acknowledgement of every later server.
#[test]
fn departure_without_a_start_is_unidentified_until_a_report() {
    let mut state = ServerState::default();
    state.apply_departure(&Bytes::from_static(b"i-1"), None);
    assert!(state.has_unidentified_departure() && state.departure().is_none());
    let mut successor = ServerState::default();
    successor.apply_departure(&Bytes::from_static(b"i-1"), None);
    state.apply_report(report("i-1", 10, 5, ServerCondition::Ready));
    assert_eq!(state.departure(), Some(departure("i-1", 10)));
    assert!(!state.has_unidentified_departure());
    successor.apply_report(report("i-2", 20, 1, ServerCondition::Ready));
    assert!(!successor.has_unidentified_departure() && successor.is_up());
}

/// Guards against a delayed heartbeat that overwrites a newer one.
#[test]
fn late_report_of_the_same_start_is_stale() {
    let mut state = ServerState::default();
    assert_eq!(
        state.apply_report(report("i-1", 10, 5, ServerCondition::Ready)),
        ReportEffect::Changed
    );
    assert_eq!(
        state.apply_report(report("i-1", 10, 4, ServerCondition::Draining)),
        ReportEffect::Stale
    );
    assert!(state.is_up());
}

/// Guards against a delayed heartbeat of an earlier instance that replaces the report of its successor.
#[test]
fn report_of_an_earlier_instance_is_stale() {
    let mut state = ServerState::default();
    state.apply_report(report("i-2", 20, 1, ServerCondition::Ready));
    assert_eq!(
        state.apply_report(report("i-1", 10, 99, ServerCondition::Ready)),
        ReportEffect::Stale
    );
    assert_eq!(state.serving().unwrap().instance, Bytes::from_static(b"i-2"));
}

/// Guards against a delayed ready report that ends the draining of a server.
#[test]
fn draining_start_stays_draining() {
    let mut state = ServerState::default();
    state.apply_report(report("i-1", 10, 1, ServerCondition::Draining));
    state.apply_report(report("i-1", 10, 2, ServerCondition::Ready));
    assert!(state.serving().is_none());
}

/// Guards against a restarted server that stays excluded because it keeps the id of a departed start, and its sequence
/// numbers begin again.
#[test]
fn same_id_with_a_later_start_is_a_new_server() {
    let mut state = ServerState::default();
    state.apply_report(report("i-1", 10, 50, ServerCondition::Ready));
    assert_eq!(
        state.apply_departure(&Bytes::from_static(b"i-1"), None),
        ReportEffect::Changed
    );
    assert!(state.serving().is_none());
    assert_eq!(
        state.apply_report(report("i-1", 11, 1, ServerCondition::Ready)),
        ReportEffect::Changed
    );
    assert!(state.is_up());
}

/// Guards against a departed server that serves again because of its own delayed heartbeat.
#[test]
fn departed_start_stays_departed() {
    let mut state = ServerState::default();
    state.apply_report(report("i-1", 10, 1, ServerCondition::Ready));
    state.apply_departure(&Bytes::from_static(b"i-1"), Some(10));
    state.apply_report(report("i-1", 10, 2, ServerCondition::Ready));
    assert!(state.serving().is_none());
}

/// Guards against a departed server that serves again because a restarted daemon acknowledged its departure before its
/// first report, and a delayed heartbeat follows. On trinfast-mesh, trouble-2 with seed 316836033451, a request reached
/// such a server 2.9 s later.
#[test]
fn departure_of_an_unknown_server_is_remembered() {
    for started_ms in [Some(10), None] {
        let mut state = ServerState::default();
        state.apply_departure(&Bytes::from_static(b"i-1"), started_ms);
        state.apply_report(report("i-1", 10, 12, ServerCondition::Ready));
        assert!(state.serving().is_none(), "{started_ms:?}");
        state.apply_report(report("i-1", 11, 1, ServerCondition::Ready));
        assert!(state.is_up(), "{started_ms:?}");
    }
}

/// Guards against a departure that is lost when another instance reports.
#[test]
fn departure_outlasts_reports_of_another_instance() {
    let mut state = ServerState::default();
    state.apply_report(report("i-1", 10, 1, ServerCondition::Ready));
    state.apply_departure(&Bytes::from_static(b"i-1"), Some(10));
    state.apply_report(report("i-2", 10, 1, ServerCondition::Ready));
    assert!(state.is_up());
    state.apply_report(report("i-1", 10, 2, ServerCondition::Ready));
    assert_ne!(
        state.serving().map(|report| report.instance.clone()),
        Some(Bytes::from_static(b"i-1"))
    );
}

/// Guards against a server that stops serving because of the departure of another instance.
#[test]
fn departure_of_another_instance_changes_nothing() {
    let mut state = ServerState::default();
    state.apply_report(report("i-2", 20, 1, ServerCondition::Ready));
    assert_eq!(
        state.apply_departure(&Bytes::from_static(b"i-1"), None),
        ReportEffect::Unknown
    );
    assert!(state.is_up());
}

/// Guards against a departed server that serves again since departures of unknown instances, which any process can send,
/// pushed its own out of the bounded list.
#[test]
fn departures_of_other_instances_displace_none_of_the_known_one() {
    let mut state = ServerState::default();
    state.apply_report(report("i-1", 10, 1, ServerCondition::Ready));
    state.apply_departure(&Bytes::from_static(b"i-1"), Some(10));
    for number in 0..20 {
        let other = Bytes::from(format!("i-other-{number}"));
        assert_eq!(state.apply_departure(&other, Some(10)), ReportEffect::Unknown);
        assert_ne!(state.apply_departure(&other, Some(11)), ReportEffect::Unknown);
    }
    state.apply_report(report("i-1", 10, 2, ServerCondition::Ready));
    assert!(state.serving().is_none());
}

/// Guards against shares that deviate from the weights over few requests: one round of 100 requests must be exact.
#[test]
fn targets_get_exactly_their_weights() {
    let targets = [(90, "a"), (10, "b"), (0, "c")].map(|(weight, service)| RouteTarget {
        service: Bytes::from_static(service.as_bytes()),
        weight,
    });
    let mut choice = WeightedChoice::default();
    let mut counts = [0; 3];
    for _number in 0..100 {
        let service = choice.next(&targets).unwrap();
        counts[targets.iter().position(|target| target.service == service).unwrap()] += 1;
    }
    assert_eq!(counts, [90, 10, 0]);
}

/// Guards against daemons that together allow more repeats than the bounds, over a chain of four levels.
#[test]
fn shares_of_all_daemons_stay_within_the_bound() {
    let bounds = RetryBounds {
        ratio: 0.2,
        extra: 50.0,
        window: time::Duration::from_secs(10),
    };
    for daemons in [24, 61, 760] {
        let policy = bounds.policy(daemons);
        let chain = (1.0 + policy.retry_share).powi(4) - 1.0;
        assert!(chain <= bounds.ratio, "{chain}");
        let regained = bounds.window.as_secs_f64() / policy.reserve_interval.as_secs_f64() * daemons as f64;
        assert!(regained <= bounds.extra, "{regained}");
    }
}

fn limited(rate: f64) -> ServerNotice {
    ServerNotice {
        limit: LimitNotice::Limited(rate),
        leaving: false,
    }
}

fn hint(instance: &'static str, started_ms: u64, rate: f64) -> ServerHint {
    ServerHint {
        instance: Bytes::from_static(instance.as_bytes()),
        started_ms,
        request_limit: Some(rate),
        leaving: false,
    }
}

/// Guards against a limit that outlasts its notice, or a malformed notice that lifts it.
#[test]
fn request_limit_follows_the_newest_notice() {
    let instance = Bytes::from_static(b"i-1");
    let mut state = ServerState::default();
    state.apply_report(report("i-1", 10, 1, ServerCondition::Ready));
    state.apply_notice(&instance, 10, limited(5.0));
    assert_eq!(state.request_limit(), Some(5.0));
    let malformed = ServerNotice {
        limit: LimitNotice::Malformed,
        leaving: false,
    };
    state.apply_notice(&instance, 10, malformed);
    assert_eq!(state.request_limit(), Some(5.0));
    state.apply_notice(&instance, 10, ServerNotice::default());
    assert_eq!(state.request_limit(), None);
}

/// Guards against a limit of an earlier start that binds a restarted server.
#[test]
fn request_limit_ends_with_its_start() {
    let instance = Bytes::from_static(b"i-1");
    let mut state = ServerState::default();
    state.apply_report(report("i-1", 10, 5, ServerCondition::Ready));
    state.apply_notice(&instance, 10, limited(5.0));
    state.apply_report(report("i-1", 20, 1, ServerCondition::Ready));
    assert_eq!(state.request_limit(), None);
    assert_eq!(state.apply_notice(&instance, 10, limited(5.0)), ReportEffect::Stale);
    assert_eq!(state.apply_hint(&hint("i-1", 10, 5.0)), ReportEffect::Stale);
    assert_eq!(state.request_limit(), None);
}

/// Guards against a hint of another daemon that overrides the server's own responses, and against one that stays in
/// force after a response without a limit.
#[test]
fn hint_is_in_force_until_the_first_response() {
    let mut state = ServerState::default();
    state.apply_report(report("i-1", 10, 1, ServerCondition::Ready));
    state.apply_hint(&hint("i-1", 10, 5.0));
    assert_eq!(state.request_limit(), Some(5.0));
    state.apply_notice(&Bytes::from_static(b"i-1"), 10, ServerNotice::default());
    assert_eq!(state.request_limit(), None);
    assert_eq!(state.apply_hint(&hint("i-1", 10, 5.0)), ReportEffect::Stale);
}

/// Guards against a refusal of a restarted daemon that erases what its server said before, and against hints that are
/// kept for good.
#[test]
fn refusal_without_a_hint_keeps_the_known_one() {
    let (daemon, now) = (Bytes::from_static(b"vm-1"), time::Instant::now());
    let mut table = HintTable::default();
    table.note_response(&daemon, Some(hint("i-1", 10, 5.0)), now);
    table.note_refusal(&daemon, None, now);
    assert_eq!(table.get(&daemon), Some(&hint("i-1", 10, 5.0)));
    table.note_response(&daemon, None, now);
    assert_eq!(table.get(&daemon), None);
    table.note_refusal(&daemon, Some(hint("i-1", 10, 5.0)), now);
    table.prune(now + time::Duration::from_hours(1));
    assert_eq!(table.get(&daemon), None);
}

/// Guards against a server that gets work again after a response said that it leaves, by a later response, a heartbeat
/// or a hint without that notice.
#[test]
fn departure_in_a_response_is_final_for_the_start() {
    let instance = Bytes::from_static(b"i-1");
    let leaving = ServerNotice {
        limit: LimitNotice::Unlimited,
        leaving: true,
    };
    let mut state = ServerState::default();
    state.apply_report(report("i-1", 10, 1, ServerCondition::Ready));
    state.apply_notice(&instance, 10, leaving);
    assert!(state.serving().is_none());
    assert!(state.hint().unwrap().leaving);
    state.apply_notice(&instance, 10, ServerNotice::default());
    state.apply_report(report("i-1", 10, 2, ServerCondition::Ready));
    state.apply_hint(&hint("i-1", 10, 5.0));
    assert!(state.serving().is_none());
    assert!(state.hint().unwrap().leaving);
    state.apply_report(report("i-1", 20, 1, ServerCondition::Ready));
    assert!(state.serving().is_some());
    assert_eq!(state.hint(), None);
}

/// Guards against a departure that is forgotten since an earlier response without it arrives later.
#[test]
fn departure_hint_outlasts_other_responses_of_the_start() {
    let (daemon, now) = (Bytes::from_static(b"vm-1"), time::Instant::now());
    let leaving = |started_ms| ServerHint {
        leaving: true,
        ..hint("i-1", started_ms, 5.0)
    };
    let mut table = HintTable::default();
    table.note_response(&daemon, Some(leaving(10)), now);
    table.note_response(&daemon, None, now);
    table.note_response(&daemon, Some(hint("i-1", 10, 5.0)), now);
    assert_eq!(table.get(&daemon), Some(&leaving(10)));
    table.note_response(&daemon, Some(hint("i-2", 20, 5.0)), now);
    assert_eq!(table.get(&daemon), Some(&hint("i-2", 20, 5.0)));
}

fn departure(instance: &'static str, started_ms: u64) -> ServerDeparture {
    ServerDeparture {
        started_ms,
        instance: Bytes::from_static(instance.as_bytes()),
    }
}

/// Guards against a departure that is not kept, and against one of an earlier start that is kept as the server's.
#[test]
fn departure_is_that_of_the_newest_report() {
    let mut state = ServerState::default();
    assert_eq!(state.departure(), None);
    state.apply_departure(&Bytes::from_static(b"i-1"), Some(10));
    assert_eq!(state.departure(), Some(departure("i-1", 10)));
    state.apply_report(report("i-1", 10, 5, ServerCondition::Ready));
    assert_eq!(state.departure(), Some(departure("i-1", 10)));
    state.apply_report(report("i-2", 20, 1, ServerCondition::Ready));
    assert_eq!(state.departure(), None);
    state.apply_report(report("i-2", 20, 2, ServerCondition::Draining));
    assert_eq!(state.departure(), Some(departure("i-2", 20)));
}

/// Guards against a departure that is saved as one of an earlier start, since it arrives before the first report of its own.
/// After a restart of the daemon, the server would be in use again.
#[test]
fn departure_before_the_first_report_of_its_start_is_that_of_its_start() {
    let mut state = ServerState::default();
    state.apply_report(report("i-1", 10, 1, ServerCondition::Ready));
    state.apply_departure(&Bytes::from_static(b"i-1"), Some(11));
    assert_eq!(state.departure(), Some(departure("i-1", 11)));
    state.apply_report(report("i-1", 11, 1, ServerCondition::Ready));
    assert!(state.serving().is_none());
    let mut replaced = ServerState::default();
    replaced.apply_report(report("i-1", 10, 1, ServerCondition::Ready));
    replaced.apply_departure(&Bytes::from_static(b"i-2"), Some(20));
    assert_eq!(replaced.departure(), Some(departure("i-2", 20)));
    replaced.apply_report(report("i-3", 30, 1, ServerCondition::Ready));
    assert_eq!(replaced.departure(), None);
}

/// Guards against a member record with an old departure that hides the limit of the present server.
#[test]
fn departure_of_an_earlier_start_replaces_no_hint() {
    let (daemon, now) = (Bytes::from_static(b"vm-1"), time::Instant::now());
    let mut table = HintTable::default();
    table.note_response(&daemon, Some(hint("i-2", 20, 5.0)), now);
    table.note_departure(&daemon, &departure("i-1", 10), now);
    assert_eq!(table.get(&daemon), Some(&hint("i-2", 20, 5.0)));
    table.note_departure(&daemon, &departure("i-2", 20), now);
    assert!(table.get(&daemon).unwrap().leaving);
}

/// Guards against a cursor that outlives a restore of the store, whose versions are given out again.
#[test]
fn cursor_ends_with_the_era_of_the_store() {
    let stored = |version, era| StoredConfig {
        text: None,
        version,
        era,
    };
    let at = |version, era| ConfigCursor::At { version, era };
    assert_eq!(ConfigCursor::Unknown.after(&stored(28, Some(0))), at(28, Some(0)));
    assert_eq!(at(28, Some(0)).after(&stored(30, Some(0))), at(30, Some(0)));
    assert_eq!(at(28, Some(0)).after(&stored(40, Some(1))), ConfigCursor::Unknown);
    assert_eq!(at(28, None).after(&stored(30, None)), at(30, None));
}

/// Guards against requests that are taken for fresh although they waited while the process was paused, and against time
/// that is taken from requests of a process that runs.
#[test]
fn requests_read_after_a_pause_have_waited_for_its_length() {
    let at = time::Duration::from_millis;
    let mut watch = StallWatch::new(at(0));
    for beat in 1..=10 {
        watch.beat(at(beat * 110));
        assert_eq!(watch.longest_wait(at(beat * 110 + 90)), at(0));
    }
    // The process is paused from 1,100 ms on, and reads a request before or after its next beat.
    assert_eq!(watch.longest_wait(at(2_600)), at(1_500));
    watch.beat(at(2_600));
    assert_eq!(watch.longest_wait(at(2_650)), at(1_550));
    watch.beat(at(2_700));
    assert_eq!(watch.longest_wait(at(2_750)), at(0));
}

/// Guards against a stopping process that removes the row of a later process with its daemon id, and against a row of
/// an earlier start that a restore of the store brought back.
#[test]
fn own_row_is_that_of_the_own_process() {
    let record = |started_ms| -> MemberRecord {
        let row = MemberRow {
            daemon_id: "vm-1".to_owned(),
            started_ms,
            incarnation: "1".to_owned(),
            version: 1,
            address: ([127, 0, 0, 1], 7000).into(),
            service: "alpha".to_owned(),
            region: "north".to_owned(),
            data_centre: "north-a".to_owned(),
            slots: 8,
            departure: None,
        };
        row.to_record().unwrap()
    };
    let own = record(20);
    assert_eq!(own_row_version(&own, None, Some(5)), None);
    assert_eq!(own_row_version(&own, Some((&record(10), 7)), Some(5)), None);
    assert_eq!(own_row_version(&own, Some((&record(20), 7)), Some(5)), Some(7));
    assert_eq!(own_row_version(&own, Some((&record(30), 7)), Some(5)), Some(5));
    let mut departed = record(20);
    departed.departure = Some(departure("i-1", 10));
    assert_eq!(own_row_version(&departed, Some((&own, 7)), Some(5)), None);
    assert_eq!(own_row_version(&departed, Some((&departed, 7)), Some(5)), Some(7));
}

/// Reply as builds without reported loads have it.
#[derive(Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
struct EarlierReply {
    verdict: CallVerdict,
    hint: Option<ServerHint>,
}

/// Guards against a reply that a build without reported loads can't read, or the reverse. Either would count as a
/// request that may have run, while daemons of both builds run.
#[test]
fn reply_is_that_of_earlier_builds() {
    let earlier = EarlierReply {
        verdict: CallVerdict::Answered,
        hint: None,
    };
    let reply = CallReply {
        verdict: CallVerdict::Answered,
        hint: None,
    };
    let text = peer_call::encode(&reply).unwrap();
    assert_eq!(peer_call::decode::<EarlierReply>(text.as_bytes()), Some(earlier));
    let load = ReportedLoad { wait_ms: 120, free: 0 };
    let text = peer_call::encode(&load).unwrap();
    assert_eq!(peer_call::decode::<ReportedLoad>(text.as_bytes()), Some(load));
}

/// Guards against a log line for each call that leaves its region.
#[test]
fn only_the_start_of_a_departure_is_logged() {
    let (mut log, start) = (CapacityLog::default(), time::Instant::now());
    let (read, write) = (Bytes::from_static(b"read"), Bytes::from_static(b"write"));
    assert!(log.begins(&read, start));
    assert!(log.begins(&write, start));
    let lines = (1..200).filter(|step| log.begins(&read, start + time::Duration::from_millis(step * 50)));
    assert_eq!(lines.count(), 0, "calls leave without a pause");
    assert!(log.begins(&read, start + time::Duration::from_secs(12)));
    assert!(
        !log.begins(&read, start + time::Duration::from_secs(14)),
        "less than 5 s after a line"
    );
}
