//! Running one binary: this one, whose [`victims`](crate::victims) fail as they are told.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use xtask::known_red::{Outcome, Plan, RUNNER, TestId};

use crate::support::{binary, entry, id, owned};
use crate::victims::ORDERS;

/// What the runner made of a binary.
struct Run {
    passed: bool,
    outcomes: Vec<(TestId, Outcome)>,
    output: Output,
}

/// Runs the victims through the runner; `listed` names the victims in the list.
fn run(case: &str, listed: &str, orders: &str, args: &str) -> Run {
    let own = std::env::current_exe().unwrap();
    let binaries = [binary("pack", "test", "t", own.to_str().unwrap())];
    let entries: Vec<_> = listed.split_whitespace().map(|name| entry(&full(name))).collect();
    let plan = Plan::new(&entries, &binaries, &[]).unwrap();
    let (plan_file, outcomes_file) = files(case);
    std::fs::write(&plan_file, serde_json::to_vec(&plan).unwrap()).unwrap();
    std::fs::write(&outcomes_file, []).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_xtask"))
        .args([Path::new(RUNNER), &plan_file, &own])
        .args(owned(args))
        .env(ORDERS, orders)
        .output()
        .unwrap();
    let noted = std::fs::read_to_string(outcomes_file).unwrap();
    let outcomes = noted.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    Run { passed: output.status.success(), outcomes, output }
}

/// Returns the three words that name a victim.
fn full(name: &str) -> String {
    format!("pack t victims::{name}")
}

/// Returns the files of the plan and the outcomes of a case.
fn files(case: &str) -> (PathBuf, PathBuf) {
    let plan = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{case}.plan"));
    let outcomes = plan.with_extension("outcomes");
    (plan, outcomes)
}

// A listed test fails and nobody wants to hear of it again, but next to it, in the same binary,
// something else goes wrong. The binary's exit code must then still be a failure.
macro_rules! cases {
    ($($name:ident: [$listed:literal] $orders:literal, $args:literal
        => $passed:literal, [$($victim:literal $outcome:ident),*];)*) => {
        $(#[test]
        fn $name() {
            let run = run(stringify!($name), $listed, $orders, $args);
            assert_eq!(run.passed, $passed, "{:?}", run.output);
            let expected: Vec<_> = vec![$((id(&full($victim)), Outcome::$outcome)),*];
            assert_eq!(run.outcomes, expected);
        })*
    };
}

cases! {
    without_a_list_all_pass: [""] "", "victims::" => true, [];
    without_a_list_a_failure_fails: [""] "sore:fail", "victims::" => false, [];
    a_listed_failure_is_passed_over: ["sore"] "sore:fail", "victims::"
        => true, ["sore" Failed];
    two_listed_failures_are_passed_over: ["sore sore_too"] "sore:fail,sore_too:fail", "victims::"
        => true, ["sore" Failed, "sore_too" Failed];
    a_listed_pass_is_told: ["sore"] "", "victims::" => true, ["sore" Passed];
    a_listed_crash_fails: ["sore"] "sore:crash", "victims::" => false, ["sore" Crashed];
    another_failure_fails: ["sore"] "sore:fail,sound:fail", "victims::"
        => false, ["sore" Failed];
    another_crash_fails: ["sore"] "sore:fail,sound:crash", "victims::"
        => false, ["sore" Failed];
    a_failure_of_a_longer_name_fails: ["sore"] "sore:fail,sore_too:fail", "victims::"
        => false, ["sore" Failed];
    a_crash_of_a_longer_name_fails: ["sore"] "sore:fail,sore_too:crash", "victims::"
        => false, ["sore" Failed];
    a_failure_of_a_shorter_name_fails: ["sore_too"] "sore:fail,sore_too:fail", "victims::"
        => false, ["sore_too" Failed];
    a_test_that_is_not_selected_is_left_out: ["sore"] "sore:fail", "victims::sound"
        => true, ["sore" LeftOut];
    a_longer_name_fails_though_only_it_is_selected: ["sore"] "sore_too:fail", "victims::sore_too"
        => false, ["sore" LeftOut];
    whole_names_are_heeded: ["sore"] "sore:fail,sore_too:fail", "--exact victims::sore"
        => true, ["sore" Failed];
}

/// The reader of CI counts the closing lines of the test library, so none may get lost.
#[test]
fn the_closing_lines_stay_in_the_output() {
    let run = run("closing_lines", "sore", "sore:fail", "victims::");
    let text = String::from_utf8(run.output.stdout).unwrap();
    let closing: Vec<&str> = text.lines().filter(|line| line.starts_with("test result:")).collect();
    assert_eq!(closing.len(), 3, "{text}");
    assert!(closing[0].starts_with("test result: ok. 1 passed; 0 failed"), "{text}");
    assert!(closing[1].starts_with("test result: ok. 1 passed; 0 failed"), "{text}");
    assert!(closing[2].starts_with("test result: FAILED. 0 passed; 1 failed"), "{text}");
}

/// A binary that cannot be started must not look like one without failures.
#[test]
fn a_binary_that_is_gone_fails() {
    let (plan_file, _) = files("gone");
    let plan = Plan::new(&[], &[], &[]).unwrap();
    std::fs::write(&plan_file, serde_json::to_vec(&plan).unwrap()).unwrap();
    let words = [Path::new(RUNNER), &plan_file, Path::new("/gone")];
    let output = Command::new(env!("CARGO_BIN_EXE_xtask")).args(words).output().unwrap();
    assert!(!output.status.success(), "{output:?}");
}
