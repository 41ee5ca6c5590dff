//! Demo, benches and soak runs against real processes, never shipped.

use clap::Command;

mod placement_bench;

fn main() {
    let matches = cli().get_matches();
    if let Some(("bench", m)) = matches.subcommand() {
        bench(m);
    }
}

/// Builds the command line.
fn cli() -> Command {
    let bench = Command::new("bench").about("Measure").subcommand_required(true);
    Command::new("geraniumpost-bench").subcommand(bench.subcommand(placement_bench::cli()))
}

/// Runs one bench.
fn bench(m: &clap::ArgMatches) {
    if let Some(("placement", m)) = m.subcommand() {
        placement_bench::run(m);
    }
}
