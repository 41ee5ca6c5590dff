//! `bench capacity`: growth of each role's resource usage with agents, requests, documents and job
//! records, and the fitted slopes on which `docs/CAPACITY.md` is based.

mod agents;
mod changes;
mod deployment;
mod entries;
mod fit;
#[cfg(test)]
mod fit_tests;
mod flow;
mod jobs;
mod light_agent;
mod light_agents;
mod light_entries;
mod meter;
mod probe;
mod rates;
mod records;
mod requests;
mod traffic;
mod traffic_counts;

use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use deployment::Deployment;
use eyre::Result;
use geraniumpost_harness::Binaries;

/// Seed of the request schedules.
const SEED: u64 = 20_261_202;
/// Entries that run as processes.
const ENTRIES: usize = 2;
/// Agents that run as processes.
const AGENTS: usize = 2;

/// Builds the command line of `bench capacity`.
pub fn cli() -> Command {
    Command::new("capacity")
        .about("Slopes of messages, processor time, memory and store calls, for docs/CAPACITY.md")
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_parser(value_parser!(u64).range(1..))
                .default_value("4")
                .help("Duration of each measurement"),
        )
}

/// Runs all measurements and prints their tables.
///
/// # Errors
///
/// Fails if a process cannot be started or a change is refused.
pub async fn run(m: &ArgMatches) -> Result<()> {
    let seconds = *m.get_one::<u64>("seconds").unwrap_or(&4);
    let duration = Duration::from_secs(seconds);
    println!("seed {SEED}, {seconds} s a point, {ENTRIES} entries, {AGENTS} real agents");
    println!("machine: {}", describe_machine());
    records::run()?;
    let binaries = Binaries::beside_current_exe()?;
    let mut deployment = Deployment::start(&binaries, ENTRIES, AGENTS).await?;
    requests::run(&deployment, duration).await?;
    jobs::run(&deployment, duration).await?;
    agents::run(&mut deployment, duration).await?;
    changes::run(&deployment, duration).await?;
    entries::run(&deployment, duration).await?;
    println!("\nmachine at the end: {}", describe_machine());
    Ok(())
}

/// Describes the processors and the load average, since other work on the machine increases the
/// measured processor times.
fn describe_machine() -> String {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let load = load.split_whitespace().next().unwrap_or("unknown").to_owned();
    format!("{cores} cores, load average {load}")
}

/// Returns the header of a table of slopes whose last column is the value extrapolated to `target`.
fn slopes_header(unit: &str, target: &str) -> String {
    format!(
        "\n| slope per {unit} | slope | standard error | at 0 | R2 | at {target} |\n\
         | --- | --- | --- | --- | --- | --- |"
    )
}
