//! What is learned of harm, and what is done when a service is pressed.

mod placement_support;

use assert_matches::assert_matches;
use geraniumpost_core::Millis;
use geraniumpost_core::placement::{Decision, Reason, RunOutcome, TaskView};
use placement_support::{Site, amount, document, evicted, name, score, started, wish, worker};
use rand::SeedableRng;
use rand::rngs::StdRng;

const BIG: geraniumpost_schema::Resources = amount(8000, 8000);

fn site() -> Site {
    Site::new([worker("w1", "r1").service("filing"), worker("w2", "r2").service("filing")])
}

/// Lets a noisy class and a quiet one take turns on w1, with measurements that arrive five seconds
/// late, when the other of the two is running.
fn learn(site: &mut Site) {
    let (noisy, quiet) = (wish("noisy", "study", BIG), wish("quiet", "logs", BIG));
    for turn in 0..40 {
        let began = turn * 20_000;
        for (wish, p99_ms, from) in [(&noisy, 150, began), (&quiet, 40, began + 10_000)] {
            site.start(from, wish, &name("w1"), BIG);
            if from >= 10_000 {
                let p99_ms = if p99_ms == 150 { 40 } else { 150 };
                site.latency(from + 3000, "w1", 500, p99_ms, from - 2000);
            }
            site.end(from + 10_000, wish.job(), RunOutcome::Completed);
        }
        site.latency(began + 19_900, "w2", 500, 40, began + 19_900);
    }
    site.latency(800_000, "w1", 500, 40, 780_000);
    site.fleet.set_load(&name("w1"), 500, 40_000);
}

/// A noisy study ends, a quiet log job starts in its place, and only then the late measurement
/// arrives. Charged to whoever runs now, the quiet class would be kept out and evicted while
/// lobby queues go on growing beside the noisy one.
#[test]
fn a_late_measurement_is_charged_to_who_ran_then() {
    let mut site = site();
    learn(&mut site);
    let noisy = score(&site.clone_place(900_000, &[wish("a", "study", amount(4000, 100))]), "a");
    let quiet = score(&site.clone_place(900_000, &[wish("b", "logs", amount(4000, 100))]), "b");
    assert!(noisy > quiet + 0.1, "study {noisy}, logs {quiet}");
}

/// One minion is busy and the other idles. The noisy job goes beside the idle one, as the same
/// noise hurts a busy minion more.
#[test]
fn noise_goes_beside_the_idle_minion() {
    let mut site = site();
    learn(&mut site);
    for (busy, idle) in [("w1", "w2"), ("w2", "w1")] {
        site.fleet.set_load(&name(busy), 900, 60_000);
        site.fleet.set_load(&name(idle), 100, 30_000);
        let decided = site.clone_place(900_000, &[wish("a", "study", amount(4000, 100))]);
        assert_eq!(started(&decided, "a"), Some(name(idle)));
    }
}

/// The same noise slows a busy minion more than an idle one, so what a job would add is predicted
/// by the load; else noise would be kept from idle minions and heaped on busy ones.
#[test]
fn predicted_harm_grows_with_load() {
    let mut site = Site::new([worker("w1", "r1").service("filing")]);
    learn(&mut site);
    let now = 900_000;
    (0..6).for_each(|i| site.latency(now + i, "w1", 500, 300, now + i));
    let added = |load_permille| {
        let mut fleet = site.fleet.clone();
        fleet.set_load(&name("w1"), load_permille, 0);
        let after = |milli_cpus| {
            let study = [wish("a", "study", amount(milli_cpus, 1)).submitted(Millis(now))];
            let mut placer = site.placer.clone();
            let mut rng = StdRng::seed_from_u64(1);
            match &placer.place(Millis(now), &study, &fleet, &mut rng)[0] {
                Decision::Wait { reason: Reason::TooHarmful { after_permille, .. }, .. } => {
                    f64::from(*after_permille)
                }
                other => panic!("{other}"),
            }
        };
        after(16_000) - after(4000)
    };
    assert!(added(900) > 1.5 * added(300), "{} and {}", added(900), added(300));
}

/// A job that would push the only service with room over its target waits while quieter ones
/// start, but not for ever.
#[test]
fn a_harmful_job_waits_for_a_better_place_but_not_for_ever() {
    let mut site = Site::new([worker("w1", "r1").service("filing")]);
    learn(&mut site);
    site.fleet.set_load(&name("w1"), 900, 80_000);
    let at = |now| wish("a", "study", amount(15_000, 100)).submitted(Millis(now));
    let decided = site.clone_place(900_000, &[at(900_000)]);
    assert!(decided[0].to_string().contains("would push a service to"), "{}", decided[0]);
    assert_matches!(site.clone_place(900_000, &[at(200_000)])[0], Decision::Start { .. });
}

