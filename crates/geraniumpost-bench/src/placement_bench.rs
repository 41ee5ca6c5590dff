//! `bench placement`: effect of a placement policy on services and on batch work.
//!
//! Generated streams of jobs with fixed seeds run through the placer and through naive policies on
//! a small model of workers whose tasks slow each other. The model only covers the effect of a
//! decision; nothing is sent, lost or reordered as in a cluster simulator.

mod distributions;
mod fleet_model;
mod naive_policy;
mod policy;
mod scenario;
mod tally;
mod timing;
mod worker_model;

use std::cell::RefCell;
use std::rc::Rc;

use clap::{Arg, ArgMatches, Command, value_parser};
use geraniumpost_core::placement::Placer;
use geraniumpost_schema::Document;

use naive_policy::{NaivePolicy, Order, Pick};
use policy::Policy;
use scenario::Scenario;
use tally::Figures;

/// Builds the command line of `bench placement`.
pub fn cli() -> Command {
    Command::new("placement")
        .about("Compare the placement policy with naive ones on generated streams")
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .default_value("1")
                .help("First seed of the generated streams"),
        )
        .arg(
            Arg::new("runs")
                .long("runs")
                .value_parser(value_parser!(u64))
                .default_value("5")
                .help("Streams per site, with successive seeds"),
        )
        .arg(
            Arg::new("only")
                .long("only")
                .default_value("")
                .help("Run only policies whose names contain this text"),
        )
}

/// Runs the benchmark and prints its tables.
pub fn run(matches: &ArgMatches) {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let only = matches.get_one::<String>("only").cloned().unwrap_or_default();
    let (seed, runs) = (number("seed"), number("runs"));
    for site in 0..scenario::all(seed).len() {
        compare(site, seed, runs, &only);
    }
    timing::run(seed);
}

/// Prints the table of one site, with means over its streams.
fn compare(site: usize, seed: u64, runs: u64, only: &str) {
    let scenarios: Vec<Scenario> =
        (seed..seed + runs).map(|s| scenario::all(s).swap_remove(site)).collect();
    let jobs = scenarios.iter().map(|s| s.jobs.len()).sum::<usize>() / scenarios.len();
    println!(
        "\n{}: {} workers, {jobs} jobs an hour, seeds {seed}..{}",
        scenarios[0].name,
        scenarios[0].workers.len(),
        seed + runs
    );
    println!(
        "| policy | p99 slowdown | mean slowdown | late % | core h done | core h kept | jobs done | evictions \
         | throttles | wasted core h | urgent in 3.5 s % | urgent p99 s | urgent max s | sound jobs given up | VM overfull % | memory kills |"
    );
    println!(
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    );
    for name in POLICIES.iter().filter(|name| name.contains(only)) {
        let runs: Vec<Figures> = std::thread::scope(|scope| {
            let run = |(i, scenario)| {
                let document = scenario::document(scenario);
                fleet_model::run(scenario, create_policy(name, &document), seed + i as u64)
            };
            let threads: Vec<_> =
                scenarios.iter().enumerate().map(|job| scope.spawn(move || run(job))).collect();
            threads.into_iter().map(|t| t.join().expect("a run panicked")).collect()
        });
        print_row(name, &Figures::mean(&runs));
    }
}

fn print_row(name: &str, f: &Figures) {
    println!(
        "| {name} | {:.2} | {:.3} | {:.2} | {:.1} | {:.1} | {:.0} | {:.1} | {:.0} | {:.2} | {:.1} \
         | {:.1} | {:.1} | {:.1} | {:.2} | {:.0} |",
        f.p99_slowdown,
        f.mean_slowdown,
        f.late_percent,
        f.core_hours,
        f.kept_core_hours,
        f.completed,
        f.evictions,
        f.throttles,
        f.wasted_core_hours,
        f.urgent_in_time_percent,
        f.urgent_p99_s,
        f.urgent_max_s,
        f.sound_given_up,
        f.overcommitted_percent,
        f.memory_kills,
    );
}

/// Names of the compared policies, starting with the product's own.
const POLICIES: [&str; 6] =
    ["placer", "first fit", "random", "dominant share", "dominant share, measured sizes", "sidrf"];

/// Creates a policy by its name.
fn create_policy(name: &'static str, document: &Document) -> Policy {
    let naive = |order, pick, measures_usage| {
        let mut policy = NaivePolicy::new(order, pick, document);
        Policy {
            measures_usage,
            limits_attempts: false,
            decide: Box::new(move |now, requests, fleet, rng| {
                policy.place(now, requests, fleet, rng)
            }),
            observe: Box::new(|_, _| {}),
        }
    };
    match name {
        "first fit" => naive(Order::Fifo, Pick::First, false),
        "random" => naive(Order::Fifo, Pick::Random, false),
        "dominant share" => naive(Order::DominantShare, Pick::Random, false),
        "dominant share, measured sizes" => naive(Order::DominantShare, Pick::Random, true),
        "sidrf" => naive(Order::Sidrf, Pick::Random, false),
        _ => placer(document),
    }
}

fn placer(document: &Document) -> Policy {
    let placer = Rc::new(RefCell::new(Placer::new(document)));
    let observer = Rc::clone(&placer);
    Policy {
        measures_usage: true,
        limits_attempts: true,
        decide: Box::new(move |now, requests, fleet, rng| {
            placer.borrow_mut().place(now, requests, fleet, rng)
        }),
        observe: Box::new(move |now, observation| observer.borrow_mut().observe(now, observation)),
    }
}
