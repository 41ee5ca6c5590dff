//! Order of jobs, preemption, and spreading of tasks.

mod placement_support;

use std::collections::BTreeSet;

use assert_matches::assert_matches;
use geraniumpost_core::Millis;
use geraniumpost_core::placement::{
    Decision, Fleet, PlacementRequest, Reason, RunOutcome, TaskView,
};
use geraniumpost_schema::{Name, Priority};
use placement_support::{Site, amount, evicted, name, request, started, urgent, worker};

const FULL: geraniumpost_schema::Resources = amount(8000, 8000);

/// One worker filled by two batch tasks, of which `cheap` was checkpointed recently.
fn full_site() -> Site {
    let mut site = Site::new([worker("w1", "r1")]);
    for job in ["costly", "cheap"] {
        site.start(0, &request(job, "study", FULL), &name("w1"), FULL);
    }
    site.fleet.update_task(&name("cheap"), |task| task.checkpointed(Millis(59_000)));
    site
}

/// An urgent interference check arrives while batch jobs fill the VM. Field crews wait for its
/// result, so the task that loses the least work is evicted, and only that one, once.
#[test]
fn urgent_job_evicts_cheapest_task_once() {
    let mut site = full_site();
    let check = [urgent("check", amount(4000, 1000))];
    assert_eq!(evicted(&site.place(60_000, &check)), [name("cheap")]);
    let decided = site.place(60_500, &check);
    assert_eq!(evicted(&decided), Vec::<Name>::new());
    assert_matches!(decided[0], Decision::Wait { reason: Reason::AwaitsEviction { .. }, .. });
    site.end(61_500, &name("cheap"), RunOutcome::Stopped);
    let batch = request("late", "study", FULL).submitted(Millis(1));
    let decided = site.place(61_500, &[batch, check[0].clone()]);
    assert_eq!(started(&decided, "check"), Some(name("w1")));
    assert_eq!(started(&decided, "late"), None, "the freed capacity is reserved for the check");
}

/// A large urgent job needs the resources of two batch tasks, of which one has stopped and the
/// other has not. If a waiting batch job got the resources of the first, both evictions would be in
/// vain.
#[test]
fn capacity_freed_for_urgent_job_stays_reserved() {
    let mut site = full_site();
    let check = urgent("check", amount(12_000, 1000));
    assert_eq!(evicted(&site.place(60_000, std::slice::from_ref(&check))).len(), 2);
    site.end(61_000, &name("cheap"), RunOutcome::Stopped);
    let requests = [request("late", "study", FULL), check];
    assert_eq!(started(&site.place(61_000, &requests), "late"), None);
    site.end(61_500, &name("costly"), RunOutcome::Stopped);
    assert_eq!(started(&site.place(61_500, &requests), "check"), Some(name("w1")));
}

/// Urgent tasks and tasks that must not be moved are never evicted.
#[test]
fn urgent_job_evicts_no_urgent_or_unevictable_task() {
    let mut site = Site::new([worker("w1", "r1")]);
    site.start(0, &urgent("first", FULL), &name("w1"), FULL);
    let fixed = request("fixed", "study", FULL);
    site.start(0, &fixed, &name("w1"), FULL);
    site.fleet.update_task(&name("fixed"), |task: TaskView| task.evictable(false));
    let decided = site.place(1000, &[urgent("second", amount(1000, 1000))]);
    assert_matches!(decided[..], [Decision::Wait { reason: Reason::NoCapacity { .. }, .. }]);
}

/// Many urgent jobs arrive at once. Evictions stay within the policy's limit per minute, or a burst
/// from one customer would evict the tasks of all others.
#[test]
fn urgent_jobs_respect_eviction_budget() {
    let racks: Vec<String> = (0..10).map(|i| format!("r{i}")).collect();
    let mut site = Site::new(racks.iter().map(|rack| worker(&format!("on-{rack}"), rack)));
    for rack in &racks {
        let study = request(&format!("study-{rack}"), "study", amount(16_000, 1000));
        site.start(0, &study, &name(&format!("on-{rack}")), amount(16_000, 1000));
    }
    let checks: Vec<PlacementRequest> =
        (0..10).map(|i| urgent(&format!("check-{i}"), amount(9000, 1000))).collect();
    let first = evicted(&site.place(1000, &checks)).len();
    assert_eq!(first, 4, "the limit of the document");
    assert_eq!(evicted(&site.place(30_000, &checks)).len(), 0);
    assert_eq!(evicted(&site.place(62_000, &checks)).len(), 4);
}

/// Urgent jobs arrived recently, so some capacity stays free for the next one, which starts at once
/// without an eviction.
#[test]
fn capacity_is_kept_free_for_urgent_jobs() {
    let mut site = Site::new((0..4).map(|i| worker(&format!("w{i}"), "r1")));
    let check = urgent("check-0", amount(2000, 1000));
    assert!(started(&site.place(0, std::slice::from_ref(&check)), "check-0").is_some());
    site.end(1000, check.job(), RunOutcome::Completed);
    let studies: Vec<PlacementRequest> = (0..40)
        .map(|i| request(&format!("study-{i}"), "study", amount(2000, 1000)).submitted(Millis(i)))
        .collect();
    site.place(2000, &studies);
    let decided = site.place(3000, &[urgent("check-1", amount(2000, 1000))]);
    assert_matches!(decided[..], [Decision::Start { .. }]);
}

