//! Who is at fault when runs fail: the job or the worker.

mod placement_support;

use assert_matches::assert_matches;
use geraniumpost_core::placement::{Decision, PlacementRequest, Reason, RunOutcome};
use placement_support::{Site, amount, name, started, wish, worker};

const TICK_MS: u64 = 1000;

fn jobs(count: usize) -> Vec<PlacementRequest> {
    (0..count).map(|i| wish(&format!("job-{i}"), "study", amount(1000, 1000))).collect()
}

/// Runs a queue on workers of which some fail every run within a second, and returns what was
/// decided. Sound runs take a minute.
fn run(
    site: &mut Site,
    mut queue: Vec<PlacementRequest>,
    ticks: u64,
    fails: fn(&str, &str) -> bool,
) -> Vec<Decision> {
    let mut all = Vec::new();
    let mut running: Vec<(u64, PlacementRequest)> = Vec::new();
    for now in (0..ticks).map(|tick| tick * TICK_MS) {
        let (ended, on): (Vec<_>, Vec<_>) = running.into_iter().partition(|(since, wish)| {
            let on = site.fleet.worker_of(wish.job()).expect("running").name().clone();
            now - since >= if fails(wish.job(), &on) { TICK_MS } else { 60_000 }
        });
        running = on;
        for (_, wish) in ended {
            let on = site.fleet.worker_of(wish.job()).expect("running").name().clone();
            if fails(wish.job(), &on) {
                site.end(now, wish.job(), RunOutcome::Failed);
                queue.push(wish);
            } else {
                site.end(now, wish.job(), RunOutcome::Completed);
            }
        }
        let decided = site.place(now, &queue);
        for decision in &decided {
            let over = matches!(decision, Decision::Start { .. } | Decision::GiveUp { .. });
            if let Some(at) = queue.iter().position(|w| over && Some(w.job()) == decision.job()) {
                let wish = queue.remove(at);
                if matches!(decision, Decision::Start { .. }) {
                    running.push((now, wish));
                }
            }
        }
        all.extend(decided);
    }
    all
}

/// One VM's disk is broken and whatever starts there fails within a second, so it always looks
/// free. Left alone it takes job after job, and customers find sound studies given up.
#[test]
fn a_black_hole_worker_does_not_swallow_the_queue() {
    let mut site = Site::new([worker("w1", "r1"), worker("w2", "r2"), worker("hole", "r3")]);
    let decided = run(&mut site, jobs(60), 300, |_, on| on == "hole");
    let quarantines = |d: &&Decision| matches!(d, Decision::Quarantine { .. });
    assert!(decided.iter().filter(quarantines).count() >= 1, "the hole is not set aside");
    let given_up: Vec<_> =
        decided.iter().filter(|d| matches!(d, Decision::GiveUp { .. })).collect();
    assert!(given_up.is_empty(), "sound jobs are given up: {given_up:?}");
    let swallowed =
        |d: &&Decision| matches!(d, Decision::Start { worker, .. } if worker == &name("hole"));
    let swallowed = decided.iter().filter(swallowed).count();
    assert!(swallowed < 30, "{swallowed} jobs went to the hole");
}

