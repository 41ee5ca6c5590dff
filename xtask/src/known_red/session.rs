use std::path::{Path, PathBuf};
use std::process::Stdio;

use eyre::{Result, WrapErr, ensure};

use super::runner::{names, outcomes_file};
use super::{Entry, FILE, Outcome, Plan, RUNNER, Target, TestBinary, TestId, Verdict, Words, list};
use crate::cargo;

/// Runs all tests of the workspace, or those that the words choose.
///
/// # Errors
///
/// Fails if the list cannot be read or names no test, if something does not compile, or if a test
/// outside the list fails.
pub fn test(root: &Path, rest: &[String]) -> Result<()> {
    let program = std::env::current_exe()?;
    let entries = list::read(root)?;
    let words = Words::new(rest);
    if entries.is_empty() || words.no_tests() {
        let first: Vec<&str> = ["test"].into_iter().chain(words.scope()).collect();
        return cargo::cargo(root, &first, rest);
    }
    let plan = plan(root, &entries, words)?;
    let plan_file = plan_file(&program);
    std::fs::write(&plan_file, serde_json::to_vec(&plan)?)?;
    std::fs::write(outcomes_file(&plan_file), [])?;
    let cargo_passed = run(root, &program, &plan_file, words);
    let outcomes = outcomes(&plan_file);
    remove(&plan_file)?;
    let verdict = Verdict::new(&entries, &plan, &outcomes?, cargo_passed?);
    print!("{}", verdict.report());
    ensure!(verdict.passed(), "cargo test failed");
    Ok(())
}

/// Builds the tests and matches the entries with them.
fn plan(root: &Path, entries: &[Entry], words: Words<'_>) -> Result<Plan> {
    let binaries = build(root, words)?;
    let unbuilt = if words.whole() { Vec::new() } else { targets(root)? };
    let plan = Plan::new(entries, &binaries, &unbuilt).wrap_err(FILE)?;
    for binary in plan.binaries() {
        let all = names(binary, &[])?;
        let ignored = names(binary, &["--ignored".to_owned()])?;
        plan.check(binary, &all, &ignored).wrap_err(FILE)?;
    }
    Ok(plan)
}

/// Builds the tests and returns their binaries.
fn build(root: &Path, words: Words<'_>) -> Result<Vec<TestBinary>> {
    let output = cargo::command(root)
        .arg("test")
        .args(words.scope())
        .args(["--no-run", "--message-format=json-render-diagnostics"])
        .args(words.cargo())
        .stderr(Stdio::inherit())
        .output()
        .wrap_err("starting cargo")?;
    ensure!(output.status.success(), "the tests do not compile");
    let messages = String::from_utf8(output.stdout)?;
    Ok(messages.lines().filter_map(TestBinary::from_message).collect())
}

/// Returns all targets of the workspace.
fn targets(root: &Path) -> Result<Vec<Target>> {
    let words = ["metadata", "--no-deps", "--format-version", "1"];
    let output = cargo::command(root).args(words).stderr(Stdio::inherit()).output()?;
    ensure!(output.status.success(), "cargo does not describe the workspace");
    Ok(Target::all(&serde_json::from_slice(&output.stdout)?))
}

/// Runs the tests through the runner and tells whether cargo was content.
fn run(root: &Path, program: &Path, plan_file: &Path, words: Words<'_>) -> Result<bool> {
    let status = cargo::command(root)
        .arg("test")
        .args(words.scope())
        .args(words.keep_going())
        .args(["--config", &runner_setting(program, plan_file)?])
        .args(words.cargo())
        .args(words.binaries())
        .status()
        .wrap_err("starting cargo")?;
    Ok(status.success())
}

/// Returns cargo's setting that makes this program the runner of all test binaries.
///
/// Quoted strings of JSON are also strings of TOML.
fn runner_setting(program: &Path, plan_file: &Path) -> Result<String> {
    let words = [&program.to_string_lossy(), RUNNER, &plan_file.to_string_lossy()];
    Ok(format!("target.'cfg(all())'.runner={}", serde_json::to_string(&words)?))
}

/// Returns a file in the target folder that no other run uses.
fn plan_file(program: &Path) -> PathBuf {
    program.with_file_name(format!("known-red-{}.plan", std::process::id()))
}

/// Reads what the runner has noted.
fn outcomes(plan_file: &Path) -> Result<Vec<(TestId, Outcome)>> {
    let text = std::fs::read_to_string(outcomes_file(plan_file))?;
    text.lines().map(|line| Ok(serde_json::from_str(line)?)).collect()
}

/// Removes the files of this run.
fn remove(plan_file: &Path) -> Result<()> {
    std::fs::remove_file(outcomes_file(plan_file))?;
    std::fs::remove_file(plan_file).wrap_err("removing the plan")
}
