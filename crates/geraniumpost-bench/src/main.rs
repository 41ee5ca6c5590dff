//! Demo, benches and soak runs against real processes, never shipped.

use clap::Command;
use eyre::Result;

mod placement_bench;

fn main() -> Result<()> {
    let matches = cli().get_matches();
    match matches.subcommand() {
        Some(("bench", m)) => bench(m),
        _ => Ok(()),
    }
}

/// Builds the command line.
fn cli() -> Command {
    let bench = Command::new("bench").about("Measure").subcommand_required(true);
    Command::new("geraniumpost-bench").subcommand(bench.subcommand(placement_bench::cli()))
}

/// Runs one bench.
fn bench(m: &clap::ArgMatches) -> Result<()> {
    match m.subcommand() {
        Some(("placement", m)) => placement_bench::run(m),
        _ => Ok(()),
    }
}
