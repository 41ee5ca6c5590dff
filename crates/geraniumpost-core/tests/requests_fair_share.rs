//! What customers of one minion see of each other, in a discrete-event model with fixed seeds.

mod requests_support;

use requests_support::cases;
use requests_support::minion_model::{CAPACITY, Discipline, MEAN_US, SLOTS, Seen, Source, run};

const QUEUE: usize = 32;
/// Most that a customer's 99th percentile may grow beside a burst.
const MOST_GROWTH: f64 = 1.5;

/// How a quiet customer's 99th percentile grows when another one sends ten times its share.
fn growth(discipline: Discipline, load: f64, burst_mean_us: u64, seed: u64) -> (f64, Seen) {
    let share = CAPACITY / 2.0;
    let quiet = Source::new("quiet", share * load);
    let slower = MEAN_US as f64 / burst_mean_us as f64;
    let burst = Source { mean_us: burst_mean_us, ..Source::new("burst", share * 10.0 * slower) };
    let alone = run(&[quiet], discipline, QUEUE, 40, seed);
    let mut beside = run(&[quiet, burst], discipline, QUEUE, 40, seed);
    let beside = beside.swap_remove(0);
    (beside.latency(0.99) as f64 / alone[0].latency(0.99) as f64, beside)
}

fn check_burst(load: f64, burst_mean_us: u64) {
    for seed in 1..=2 {
        let (growth, seen) = growth(Discipline::Fair, load, burst_mean_us, seed);
        let refused = seen.refused as f64 / seen.latencies_us.len() as f64;
        println!("load={load} burst_mean_us={burst_mean_us} seed={seed} growth={growth:.2}");
        assert!(growth <= MOST_GROWTH, "seed {seed}: 99th percentile grew by {growth:.2}");
        assert!(refused < 0.01, "seed {seed}: {refused:.4} refused under the share");
    }
}

// One customer's batch of checks arrives at ten times its share. Served in order of arrival, every
// other customer waits behind a full queue and is refused more often than served.
cases! { check_burst;
    burst_beside_a_tenth_of_the_share: 0.1, MEAN_US;
    burst_beside_half_of_the_share: 0.5, MEAN_US;
    burst_beside_nine_tenths_of_the_share: 0.9, MEAN_US;
    burst_of_requests_four_times_as_long: 0.5, 4 * MEAN_US;
    burst_of_requests_ten_times_as_long: 0.5, 10 * MEAN_US;
    burst_of_studies_forty_times_as_long: 0.75, 40 * MEAN_US;
}

fn check_even(load: f64) {
    let share = CAPACITY / 2.0;
    let quiet = Source { even: true, ..Source::new("quiet", share * load) };
    let burst = Source { even: true, ..Source::new("burst", share * 10.0) };
    for seed in 1..=2 {
        let alone = run(&[quiet], Discipline::Fair, QUEUE, 40, seed);
        let beside = run(&[quiet, burst], Discipline::Fair, QUEUE, 40, seed);
        let growth = beside[0].latency(0.99) as f64 / alone[0].latency(0.99) as f64;
        let used = (beside[0].slot_us + beside[1].slot_us) as f64 / (40.0 * 1e6 * SLOTS as f64);
        println!("even load={load} seed={seed} growth={growth:.2} slots used={used:.3}");
        assert!(growth <= MOST_GROWTH, "seed {seed}: 99th percentile grew by {growth:.2}");
        assert!(used >= 0.87, "seed {seed}: {used:.3} of the slots used");
    }
}

// All requests take equally long, so those of a burst that started together end together. Without a
// slot to spare, a quiet customer's request that comes just after waits for a whole run of them.
cases! { check_even;
    even_burst_beside_a_tenth_of_the_share: 0.1;
    even_burst_beside_half_of_the_share: 0.5;
    even_burst_beside_eight_tenths_of_the_share: 0.8;
}

/// The first moments of a burst: a customer that wakes with hundreds of requests used to have its
/// first 32 served before everybody else's, and a caller of another customer waited four service
/// times more just then.
#[test]
fn onset_of_a_burst_costs_others_at_most_two_service_times() {
    let quiet = Source::new("quiet", CAPACITY * 0.1);
    let burst = Source { from_us: 5_000_000, ..Source::new("burst", CAPACITY * 10.0) };
    for seed in 1..=5 {
        let seen = run(&[quiet, burst], Discipline::Fair, QUEUE, 6, seed);
        let waits = &seen[0].waits_us;
        let worst = waits.iter().max().copied().unwrap_or(0);
        assert!(worst <= 2 * MEAN_US, "seed {seed}: waited {worst} us");
    }
}

