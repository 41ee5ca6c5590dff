//! How customers of one minion affect each other, in a discrete-event model with fixed seeds.

mod requests_support;

use requests_support::cases;
use requests_support::minion_model::{
    CAPACITY_PER_SECOND, CustomerStats, Discipline, MEAN_US, SLOTS, Source, run,
};

const QUEUE_CAPACITY: usize = 32;
/// Maximum factor by which the 99th percentile of the latency of a customer may grow when another
/// customer sends a burst.
const MAX_GROWTH: f64 = 1.5;

/// Returns the factor by which the 99th percentile of the latency of a customer below its share
/// grows when another customer sends ten times its share, and the results of the first customer
/// during the burst.
fn p99_growth(
    discipline: Discipline,
    load: f64,
    burst_mean_us: u64,
    seed: u64,
) -> (f64, CustomerStats) {
    let share = CAPACITY_PER_SECOND / 2.0;
    let quiet = Source::new("quiet", share * load);
    let slower = MEAN_US as f64 / burst_mean_us as f64;
    let burst = Source { mean_us: burst_mean_us, ..Source::new("burst", share * 10.0 * slower) };
    let alone = run(&[quiet], discipline, QUEUE_CAPACITY, 40, seed);
    let mut with_burst = run(&[quiet, burst], discipline, QUEUE_CAPACITY, 40, seed);
    let with_burst = with_burst.swap_remove(0);
    (
        with_burst.latency_quantile_us(0.99) as f64 / alone[0].latency_quantile_us(0.99) as f64,
        with_burst,
    )
}

fn check_burst(load: f64, burst_mean_us: u64) {
    for seed in 1..=2 {
        let (growth, stats) = p99_growth(Discipline::Fair, load, burst_mean_us, seed);
        let refused = stats.refused as f64 / stats.latencies_us.len() as f64;
        println!("load={load} burst_mean_us={burst_mean_us} seed={seed} growth={growth:.2}");
        assert!(growth <= MAX_GROWTH, "seed {seed}: 99th percentile grew by {growth:.2}");
        assert!(refused < 0.01, "seed {seed}: {refused:.4} refused under the share");
    }
}

// One customer sends a batch of checks at ten times its share. With a queue in order of arrival,
// every other customer would wait behind a full queue and have more requests refused than answered.
cases! { check_burst;
    burst_while_another_customer_uses_a_tenth_of_its_share: 0.1, MEAN_US;
    burst_while_another_customer_uses_half_of_its_share: 0.5, MEAN_US;
    burst_while_another_customer_uses_nine_tenths_of_its_share: 0.9, MEAN_US;
    burst_of_requests_four_times_as_long: 0.5, 4 * MEAN_US;
    burst_of_requests_ten_times_as_long: 0.5, 10 * MEAN_US;
    burst_of_studies_forty_times_as_long: 0.75, 40 * MEAN_US;
}

fn check_fixed_time(load: f64) {
    let share = CAPACITY_PER_SECOND / 2.0;
    let quiet = Source { fixed_time: true, ..Source::new("quiet", share * load) };
    let burst = Source { fixed_time: true, ..Source::new("burst", share * 10.0) };
    for seed in 1..=2 {
        let alone = run(&[quiet], Discipline::Fair, QUEUE_CAPACITY, 40, seed);
        let with_burst = run(&[quiet, burst], Discipline::Fair, QUEUE_CAPACITY, 40, seed);
        let growth = with_burst[0].latency_quantile_us(0.99) as f64
            / alone[0].latency_quantile_us(0.99) as f64;
        let used =
            (with_burst[0].slot_us + with_burst[1].slot_us) as f64 / (40.0 * 1e6 * SLOTS as f64);
        println!("fixed-time load={load} seed={seed} growth={growth:.2} slots used={used:.3}");
        assert!(growth <= MAX_GROWTH, "seed {seed}: 99th percentile grew by {growth:.2}");
        assert!(used >= 0.87, "seed {seed}: {used:.3} of the slots used");
    }
}

// If all requests take equally long, those of a burst that start together also end together. Unless
// one slot is kept free, a request of a customer below its share that arrives just after the start
// would wait for a full run.
cases! { check_fixed_time;
    fixed_time_burst_while_another_customer_uses_a_tenth_of_its_share: 0.1;
    fixed_time_burst_while_another_customer_uses_half_of_its_share: 0.5;
    fixed_time_burst_while_another_customer_uses_eight_tenths_of_its_share: 0.8;
}

