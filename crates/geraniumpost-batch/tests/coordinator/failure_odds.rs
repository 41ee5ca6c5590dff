//! Which minions are quarantined, and which get the last attempts of tasks, while some runs fail by
//! their own fault.

use geraniumpost_batch::{CallerResponse, EndKind, Feature, JobState, QueueTerms};
use geraniumpost_schema::Name;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::cluster::{COMPLETED, Cluster, step, task, terms};

/// Returns a cluster that learns failure odds.
fn learning_cluster(minions: &[&str]) -> Cluster {
    Cluster::new().with_features(&[Feature::Stragglers]).with_minions(minions)
}

fn quarantines(cluster: &Cluster, minion: &str) -> usize {
    let field = format!("decision=quarantine minion={minion} ");
    cluster.log_lines.iter().filter(|line| line.contains(&field)).count()
}

/// Runs jobs of one task, five at a time, with runs that fail as `fails` says for the minion and
/// the number of the run.
fn run_jobs(cluster: &mut Cluster, jobs: u64, fails: impl Fn(&str, u64) -> bool) {
    let mut run = 0;
    for first in (1..=jobs).step_by(5) {
        for job in first..first + 5 {
            cluster.submit_with_terms(
                job,
                vec![step(1)],
                QueueTerms { max_attempts: 4, ..terms() },
            );
        }
        for _ in 0..3 {
            cluster.carry_out_orders();
            cluster.advance(100);
            for (task, minion, _) in cluster.running_tasks() {
                run += 1;
                let kind = if fails(&minion, run) { EndKind::Failed } else { EndKind::Done };
                cluster.end_run(&minion, task, kind);
                cluster.poll(&minion);
            }
        }
    }
}

/// Returns whether a run is one of those that fail by their own fault, one in twenty at random.
fn fails_by_itself(seed: u64, run: u64) -> bool {
    StdRng::seed_from_u64(seed * 1_000_000 + run).random_range(0..20) == 0
}

/// One run in twenty fails by its own fault, at times two in a row on one minion.
#[test]
fn sound_minions_stay_in_use_while_one_run_in_twenty_fails() {
    let count = |cluster: &Cluster| quarantines(cluster, "m1") + quarantines(cluster, "m2");
    let mut counting = Cluster::new().with_minions(&["m1", "m2"]);
    run_jobs(&mut counting, 1_000, |_, run| fails_by_itself(1, run));
    let mut learning = learning_cluster(&["m1", "m2"]);
    run_jobs(&mut learning, 1_000, |_, run| fails_by_itself(1, run));
    assert!(count(&counting) > 0, "without odds, chance failures quarantine minions");
    assert_eq!(count(&learning), 0);
}

/// A minion fails all runs, so that it is always free. It takes few attempts, again and again
/// after each release.
#[test]
fn minion_that_fails_all_is_quarantined_after_few_runs() {
    let mut cluster = learning_cluster(&["m1", "m2", "m3"]);
    run_jobs(&mut cluster, 300, |minion, _| minion == "m1");
    let quarantined = quarantines(&cluster, "m1");
    let failed =
        cluster.log_lines.iter().filter(|line| line.ends_with("minion=m1 end=failed")).count();
    assert!(quarantined >= 2, "{quarantined}");
    assert!(failed <= 6 + 2 * quarantined, "{failed} failed runs, {quarantined} quarantines");
    assert_eq!(quarantines(&cluster, "m2") + quarantines(&cluster, "m3"), 0);
    assert!((1..=300).all(|job| cluster.job_state(job) == COMPLETED));
}

/// A job fails all its runs wherever they are. The minions are not to blame.
#[test]
fn minions_stay_in_use_while_one_job_fails_all_its_runs() {
    let mut cluster = learning_cluster(&["m1", "m2"]);
    cluster.submit_with_terms(1, vec![step(8)], QueueTerms { max_attempts: 9, ..terms() });
    for _ in 0..8 {
        cluster.carry_out_orders();
        cluster.end_all_runs(EndKind::Failed);
        cluster.advance(500);
    }
    assert_eq!(quarantines(&cluster, "m1") + quarantines(&cluster, "m2"), 0);
}

/// A task has failed once and has one more attempt. It goes to the minion on which runs succeeded,
/// although others have more free processors.
#[test]
fn last_attempt_goes_to_a_proven_minion() {
    let mut cluster = learning_cluster(&["m1", "m2", "m3"]);
    cluster.submit(1, vec![step(3)]);
    cluster.carry_out_orders();
    let running = cluster.running_tasks();
    let (failed, proven) = (&running[0], &running[1]);
    cluster.end_run(&proven.1, proven.0, EndKind::Done);
    cluster.poll(&proven.1);
    cluster.end_run(&failed.1, failed.0, EndKind::Failed);
    cluster.poll(&failed.1);
    // The proven minion has the fewest free processors.
    let mut large = step(1);
    large.demand.milli_cpus = 4_000;
    large.required_label = Name::from("only");
    cluster.join(&proven.1, |mut info| {
        info.labels.insert(0, "only".into());
        info.sequence = 2;
        info
    });
    cluster.submit(2, vec![large]);
    cluster.carry_out_orders();
    cluster.advance(1_000);
    let last = cluster.orders.iter().find(|order| order.task == failed.0);
    assert_eq!(last.map(|order| &order.minion), Some(&proven.1));
}

/// No minion is proven. The last attempt is not refused for that.
#[test]
fn last_attempt_is_placed_although_no_minion_is_proven() {
    let mut cluster = learning_cluster(&["m1"]);
    cluster.submit(1, vec![step(1)]);
    cluster.carry_out_orders();
    cluster.end_all_runs(EndKind::Failed);
    cluster.advance(1_000);
    cluster.carry_out_orders();
    assert_eq!(cluster.running_tasks().len(), 1);
    cluster.end_all_runs(EndKind::Failed);
    assert_eq!(cluster.job_state(1), CallerResponse::State(JobState::Failed));
}

/// A quarantined minion is released and empty. It is tried with one run while others have room.
#[test]
fn released_minion_is_tried_with_one_run() {
    let mut cluster = learning_cluster(&["m1"]);
    for job in 1..=3 {
        cluster.submit(job, vec![step(1)]);
    }
    cluster.carry_out_orders();
    cluster.end_all_runs(EndKind::Failed);
    assert_eq!(quarantines(&cluster, "m1"), 1);
    cluster.join("m2", |info| info);
    cluster.advance(2_600);
    cluster.carry_out_orders();
    cluster.submit(10, vec![step(6)]);
    cluster.carry_out_orders();
    let tried = cluster.running_tasks().iter().filter(|(_, minion, _)| &**minion == "m1").count();
    assert_eq!(tried, 1);
}

/// A coordinator is lost together with what it learned. Its successor quarantines a minion that
/// fails all runs after as many failures as the first coordinator.
#[test]
fn successor_learns_of_a_failing_minion_again() {
    let mut cluster = learning_cluster(&["m1"]);
    for job in 1..=2 {
        cluster.submit(job, vec![step(1)]);
    }
    cluster.carry_out_orders();
    cluster.end_all_runs(EndKind::Failed);
    cluster.take_over();
    cluster.join("m1", |info| info);
    for job in 11..=13 {
        cluster.submit(job, vec![step(1)]);
    }
    cluster.carry_out_orders();
    assert_eq!(quarantines(&cluster, "m1"), 0);
    cluster.end_all_runs(EndKind::Failed);
    assert_eq!(quarantines(&cluster, "m1"), 1);
    assert!(cluster.running_tasks().iter().all(|(id, ..)| *id != task(1, 0, 0)));
}
