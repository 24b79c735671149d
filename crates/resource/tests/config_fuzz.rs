//! Fuzz test of configuration changes: operators race through several daemons, the table service loses requests,
//! answers and time, and pushes, feeds and snapshots arrive late, twice and out of order.

#[path = "../../ownership/tests/support/case_runner.rs"]
mod case_runner;
#[path = "support/config_world.rs"]
mod config_world;

use config_world::{Coverage, Fault, check};

fn run(fault: Fault, coverage: &mut Coverage) -> Result<(), String> {
    let name = format!("configuration, {fault:?} off");
    case_runner::run(&name, 1_500, 240, |operations| check(fault, operations, coverage))
}

/// Guards against a configuration that reverts or differs between daemons, and against lost or doubled changes.
#[test]
fn configuration_never_reverts_and_one_operator_wins() {
    let mut coverage = Coverage::default();
    if let Err(objection) = run(Fault::None, &mut coverage) {
        panic!("{objection}");
    }
    println!("{coverage:?}");
    assert!(
        coverage.len() == 5 && coverage.values().all(|count| *count > 1_000),
        "{coverage:?}"
    );
    assert!(coverage["committed"] > 5_000, "{coverage:?}");
}

macro_rules! mechanism_off {
    ($($name:ident: $fault:ident => $part:literal;)*) => {$(
        /// Guards against an oracle that does not notice the missing mechanism.
        #[test]
        fn $name() {
            case_runner::expect_violation(run(Fault::$fault, &mut Coverage::default()), $part);
        }
    )*};
}

mechanism_off! {
    oracle_notices_any_snapshot: AnySnapshot => "fell from";
    oracle_notices_any_change: AnyChange => "another content";
    oracle_notices_commits_without_head_condition: NoHeadCondition => "revision";
    oracle_notices_commits_without_change_id: NoChangeId => "in the log";
    oracle_notices_a_change_id_read_too_early: ChangeIdReadFirst => "Rejected";
    oracle_notices_forgotten_doubt: ForgetDoubt => "Rejected";
}
