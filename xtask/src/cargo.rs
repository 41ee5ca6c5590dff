//! Starts cargo for the chores that build and run other crates.

use std::path::Path;
use std::process::Command;

use eyre::{Result, WrapErr, ensure};

/// Builds the shipped binary and the bench tool in release mode and starts the latter.
///
/// # Errors
///
/// Fails if a build fails or the chore reports that something was wrong.
pub fn bench_tool(root: &Path, chore: &str, rest: &[String]) -> Result<()> {
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
    let run = ["run", "--release", "--quiet", "-p", "geraniumpost-bench", "--", chore];
    cargo(root, &run, rest)
}

/// Runs one cargo command in the workspace's root.
///
/// # Errors
///
/// Fails if cargo cannot be started or reports a failure.
pub fn cargo(root: &Path, words: &[&str], rest: &[String]) -> Result<()> {
    let status = command(root).args(words).args(rest).status().wrap_err("starting cargo")?;
    ensure!(status.success(), "cargo {} failed", words.join(" "));
    Ok(())
}

/// Returns a call of cargo in the workspace's root that still lacks its words.
pub fn command(root: &Path) -> Command {
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
    let mut command = Command::new(cargo);
    command.current_dir(root);
    command
}
