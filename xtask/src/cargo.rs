//! Starts cargo for the tasks that build and run other crates.

use std::path::Path;
use std::process::Command;

use eyre::{Result, WrapErr, ensure};

/// Builds the shipped binary, the stand-ins and the bench tool in release mode and runs the bench
/// tool.
///
/// # Errors
///
/// Fails if a build fails or the task reports a failure.
pub fn bench_tool(root: &Path, task: &str, rest: &[String]) -> Result<()> {
    cargo(
        root,
        &[
            "build",
            "--release",
            "--quiet",
            "--bins",
            "-p",
            "geraniumpost",
            "-p",
            "geraniumpost-standin",
        ],
        &[],
    )?;
    let run = ["run", "--release", "--quiet", "-p", "geraniumpost-bench", "--", task];
    cargo(root, &run, rest)
}

/// Runs one cargo command in the workspace's root.
///
/// # Errors
///
/// Fails if cargo cannot be started or reports a failure.
pub fn cargo(root: &Path, args: &[&str], rest: &[String]) -> Result<()> {
    let status = command(root).args(args).args(rest).status().wrap_err("starting cargo")?;
    ensure!(status.success(), "cargo {} failed", args.join(" "));
    Ok(())
}

/// Returns a cargo command in the workspace's root, without arguments.
pub fn command(root: &Path) -> Command {
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
    let mut command = Command::new(cargo);
    command.current_dir(root);
    command
}
