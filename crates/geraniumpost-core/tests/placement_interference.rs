//! Learning of interference from measured latency, and throttling and eviction of tasks on VMs
//! whose service has high latency or whose tasks use too much.

mod placement_support;

use assert_matches::assert_matches;
use geraniumpost_core::Millis;
use geraniumpost_core::placement::{Decision, Reason, RunOutcome, TaskView};
use placement_support::{
    TestPlanner, amount, document, evicted_jobs, name, normal_request, start_score, started_on,
    worker,
};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Half of the processors of a worker, and some memory.
const HALF_WORKER: geraniumpost_schema::Resources = amount(8000, 8000);

/// A planner with two workers that have the same service.
fn planner() -> TestPlanner {
    TestPlanner::new([worker("w1", "r1").service("filing"), worker("w2", "r2").service("filing")])
}

/// Runs tasks of a noisy class (`study`) and a quiet class (`logs`) in turns on `w1`. Each
/// measurement of `w1` within the turns arrives five seconds late, when a task of the other class
/// is running.
fn learn_interference(planner: &mut TestPlanner) {
    let (noisy, quiet) = (
        normal_request("noisy", "study", HALF_WORKER),
        normal_request("quiet", "logs", HALF_WORKER),
    );
    for turn in 0..40 {
        let started_at = turn * 20_000;
        for (request, p99_ms, from) in
            [(&noisy, 150, started_at), (&quiet, 40, started_at + 10_000)]
        {
            planner.start(from, request, &name("w1"), HALF_WORKER);
            if from >= 10_000 {
                let p99_ms = if p99_ms == 150 { 40 } else { 150 };
                planner.report_latency(from + 3000, "w1", 500, p99_ms, from - 2000);
            }
            planner.end_run(from + 10_000, request.job(), RunOutcome::Completed);
        }
        planner.report_latency(started_at + 19_900, "w2", 500, 40, started_at + 19_900);
    }
    planner.report_latency(800_000, "w1", 500, 40, 780_000);
    planner.fleet.set_load(&name("w1"), 500, 40_000);
}

/// A measurement of high latency arrives only after the noisy task has ended and a quiet task has
/// started. If the measurement were attributed to the running task, the quiet class would be
/// avoided and evicted, while the noisy class would still be placed with services.
#[test]
fn late_measurement_is_attributed_to_tasks_of_its_time() {
    let mut planner = planner();
    learn_interference(&mut planner);
    let noisy = start_score(
        &planner.place_on_clone(900_000, &[normal_request("a", "study", amount(4000, 100))]),
        "a",
    );
    let quiet = start_score(
        &planner.place_on_clone(900_000, &[normal_request("b", "logs", amount(4000, 100))]),
        "b",
    );
    assert!(noisy > quiet + 0.1, "study {noisy}, logs {quiet}");
}

/// One minion is busy and the other is idle. A noisy job starts on the worker of the idle minion,
/// because the same task raises the latency of a busy minion more.
#[test]
fn noisy_job_goes_to_idle_minion() {
    let mut planner = planner();
    learn_interference(&mut planner);
    for (busy, idle) in [("w1", "w2"), ("w2", "w1")] {
        planner.fleet.set_load(&name(busy), 900, 60_000);
        planner.fleet.set_load(&name(idle), 100, 30_000);
        let decided =
            planner.place_on_clone(900_000, &[normal_request("a", "study", amount(4000, 100))]);
        assert_eq!(started_on(&decided, "a"), Some(name(idle)));
    }
}

