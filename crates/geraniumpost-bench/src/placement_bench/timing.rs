use std::time::Instant;

use geraniumpost_core::Millis;
use geraniumpost_core::placement::{
    Decision, Fleet, Observation, PlacementRequest, Placer, TaskView, WorkerView,
};
use geraniumpost_schema::{Name, Resources};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::scenario::{self, CAPACITY, RESERVE};

/// Fleets that a decision is timed on: workers and tasks.
const SIZES: [(usize, usize); 3] = [(11, 100), (100, 900), (570, 5200)];
/// Decisions timed on each.
const DECISIONS: usize = 2000;
/// Job starts a second that the users expect within two years.
const STARTS_PER_SECOND: usize = 80;
/// Batch jobs that the users expect at once within two years.
const LONG_QUEUE: usize = 2800;

/// Prints the time per decision.
pub fn run(seed: u64) {
    println!(
        "\n| workers | tasks | one job, median us | p99 us | 80 jobs, us per job | 2,800 waiting in vain, ms |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for (workers, tasks) in SIZES {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = fleet(workers, tasks, &mut rng);
        let scenario = scenario::all(seed).swap_remove(0);
        let mut placer = Placer::new(&scenario::document(&scenario));
        (0..workers).for_each(|at| report(&mut placer, &mut fleet, at, 0));
        let mut times: Vec<f64> =
            (0..DECISIONS).map(|i| time(&mut placer, &mut fleet, i, &mut rng)).collect();
        times.sort_by(f64::total_cmp);
        let wishes: Vec<PlacementRequest> =
            (0..STARTS_PER_SECOND).map(|i| wish(1_000_000 + i, &mut rng)).collect();
        let begun = Instant::now();
        let decided = placer.place(Millis(9_000_000), &wishes, &fleet, &mut rng);
        let each = begun.elapsed().as_secs_f64() * 1e6 / decided.len() as f64;
        let (median, p99) = (times[DECISIONS / 2], times[DECISIONS * 99 / 100]);
        let in_vain = in_vain(&mut placer, &fleet, &mut rng);
        println!("| {workers} | {tasks} | {median:.1} | {p99:.1} | {each:.1} | {in_vain:.2} |");
    }
}

/// Reports a worker's latency.
fn report(placer: &mut Placer, fleet: &mut Fleet, at: usize, now: u64) {
    let worker = Name::from(format!("w{at}"));
    let service = ["filing", "kiosk", "search"][at % 3].into();
    let (load_permille, p99_us) = (300 + (now % 400) as u32, 50_000);
    fleet.set_load(&worker, load_permille, p99_us);
    let at = Millis(now);
    placer.observe(at, &Observation::Latency { worker, service, load_permille, p99_us, at });
}

/// Times one decision between the reports that come in while 80 jobs start in a second; the fleet
/// stays as full as it is.
fn time(placer: &mut Placer, fleet: &mut Fleet, number: usize, rng: &mut StdRng) -> f64 {
    let workers = fleet.workers().count();
    let now = Millis(10_000 + number as u64 * 1000 / STARTS_PER_SECOND as u64);
    for i in 0..workers.div_ceil(STARTS_PER_SECOND) {
        let at = (number * workers.div_ceil(STARTS_PER_SECOND) + i) % workers;
        report(placer, fleet, at, now.0);
    }
    let wishes = [wish(number, rng)];
    let begun = Instant::now();
    let decided = placer.place(now, &wishes, fleet, rng);
    let taken = begun.elapsed().as_secs_f64() * 1e6;
    assert!(matches!(decided[..], [Decision::Start { .. }]), "the fleet has room: {decided:?}");
    taken
}

/// Times one call on a long queue of which nothing fits.
fn in_vain(placer: &mut Placer, fleet: &Fleet, rng: &mut StdRng) -> f64 {
    let large = |i| {
        let need = Resources { milli_cpus: 0, memory_mb: 190_000, accelerators: 0 };
        let milli_cpus = rng.random_range(1000..40_000);
        PlacementRequest::new(
            format!("large-{i}"),
            "entel",
            "study",
            Resources { milli_cpus, ..need },
        )
    };
    let wishes: Vec<PlacementRequest> = (0..LONG_QUEUE).map(large).collect();
    let begun = Instant::now();
    let decided = placer.place(Millis(100_000), &wishes, fleet, rng);
    let taken = begun.elapsed().as_secs_f64() * 1e3;
    assert_eq!(decided.len(), LONG_QUEUE, "each job has its answer");
    taken
}

fn wish(number: usize, rng: &mut StdRng) -> PlacementRequest {
    let milli_cpus = rng.random_range(500..4000);
    let need = Resources { milli_cpus, memory_mb: milli_cpus * 2, accelerators: 0 };
    let class = ["study", "logs", "encode", "index"][rng.random_range(0..4)];
    let customer = ["entel", "claro", "bitel"][rng.random_range(0..3)];
    PlacementRequest::new(format!("new-{number}"), customer, class, need)
}

fn fleet(workers: usize, tasks: usize, rng: &mut StdRng) -> Fleet {
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
