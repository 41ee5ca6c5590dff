//! `bench routing`: how long a routing decision takes and what a routing policy does to callers.
//!
//! Several entries with their own snapshots route generated streams with fixed seeds to a small
//! model of agents with slots and queues. The model stands for the effect of a decision; it is no
//! cluster simulator: nothing is sent over a network, lost or reordered.

mod contender;
mod fleet_model;
mod scenario;
mod tally;
mod timing;

use clap::{Arg, ArgMatches, Command, value_parser};

use contender::Contender;
use scenario::Scenario;
use tally::Tally;

/// Builds the subcommand.
pub fn cli() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        let arg = Arg::new(name).long(name).value_parser(value_parser!(u64));
        arg.default_value(default).help(help)
    };
    Command::new("routing")
        .about("Time the routing decision and compare the policy with naive ones")
        .arg(number("seed", "1", "First seed of the generated streams"))
        .arg(number("runs", "3", "Streams per scenario, with successive seeds"))
        .arg(number("seconds", "12", "Modelled seconds per stream"))
        .arg(number("decisions", "1000000", "Decisions timed per fleet size"))
}

/// Runs the bench and prints its tables.
pub fn run(matches: &ArgMatches) {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    timing::print(number("decisions"), number("seed"));
    for scenario in Scenario::all() {
        compare(&scenario, number("seed"), number("runs"), number("seconds"));
    }
}

fn compare(scenario: &Scenario, seed: u64, runs: u64, seconds: u64) {
    println!("\n{} (seeds {seed} to {}, {seconds} s each)", scenario.title, seed + runs - 1);
    println!("{}", Tally::HEADER);
    for contender in Contender::ALL {
        let mut tally = Tally::default();
        for seed in seed..seed + runs {
            fleet_model::run(scenario, contender, seed, seconds, &mut tally);
        }
        println!("{}", tally.row(contender.title()));
    }
}