/// A task raises the latency of a busy minion more than that of an idle minion, so the prediction
/// must depend on the load. Otherwise noisy tasks would be placed with busy minions, and too few
/// with idle minions.
#[test]
fn predicted_interference_grows_with_load() {
    let mut planner = TestPlanner::new([worker("w1", "r1").service("filing")]);
    learn_interference(&mut planner);
    let now = 900_000;
    (0..6).for_each(|i| planner.report_latency(now + i, "w1", 500, 300, now + i));
    let added = |load_permille| {
        let mut fleet = planner.fleet.clone();
        fleet.set_load(&name("w1"), load_permille, 0);
        let after = |milli_cpus| {
            let study =
                [normal_request("a", "study", amount(milli_cpus, 1)).submitted(Millis(now))];
            let mut placer = planner.placer.clone();
            let mut rng = StdRng::seed_from_u64(1);
            match &placer.place(Millis(now), &study, &fleet, &mut rng)[0] {
                Decision::Wait {
                    reason: Reason::ExcessiveInterference { predicted_permille, .. },
                    ..
                } => f64::from(*predicted_permille),
                other => panic!("{other}"),
            }
        };
        after(16_000) - after(4000)
    };
    assert!(added(900) > 1.5 * added(300), "{} and {}", added(900), added(300));
}

/// A job would bring the latency of the only worker's service too close to its target. The job
/// waits, but only for a limited time.
#[test]
fn interfering_job_waits_for_limited_time() {
    let mut planner = TestPlanner::new([worker("w1", "r1").service("filing")]);
    learn_interference(&mut planner);
    planner.fleet.set_load(&name("w1"), 900, 80_000);
    let at = |now| normal_request("a", "study", amount(15_000, 100)).submitted(Millis(now));
    let decided = planner.place_on_clone(900_000, &[at(900_000)]);
    assert!(decided[0].to_string().contains("would push a service to"), "{}", decided[0]);
    assert_matches!(planner.place_on_clone(900_000, &[at(200_000)])[0], Decision::Start { .. });
}

/// An operator raises a service's latency target. Interference was learned as a multiple of the old
/// target and must be dropped, or jobs would wait for minutes without a reason.
#[test]
fn raised_target_takes_effect_at_once() {
    let mut planner = TestPlanner::new([worker("w1", "r1").service("filing")]);
    learn_interference(&mut planner);
    planner.fleet.set_load(&name("w1"), 900, 80_000);
    let study = [normal_request("a", "study", amount(15_000, 100)).submitted(Millis(900_000))];
    assert_matches!(planner.place_on_clone(900_000, &study)[0], Decision::Wait { .. });
    let mut document = document();
    document.services.get_mut(&name("filing")).expect("the service").target_p99_ms = 1000;
    planner.placer.configure(&document);
    assert_matches!(planner.place_on_clone(900_000, &study)[0], Decision::Start { .. });
    planner.report_latency(900_000, "w1", 900, 80, 900_000);
    assert_matches!(planner.place_on_clone(900_000, &study)[0], Decision::Start { .. });
}

/// A service's latency is high for 15 seconds. The noisy task is throttled and the quiet task is
/// not. Afterwards the noisy task is sped up to full speed; no task is evicted.
#[test]
fn noisy_task_is_throttled_and_sped_up_again() {
    let mut planner = planner();
    learn_interference(&mut planner);
    for (job, class) in [("noisy", "study"), ("quiet", "logs")] {
        planner.start(
            900_000,
            &normal_request(job, class, amount(6000, 100)),
            &name("w1"),
            amount(6000, 100),
        );
    }
    let mut speeds = Vec::new();
    for now in (900_000..960_000).step_by(1000) {
        let p99_ms = if now < 915_000 { 180 } else { 30 };
        planner.report_latency(now, "w1", 500, p99_ms, now);
        for decision in planner.place(now, &[]) {
            assert_matches!(&decision, Decision::Throttle { job, .. } if job == &name("noisy"));
            let Decision::Throttle { permille, .. } = decision else { continue };
            speeds.push(permille);
        }
    }
    assert_eq!(speeds.first(), Some(&500));
    assert_eq!(speeds.last(), Some(&1000), "{speeds:?}");
}

