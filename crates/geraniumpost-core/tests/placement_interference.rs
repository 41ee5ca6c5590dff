//! Learning of interference, and actions on services with high latency.

mod placement_support;

use assert_matches::assert_matches;
use geraniumpost_core::Millis;
use geraniumpost_core::placement::{Decision, Reason, RunOutcome, TaskView};
use placement_support::{Site, amount, document, evicted, name, request, score, started, worker};
use rand::SeedableRng;
use rand::rngs::StdRng;

const BIG: geraniumpost_schema::Resources = amount(8000, 8000);

fn site() -> Site {
    Site::new([worker("w1", "r1").service("filing"), worker("w2", "r2").service("filing")])
}

/// Alternates a noisy and a quiet class on w1. Each measurement arrives five seconds late, while
/// the other class is running.
fn learn(site: &mut Site) {
    let (noisy, quiet) = (request("noisy", "study", BIG), request("quiet", "logs", BIG));
    for turn in 0..40 {
        let started_at = turn * 20_000;
        for (request, p99_ms, from) in
            [(&noisy, 150, started_at), (&quiet, 40, started_at + 10_000)]
        {
            site.start(from, request, &name("w1"), BIG);
            if from >= 10_000 {
                let p99_ms = if p99_ms == 150 { 40 } else { 150 };
                site.latency(from + 3000, "w1", 500, p99_ms, from - 2000);
            }
            site.end(from + 10_000, request.job(), RunOutcome::Completed);
        }
        site.latency(started_at + 19_900, "w2", 500, 40, started_at + 19_900);
    }
    site.latency(800_000, "w1", 500, 40, 780_000);
    site.fleet.set_load(&name("w1"), 500, 40_000);
}

/// A noisy task ends, a quiet one starts in its place, and only then the late measurement arrives.
/// If it were attributed to the running task, the quiet class would be avoided and evicted, while
/// the noisy one would keep slowing services.
#[test]
fn late_measurement_is_attributed_to_tasks_of_its_time() {
    let mut site = site();
    learn(&mut site);
    let noisy = score(&site.clone_place(900_000, &[request("a", "study", amount(4000, 100))]), "a");
    let quiet = score(&site.clone_place(900_000, &[request("b", "logs", amount(4000, 100))]), "b");
    assert!(noisy > quiet + 0.1, "study {noisy}, logs {quiet}");
}

/// One minion is busy and the other is idle. The noisy job goes to the idle one, as the same
/// interference slows a busy minion more.
#[test]
fn noisy_job_goes_to_idle_minion() {
    let mut site = site();
    learn(&mut site);
    for (busy, idle) in [("w1", "w2"), ("w2", "w1")] {
        site.fleet.set_load(&name(busy), 900, 60_000);
        site.fleet.set_load(&name(idle), 100, 30_000);
        let decided = site.clone_place(900_000, &[request("a", "study", amount(4000, 100))]);
        assert_eq!(started(&decided, "a"), Some(name(idle)));
    }
}

