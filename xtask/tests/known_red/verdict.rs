//! Deciding whether a run passes.

use xtask::known_red::{Entry, Outcome, Plan, Verdict};

use crate::support::{binary, entry, id};

/// Returns two entries, the second of a target that was not chosen.
fn entries() -> [Entry; 2] {
    [entry("one one a"), entry("two two a")]
}

/// Returns a plan that runs the binary of the first entry only.
fn plan() -> Plan {
    let binaries = [binary("one", "test", "one", "/one")];
    let other = binary("two", "test", "two", "/two");
    Plan::new(&entries(), &binaries, &[other.target().clone()]).unwrap()
}

// Only the failure of a listed test is tolerated: no failure that cargo reports, no crash, and no
// listed test that was not run.
macro_rules! verdicts {
    ($($name:ident: $cargo:literal, $outcomes:expr => $passed:literal, $remark:literal;)*) => {
        $(#[test]
        fn $name() {
            let verdict = Verdict::new(&entries(), &plan(), &$outcomes, $cargo);
            assert_eq!(verdict.passed(), $passed, "{}", verdict.report());
            let line = format!("{}\n    => {}", entries()[0], $remark);
            assert!(verdict.report().contains(&line), "{}", verdict.report());
        })*
    };
}

verdicts! {
    a_listed_failure_passes: true, [(id("one one a"), Outcome::Failed)] => true, "FAILED";
    a_listed_test_that_passes_is_reported: true, [(id("one one a"), Outcome::Passed)]
        => true, "PASSED";
    an_unselected_test_is_reported: true, [(id("one one a"), Outcome::LeftOut)]
        => true, "NOT RUN: the command line";
    a_crash_fails: true, [(id("one one a"), Outcome::Crashed)] => false, "CRASHED";
    a_missing_outcome_fails: true, [] => false, "NOT RUN although";
    the_outcome_of_another_package_does_not_count: true, [(id("two one a"), Outcome::Failed)]
        => false, "NOT RUN although";
    the_outcome_of_another_target_does_not_count: true, [(id("one --lib a"), Outcome::Failed)]
        => false, "NOT RUN although";
    the_outcome_of_a_longer_name_does_not_count: true, [(id("one one ab"), Outcome::Failed)]
        => false, "NOT RUN although";
    another_failure_fails: false, [(id("one one a"), Outcome::Failed)] => false, "FAILED";
    another_failure_fails_beside_a_pass: false, [(id("one one a"), Outcome::Passed)]
        => false, "PASSED";
}

#[test]
fn an_entry_of_another_target_is_reported() {
    let outcomes = [(id("one one a"), Outcome::Failed)];
    let verdict = Verdict::new(&entries(), &plan(), &outcomes, true);
    let line = format!("{}\n    => NOT RUN: its target", entries()[1]);
    assert!(verdict.report().contains(&line), "{}", verdict.report());
}

macro_rules! codes {
    ($($name:ident: $code:expr => $outcome:expr;)*) => {
        $(#[test]
        fn $name() {
            assert_eq!(Outcome::from_code($code), $outcome);
        })*
    };
}

codes! {
    success_is_a_pass: Some(0) => Outcome::Passed;
    the_exit_code_of_the_test_library_is_a_failure: Some(101) => Outcome::Failed;
    any_other_code_is_a_crash: Some(1) => Outcome::Crashed;
    a_signal_is_a_crash: None => Outcome::Crashed;
}