/// A worker was set aside and is mended. It is probed with one job, and once that runs well it
/// takes work again; else the site would have lost it for good.
#[test]
fn a_mended_worker_is_probed_and_released() {
    let mut site = Site::new([worker("hole", "r1")]);
    for now in [0, 1000, 2000] {
        let wish = wish(&format!("job-{now}"), "study", amount(1000, 1000));
        site.start(now, &wish, &name("hole"), amount(1000, 1000));
        site.end(now + 500, wish.job(), RunOutcome::Failed);
    }
    let queue = jobs(4);
    let decided = site.place(3000, &queue);
    assert_matches!(
        decided[0],
        Decision::Quarantine { reason: Reason::FailsJobs { jobs: 3, .. }, .. }
    );
    assert_eq!(decided.iter().filter(|d| matches!(d, Decision::Start { .. })).count(), 0);
    let decided = site.place(34_000, &queue);
    assert_matches!(decided[0], Decision::Release { reason: Reason::Probed, .. });
    let probes: Vec<_> =
        queue.iter().filter(|wish| started(&decided, wish.job()).is_some()).collect();
    assert_eq!(probes.len(), 1, "a probe is one job");
    let left: Vec<PlacementRequest> =
        queue.iter().filter(|w| w.job() != probes[0].job()).cloned().collect();
    assert_eq!(
        site.place(35_000, &left).iter().filter(|d| matches!(d, Decision::Start { .. })).count(),
        0
    );
    let decided = site.place(65_000, &left);
    assert_matches!(decided[0], Decision::Release { reason: Reason::Sound, .. });
    assert_eq!(decided.iter().filter(|d| matches!(d, Decision::Start { .. })).count(), 3);
}

/// A study has a bad input and fails wherever it runs. It must not be tried for ever, and the
/// workers that it failed on must not be set aside for it.
#[test]
fn a_poison_job_is_given_up_and_its_workers_stay() {
    let mut site = Site::new([worker("w1", "r1"), worker("w2", "r2"), worker("w3", "r3")]);
    let poison = [wish("poison", "study", amount(1000, 1000))];
    let decided = run(&mut site, poison.to_vec(), 60, |_, _| true);
    let starts: Vec<_> = decided
        .iter()
        .filter_map(|d| match d {
            Decision::Start { worker, .. } => Some(worker.clone()),
            _ => None,
        })
        .collect();
    assert_eq!(starts.len(), 3, "tried as often as its class allows");
    let mut places = starts.clone();
    places.sort();
    places.dedup();
    assert_eq!(places.len(), 3, "tried on different workers: {starts:?}");
    let given_up = decided.iter().find(|d| matches!(d, Decision::GiveUp { .. })).expect("given up");
    assert!(given_up.to_string().contains("failed 3 times on sound workers"), "{given_up}");
    assert!(!decided.iter().any(|d| matches!(d, Decision::Quarantine { .. })));
}

/// Several customers submit bad jobs at once. Beside sound ones that run well on the same workers
/// they must not cost the site a VM.
#[test]
fn poison_among_sound_jobs_sets_no_worker_aside() {
    let mut site = Site::new([worker("w1", "r1"), worker("w2", "r2")]);
    let mut queue = jobs(40);
    queue.extend((0..6).map(|i| wish(&format!("poison-{i}"), "study", amount(1000, 1000))));
    let decided = run(&mut site, queue, 200, |job, _| job.starts_with("poison"));
    let lost: Vec<_> =
        decided.iter().filter(|d| matches!(d, Decision::Quarantine { .. })).collect();
    assert!(lost.len() <= 1, "{lost:?}");
    let given_up = decided.iter().filter(|d| matches!(d, Decision::GiveUp { .. })).count();
    assert_eq!(given_up, 6);
}

/// A study failed once for want of memory and once on a VM that turned out to be broken. Held
/// against it, the second failure would cost it its last attempt.
#[test]
fn failures_on_a_worker_set_aside_are_not_held_against_jobs() {
    let mut site = Site::new([worker("w1", "r1"), worker("w2", "r2"), worker("hole", "r3")]);
    let need = amount(1000, 1000);
    let study = wish("unlucky", "study", need);
    for (now, on) in [(0, "hole"), (100_000, "w1"), (200_000, "w2")] {
        site.start(now, &study, &name(on), need);
        site.end(now + 1000, study.job(), RunOutcome::Failed);
        if on == "hole" {
            for job in ["a", "b"] {
                site.start(now, &wish(job, "study", need), &name(on), need);
                site.end(now + 1000, &name(job), RunOutcome::Failed);
            }
            site.place(now + 1000, &[]);
        }
    }
    let decided = site.place(300_000, &[study]);
    assert!(!decided.iter().any(|d| matches!(d, Decision::GiveUp { .. })), "{decided:?}");
}