/// The same task slows a busy minion more than an idle one, so the prediction depends on the load.
/// Otherwise noisy tasks would be kept off idle minions and placed beside busy ones.
#[test]
fn predicted_interference_grows_with_load() {
    let mut site = Site::new([worker("w1", "r1").service("filing")]);
    learn(&mut site);
    let now = 900_000;
    (0..6).for_each(|i| site.latency(now + i, "w1", 500, 300, now + i));
    let added = |load_permille| {
        let mut fleet = site.fleet.clone();
        fleet.set_load(&name("w1"), load_permille, 0);
        let after = |milli_cpus| {
            let study = [request("a", "study", amount(milli_cpus, 1)).submitted(Millis(now))];
            let mut placer = site.placer.clone();
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

/// A job that would bring the only service with capacity too close to its target waits, but only
/// for a limited time.
#[test]
fn interfering_job_waits_for_limited_time() {
    let mut site = Site::new([worker("w1", "r1").service("filing")]);
    learn(&mut site);
    site.fleet.set_load(&name("w1"), 900, 80_000);
    let at = |now| request("a", "study", amount(15_000, 100)).submitted(Millis(now));
    let decided = site.clone_place(900_000, &[at(900_000)]);
    assert!(decided[0].to_string().contains("would push a service to"), "{}", decided[0]);
    assert_matches!(site.clone_place(900_000, &[at(200_000)])[0], Decision::Start { .. });
}

/// An operator raises a service's latency target. What was learned in units of the old target must
/// not keep batch work off any longer, or jobs would wait for minutes without cause.
#[test]
fn raised_target_takes_effect_at_once() {
    let mut site = Site::new([worker("w1", "r1").service("filing")]);
    learn(&mut site);
    site.fleet.set_load(&name("w1"), 900, 80_000);
    let study = [request("a", "study", amount(15_000, 100)).submitted(Millis(900_000))];
    assert_matches!(site.clone_place(900_000, &study)[0], Decision::Wait { .. });
    let mut document = document();
    document.services.get_mut(&name("filing")).expect("the service").target_p99_ms = 1000;
    site.placer.configure(&document);
    assert_matches!(site.clone_place(900_000, &study)[0], Decision::Start { .. });
    site.latency(900_000, "w1", 900, 80, 900_000);
    assert_matches!(site.clone_place(900_000, &study)[0], Decision::Start { .. });
}

/// Interference raises a service's latency for a while. The noisy task is slowed and the quiet one
/// is not. Afterwards the noisy task is sped up again; no task is evicted.
#[test]
fn noisy_task_is_slowed_and_sped_up_again() {
    let mut site = site();
    learn(&mut site);
    for (job, class) in [("noisy", "study"), ("quiet", "logs")] {
        site.start(
            900_000,
            &request(job, class, amount(6000, 100)),
            &name("w1"),
            amount(6000, 100),
        );
    }
    let mut speeds = Vec::new();
    for now in (900_000..960_000).step_by(1000) {
        let p99_ms = if now < 915_000 { 180 } else { 30 };
        site.latency(now, "w1", 500, p99_ms, now);
        for decision in site.place(now, &[]) {
            assert_matches!(&decision, Decision::Throttle { job, .. } if job == &name("noisy"));
            let Decision::Throttle { permille, .. } = decision else { continue };
            speeds.push(permille);
        }
    }
    assert_eq!(speeds.first(), Some(&500));
    assert_eq!(speeds.last(), Some(&1000), "{speeds:?}");
}

/// Latency is above and below the target in turns of a second. Reacting to each measurement would
/// slow and speed up tasks endlessly.
#[test]
fn latency_between_thresholds_causes_no_action() {
    let mut site = site();
    learn(&mut site);
    site.start(900_000, &request("noisy", "study", BIG), &name("w1"), BIG);
    for now in (900_000..960_000).step_by(1000) {
        site.latency(now, "w1", 500, if now % 2000 == 0 { 115 } else { 70 }, now);
        assert_eq!(site.place(now, &[]), Vec::new());
    }
}

/// Interference continues on every VM although all noisy tasks are slowed. Evictions follow, but no
/// more per minute than the policy allows, and half of these are left for urgent jobs.
#[test]
fn evictions_for_services_stay_within_budget() {
    let workers: Vec<_> = (0..12).map(|i| format!("n{i}")).collect();
    let mut site =
        Site::new(workers.iter().map(|w| worker(w, &format!("rack-{w}")).service("filing")));
    site.fleet.put_worker(worker("w1", "r1").service("filing"));
    site.fleet.put_worker(worker("w2", "r2").service("filing"));
    learn(&mut site);
    for on in &workers {
        let noisy = request(&format!("on-{on}"), "study", BIG);
        site.start(900_000, &noisy, &name(on), BIG);
    }
    let mut times = Vec::new();
    for now in (900_000..1_080_000).step_by(1000) {
        for on in &workers {
            site.latency(now, on, 500, 200, now);
        }
        times.extend(evicted(&site.place(now, &[])).iter().map(|_| now));
    }
    assert!(!times.is_empty(), "no task is evicted although slowing did not help");
    let per_minute =
        times.iter().map(|t| times.iter().filter(|u| (*t..*t + 60_000).contains(*u)).count());
    assert!(per_minute.max() <= Some(2), "{times:?}");
}

/// The tasks of a VM grow until they use more memory than their allowance. Without an eviction the
/// kernel would kill one and its work would be lost, so the one that most exceeds its declared need
/// is checkpointed and evicted.
#[test]
fn task_exceeding_its_memory_is_evicted() {
    let mut site = site();
    for (job, used) in [("modest", 30_000), ("grown", 40_000)] {
        let need = amount(1000, 25_000);
        site.start(0, &request(job, "study", need), &name("w1"), need);
        site.fleet.update_task(&name(job), |task: TaskView| task.usage(amount(1000, used)));
        site.usage(1000, job, need, amount(1000, used));
    }
    assert_eq!(evicted(&site.place(1000, &[])), [name("grown")]);
    site.usage(1500, "grown", amount(1000, 25_000), amount(1000, 40_000));
    assert_eq!(evicted(&site.place(1500, &[])), Vec::<geraniumpost_schema::Name>::new());
}

/// A slowed task is sped up in the same call that places a new job. If both got the same
/// processors, the VM would be overcommitted.
#[test]
fn processors_of_sped_up_task_are_not_given_to_another() {
    let mut site = site();
    learn(&mut site);
    site.start(900_000, &request("slow", "logs", BIG), &name("w1"), BIG);
    site.fleet.update_task(&name("slow"), |task| task.permille(500));
    let mut sped_up = false;
    for now in (900_000..930_000).step_by(1000) {
        site.latency(now, "w1", 500, 30, now);
        let all = request("all", "logs", amount(12_000, 100)).excluded(vec![name("w2")]);
        let decided = site.clone_place(now, &[all]);
        let speeds_up =
            decided.iter().any(|d| matches!(d, Decision::Throttle { permille: 1000, .. }));
        assert!(!speeds_up || started(&decided, "all").is_none(), "{decided:?}");
        sped_up |= speeds_up;
    }
    assert!(sped_up, "the task is never sped up");
}
