//! Demo, benchmarks and soak runs against real processes; never shipped.
//!
//! `cargo xtask demo`, `cargo xtask bench` and `cargo xtask soak` run it in release mode.

use clap::{ArgMatches, Command};
use eyre::Result;

mod capacity_bench;
mod demo;
mod placement_bench;
mod requests_bench;
mod routing_bench;
mod soak;
mod usage;

fn main() -> Result<()> {
    let matches = cli().get_matches();
    match matches.subcommand() {
        Some(("bench", m)) => bench(m),
        Some(("demo", m)) => block_on(demo::run(m)),
        Some(("soak", m)) => block_on(soak::run(m)),
        _ => Ok(()),
    }
}

/// Builds the command line.
fn cli() -> Command {
    let bench = Command::new("bench")
        .about("Run a benchmark")
        .subcommand_required(true)
        .subcommand(capacity_bench::cli())
        .subcommand(placement_bench::cli())
        .subcommand(requests_bench::cli())
        .subcommand(routing_bench::cli());
    Command::new("geraniumpost-bench")
        .about("Demo, benchmarks and soak runs of geraniumpost")
        .subcommand_required(true)
        .subcommand(bench)
        .subcommand(demo::cli())
        .subcommand(soak::cli())
}

/// Runs one benchmark.
fn bench(m: &ArgMatches) -> Result<()> {
    match m.subcommand() {
        Some(("capacity", m)) => return block_on(capacity_bench::run(m)),
        Some(("placement", m)) => placement_bench::run(m),
        Some(("routing", m)) => routing_bench::run(m),
        Some(("requests", m)) => return block_on(requests_bench::run(m)),
        _ => {}
    }
    Ok(())
}

/// Runs a future on a new multi-threaded runtime.
fn block_on(future: impl Future<Output = Result<()>>) -> Result<()> {
    tokio::runtime::Builder::new_multi_thread().enable_all().build()?.block_on(future)
}
