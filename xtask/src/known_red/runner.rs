use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::Command;

use eyre::{Result, WrapErr, bail, ensure};

use super::{Outcome, Plan, Runs, TestId, listed_names};

/// Subcommand with which cargo starts each test binary.
pub const RUNNER: &str = "run-test-binary";

/// Variable that makes a binary of rustdoc run each of its tests in a process of its own.
///
/// Rustdoc does not set it where a runner is used. All tests would then share one process, and one
/// that ended it early would hide those after it.
const DOC_TEST_BINARY: &str = "RUSTDOC_DOCTEST_BIN_PATH";

/// Runs one test binary as the plan says.
///
/// The words are the plan's file, the binary, and what cargo gives to the binary.
///
/// # Errors
///
/// Fails if a test that is not listed fails, if the binary crashes, or if it cannot be started.
pub fn run_binary(words: &[String]) -> Result<()> {
    let [plan_file, binary, args @ ..] = words else {
        bail!("{RUNNER} is started by cargo with a plan and a test binary");
    };
    let plan_file = Path::new(plan_file);
    let binary = Path::new(binary);
    let plan: Plan = serde_json::from_slice(&std::fs::read(plan_file)?)?;
    let listed = plan.listed_in(binary);
    if listed.is_empty() {
        return run_as_it_is(binary, args, !plan.knows(binary));
    }
    let selected = names(binary, args)?;
    let runs = Runs::new(args, &selected, listed);
    run_listed_last(plan_file, binary, &runs)
}

/// Becomes the binary; returns only if that fails.
fn run_as_it_is(binary: &Path, args: &[String], by_rustdoc: bool) -> Result<()> {
    let mut command = Command::new(binary);
    if by_rustdoc {
        command.env(DOC_TEST_BINARY, binary);
    }
    Err(command.args(args).exec()).wrap_err("starting a test binary")
}

/// Runs the ordinary tests, then each listed one, and fails afterwards if any of it was wrong.
fn run_listed_last(plan_file: &Path, binary: &Path, runs: &Runs) -> Result<()> {
    let mut wrong = Vec::new();
    for words in runs.ordinary() {
        let status = Command::new(binary).args(words).status()?;
        if !status.success() {
            wrong.push(format!("{}: {status}", binary.display()));
        }
    }
    for (test, words) in runs.listed() {
        println!("\nlisted as known to fail: {test}");
        let status = Command::new(binary).args(words).status()?;
        let outcome = Outcome::from_code(status.code());
        record(plan_file, test, outcome)?;
        if outcome == Outcome::Crashed {
            wrong.push(format!("{test}: {status}"));
        }
    }
    for test in runs.left_out() {
        record(plan_file, test, Outcome::LeftOut)?;
    }
    ensure!(wrong.is_empty(), "{}", wrong.join("; "));
    Ok(())
}

/// Asks a binary for the names of the tests that the words select.
pub(super) fn names(binary: &Path, args: &[String]) -> Result<Vec<String>> {
    let output = Command::new(binary).args(args).arg("--list").output()?;
    let problem = String::from_utf8_lossy(&output.stderr);
    ensure!(output.status.success(), "listing the tests of {}: {problem}", binary.display());
    Ok(listed_names(&String::from_utf8(output.stdout)?))
}

/// Returns the file in which outcomes are collected beside a plan.
pub(super) fn outcomes_file(plan_file: &Path) -> PathBuf {
    plan_file.with_extension("outcomes")
}

/// Notes the outcome of a listed test for the closing report.
fn record(plan_file: &Path, test: &TestId, outcome: Outcome) -> Result<()> {
    let mut file = OpenOptions::new().append(true).open(outcomes_file(plan_file))?;
    let line = serde_json::to_string(&(test, outcome))?;
    writeln!(file, "{line}").wrap_err("noting an outcome")
}