/// An operator raises a service's target. What was learned in units of the old one must not go on
/// holding batch work off, or studies wait for minutes without cause.
#[test]
fn a_raised_target_takes_hold_at_once() {
    let mut site = Site::new([worker("w1", "r1").service("filing")]);
    learn(&mut site);
    site.fleet.set_load(&name("w1"), 900, 80_000);
    let study = [wish("a", "study", amount(15_000, 100)).submitted(Millis(900_000))];
    assert_matches!(site.clone_place(900_000, &study)[0], Decision::Wait { .. });
    let mut document = document();
    document.services.get_mut(&name("filing")).expect("the service").target_p99_ms = 1000;
    site.placer.configure(&document);
    assert_matches!(site.clone_place(900_000, &study)[0], Decision::Start { .. });
    site.latency(900_000, "w1", 900, 80, 900_000);
    assert_matches!(site.clone_place(900_000, &study)[0], Decision::Start { .. });
}

/// A wave of noise presses a service. The noisy task is slowed first, the quiet one is left alone,
/// and after the wave it is sped up again; nobody is evicted.
#[test]
fn a_pressed_service_has_the_noisy_task_slowed_and_sped_up_after() {
    let mut site = site();
    learn(&mut site);
    for (job, class) in [("noisy", "study"), ("quiet", "logs")] {
        site.start(900_000, &wish(job, class, amount(6000, 100)), &name("w1"), amount(6000, 100));
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

/// Latency swings between calm and the target from second to second. Acting on each swing would
/// slow and speed up tasks without end.
#[test]
fn noise_within_the_bounds_does_nothing() {
    let mut site = site();
    learn(&mut site);
    site.start(900_000, &wish("noisy", "study", BIG), &name("w1"), BIG);
    for now in (900_000..960_000).step_by(1000) {
        site.latency(now, "w1", 500, if now % 2000 == 0 { 115 } else { 70 }, now);
        assert_eq!(site.place(now, &[]), Vec::new());
    }
}

/// Noise goes on on every VM although all noisy tasks are slowed. Evictions follow, but no more a
/// minute than the policy allows, and half of these stay for urgent jobs.
#[test]
fn a_long_wave_of_noise_is_no_wave_of_evictions() {
    let workers: Vec<_> = (0..12).map(|i| format!("n{i}")).collect();
    let mut site =
        Site::new(workers.iter().map(|w| worker(w, &format!("rack-{w}")).service("filing")));
    site.fleet.put_worker(worker("w1", "r1").service("filing"));
    site.fleet.put_worker(worker("w2", "r2").service("filing"));
    learn(&mut site);
    for on in &workers {
        let noisy = wish(&format!("on-{on}"), "study", BIG);
        site.start(900_000, &noisy, &name(on), BIG);
    }
    let mut times = Vec::new();
    for now in (900_000..1_080_000).step_by(1000) {
        for on in &workers {
            site.latency(now, on, 500, 200, now);
        }
        times.extend(evicted(&site.place(now, &[])).iter().map(|_| now));
    }
    assert!(!times.is_empty(), "nobody is evicted though slowing did not help");
    let most =
        times.iter().map(|t| times.iter().filter(|u| (*t..*t + 60_000).contains(*u)).count());
    assert!(most.max() <= Some(2), "{times:?}");
}

/// The tasks of a VM grow until they use more memory than is theirs. Left alone the kernel kills
/// one and its work is lost, so the one that outgrew its size most is checkpointed and moved.
#[test]
fn a_task_that_outgrew_the_vm_is_evicted_before_the_kernel_kills() {
    let mut site = site();
    for (job, used) in [("modest", 30_000), ("grown", 40_000)] {
        let need = amount(1000, 25_000);
        site.start(0, &wish(job, "study", need), &name("w1"), need);
        site.fleet.update_task(&name(job), |task: TaskView| task.usage(amount(1000, used)));
        site.usage(1000, job, need, amount(1000, used));
    }
    assert_eq!(evicted(&site.place(1000, &[])), [name("grown")]);
    site.usage(1500, "grown", amount(1000, 25_000), amount(1000, 40_000));
    assert_eq!(evicted(&site.place(1500, &[])), Vec::<geraniumpost_schema::Name>::new());
}

/// A slowed task is sped up in the very moment in which a new job is placed. Given to both, the
/// processors would be too few.
#[test]
fn processors_of_a_task_sped_up_are_not_given_to_another() {
    let mut site = site();
    learn(&mut site);
    site.start(900_000, &wish("slow", "logs", BIG), &name("w1"), BIG);
    site.fleet.update_task(&name("slow"), |task| task.permille(500));
    let mut lifted = false;
    for now in (900_000..930_000).step_by(1000) {
        site.latency(now, "w1", 500, 30, now);
        let all = wish("all", "logs", amount(12_000, 100)).excluded(vec![name("w2")]);
        let decided = site.clone_place(now, &[all]);
        let lifts = decided.iter().any(|d| matches!(d, Decision::Throttle { permille: 1000, .. }));
        assert!(!lifts || started(&decided, "all").is_none(), "{decided:?}");
        lifted |= lifts;
    }
    assert!(lifted, "the task is never sped up");
}