/// The same burst before a queue in order of arrival: the check above would fail without fairness.
#[test]
fn without_fairness_a_burst_harms_others() {
    let (growth, seen) = growth(Discipline::Fifo, 0.5, MEAN_US, 1);
    assert!(growth > MOST_GROWTH, "{growth:.2}");
    assert!(seen.refused > seen.answered_in_time, "{} refused", seen.refused);
}

/// Goodput in requests a second at `load` times the capacity.
fn goodput(discipline: Discipline, load: f64, deadline_ms: u64) -> f64 {
    let source = Source { deadline_ms, ..Source::new("a", CAPACITY * load) };
    run(&[source], discipline, QUEUE, 30, 1)[0].answered_in_time as f64 / 30.0
}

fn overload(discipline: Discipline, deadline_ms: u64) -> f64 {
    let loads = [0.7, 0.9, 1.0, 1.5, 2.0, 3.0];
    let goodputs = loads.map(|load| goodput(discipline, load, deadline_ms));
    let peak = goodputs.iter().copied().fold(0.0, f64::max);
    println!("{discipline:?} deadline={deadline_ms}ms {loads:?} {goodputs:.0?}");
    goodputs[5] / peak
}

fn check_overload(deadline_ms: u64) {
    let kept = overload(Discipline::Fair, deadline_ms);
    assert!(kept >= 0.9, "{kept:.3} of the peak at three times the capacity");
}

// Three times as many requests come as the minion can answer. A queue that starts what is already
// too late spends its slots on answers nobody waits for, and fewer and fewer callers get one.
cases! { check_overload;
    overload_with_a_deadline_of_three_service_times: 30;
    overload_with_a_deadline_of_five_service_times: 50;
    overload_with_a_deadline_of_ten_service_times: 100;
    overload_with_a_long_deadline: 2_000;
}

/// The same overload without regard to deadlines.
#[test]
fn without_deadlines_overload_wastes_slots() {
    let kept = overload(Discipline::Fifo, 50);
    assert!(kept < 0.9, "{kept:.3}");
}

/// Requests are refused under overload. A caller who is told only when the deadline has passed
/// cannot go elsewhere any more, and one who waits holds a connection for nothing.
#[test]
fn a_refusal_comes_long_before_the_deadline() {
    let source = Source { deadline_ms: 500, ..Source::new("a", CAPACITY * 3.0) };
    let seen = &run(&[source], Discipline::Fair, QUEUE, 20, 1)[0];
    assert!(seen.refused > 1_000);
    let last = seen.refused_after_us.iter().max().unwrap();
    assert!(*last < 100_000, "{last} us");
}

/// A customer was idle while another one used the whole minion. When it wakes it must get its share
/// at once, but nothing for the time it did not use, or it would shut the other one out in turn.
#[test]
fn a_customer_that_wakes_gets_its_share_and_no_more() {
    let rate = CAPACITY * 2.0;
    let early = Source::new("early", rate);
    let late = Source { from_us: 10_000_000, ..Source::new("late", rate) };
    let seen = run(&[early, late], Discipline::Fair, QUEUE, 11, 1);
    let expected = CAPACITY * 2.0 / 2.0;
    let late = seen[1].answered_in_time as f64;
    assert!((0.9..1.1).contains(&(late / expected)), "{late} of {expected}");
}

/// Weights are the operator's promise to customers; slots must follow them.
#[test]
fn slots_follow_the_weights() {
    let source = |name, weight| Source { weight, ..Source::new(name, CAPACITY * 2.0) };
    let sources = [source("one", 1), source("three", 3)];
    let seen = run(&sources, Discipline::Fair, QUEUE, 20, 1);
    let ratio = seen[1].slot_us as f64 / seen[0].slot_us as f64;
    assert!((2.8..3.2).contains(&ratio), "{ratio:.2}");
    let used = (seen[0].slot_us + seen[1].slot_us) as f64 / (20.0 * 1e6 * SLOTS as f64);
    assert!(used > 0.97, "no slot is spared when all are over their shares: {used:.3}");
}
