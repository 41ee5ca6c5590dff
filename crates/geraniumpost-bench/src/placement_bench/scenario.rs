use geraniumpost_schema::{Document, Name, Priority, Resources};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::distributions::{draw_log_normal, draw_normal};

/// True properties of a class of batch work, which policies do not know.
#[derive(Debug, Clone)]
pub struct ClassTruth {
    pub name: &'static str,
    pub priority: Priority,
    pub declared: Resources,
    /// Ratio of real need to declared need.
    pub bias: f64,
    pub work_ms: f64,
    /// Share of the offered work.
    pub share: f64,
    /// Noise towards each service: how much tasks that use 16 processors slow it at full load.
    pub noise: Vec<f64>,
}

/// True properties of a service.
#[derive(Debug, Clone)]
pub struct ServiceTruth {
    pub name: &'static str,
    pub base_us: f64,
    pub target_ms: u64,
}

/// True properties of a worker.
#[derive(Debug, Clone)]
pub struct WorkerTruth {
    pub name: Name,
    pub domain: Name,
    pub rack: Name,
    pub service: usize,
    /// Offset of the periodic load, as a fraction of its period.
    pub phase: f64,
    /// Period in which every task on this worker fails.
    pub black_hole: (u64, u64),
}

/// True properties of a job.
#[derive(Debug, Clone)]
pub struct JobTruth {
    pub name: Name,
    pub customer: Name,
    pub class: usize,
    pub declared: Resources,
    pub real: Resources,
    pub work_ms: f64,
    /// Whether the job fails on every worker.
    pub poison: bool,
    pub arrives: u64,
    pub cancelled: u64,
}

/// A period in which a class causes more interference than usual.
#[derive(Debug, Clone)]
pub struct NoisePeriod {
    pub class: usize,
    pub from: u64,
    pub to: u64,
    pub factor: f64,
}

/// A generated stream of jobs with the workers and services.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub name: &'static str,
    pub services: Vec<ServiceTruth>,
    pub classes: Vec<ClassTruth>,
    pub workers: Vec<WorkerTruth>,
    pub jobs: Vec<JobTruth>,
    pub noise_periods: Vec<NoisePeriod>,
}

/// Resources of each worker.
pub const CAPACITY: Resources =
    Resources { milli_cpus: 64_000, memory_mb: 250_000, accelerators: 0 };
/// Resources of each worker that are reserved for its service.
pub const RESERVE: Resources = Resources { milli_cpus: 16_000, memory_mb: 40_000, accelerators: 0 };
/// Duration of a run in milliseconds.
pub const HORIZON_MS: u64 = 3_600_000;
/// Period of the services' load in milliseconds.
const LOAD_PERIOD_MS: f64 = 1_500_000.0;
/// Customers and their weights.
const CUSTOMERS: [(&str, u32); 6] =
    [("entel", 4), ("claro", 3), ("bitel", 2), ("telefonica", 2), ("regulator", 1), ("idle", 1)];

/// Size and workload of a user's site.
struct Site {
    name: &'static str,
    domains: &'static [&'static str],
    workers: usize,
    services: Vec<ServiceTruth>,
    /// Offered batch work as a share of the capacity that the reserves leave.
    offered: f64,
}

/// Returns the two users' present sites, a larger site with several services, and a day with little
/// work.
pub fn all(seed: u64) -> Vec<Scenario> {
    let service = |name, base_us, target_ms| ServiceTruth { name, base_us, target_ms };
    let sites = [
        Site {
            name: "espectro",
            domains: &["miraflores", "surco", "callao", "ate"],
            workers: 11,
            services: vec![service("filing", 60_000.0, 200)],
            offered: 0.75,
        },
        Site {
            name: "sarkar",
            domains: &["salt-lake", "howrah", "rajarhat"],
            workers: 11,
            services: vec![service("kiosk", 40_000.0, 120)],
            offered: 0.55,
        },
        Site {
            name: "mixed",
            domains: &["north", "south", "east", "west"],
            workers: 24,
            services: vec![
                service("filing", 60_000.0, 200),
                service("kiosk", 40_000.0, 120),
                service("search", 20_000.0, 80),
            ],
            offered: 0.85,
        },
        Site {
            name: "espectro on a calm day",
            domains: &["miraflores", "surco", "callao", "ate"],
            workers: 11,
            services: vec![service("filing", 60_000.0, 200)],
            offered: 0.35,
        },
    ];
    sites.iter().enumerate().map(|(i, site)| build(site, seed * 1000 + i as u64)).collect()
}

