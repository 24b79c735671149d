//! Fuzz test of the action ledger: several owners that pause and restart, callers that repeat ids through any of them,
//! and a table service that loses or delays requests and answers.

#[path = "support/action_world.rs"]
mod action_world;
#[path = "support/case_runner.rs"]
mod case_runner;

use action_world::{Coverage, Fault, check};

fn run(fault: Fault, cases: u64, coverage: &mut Coverage) -> Result<(), String> {
    let name = format!("actions, fault {fault:?}");
    case_runner::run(&name, cases, 120, |operations| check(fault, operations, coverage))
}

/// Guards against a second execution, a refusal of an action that ran, a wrong answer, a waiter without an outcome and
/// memory use above the limits.
#[test]
fn actions_run_at_most_once_and_refusals_are_true() {
    let mut coverage = Coverage::default();
    if let Err(violation) = run(Fault::None, 6_000, &mut coverage) {
        panic!("{violation}");
    }
    println!("{coverage:?}");
    assert!(
        coverage.len() == 7 && coverage.values().all(|count| *count > 500),
        "{coverage:?}"
    );
}

macro_rules! mechanism_off {
    ($($name:ident: $fault:ident => $part:literal;)*) => {$(
        /// Guards against an oracle that does not detect that the mechanism is disabled.
        #[test]
        fn $name() {
            case_runner::expect_violation(run(Fault::$fault, 20_000, &mut Coverage::default()), $part);
        }
    )*};
}

mechanism_off! {
    oracle_detects_skipped_claims: SkipClaim => "execution";
    oracle_detects_trusted_lost_answers: TrustLostAnswer => "execution";
    oracle_detects_ignored_tokens: IgnoreToken => "execution";
    oracle_detects_kept_incarnations: KeepIncarnation => "execution";
    oracle_detects_an_ignored_floor: IgnoreFloor => "execution";
    oracle_detects_ambiguous_results_taken_as_not_run: AmbiguousAsNotRun => "execution";
    oracle_detects_ignored_attempt_numbers: IgnoreAttempt => "execution";
    oracle_detects_refusals_of_unsettled_claims: RefuseUnsettledClaim => "refusal";
}
