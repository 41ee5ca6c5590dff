//! Shared fixture of the placement tests: a small fleet to which decisions are applied in the way
//! of the planner.

#![allow(dead_code)]

use geraniumpost_core::Millis;
use geraniumpost_core::placement::{
    Decision, Fleet, Observation, PlacementRequest, Placer, RunOutcome, TaskView, WorkerView,
};
use geraniumpost_schema::{Document, Name, Priority, Resources};
use rand::SeedableRng;
use rand::rngs::StdRng;

pub const fn amount(milli_cpus: u64, memory_mb: u64) -> Resources {
    Resources { milli_cpus, memory_mb, accelerators: 0 }
}

pub fn name(text: &str) -> Name {
    Name::from(text)
}

pub fn document() -> Document {
    serde_json::from_value(serde_json::json!({
        "customers": {
            "entel": {"token_sha256": "0", "quota": {}},
            "claro": {"token_sha256": "0", "quota": {"milli_cpus": 4000}},
            "bitel": {"token_sha256": "0", "weight": 3, "quota": {}},
        },
        "services": {"filing": {"target_p99_ms": 100}},
        "classes": {}, "domains": {}, "operators": {},
        "policy": {"evictions_per_minute": 4},
    }))
    .expect("a document")
}

/// Creates a worker with 16 processors and 64 GB. Each rack is its own failure domain.
pub fn worker(worker_name: &str, rack: &str) -> WorkerView {
    WorkerView::new(worker_name, format!("domain-of-{rack}"), rack, amount(16_000, 64_000))
}

pub fn normal_request(job: &str, class: &str, need: Resources) -> PlacementRequest {
    PlacementRequest::new(job, "entel", class, need)
}

/// A placer with its fleet, and with random numbers from a fixed seed.
pub struct TestPlanner {
    pub placer: Placer,
    pub fleet: Fleet,
    rng: StdRng,
}

impl TestPlanner {
    pub fn new(workers: impl IntoIterator<Item = WorkerView>) -> Self {
        let mut fleet = Fleet::default();
        for worker in workers {
            fleet.put_worker(worker);
        }
        Self { placer: Placer::new(&document()), fleet, rng: StdRng::seed_from_u64(7) }
    }

    /// Calls the placer, and applies its starts and throttles to the fleet.
    pub fn place(&mut self, now: u64, requests: &[PlacementRequest]) -> Vec<Decision> {
        let decided = self.placer.place(Millis(now), requests, &self.fleet, &mut self.rng);
        for decision in &decided {
            match decision {
                Decision::Start { job, worker, need, .. } => {
                    let request =
                        requests.iter().find(|request| request.job() == job).expect("a request");
                    self.start(now, request, worker, *need);
                }
                Decision::Throttle { job, worker, permille, .. } => {
                    self.fleet.update_task(job, |task| task.permille(*permille));
                    self.observe(
                        now,
                        Observation::Throttled {
                            job: job.clone(),
                            worker: worker.clone(),
                            permille: *permille,
                            at: Millis(now),
                        },
                    );
                }
                _ => {}
            }
        }
        decided
    }

    /// Starts a job on a worker without a decision of the placer.
    pub fn start(&mut self, now: u64, request: &PlacementRequest, worker: &Name, need: Resources) {
        let (customer, class) = (request.customer().clone(), request.class().clone());
        let job = request.job().clone();
        let task = TaskView::new(
            job.clone(),
            customer.clone(),
            class.clone(),
            *request.need(),
            Millis(now),
        );
        let task = task.reserved(need).priority(request.requested_priority());
        assert!(self.fleet.add_task(worker, task), "{job} is started twice");
        let (worker, at) = (worker.clone(), Millis(now));
        self.observe(now, Observation::Started { job, customer, class, worker, need, at });
    }

    /// Removes the task of a job and reports the end of its run.
    pub fn end_run(&mut self, now: u64, job: &Name, outcome: RunOutcome) {
        let worker = self.fleet.worker_of(job).expect("a running job").name().clone();
        self.fleet.remove_task(job);
        let (job, at) = (job.clone(), Millis(now));
        self.observe(now, Observation::Ended { job, worker, outcome, at });
    }

    /// Reports a latency measured at `at`, which arrives at `now`.
    pub fn report_latency(
        &mut self,
        now: u64,
        worker: &str,
        load_permille: u32,
        p99_ms: u64,
        at: u64,
    ) {
        let (worker, p99_us, at) = (name(worker), p99_ms * 1000, Millis(at));
        self.fleet.set_load(&worker, load_permille, p99_us);
        let service = name("filing");
        self.observe(now, Observation::Latency { worker, service, load_permille, p99_us, at });
    }

    /// Reports the usage of a job of customer `entel` and class `study`.
    pub fn report_usage(&mut self, now: u64, job: &str, need: Resources, usage: Resources) {
        let (customer, class) = (name("entel"), name("study"));
        let (job, at) = (name(job), Millis(now));
        self.observe(now, Observation::Usage { job, customer, class, need, usage, at });
    }

    /// Calls a clone of the placer, whose decisions are not applied.
    pub fn place_on_clone(&self, now: u64, requests: &[PlacementRequest]) -> Vec<Decision> {
        let mut rng = StdRng::seed_from_u64(7);
        self.placer.clone().place(Millis(now), requests, &self.fleet, &mut rng)
    }

    pub fn observe(&mut self, now: u64, observation: Observation) {
        self.placer.observe(Millis(now), &observation);
    }
}

/// Returns the worker on which the job `job_id` is started, or `None` if the job is not started.
pub fn started_on(decided: &[Decision], job_id: &str) -> Option<Name> {
    decided.iter().find_map(|decision| match decision {
        Decision::Start { job, worker, .. } if job.as_str() == job_id => Some(worker.clone()),
        _ => None,
    })
}

/// Returns the score in the start decision for the job `job_id`, and panics if there is no such
/// decision.
pub fn start_score(decided: &[Decision], job_id: &str) -> f64 {
    let score = decided.iter().find_map(|decision| match decision {
        Decision::Start { job, score, .. } if job.as_str() == job_id => Some(*score),
        _ => None,
    });
    score.unwrap_or_else(|| panic!("{job_id} was not started: {decided:?}"))
}

pub fn evicted_jobs(decided: &[Decision]) -> Vec<Name> {
    let of = |decision: &Decision| match decision {
        Decision::Evict { job, .. } => Some(job.clone()),
        _ => None,
    };
    decided.iter().filter_map(of).collect()
}

pub fn urgent_request(job: &str, need: Resources) -> PlacementRequest {
    normal_request(job, "check", need).priority(Priority::Urgent)
}
