use std::time::Instant;

use geraniumpost_core::Millis;
use geraniumpost_core::placement::{
    Decision, Fleet, Observation, PlacementRequest, Placer, TaskView, WorkerView,
};
use geraniumpost_schema::{Name, Resources};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::scenario::{self, CAPACITY, RESERVE};

/// Workers and tasks of the fleets on which decisions are timed.
const SIZES: [(usize, usize); 3] = [(11, 100), (100, 900), (570, 5200)];
/// Decisions timed on each fleet.
const DECISIONS: usize = 2000;
/// Job starts per second that the users expect within two years.
const STARTS_PER_SECOND: usize = 80;
/// Concurrent batch jobs that the users expect within two years.
const LONG_QUEUE: usize = 2800;

/// Prints the time per decision.
pub fn run(seed: u64) {
    println!(
        "\n| workers | tasks | one job, median us | p99 us | 80 jobs, us per job | 2,800 jobs that fit nowhere, ms |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for (workers, tasks) in SIZES {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = create_fleet(workers, tasks, &mut rng);
        let scenario = scenario::all(seed).swap_remove(0);
        let mut placer = Placer::new(&scenario::document(&scenario));
        (0..workers).for_each(|at| report_latency(&mut placer, &mut fleet, at, 0));
        let mut times: Vec<f64> =
            (0..DECISIONS).map(|i| time_decision(&mut placer, &mut fleet, i, &mut rng)).collect();
        times.sort_by(f64::total_cmp);
        let requests: Vec<PlacementRequest> =
            (0..STARTS_PER_SECOND).map(|i| create_request(1_000_000 + i, &mut rng)).collect();
        let started = Instant::now();
        let decided = placer.place(Millis(9_000_000), &requests, &fleet, &mut rng);
        let each = started.elapsed().as_secs_f64() * 1e6 / decided.len() as f64;
        let (median, p99) = (times[DECISIONS / 2], times[DECISIONS * 99 / 100]);
        let unplaceable_queue = time_unplaceable_queue(&mut placer, &fleet, &mut rng);
        println!(
            "| {workers} | {tasks} | {median:.1} | {p99:.1} | {each:.1} | {unplaceable_queue:.2} |"
        );
    }
}

/// Reports a worker's latency to the placer.
fn report_latency(placer: &mut Placer, fleet: &mut Fleet, at: usize, now: u64) {
    let worker = Name::from(format!("w{at}"));
    let service = ["filing", "kiosk", "search"][at % 3].into();
    let (load_permille, p99_us) = (300 + (now % 400) as u32, 50_000);
    fleet.set_load(&worker, load_permille, p99_us);
    let at = Millis(now);
    placer.observe(at, &Observation::Latency { worker, service, load_permille, p99_us, at });
}

/// Times one decision, after as many latency reports as arrive between two starts at 80 starts per
/// second. The started job is not added to the fleet.
fn time_decision(placer: &mut Placer, fleet: &mut Fleet, number: usize, rng: &mut StdRng) -> f64 {
    let workers = fleet.workers().count();
    let now = Millis(10_000 + number as u64 * 1000 / STARTS_PER_SECOND as u64);
    for i in 0..workers.div_ceil(STARTS_PER_SECOND) {
        let at = (number * workers.div_ceil(STARTS_PER_SECOND) + i) % workers;
        report_latency(placer, fleet, at, now.0);
    }
    let requests = [create_request(number, rng)];
    let started = Instant::now();
    let decided = placer.place(now, &requests, fleet, rng);
    let elapsed = started.elapsed().as_secs_f64() * 1e6;
    assert!(matches!(decided[..], [Decision::Start { .. }]), "the fleet has room: {decided:?}");
    elapsed
}

/// Times one call with a long queue of jobs that fit on no worker.
fn time_unplaceable_queue(placer: &mut Placer, fleet: &Fleet, rng: &mut StdRng) -> f64 {
    let large_request = |i| {
        let need = Resources { milli_cpus: 0, memory_mb: 190_000, accelerators: 0 };
        let milli_cpus = rng.random_range(1000..40_000);
        PlacementRequest::new(
            format!("large-{i}"),
            "entel",
            "study",
            Resources { milli_cpus, ..need },
        )
    };
    let requests: Vec<PlacementRequest> = (0..LONG_QUEUE).map(large_request).collect();
    let started = Instant::now();
    let decided = placer.place(Millis(100_000), &requests, fleet, rng);
    let elapsed = started.elapsed().as_secs_f64() * 1e3;
    assert_eq!(decided.len(), LONG_QUEUE, "each job has a decision");
    elapsed
}

fn create_request(number: usize, rng: &mut StdRng) -> PlacementRequest {
    let milli_cpus = rng.random_range(500..4000);
    let need = Resources { milli_cpus, memory_mb: milli_cpus * 2, accelerators: 0 };
    let class = ["study", "logs", "encode", "index"][rng.random_range(0..4)];
    let customer = ["entel", "claro", "bitel"][rng.random_range(0..3)];
    PlacementRequest::new(format!("new-{number}"), customer, class, need)
}

fn create_fleet(workers: usize, tasks: usize, rng: &mut StdRng) -> Fleet {
    let mut fleet = Fleet::default();
    for i in 0..workers {
        let rack = format!("rack-{}", i / 3);
        let domain = ["north", "south", "east", "west"][i / 3 % 4];
        let view = WorkerView::new(format!("w{i}"), domain, rack, CAPACITY).reserve(RESERVE);
        let service = ["filing", "kiosk", "search"][i % 3];
        let load = rng.random_range(100..900);
        fleet.put_worker(view.service(service).load(load, 60_000));
    }
    for i in 0..tasks {
        let class = ["study", "logs", "encode", "index"][rng.random_range(0..4)];
        let customer = ["entel", "claro", "bitel"][rng.random_range(0..3)];
        let need = Resources { milli_cpus: 4000, memory_mb: 9000, accelerators: 0 };
        let task = TaskView::new(format!("t{i}"), customer, class, need, Millis(0));
        fleet.add_task(&Name::from(format!("w{}", i % workers)), task);
    }
    fleet
}
