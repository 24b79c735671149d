//! Order in which the requests of a connection start, and which response closes it.

use damasktrack_pipeline::request_order::{
    ConnectionPhase, MAX_STARTED, PendingWork, Persistence, StartDecision, StartOrder, decide_close, decide_start,
};

fn all_work() -> impl Iterator<Item = PendingWork> {
    (0..=MAX_STARTED).flat_map(|started| {
        [StartOrder::Ahead, StartOrder::InTurn]
            .into_iter()
            .flat_map(move |last_order| {
                [(false, false), (false, true), (true, false), (true, true)].map(|(sending, closing)| PendingWork {
                    started,
                    last_order,
                    sending,
                    closing,
                })
            })
    })
}

const PHASES: [ConnectionPhase; 3] = [
    ConnectionPhase::Serving,
    ConnectionPhase::Closing,
    ConnectionPhase::Closed,
];

/// Guards against a request that must not run twice and that starts while an earlier response may still close the
/// connection, whereupon the caller sends it again.
#[test]
fn request_that_must_not_run_twice_starts_alone() {
    for work in all_work() {
        for phase in PHASES {
            let starts = decide_start(StartOrder::InTurn, phase, work) == StartDecision::Start;
            assert_eq!(starts, work.started == 0 && !work.sending && !work.closing, "{work:?}");
        }
    }
}

/// Guards against requests that start behind one that must not run twice, beyond the bound, behind the closing
/// response, or ahead during a planned stop.
#[test]
fn requests_start_ahead_only_behind_their_kind() {
    for work in all_work() {
        for phase in PHASES {
            let starts = decide_start(StartOrder::Ahead, phase, work) == StartDecision::Start;
            let first = work.started == 0 && !work.sending;
            let ahead = phase == ConnectionPhase::Serving
                && work.started < MAX_STARTED
                && (work.started == 0 || work.last_order == StartOrder::Ahead);
            assert_eq!(starts, !work.closing && (first || ahead), "{phase:?} {work:?}");
        }
    }
}

/// Guards against a response that closes the connection in front of started requests.
#[test]
fn closing_response_is_that_of_the_last_started_request() {
    for phase in PHASES {
        for wanted in [false, true] {
            for behind in 1..=MAX_STARTED {
                assert_eq!(decide_close(wanted, behind, phase), Persistence::KeepOpen);
            }
            let closes = decide_close(wanted, 0, phase) == Persistence::Close;
            assert_eq!(closes, wanted || phase != ConnectionPhase::Serving);
        }
    }
}
