use std::path::{Path, PathBuf};
use std::process::Stdio;

use eyre::{Result, WrapErr, ensure};

use super::runner::{outcomes_file, test_names};
use super::{
    Entry, FILE, Outcome, Plan, RUNNER, Target, TestArgs, TestBinary, TestId, Verdict, list,
};
use crate::cargo;

/// Runs all tests of the workspace, or those that the arguments select.
///
/// # Errors
///
/// Fails if the list cannot be read or names a test that does not exist, if something does not
/// compile, or if a test outside the list fails.
pub fn test(root: &Path, rest: &[String]) -> Result<()> {
    let program = std::env::current_exe()?;
    let entries = list::read(root)?;
    let args = TestArgs::new(rest);
    if entries.is_empty() || args.runs_no_tests() {
        let command: Vec<&str> = ["test"].into_iter().chain(args.workspace_flag()).collect();
        return cargo::cargo(root, &command, rest);
    }
    let plan = plan(root, &entries, args)?;
    let plan_file = plan_file(&program);
    std::fs::write(&plan_file, serde_json::to_vec(&plan)?)?;
    std::fs::write(outcomes_file(&plan_file), [])?;
    let cargo_passed = run_tests(root, &program, &plan_file, args);
    let outcomes = read_outcomes(&plan_file);
    remove_files(&plan_file)?;
    let verdict = Verdict::new(&entries, &plan, &outcomes?, cargo_passed?);
    print!("{}", verdict.report());
    ensure!(verdict.passed(), "cargo test failed");
    Ok(())
}

/// Builds the tests and matches the entries with their binaries.
fn plan(root: &Path, entries: &[Entry], args: TestArgs<'_>) -> Result<Plan> {
    let binaries = build(root, args)?;
    let unselected = if args.covers_workspace() { Vec::new() } else { targets(root)? };
    let plan = Plan::new(entries, &binaries, &unselected).wrap_err(FILE)?;
    for binary in plan.binaries_with_listed_tests() {
        let all = test_names(binary, &[])?;
        let ignored = test_names(binary, &["--ignored".to_owned()])?;
        plan.check(binary, &all, &ignored).wrap_err(FILE)?;
    }
    Ok(plan)
}

/// Builds the tests and returns their binaries.
fn build(root: &Path, args: TestArgs<'_>) -> Result<Vec<TestBinary>> {
    let output = cargo::command(root)
        .arg("test")
        .args(args.workspace_flag())
        .args(["--no-run", "--message-format=json-render-diagnostics"])
        .args(args.cargo_args())
        .stderr(Stdio::inherit())
        .output()
        .wrap_err("starting cargo")?;
    ensure!(output.status.success(), "the tests do not compile");
    let messages = String::from_utf8(output.stdout)?;
    Ok(messages.lines().filter_map(TestBinary::from_message).collect())
}

/// Returns all targets of the workspace.
fn targets(root: &Path) -> Result<Vec<Target>> {
    let args = ["metadata", "--no-deps", "--format-version", "1"];
    let output = cargo::command(root).args(args).stderr(Stdio::inherit()).output()?;
    ensure!(output.status.success(), "cargo metadata failed");
    Ok(Target::all(&serde_json::from_slice(&output.stdout)?))
}

/// Runs the tests through the runner and returns whether cargo reported success.
fn run_tests(root: &Path, program: &Path, plan_file: &Path, args: TestArgs<'_>) -> Result<bool> {
    let status = cargo::command(root)
        .arg("test")
        .args(args.workspace_flag())
        .args(args.no_fail_fast_flag())
        .args(["--config", &runner_config(program, plan_file)?])
        .args(args.cargo_args())
        .args(args.binary_args())
        .status()
        .wrap_err("starting cargo")?;
    Ok(status.success())
}

/// Returns the configuration value that makes this program cargo's runner for all test binaries.
///
/// A JSON array of strings is a valid TOML array as well.
fn runner_config(program: &Path, plan_file: &Path) -> Result<String> {
    let command = [&program.to_string_lossy(), RUNNER, &plan_file.to_string_lossy()];
    Ok(format!("target.'cfg(all())'.runner={}", serde_json::to_string(&command)?))
}

/// Returns the path of a file in the target folder that no other run uses.
fn plan_file(program: &Path) -> PathBuf {
    program.with_file_name(format!("known-red-{}.plan", std::process::id()))
}

/// Reads the outcomes that the runner has recorded.
fn read_outcomes(plan_file: &Path) -> Result<Vec<(TestId, Outcome)>> {
    let text = std::fs::read_to_string(outcomes_file(plan_file))?;
    text.lines().map(|line| Ok(serde_json::from_str(line)?)).collect()
}

/// Removes the plan and the outcomes of this run.
fn remove_files(plan_file: &Path) -> Result<()> {
    std::fs::remove_file(outcomes_file(plan_file))?;
    std::fs::remove_file(plan_file).wrap_err("removing the plan")
}