/// Returns the configuration of all policies.
pub fn document(scenario: &Scenario) -> Document {
    let customers: serde_json::Map<_, _> = CUSTOMERS
        .iter()
        .map(|(name, weight)| {
            let quota = serde_json::json!({});
            let value = serde_json::json!({"token_sha256": "0", "weight": weight, "quota": quota});
            ((*name).to_owned(), value)
        })
        .collect();
    let services: serde_json::Map<_, _> = scenario
        .services
        .iter()
        .map(|s| (s.name.to_owned(), serde_json::json!({"target_p99_ms": s.target_ms})))
        .collect();
    let classes: serde_json::Map<_, _> = scenario
        .classes
        .iter()
        .map(|c| {
            let value = serde_json::json!({"priority": c.priority.to_string(), "max_attempts": 4});
            (c.name.to_owned(), value)
        })
        .collect();
    serde_json::from_value(serde_json::json!({
        "customers": customers, "services": services, "classes": classes,
        "domains": {}, "operators": {}, "policy": {},
    }))
    .expect("the document follows the schema")
}

impl WorkerTruth {
    /// Returns the minion's utilization at a time, without short-term variation.
    pub fn load(&self, now: u64) -> f64 {
        let cycles = now as f64 / LOAD_PERIOD_MS + self.phase;
        0.5 + 0.35 * (std::f64::consts::TAU * cycles).sin()
    }
}

fn build(site: &Site, seed: u64) -> Scenario {
    let mut rng = StdRng::seed_from_u64(seed);
    let classes = classes(site.services.len(), &mut rng);
    let workers = workers(site, &mut rng);
    let jobs = jobs(site, &classes, &mut rng);
    let noise_periods = noise_periods(&classes, &mut rng);
    Scenario {
        name: site.name,
        services: site.services.clone(),
        classes,
        workers,
        jobs,
        noise_periods,
    }
}

/// Draws the classes; their noise towards each service and the bias of their sizes depend on the
/// seed.
fn classes(services: usize, rng: &mut StdRng) -> Vec<ClassTruth> {
    // Name, thousandths of a processor, memory in MB, seconds of work, share of the work, priority.
    let table = [
        ("study", 12_000, 24_000, 500.0, 0.28, Priority::Normal),
        ("logs", 4_000, 6_000, 180.0, 0.18, Priority::Normal),
        ("encode", 8_000, 8_000, 240.0, 0.16, Priority::Normal),
        ("index", 6_000, 30_000, 300.0, 0.14, Priority::Normal),
        ("monitor", 1_000, 2_000, 600.0, 0.06, Priority::Normal),
        ("archive", 2_000, 4_000, 200.0, 0.08, Priority::Scavenger),
        ("mining", 4_000, 16_000, 150.0, 0.08, Priority::Scavenger),
        ("check", 3_000, 4_000, 25.0, 0.02, Priority::Urgent),
    ];
    let mut draw_class = |(name, milli_cpus, memory_mb, seconds, share, priority)| {
        let noisy = rng.random_bool(0.35);
        let noise = (0..services)
            .map(|_| {
                if noisy {
                    0.9 * draw_log_normal(rng, 0.5)
                } else {
                    0.04 * draw_log_normal(rng, 0.8)
                }
            })
            .collect();
        let bias = draw_log_normal(rng, 0.35).clamp(0.5, 1.9);
        let declared = Resources { milli_cpus, memory_mb, accelerators: 0 };
        ClassTruth { name, priority, declared, bias, work_ms: seconds * 1e3, share, noise }
    };
    let mut classes: Vec<ClassTruth> = table.into_iter().map(&mut draw_class).collect();
    // At least one large class is noisy with every seed; without one the policies would not differ.
    let noise = (0..services).map(|_| 1.0 * draw_log_normal(rng, 0.4)).collect();
    classes[rng.random_range(0..4)].noise = noise;
    classes
}