/// Measured latency alternates between values above and below the target. Reacting to each
/// measurement would throttle and speed up tasks endlessly.
#[test]
fn latency_between_thresholds_causes_no_action() {
    let mut planner = planner();
    learn_interference(&mut planner);
    planner.start(
        900_000,
        &normal_request("noisy", "study", HALF_WORKER),
        &name("w1"),
        HALF_WORKER,
    );
    for now in (900_000..960_000).step_by(1000) {
        planner.report_latency(now, "w1", 500, if now % 2000 == 0 { 115 } else { 70 }, now);
        assert_eq!(planner.place(now, &[]), Vec::new());
    }
}

/// Latency stays high on every VM although all noisy tasks are throttled. Tasks are evicted, but at
/// most half as many per minute as the policy allows; the other half is left for urgent jobs.
#[test]
fn evictions_for_services_stay_within_budget() {
    let workers: Vec<_> = (0..12).map(|i| format!("n{i}")).collect();
    let mut planner =
        TestPlanner::new(workers.iter().map(|w| worker(w, &format!("rack-{w}")).service("filing")));
    planner.fleet.put_worker(worker("w1", "r1").service("filing"));
    planner.fleet.put_worker(worker("w2", "r2").service("filing"));
    learn_interference(&mut planner);
    for on in &workers {
        let noisy = normal_request(&format!("on-{on}"), "study", HALF_WORKER);
        planner.start(900_000, &noisy, &name(on), HALF_WORKER);
    }
    let mut times = Vec::new();
    for now in (900_000..1_080_000).step_by(1000) {
        for on in &workers {
            planner.report_latency(now, on, 500, 200, now);
        }
        times.extend(evicted_jobs(&planner.place(now, &[])).iter().map(|_| now));
    }
    assert!(!times.is_empty(), "no task is evicted although throttling did not help");
    let per_minute =
        times.iter().map(|t| times.iter().filter(|u| (*t..*t + 60_000).contains(*u)).count());
    assert!(per_minute.max() <= Some(2), "{times:?}");
}

/// The tasks on a VM together use more memory than the allowance. Without an eviction the kernel
/// would kill a task, and its work would be lost, so the task that most exceeds its declared need
/// is evicted, with a checkpoint.
#[test]
fn task_exceeding_its_memory_is_evicted() {
    let mut planner = planner();
    for (job, used) in [("modest", 30_000), ("grown", 40_000)] {
        let need = amount(1000, 25_000);
        planner.start(0, &normal_request(job, "study", need), &name("w1"), need);
        planner.fleet.update_task(&name(job), |task: TaskView| task.usage(amount(1000, used)));
        planner.report_usage(1000, job, need, amount(1000, used));
    }
    assert_eq!(evicted_jobs(&planner.place(1000, &[])), [name("grown")]);
    planner.report_usage(1500, "grown", amount(1000, 25_000), amount(1000, 40_000));
    assert_eq!(evicted_jobs(&planner.place(1500, &[])), Vec::<geraniumpost_schema::Name>::new());
}

/// A throttled task is sped up by the same `place` call that decides on a new job. If both were
/// assigned the same processors, the VM would be overcommitted.
#[test]
fn processors_of_sped_up_task_are_not_given_to_another() {
    let mut planner = planner();
    learn_interference(&mut planner);
    planner.start(900_000, &normal_request("slow", "logs", HALF_WORKER), &name("w1"), HALF_WORKER);
    planner.fleet.update_task(&name("slow"), |task| task.permille(500));
    let mut sped_up = false;
    for now in (900_000..930_000).step_by(1000) {
        planner.report_latency(now, "w1", 500, 30, now);
        let all = normal_request("all", "logs", amount(12_000, 100)).excluded(vec![name("w2")]);
        let decided = planner.place_on_clone(now, &[all]);
        let speeds_up =
            decided.iter().any(|d| matches!(d, Decision::Throttle { permille: 1000, .. }));
        assert!(!speeds_up || started_on(&decided, "all").is_none(), "{decided:?}");
        sped_up |= speeds_up;
    }
    assert!(sped_up, "the task is never sped up");
}
