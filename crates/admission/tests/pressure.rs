//! Tests of the early refusals while nested calls fail, with simulated time.

use std::time;

use bytes::Bytes;
use damasktrack_admission::pressure_throttle::{CallerService, PressureDecision, PressureOutcome, PressureThrottle};

const CLASS: Bytes = Bytes::from_static(b"root");
const STEP: time::Duration = time::Duration::from_millis(20);

/// Offers a request every [`STEP`], from two services in turn, and ends each admitted one at once. Of each ten
/// requests, the first `capacity` admitted ones complete and the others fail. Returns the numbers of admitted and of
/// completed requests.
fn run_requests(
    throttle: &mut PressureThrottle,
    now: &mut time::Instant,
    requests: usize,
    capacity: usize,
) -> (usize, usize) {
    let (mut admitted, mut completed) = (0, 0);
    let mut admitted_of_ten = 0;
    for number in 0..requests {
        if number % 10 == 0 {
            admitted_of_ten = 0;
        }
        *now += STEP;
        let caller_service = [CallerService::OwnService, CallerService::OtherService][number % 2];
        let draw = (number * 7 % 10) as f64 / 10.0;
        if throttle.arrive(&CLASS, caller_service, draw, *now) == PressureDecision::Refuse {
            continue;
        }
        admitted += 1;
        admitted_of_ten += 1;
        // Beyond the capacity, the nested calls of every request fail, as at an overloaded service.
        let outcome = if admitted_of_ten <= capacity {
            completed += 1;
            PressureOutcome::Completed
        } else {
            PressureOutcome::Failed
        };
        throttle.end(&CLASS, outcome, *now, *now);
    }
    (admitted, completed)
}

/// Guards against work for requests whose nested calls fail: without refusals, six of ten requests would be
/// admitted only to fail.
#[test]
fn failing_requests_are_refused_early() {
    let (mut throttle, mut now) = (PressureThrottle::default(), time::Instant::now());
    run_requests(&mut throttle, &mut now, 500, 4);
    let (admitted, completed) = run_requests(&mut throttle, &mut now, 1_000, 4);
    assert!(completed * 10 >= admitted * 6, "{completed} of {admitted}");
    assert!(completed >= 250, "{completed} completed, 400 could");
}

/// Guards against refusals that continue long after the overload has ended.
#[test]
fn all_requests_are_admitted_soon_after_the_overload() {
    let (mut throttle, mut now) = (PressureThrottle::default(), time::Instant::now());
    run_requests(&mut throttle, &mut now, 500, 1);
    assert!(throttle.share(&CLASS) < 0.5);
    let ended = now;
    while throttle.share(&CLASS) < 1.0 {
        run_requests(&mut throttle, &mut now, 10, 10);
        assert!(now - ended < time::Duration::from_secs(6), "{}", throttle.share(&CLASS));
    }
}

/// Guards against refusals inside a chain, where work was already done for the request. The fault was that a class
/// called by two other services counted as sent from outside of chains.
#[test]
fn class_that_only_other_services_send_is_never_refused() {
    let (mut throttle, mut now) = (PressureThrottle::default(), time::Instant::now());
    for _number in 0..500 {
        now += STEP;
        assert_eq!(
            throttle.arrive(&CLASS, CallerService::OtherService, 0.99, now),
            PressureDecision::Admit
        );
        throttle.end(&CLASS, PressureOutcome::Failed, now, now);
    }
}

/// Guards against refusals caused by callers that disconnect.
#[test]
fn unknown_outcomes_change_nothing() {
    let (mut throttle, mut now) = (PressureThrottle::default(), time::Instant::now());
    for _number in 0..100 {
        now += STEP;
        throttle.end(&CLASS, PressureOutcome::Unknown, now, now);
    }
    assert!((throttle.share(&CLASS) - 1.0).abs() < f64::EPSILON);
}