fn workers(site: &Site, rng: &mut StdRng) -> Vec<WorkerTruth> {
    let phases: Vec<f64> = site.domains.iter().map(|_| rng.random()).collect();
    let black_hole = rng.random_range(0..site.workers);
    let from = rng.random_range(300_000..900_000);
    (0..site.workers)
        .map(|i| {
            let rack = i / 3;
            let domain = rack % site.domains.len();
            WorkerTruth {
                name: format!("w{i}").into(),
                domain: site.domains[domain].into(),
                rack: format!("rack-{rack}").into(),
                service: i % site.services.len(),
                phase: phases[domain] + 0.08 * draw_normal(rng),
                black_hole: if i == black_hole { (from, from + 900_000) } else { (0, 0) },
            }
        })
        .collect()
}

fn jobs(site: &Site, classes: &[ClassTruth], rng: &mut StdRng) -> Vec<JobTruth> {
    let cores = site.workers as f64 * (CAPACITY.milli_cpus - RESERVE.milli_cpus) as f64;
    let offered = site.offered * cores * HORIZON_MS as f64;
    let mut jobs = Vec::new();
    for (class, truth) in classes.iter().enumerate() {
        let real = truth.declared.milli_cpus as f64 * truth.bias;
        let count = (truth.share * offered / (real * truth.work_ms)).ceil() as usize;
        for _ in 0..count {
            jobs.push(job(jobs.len(), class, truth, rng));
        }
    }
    // Two bulk cancellations end a third of the jobs of one class each, whether running or not.
    for _ in 0..2 {
        let (class, at) = (rng.random_range(0..4), rng.random_range(600_000..3_000_000));
        for job in jobs.iter_mut().filter(|job| job.class == class && job.arrives < at) {
            if rng.random_bool(0.33) {
                job.cancelled = job.cancelled.min(at);
            }
        }
    }
    jobs.sort_by_key(|job| job.arrives);
    jobs
}

fn job(number: usize, class: usize, truth: &ClassTruth, rng: &mut StdRng) -> JobTruth {
    let scaled = |amount: u64, factor: f64| ((amount as f64 * factor) as u64).max(100);
    let size = draw_log_normal(rng, 0.3);
    let declared = Resources {
        milli_cpus: scaled(truth.declared.milli_cpus, size),
        memory_mb: scaled(truth.declared.memory_mb, size),
        accelerators: 0,
    };
    let bias = truth.bias * draw_log_normal(rng, 0.2);
    let real = Resources {
        milli_cpus: scaled(declared.milli_cpus, bias).min(44_000),
        memory_mb: scaled(declared.memory_mb, bias).min(190_000),
        accelerators: 0,
    };
    // A third of the jobs arrive in bursts of one minute, the others evenly.
    let arrives = if rng.random_bool(0.33) {
        rng.random_range(0..8) * 420_000 + rng.random_range(0..60_000)
    } else {
        rng.random_range(0..HORIZON_MS - 300_000)
    };
    JobTruth {
        name: format!("{}-{number}", truth.name).into(),
        customer: CUSTOMERS[rng.random_range(0..CUSTOMERS.len() - 1)].0.into(),
        class,
        declared,
        real,
        work_ms: truth.work_ms * draw_log_normal(rng, 0.6),
        poison: rng.random_bool(0.02),
        arrives,
        cancelled: u64::MAX,
    }
}

/// Draws the periods of one to four minutes in which a class is noisier than usual.
fn noise_periods(classes: &[ClassTruth], rng: &mut StdRng) -> Vec<NoisePeriod> {
    (0..14)
        .map(|_| {
            let from = rng.random_range(120_000..HORIZON_MS);
            let class = rng.random_range(0..classes.len() - 1);
            let to = from + rng.random_range(60_000..240_000);
            NoisePeriod { class, from, to, factor: rng.random_range(2.0..4.0) }
        })
        .collect()
}
