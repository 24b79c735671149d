//! Fuzz test of the action ledger: several owners that pause, die and restart, callers that repeat ids through any of
//! them, and a table service that loses requests, answers and time.

#[path = "support/action_world.rs"]
mod action_world;
#[path = "support/case_runner.rs"]
mod case_runner;

use action_world::{Coverage, Fault, check};

fn run(fault: Fault, cases: u64, coverage: &mut Coverage) -> Result<(), String> {
    let name = format!("actions, {fault:?} off");
    case_runner::run(&name, cases, 120, |operations| check(fault, operations, coverage))
}

/// Guards against a second execution, a refusal of an action that ran, a wrong answer, a lost waiter and growing
/// memory.
#[test]
fn actions_run_at_most_once_and_refusals_are_true() {
    let mut coverage = Coverage::default();
    if let Err(objection) = run(Fault::None, 6_000, &mut coverage) {
        panic!("{objection}");
    }
    println!("{coverage:?}");
    assert!(
        coverage.len() == 7 && coverage.values().all(|count| *count > 500),
        "{coverage:?}"
    );
}

macro_rules! mechanism_off {
    ($($name:ident: $fault:ident => $part:literal;)*) => {$(
        /// Guards against an oracle that does not notice the missing mechanism.
        #[test]
        fn $name() {
            case_runner::expect_objection(run(Fault::$fault, 20_000, &mut Coverage::default()), $part);
        }
    )*};
}

mechanism_off! {
    oracle_notices_skipped_claims: SkipClaim => "execution";
    oracle_notices_trusted_lost_answers: TrustLostAnswer => "execution";
    oracle_notices_ignored_tokens: IgnoreToken => "execution";
    oracle_notices_kept_incarnations: KeepIncarnation => "execution";
    oracle_notices_an_ignored_floor: IgnoreFloor => "execution";
    oracle_notices_ambiguous_results_taken_as_not_run: AmbiguousAsNotRun => "execution";
    oracle_notices_ignored_attempt_numbers: IgnoreAttempt => "execution";
    oracle_notices_refusals_of_unsettled_claims: RefuseUnsettledClaim => "refusal";
}
