//! Running one test binary: this one, whose [`fixtures`](crate::fixtures) fail on request.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use xtask::known_red::{Outcome, Plan, RUNNER, TestId};

use crate::fixtures::FAULTS_VARIABLE;
use crate::support::{binary, entry, id, words};

/// Result of running a binary through the runner.
struct Run {
    passed: bool,
    outcomes: Vec<(TestId, Outcome)>,
    output: Output,
}

/// Runs the fixtures through the runner.
///
/// `listed` names the fixtures that are listed as known to fail, and `faults` those that do fail.
fn run(case: &str, listed: &str, faults: &str, args: &str) -> Run {
    let own = std::env::current_exe().unwrap();
    let binaries = [binary("pack", "test", "t", own.to_str().unwrap())];
    let entries: Vec<_> = listed.split_whitespace().map(|name| entry(&test_id_of(name))).collect();
    let plan = Plan::new(&entries, &binaries, &[]).unwrap();
    let (plan_file, outcomes_file) = files(case);
    std::fs::write(&plan_file, serde_json::to_vec(&plan).unwrap()).unwrap();
    std::fs::write(&outcomes_file, []).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_xtask"))
        .args([Path::new(RUNNER), &plan_file, &own])
        .args(words(args))
        .env(FAULTS_VARIABLE, faults)
        .output()
        .unwrap();
    let recorded = std::fs::read_to_string(outcomes_file).unwrap();
    let outcomes = recorded.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    Run { passed: output.status.success(), outcomes, output }
}

/// Returns package, target and name of a fixture.
fn test_id_of(name: &str) -> String {
    format!("pack t fixtures::{name}")
}

/// Returns the files of the plan and the outcomes of a case.
fn files(case: &str) -> (PathBuf, PathBuf) {
    let plan = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{case}.plan"));
    let outcomes = plan.with_extension("outcomes");
    (plan, outcomes)
}

// A listed test fails, and another test of the same binary fails or crashes as well. The binary's
// exit code must still report a failure.
macro_rules! cases {
    ($($name:ident: [$listed:literal] $faults:literal, $args:literal
        => $passed:literal, [$($fixture:literal $outcome:ident),*];)*) => {
        $(#[test]
        fn $name() {
            let run = run(stringify!($name), $listed, $faults, $args);
            assert_eq!(run.passed, $passed, "{:?}", run.output);
            let expected: Vec<_> = vec![$((id(&test_id_of($fixture)), Outcome::$outcome)),*];
            assert_eq!(run.outcomes, expected);
        })*
    };
}

cases! {
    passing_tests_without_a_list_pass: [""] "", "fixtures::" => true, [];
    without_a_list_a_failure_fails: [""] "alpha:fail", "fixtures::" => false, [];
    a_listed_failure_is_passed_over: ["alpha"] "alpha:fail", "fixtures::"
        => true, ["alpha" Failed];
    two_listed_failures_are_passed_over:
        ["alpha alpha_long"] "alpha:fail,alpha_long:fail", "fixtures::"
        => true, ["alpha" Failed, "alpha_long" Failed];
    a_listed_pass_is_reported: ["alpha"] "", "fixtures::" => true, ["alpha" Passed];
    a_listed_crash_fails: ["alpha"] "alpha:crash", "fixtures::" => false, ["alpha" Crashed];
    another_failure_fails: ["alpha"] "alpha:fail,beta:fail", "fixtures::"
        => false, ["alpha" Failed];
    another_crash_fails: ["alpha"] "alpha:fail,beta:crash", "fixtures::"
        => false, ["alpha" Failed];
    a_failure_of_a_longer_name_fails: ["alpha"] "alpha:fail,alpha_long:fail", "fixtures::"
        => false, ["alpha" Failed];
    a_crash_of_a_longer_name_fails: ["alpha"] "alpha:fail,alpha_long:crash", "fixtures::"
        => false, ["alpha" Failed];
    a_failure_of_a_shorter_name_fails: ["alpha_long"] "alpha:fail,alpha_long:fail", "fixtures::"
        => false, ["alpha_long" Failed];
    an_unselected_listed_test_is_left_out: ["alpha"] "alpha:fail", "fixtures::beta"
        => true, ["alpha" LeftOut];
    a_failure_of_a_longer_name_fails_when_only_it_is_selected:
        ["alpha"] "alpha_long:fail", "fixtures::alpha_long"
        => false, ["alpha" LeftOut];
    the_exact_flag_is_respected: ["alpha"] "alpha:fail,alpha_long:fail", "--exact fixtures::alpha"
        => true, ["alpha" Failed];
}

/// CI counts the summary lines of the test library, so none may be missing.
#[test]
fn the_summary_lines_stay_in_the_output() {
    let run = run("summary_lines", "alpha", "alpha:fail", "fixtures::");
    let text = String::from_utf8(run.output.stdout).unwrap();
    let summaries: Vec<&str> =
        text.lines().filter(|line| line.starts_with("test result:")).collect();
    assert_eq!(summaries.len(), 3, "{text}");
    assert!(summaries[0].starts_with("test result: ok. 1 passed; 0 failed"), "{text}");
    assert!(summaries[1].starts_with("test result: ok. 1 passed; 0 failed"), "{text}");
    assert!(summaries[2].starts_with("test result: FAILED. 0 passed; 1 failed"), "{text}");
}

/// A binary that cannot be started must not be reported as one without failures.
#[test]
fn a_missing_binary_fails() {
    let (plan_file, _) = files("gone");
    let plan = Plan::new(&[], &[], &[]).unwrap();
    std::fs::write(&plan_file, serde_json::to_vec(&plan).unwrap()).unwrap();
    let args = [Path::new(RUNNER), &plan_file, Path::new("/gone")];
    let output = Command::new(env!("CARGO_BIN_EXE_xtask")).args(args).output().unwrap();
    assert!(!output.status.success(), "{output:?}");
}
