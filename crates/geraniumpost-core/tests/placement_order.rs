//! Order of jobs, preemption by urgent jobs, reservations, and spreading of tasks.

mod placement_support;

use std::collections::BTreeSet;

use assert_matches::assert_matches;
use geraniumpost_core::Millis;
use geraniumpost_core::placement::{
    Decision, Fleet, PlacementRequest, Reason, RunOutcome, TaskView,
};
use geraniumpost_schema::{Name, Priority};
use placement_support::{
    TestPlanner, amount, evicted_jobs, name, normal_request, started_on, urgent_request, worker,
};

/// Half of the processors of a worker, and some memory.
const HALF_WORKER: geraniumpost_schema::Resources = amount(8000, 8000);

/// A planner with one worker, whose processors are used by two batch tasks. `cheap` was
/// checkpointed recently, `costly` never.
fn full_planner() -> TestPlanner {
    let mut planner = TestPlanner::new([worker("w1", "r1")]);
    for job in ["costly", "cheap"] {
        planner.start(0, &normal_request(job, "study", HALF_WORKER), &name("w1"), HALF_WORKER);
    }
    planner.fleet.update_task(&name("cheap"), |task| task.checkpointed(Millis(59_000)));
    planner
}

/// An urgent job, for whose result field crews wait, arrives while batch tasks use all processors
/// of the VM. Only the task that loses the least work is evicted, and its eviction is not ordered
/// twice.
#[test]
fn urgent_job_evicts_cheapest_task_once() {
    let mut planner = full_planner();
    let check = [urgent_request("check", amount(4000, 1000))];
    assert_eq!(evicted_jobs(&planner.place(60_000, &check)), [name("cheap")]);
    let decided = planner.place(60_500, &check);
    assert_eq!(evicted_jobs(&decided), Vec::<Name>::new());
    assert_matches!(decided[0], Decision::Wait { reason: Reason::AwaitsEviction { .. }, .. });
    planner.end_run(61_500, &name("cheap"), RunOutcome::Stopped);
    let batch = normal_request("late", "study", HALF_WORKER).submitted(Millis(1));
    let decided = planner.place(61_500, &[batch, check[0].clone()]);
    assert_eq!(started_on(&decided, "check"), Some(name("w1")));
    assert_eq!(started_on(&decided, "late"), None, "the freed capacity is reserved for the check");
}

/// A large urgent job needs the resources of two batch tasks, of which only one has stopped. If a
/// waiting batch job got the resources of that task, both evictions would be useless.
#[test]
fn capacity_freed_for_urgent_job_stays_reserved() {
    let mut planner = full_planner();
    let check = urgent_request("check", amount(12_000, 1000));
    assert_eq!(evicted_jobs(&planner.place(60_000, std::slice::from_ref(&check))).len(), 2);
    planner.end_run(61_000, &name("cheap"), RunOutcome::Stopped);
    let requests = [normal_request("late", "study", HALF_WORKER), check];
    assert_eq!(started_on(&planner.place(61_000, &requests), "late"), None);
    planner.end_run(61_500, &name("costly"), RunOutcome::Stopped);
    assert_eq!(started_on(&planner.place(61_500, &requests), "check"), Some(name("w1")));
}

/// Neither urgent tasks nor tasks that are not evictable are evicted for an urgent job.
#[test]
fn urgent_job_evicts_no_urgent_or_unevictable_task() {
    let mut planner = TestPlanner::new([worker("w1", "r1")]);
    planner.start(0, &urgent_request("first", HALF_WORKER), &name("w1"), HALF_WORKER);
    let fixed = normal_request("fixed", "study", HALF_WORKER);
    planner.start(0, &fixed, &name("w1"), HALF_WORKER);
    planner.fleet.update_task(&name("fixed"), |task: TaskView| task.evictable(false));
    let decided = planner.place(1000, &[urgent_request("second", amount(1000, 1000))]);
    assert_matches!(decided[..], [Decision::Wait { reason: Reason::NoCapacity { .. }, .. }]);
}

