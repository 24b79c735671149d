//! Further rounds of attempts for refused calls.

use std::time::Duration;

use damasktrack_entity::call_outcome::RefusalReason;
use damasktrack_routing::round_policy::{RoundStep, next_round};

const NESTED: Duration = Duration::from_millis(700);
const REQUEST: Duration = Duration::from_secs(6);

/// Returns how many rounds start for a call whose rounds take `round` each, and when the last one starts.
fn rounds(reason: RefusalReason, round: Duration, limit: Duration) -> (usize, Duration) {
    let (mut elapsed, mut count, mut last) = (round, 0, Duration::ZERO);
    while let RoundStep::Pause(pause) = next_round(reason, elapsed, limit, 0.5) {
        assert!(!pause.is_zero());
        last = elapsed + pause;
        elapsed = last + round;
        count += 1;
    }
    (count, last)
}

/// Guards against a nested call that fails its whole request at the first refusal although servers become free within
/// milliseconds, and against rounds that go on until nothing of its time is left.
#[test]
fn refused_call_is_tried_again_within_a_share_of_its_time() {
    for reason in [
        RefusalReason::Overloaded,
        RefusalReason::QueueFull,
        RefusalReason::RateReached,
    ] {
        for limit in [NESTED, REQUEST] {
            let (count, last) = rounds(reason, Duration::from_millis(5), limit);
            assert!((3..=12).contains(&count), "{count}");
            assert!(last <= Duration::from_millis(250) && last < limit / 2, "{last:?}");
        }
    }
}

/// Guards against rounds for a call that has no time to wait, or whose servers took long to refuse it.
#[test]
fn call_without_time_is_refused_at_once() {
    let reason = RefusalReason::Overloaded;
    assert_eq!(rounds(reason, Duration::from_millis(1), Duration::from_millis(30)).0, 0);
    assert_eq!(rounds(reason, Duration::from_millis(300), NESTED).0, 0);
}

/// Guards against rounds that can't help: the refusal has another reason than a want of capacity.
#[test]
fn other_refusals_are_final() {
    for reason in [
        RefusalReason::DeadlineTooShort,
        RefusalReason::Leaving,
        RefusalReason::ShedByBackendServer,
        RefusalReason::NoCandidate,
        RefusalReason::NotDeclared,
    ] {
        assert_eq!(
            next_round(reason, Duration::ZERO, REQUEST, 0.0),
            RoundStep::GiveUp,
            "{reason}"
        );
    }
}

/// Guards against calls that were refused together and come back together.
#[test]
fn pauses_are_spread() {
    let pause = |draw| match next_round(RefusalReason::Overloaded, Duration::ZERO, NESTED, draw) {
        RoundStep::Pause(pause) => pause,
        RoundStep::GiveUp => Duration::ZERO,
    };
    assert!(pause(0.99) > 2 * pause(0.0), "{:?} {:?}", pause(0.0), pause(0.99));
}
