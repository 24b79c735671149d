//! Fuzz test of configuration changes: operators make concurrent changes through several daemons, the table service
//! loses or delays requests and responses, and pushes, feeds and snapshots arrive late, repeatedly and out of order.

#[path = "../../ownership/tests/support/case_runner.rs"]
mod case_runner;
#[path = "support/config_world.rs"]
mod config_world;

use config_world::{Coverage, Fault, check};

fn run(fault: Fault, coverage: &mut Coverage) -> Result<(), String> {
    let name = format!("configuration, fault {fault:?}");
    case_runner::run(&name, 1_500, 240, |operations| check(fault, operations, coverage))
}

/// Guards against a configuration that reverts or differs between daemons, and against lost or duplicate changes.
#[test]
fn configuration_never_reverts_and_conflicting_changes_are_rejected() {
    let mut coverage = Coverage::default();
    if let Err(violation) = run(Fault::None, &mut coverage) {
        panic!("{violation}");
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
        /// Guards against an oracle that does not detect that the mechanism is disabled.
        #[test]
        fn $name() {
            case_runner::expect_violation(run(Fault::$fault, &mut Coverage::default()), $part);
        }
    )*};
}

mechanism_off! {
    oracle_detects_older_snapshots: AcceptOlderSnapshot => "fell from";
    oracle_detects_gaps_between_changes: AcceptChangeGap => "another content";
    oracle_detects_commits_without_head_condition: NoHeadCondition => "revision";
    oracle_detects_commits_without_change_id: NoChangeId => "in the log";
    oracle_detects_a_change_id_read_too_early: ChangeIdReadFirst => "Rejected";
    oracle_detects_forgotten_unsettled_commits: ForgetUnsettledCommit => "Rejected";
}