/// Many urgent jobs arrive at once. Evictions must stay within the policy's limit per minute;
/// otherwise a burst from one customer would evict the tasks of all others.
#[test]
fn urgent_jobs_respect_eviction_budget() {
    let racks: Vec<String> = (0..10).map(|i| format!("r{i}")).collect();
    let mut planner =
        TestPlanner::new(racks.iter().map(|rack| worker(&format!("on-{rack}"), rack)));
    for rack in &racks {
        let study = normal_request(&format!("study-{rack}"), "study", amount(16_000, 1000));
        planner.start(0, &study, &name(&format!("on-{rack}")), amount(16_000, 1000));
    }
    let checks: Vec<PlacementRequest> =
        (0..10).map(|i| urgent_request(&format!("check-{i}"), amount(9000, 1000))).collect();
    let first = evicted_jobs(&planner.place(1000, &checks)).len();
    assert_eq!(first, 4, "the limit of the document");
    assert_eq!(evicted_jobs(&planner.place(30_000, &checks)).len(), 0);
    assert_eq!(evicted_jobs(&planner.place(62_000, &checks)).len(), 4);
}

/// After an urgent job has started, some capacity is kept free. The next urgent job starts
/// immediately without an eviction, although many batch jobs are waiting.
#[test]
fn capacity_is_kept_free_for_urgent_jobs() {
    let mut planner = TestPlanner::new((0..4).map(|i| worker(&format!("w{i}"), "r1")));
    let check = urgent_request("check-0", amount(2000, 1000));
    assert!(started_on(&planner.place(0, std::slice::from_ref(&check)), "check-0").is_some());
    planner.end_run(1000, check.job(), RunOutcome::Completed);
    let studies: Vec<PlacementRequest> = (0..40)
        .map(|i| {
            normal_request(&format!("study-{i}"), "study", amount(2000, 1000)).submitted(Millis(i))
        })
        .collect();
    planner.place(2000, &studies);
    let decided = planner.place(3000, &[urgent_request("check-1", amount(2000, 1000))]);
    assert_matches!(decided[..], [Decision::Start { .. }]);
}

/// A large job waits while small jobs keep arriving and use all capacity that becomes free. The
/// large job would never start, so resources on a worker are reserved for it after a while.
#[test]
fn large_job_does_not_starve() {
    let mut planner = TestPlanner::new([worker("w1", "r1"), worker("w2", "r2")]);
    let large = normal_request("large", "study", amount(16_000, 1000));
    let mut ends: Vec<(u64, Name)> = Vec::new();
    for (turn, now) in (0..1_500_000).step_by(5000).enumerate() {
        for (_, job) in ends.extract_if(.., |(at, _)| *at <= now) {
            planner.end_run(now, &job, RunOutcome::Completed);
        }
        let mut requests: Vec<PlacementRequest> = (0..8)
            .map(|i| {
                PlacementRequest::new(
                    format!("small-{now}-{i}"),
                    "bitel",
                    "logs",
                    amount(4000, 100),
                )
            })
            .collect();
        if now >= 60_000 {
            requests.push(large.clone());
        }
        let decided = planner.place(now, &requests);
        if started_on(&decided, "large").is_some() {
            return;
        }
        // Run times differ, so that the tasks of a worker do not all end at once.
        let started_requests =
            requests.iter().filter(|request| started_on(&decided, request.job()).is_some());
        let duration_ms = |i: usize| 15_000 + (turn + i) as u64 % 4 * 5000;
        ends.extend(
            started_requests
                .enumerate()
                .map(|(i, request)| (now + duration_ms(i), request.job().clone())),
        );
    }
    panic!("the large job never started");
}

/// Normal jobs come before a scavenger job. After a while the scavenger job is queued as a normal
/// job, and is then the oldest job of that priority.
#[test]
fn scavenger_job_does_not_starve() {
    let mut planner = TestPlanner::new([worker("w1", "r1")]);
    let requests = [
        PlacementRequest::new("normal", "entel", "study", amount(16_000, 1))
            .submitted(Millis(700_000)),
        PlacementRequest::new("scavenger", "entel", "study", amount(16_000, 1))
            .priority(Priority::Scavenger),
    ];
    assert_eq!(started_on(&planner.place_on_clone(500_000, &requests), "scavenger"), None);
    assert_eq!(started_on(&planner.place(700_000, &requests), "scavenger"), Some(name("w1")));
}

