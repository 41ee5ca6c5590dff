//! `bench requests`: latency and throughput of requests under an open loop.
//!
//! Requests are sent on a fixed schedule, so a late answer does not delay the next request and the
//! waiting time is part of the latency.

pub mod latency_figures;
pub mod load_client;
pub mod open_loop;
mod scenarios;

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::Result;
use geraniumpost_harness::Binaries;

/// Builds the command line of `bench requests`.
pub fn cli() -> Command {
    Command::new("requests")
        .about("Added latency, throughput per core, bursts, overload and failover")
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_parser(value_parser!(u64))
                .default_value("5")
                .help("Duration of each measurement"),
        )
        .arg(
            Arg::new("only")
                .long("only")
                .value_parser(["latency", "throughput", "burst", "overload", "failover"])
                .help("Run one scenario"),
        )
}

/// Runs the scenarios and prints their tables.
///
/// # Errors
///
/// Fails if a process cannot be started.
pub async fn run(m: &ArgMatches) -> Result<()> {
    let seconds = *m.get_one::<u64>("seconds").unwrap_or(&5);
    let only = m.get_one::<String>("only").map(String::as_str);
    scenarios::run(&Binaries::beside_current_exe()?, seconds, only).await
}