/// A large job waits while small jobs keep arriving. As each takes the capacity that becomes free,
/// the large job would never start, so after a while a worker is reserved for it.
#[test]
fn large_job_does_not_starve() {
    let mut site = Site::new([worker("w1", "r1"), worker("w2", "r2")]);
    let large = request("large", "study", amount(16_000, 1000));
    let mut ends: Vec<(u64, Name)> = Vec::new();
    for (turn, now) in (0..1_500_000).step_by(5000).enumerate() {
        for (_, job) in ends.extract_if(.., |(at, _)| *at <= now) {
            site.end(now, &job, RunOutcome::Completed);
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
        let decided = site.place(now, &requests);
        if started(&decided, "large").is_some() {
            return;
        }
        // Run times differ, so that a worker is never empty by chance.
        let started_requests =
            requests.iter().filter(|request| started(&decided, request.job()).is_some());
        let duration_ms = |i: usize| 15_000 + (turn + i) as u64 % 4 * 5000;
        ends.extend(
            started_requests
                .enumerate()
                .map(|(i, request)| (now + duration_ms(i), request.job().clone())),
        );
    }
    panic!("the large job never started");
}

/// A scavenger job waits behind normal jobs that keep arriving. After a while it counts as one of
/// them.
#[test]
fn scavenger_job_does_not_starve() {
    let mut site = Site::new([worker("w1", "r1")]);
    let requests = [
        PlacementRequest::new("normal", "entel", "study", amount(16_000, 1))
            .submitted(Millis(700_000)),
        PlacementRequest::new("scavenger", "entel", "study", amount(16_000, 1))
            .priority(Priority::Scavenger),
    ];
    assert_eq!(started(&site.clone_place(500_000, &requests), "scavenger"), None);
    assert_eq!(started(&site.place(700_000, &requests), "scavenger"), Some(name("w1")));
}

/// Two customers want more than the capacity; one has three times the weight of the other.
#[test]
fn capacity_is_shared_by_weight() {
    let mut site = Site::new((0..2).map(|i| worker(&format!("w{i}"), "r1")));
    let requests: Vec<PlacementRequest> = (0..64)
        .map(|i| {
            let customer = if i % 2 == 0 { "entel" } else { "bitel" };
            PlacementRequest::new(format!("job-{i}"), customer, "study", amount(1000, 1000))
        })
        .collect();
    site.place(0, &requests[..16]);
    site.place(0, &requests[16..]);
    assert_eq!(site.fleet.allocated_to(&name("entel")).milli_cpus, 8000);
    assert_eq!(site.fleet.allocated_to(&name("bitel")).milli_cpus, 24_000);
}

/// Replicas of one class are placed on different racks and failure domains, so that a lost rack
/// takes only one of them.
#[test]
fn replicas_are_spread_over_racks() {
    let locations = [("a", "r1"), ("b", "r1"), ("c", "r1"), ("d", "r2"), ("e", "r2"), ("f", "r3")];
    let mut site = Site::new(locations.map(|(on, rack)| worker(on, rack)));
    let requests: Vec<PlacementRequest> =
        (0..3).map(|i| request(&format!("replica-{i}"), "monitor", amount(1000, 1000))).collect();
    let decided = site.place(0, &requests);
    let rack = |request: &PlacementRequest| {
        let on = started(&decided, request.job()).expect("started");
        locations.iter().find(|(worker, _)| on.as_str() == *worker).expect("a location").1
    };
    assert_eq!(requests.iter().map(rack).collect::<BTreeSet<_>>().len(), 3);
}

/// A class uses twice what it declares. The next job of the class is given that much, or the VM
/// would run out of memory, but never so much that it could run nowhere.
#[test]
fn learned_usage_makes_no_job_impossible() {
    let mut site = Site::new([worker("w1", "r1")]);
    for job in ["a", "b", "c", "d"] {
        site.usage(1000, job, amount(1000, 10_000), amount(500, 20_000));
    }
    for (declared, reserved) in [(20_000, 40_000), (50_000, 64_000)] {
        let decided = site.clone_place(2000, &[request("next", "study", amount(1000, declared))]);
        let need = decided.iter().find_map(|decision| match decision {
            Decision::Start { need, .. } => Some(*need),
            _ => None,
        });
        assert_eq!(need, Some(amount(1000, reserved)));
    }
}

/// The only large worker is removed. A job that waited for it is rejected as impossible instead of
/// waiting forever. While the worker is only lost, the job keeps waiting.
#[test]
fn job_that_becomes_impossible_is_rejected() {
    let large = worker("large", "r2");
    let mut site = Site::new([worker("w1", "r1")]);
    site.fleet = Fleet::default();
    site.fleet.put_worker(geraniumpost_core::placement::WorkerView::new(
        "small",
        "d1",
        "r1",
        amount(4000, 4000),
    ));
    site.fleet.put_worker(large.state(geraniumpost_core::placement::WorkerState::Lost));
    let study = [request("study", "study", amount(8000, 1000))];
    assert_matches!(
        site.place(0, &study)[0],
        Decision::Wait { reason: Reason::NoCapacity { .. }, .. }
    );
    site.fleet.remove_worker(&name("large"));
    let decided = site.place(1000, &study);
    assert_matches!(&decided[0], Decision::Impossible { largest, .. } if largest == &name("small"));
    assert!(site.placer.explain(&name("study")).contains("needs 8000 of processors"));
}