/// A customer starts to send hundreds of requests. Without a limit on the burst allowance, its
/// first 32 requests (four per slot) would be served before all others, which would wait four
/// additional service times.
#[test]
fn start_of_a_burst_delays_others_by_at_most_two_service_times() {
    let quiet = Source::new("quiet", CAPACITY_PER_SECOND * 0.1);
    let burst =
        Source { first_arrival_us: 5_000_000, ..Source::new("burst", CAPACITY_PER_SECOND * 10.0) };
    for seed in 1..=5 {
        let stats = run(&[quiet, burst], Discipline::Fair, QUEUE_CAPACITY, 6, seed);
        let waits = &stats[0].waits_us;
        let worst = waits.iter().max().copied().unwrap_or(0);
        assert!(worst <= 2 * MEAN_US, "seed {seed}: waited {worst} us");
    }
}

/// Control: with a first-in, first-out queue, the same burst violates the limits above.
#[test]
fn without_fairness_a_burst_harms_others() {
    let (growth, stats) = p99_growth(Discipline::Fifo, 0.5, MEAN_US, 1);
    assert!(growth > MAX_GROWTH, "{growth:.2}");
    assert!(stats.refused > stats.answered_in_time, "{} refused", stats.refused);
}

/// Number of requests answered in time per second, at a load of `load` times the capacity.
fn goodput(discipline: Discipline, load: f64, deadline_ms: u64) -> f64 {
    let source = Source { deadline_ms, ..Source::new("a", CAPACITY_PER_SECOND * load) };
    run(&[source], discipline, QUEUE_CAPACITY, 30, 1)[0].answered_in_time as f64 / 30.0
}

fn goodput_kept_in_overload(discipline: Discipline, deadline_ms: u64) -> f64 {
    let loads = [0.7, 0.9, 1.0, 1.5, 2.0, 3.0];
    let goodputs = loads.map(|load| goodput(discipline, load, deadline_ms));
    let peak = goodputs.iter().copied().fold(0.0, f64::max);
    println!("{discipline:?} deadline={deadline_ms}ms {loads:?} {goodputs:.0?}");
    goodputs[5] / peak
}

fn check_overload(deadline_ms: u64) {
    let kept = goodput_kept_in_overload(Discipline::Fair, deadline_ms);
    assert!(kept >= 0.9, "{kept:.3} of the peak at three times the capacity");
}

// The minion gets three times as many requests as it can answer. If a queue starts requests that
// are already too late, its slots are spent on answers nobody awaits, and the goodput collapses.
cases! { check_overload;
    overload_with_a_deadline_of_three_service_times: 30;
    overload_with_a_deadline_of_five_service_times: 50;
    overload_with_a_deadline_of_ten_service_times: 100;
    overload_with_a_long_deadline: 2_000;
}

/// Control: with a first-in, first-out queue, which ignores deadlines, the same overload lowers the
/// goodput.
#[test]
fn without_deadlines_overload_wastes_slots() {
    let kept = goodput_kept_in_overload(Discipline::Fifo, 50);
    assert!(kept < 0.9, "{kept:.3}");
}

/// A caller that gets a refusal only at its deadline is too late to try elsewhere, and has kept a
/// connection open meanwhile.
#[test]
fn a_refusal_comes_long_before_the_deadline() {
    let source = Source { deadline_ms: 500, ..Source::new("a", CAPACITY_PER_SECOND * 3.0) };
    let stats = &run(&[source], Discipline::Fair, QUEUE_CAPACITY, 20, 1)[0];
    assert!(stats.refused > 1_000);
    let last = stats.refused_after_us.iter().max().unwrap();
    assert!(*last < 100_000, "{last} us");
}

/// A customer that was idle while another customer used the whole minion must immediately get its
/// share. It must get no credit for the idle time, or it would lock out the other customer.
#[test]
fn a_customer_that_becomes_active_gets_its_share_and_no_credit() {
    let rate = CAPACITY_PER_SECOND * 2.0;
    let early = Source::new("early", rate);
    let late = Source { first_arrival_us: 10_000_000, ..Source::new("late", rate) };
    let stats = run(&[early, late], Discipline::Fair, QUEUE_CAPACITY, 11, 1);
    let expected = CAPACITY_PER_SECOND * 2.0 / 2.0;
    let late = stats[1].answered_in_time as f64;
    assert!((0.9..1.1).contains(&(late / expected)), "{late} of {expected}");
}

/// Customers that exceed their shares must get slot time in proportion to their configured weights.
#[test]
fn slots_follow_the_weights() {
    let source = |name, weight| Source { weight, ..Source::new(name, CAPACITY_PER_SECOND * 2.0) };
    let sources = [source("one", 1), source("three", 3)];
    let stats = run(&sources, Discipline::Fair, QUEUE_CAPACITY, 20, 1);
    let ratio = stats[1].slot_us as f64 / stats[0].slot_us as f64;
    assert!((2.8..3.2).contains(&ratio), "{ratio:.2}");
    let used = (stats[0].slot_us + stats[1].slot_us) as f64 / (20.0 * 1e6 * SLOTS as f64);
    assert!(used > 0.97, "no slot is reserved when all customers exceed their shares: {used:.3}");
}