/// Two customers submit jobs that together need more than the capacity. A customer with three times
/// the weight gets three times as much.
#[test]
fn capacity_is_shared_by_weight() {
    let mut planner = TestPlanner::new((0..2).map(|i| worker(&format!("w{i}"), "r1")));
    let requests: Vec<PlacementRequest> = (0..64)
        .map(|i| {
            let customer = if i % 2 == 0 { "entel" } else { "bitel" };
            PlacementRequest::new(format!("job-{i}"), customer, "study", amount(1000, 1000))
        })
        .collect();
    planner.place(0, &requests[..16]);
    planner.place(0, &requests[16..]);
    assert_eq!(planner.fleet.allocated_to(&name("entel")).milli_cpus, 8000);
    assert_eq!(planner.fleet.allocated_to(&name("bitel")).milli_cpus, 24_000);
}

/// Replicas of one class are placed on different racks and failure domains, so that the loss of a
/// rack ends only one replica.
#[test]
fn replicas_are_spread_over_racks() {
    let locations = [("a", "r1"), ("b", "r1"), ("c", "r1"), ("d", "r2"), ("e", "r2"), ("f", "r3")];
    let mut planner = TestPlanner::new(locations.map(|(on, rack)| worker(on, rack)));
    let requests: Vec<PlacementRequest> = (0..3)
        .map(|i| normal_request(&format!("replica-{i}"), "monitor", amount(1000, 1000)))
        .collect();
    let decided = planner.place(0, &requests);
    let rack = |request: &PlacementRequest| {
        let on = started_on(&decided, request.job()).expect("started");
        locations.iter().find(|(worker, _)| on.as_str() == *worker).expect("a location").1
    };
    assert_eq!(requests.iter().map(rack).collect::<BTreeSet<_>>().len(), 3);
}

/// Tasks of a class use twice the memory that they declare. Twice the declared memory is reserved
/// for the next job of the class, or the VM would run out of memory. The reservation is limited to
/// what a worker offers.
#[test]
fn learned_usage_makes_no_job_impossible() {
    let mut planner = TestPlanner::new([worker("w1", "r1")]);
    for job in ["a", "b", "c", "d"] {
        planner.report_usage(1000, job, amount(1000, 10_000), amount(500, 20_000));
    }
    for (declared, reserved) in [(20_000, 40_000), (50_000, 64_000)] {
        let decided = planner
            .place_on_clone(2000, &[normal_request("next", "study", amount(1000, declared))]);
        let need = decided.iter().find_map(|decision| match decision {
            Decision::Start { need, .. } => Some(*need),
            _ => None,
        });
        assert_eq!(need, Some(amount(1000, reserved)));
    }
}

/// The only worker on which a job fits is lost and later removed. The job waits while the worker is
/// lost, and is rejected as impossible after the removal, instead of waiting forever.
#[test]
fn job_that_becomes_impossible_is_rejected() {
    let large = worker("large", "r2");
    let mut planner = TestPlanner::new([worker("w1", "r1")]);
    planner.fleet = Fleet::default();
    planner.fleet.put_worker(geraniumpost_core::placement::WorkerView::new(
        "small",
        "d1",
        "r1",
        amount(4000, 4000),
    ));
    planner.fleet.put_worker(large.state(geraniumpost_core::placement::WorkerState::Lost));
    let study = [normal_request("study", "study", amount(8000, 1000))];
    assert_matches!(
        planner.place(0, &study)[0],
        Decision::Wait { reason: Reason::NoCapacity { .. }, .. }
    );
    planner.fleet.remove_worker(&name("large"));
    let decided = planner.place(1000, &study);
    assert_matches!(&decided[0], Decision::Impossible { largest, .. } if largest == &name("small"));
    assert!(planner.placer.explain(&name("study")).contains("needs 8000 of processors"));
}
