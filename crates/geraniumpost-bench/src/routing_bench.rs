//! `bench routing`: duration of a routing decision, and latencies that callers see by policy.
//!
//! Several entries with their own snapshots route generated streams of requests with fixed seeds to
//! a small model of agents with slots and queues. The model only covers the effect of a decision;
//! nothing is sent over a network, lost or reordered as in a cluster simulator.

mod fleet_model;
mod policy_kind;
mod scenario;
mod tally;
mod timing;

use clap::{Arg, ArgMatches, Command, value_parser};

use fleet_model::HEDGE_DELAY_US;
use policy_kind::PolicyKind;
use scenario::Scenario;
use tally::Tally;

/// Builds the command line of `bench routing`.
pub fn cli() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        let arg = Arg::new(name).long(name).value_parser(value_parser!(u64));
        arg.default_value(default).help(help)
    };
    Command::new("routing")
        .about("Time the routing decision and compare the policy with naive ones")
        .arg(number("seed", "1", "First seed of the generated streams"))
        .arg(number("runs", "3", "Streams per scenario, with successive seeds"))
        .arg(number("seconds", "12", "Simulated seconds per stream"))
        .arg(number("decisions", "1000000", "Timed decisions per fleet size"))
}

/// Runs the benchmark and prints its tables.
pub fn run(matches: &ArgMatches) {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    timing::print(number("decisions"), number("seed"));
    let [seed, runs, seconds] = ["seed", "runs", "seconds"].map(number);
    for scenario in Scenario::all() {
        compare(&scenario, &PolicyKind::ALL, seed, runs, seconds);
    }
    println!("\nA second attempt after {} ms, at most one for 20 requests", HEDGE_DELAY_US / 1000);
    for scenario in Scenario::hedging() {
        compare(&scenario, &PolicyKind::HEDGING, seed, runs, seconds);
    }
}

fn compare(scenario: &Scenario, kinds: &[PolicyKind], seed: u64, runs: u64, seconds: u64) {
    println!("\n{} (seeds {seed} to {}, {seconds} s each)", scenario.title, seed + runs - 1);
    println!("{}", Tally::HEADER);
    for &kind in kinds {
        let mut tally = Tally::default();
        for seed in seed..seed + runs {
            fleet_model::run(scenario, kind, seed, seconds, &mut tally);
        }
        println!("{}", tally.row(kind.title()));
    }
}
