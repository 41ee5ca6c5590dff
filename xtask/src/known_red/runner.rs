use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::Command;

use eyre::{Result, WrapErr, bail, ensure};

use super::{Outcome, Plan, Runs, TestId, listed_names};

/// Subcommand by which cargo starts each test binary.
pub const RUNNER: &str = "run-test-binary";

/// Environment variable that makes a binary of rustdoc run each of its tests in its own process.
///
/// Rustdoc does not set it if a runner is configured. All tests would then share one process, and a
/// test that ends it early would prevent those after it from running.
const DOC_TEST_BINARY_VARIABLE: &str = "RUSTDOC_DOCTEST_BIN_PATH";

/// Runs one test binary as planned.
///
/// The arguments are the path of the plan, the path of the binary, and the binary's own arguments.
///
/// # Errors
///
/// Fails if a test that is not listed fails, if the binary crashes, or if it cannot be started.
pub fn run_binary(args: &[String]) -> Result<()> {
    let [plan_file, binary, binary_args @ ..] = args else {
        bail!("{RUNNER} needs the paths of a plan and of a test binary; it is started by cargo");
    };
    let plan_file = Path::new(plan_file);
    let binary = Path::new(binary);
    let plan: Plan = serde_json::from_slice(&std::fs::read(plan_file)?)?;
    let listed = plan.listed_in(binary);
    if listed.is_empty() {
        return exec_unchanged(binary, binary_args, !plan.contains(binary));
    }
    let selected = test_names(binary, binary_args)?;
    let runs = Runs::new(binary_args, &selected, listed);
    run_listed_last(plan_file, binary, &runs)
}

/// Replaces this process by the binary; returns only if that fails.
fn exec_unchanged(binary: &Path, args: &[String], built_by_rustdoc: bool) -> Result<()> {
    let mut command = Command::new(binary);
    if built_by_rustdoc {
        command.env(DOC_TEST_BINARY_VARIABLE, binary);
    }
    Err(command.args(args).exec()).wrap_err("starting a test binary")
}

/// Runs the ordinary tests, then each listed one, and reports all failures at the end.
fn run_listed_last(plan_file: &Path, binary: &Path, runs: &Runs) -> Result<()> {
    let mut failures = Vec::new();
    for args in runs.ordinary() {
        let status = Command::new(binary).args(args).status()?;
        if !status.success() {
            failures.push(format!("{}: {status}", binary.display()));
        }
    }
    for (test, args) in runs.listed() {
        println!("\nlisted as known to fail: {test}");
        let status = Command::new(binary).args(args).status()?;
        let outcome = Outcome::from_code(status.code());
        record_outcome(plan_file, test, outcome)?;
        if outcome == Outcome::Crashed {
            failures.push(format!("{test}: {status}"));
        }
    }
    for test in runs.left_out() {
        record_outcome(plan_file, test, Outcome::LeftOut)?;
    }
    ensure!(failures.is_empty(), "{}", failures.join("; "));
    Ok(())
}

/// Returns the names of the tests that the arguments select from a binary.
pub(super) fn test_names(binary: &Path, args: &[String]) -> Result<Vec<String>> {
    let output = Command::new(binary).args(args).arg("--list").output()?;
    let error = String::from_utf8_lossy(&output.stderr);
    ensure!(output.status.success(), "listing the tests of {}: {error}", binary.display());
    Ok(listed_names(&String::from_utf8(output.stdout)?))
}

/// Returns the path of the file beside the plan in which the outcomes are collected.
pub(super) fn outcomes_file(plan_file: &Path) -> PathBuf {
    plan_file.with_extension("outcomes")
}

/// Records the outcome of a listed test for the final report.
fn record_outcome(plan_file: &Path, test: &TestId, outcome: Outcome) -> Result<()> {
    let mut file = OpenOptions::new().append(true).open(outcomes_file(plan_file))?;
    let line = serde_json::to_string(&(test, outcome))?;
    writeln!(file, "{line}").wrap_err("recording an outcome")
}
