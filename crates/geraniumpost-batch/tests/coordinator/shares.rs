//! Division of scarce capacity between queues, and large jobs under bursts of small ones.

use geraniumpost_batch::{EndKind, Feature, JobId, QueueTerms, StepSpec};
use geraniumpost_schema::Name;

use crate::cluster::{Cluster, step, terms};

/// Returns the terms of a queue whose jobs are not late within a test.
fn terms_of(queue: &str) -> QueueTerms {
    QueueTerms { queue: queue.into(), target_ms: 100_000, ..terms() }
}

fn cluster_with_weights(weights: &[(&str, u32)]) -> Cluster {
    let mut cluster = Cluster::new().with_features(&[Feature::Shares]);
    let weights = weights.iter().map(|(queue, weight)| (Name::from(*queue), *weight));
    cluster.coordinator.set_queue_weights(weights.collect());
    cluster
}

fn running_tasks_of(cluster: &Cluster, job: u64) -> usize {
    cluster.running_tasks().iter().filter(|(task, ..)| task.job == JobId(job)).count()
}

/// Ends the runs that are older than a second, and lets the freed capacity be used.
fn run_for_seconds(cluster: &mut Cluster, seconds: u32) {
    for _ in 0..seconds {
        cluster.carry_out_orders();
        cluster.advance(1_000);
        cluster.end_all_runs(EndKind::Done);
    }
    cluster.carry_out_orders();
}

/// Two queues have more work than there are processors, and all processors become free at once.
#[test]
fn two_queues_divide_scarce_processors_by_weight() {
    let mut cluster = cluster_with_weights(&[("lookups", 3), ("reports", 1)]);
    cluster.submit_with_terms(1, vec![step(100)], terms_of("reports"));
    cluster.submit_with_terms(2, vec![step(100)], terms_of("lookups"));
    cluster.join("m1", |info| info);
    cluster.carry_out_orders();
    assert_eq!((running_tasks_of(&cluster, 1), running_tasks_of(&cluster, 2)), (4, 12));
    run_for_seconds(&mut cluster, 4);
    assert_eq!(running_tasks_of(&cluster, 1) + running_tasks_of(&cluster, 2), 16);
    assert!((2..=6).contains(&running_tasks_of(&cluster, 1)), "{:?}", cluster.running_tasks());
}

/// The shares are no limits: the capacity that nobody else wants is used.
#[test]
fn one_queue_takes_all_while_the_other_is_idle() {
    let mut cluster = cluster_with_weights(&[("lookups", 3), ("reports", 1)]);
    cluster.join("m1", |info| info);
    cluster.submit_with_terms(1, vec![step(100)], terms_of("reports"));
    cluster.carry_out_orders();
    assert_eq!(running_tasks_of(&cluster, 1), 16);
}

/// A queue that had the capacity for itself gives it to a queue that has waited, as runs end.
#[test]
fn queue_that_returns_gets_its_share_within_seconds() {
    let mut cluster = cluster_with_weights(&[("lookups", 1), ("reports", 1)]);
    cluster.join("m1", |info| info);
    cluster.submit_with_terms(1, vec![step(200)], terms_of("reports"));
    run_for_seconds(&mut cluster, 3);
    cluster.submit_with_terms(2, vec![step(200)], terms_of("lookups"));
    run_for_seconds(&mut cluster, 1);
    assert!(running_tasks_of(&cluster, 2) >= 8, "{:?}", cluster.running_tasks());
    run_for_seconds(&mut cluster, 6);
    assert!((4..=12).contains(&running_tasks_of(&cluster, 2)), "{:?}", cluster.running_tasks());
}

/// Small jobs arrive as fast as they end. With the least remaining work first, a large job would
/// not start before the burst is over.
#[test]
fn largest_job_starts_within_its_objective_under_a_burst_of_small_ones() {
    let started_ms = |features: &[Feature]| -> Option<u64> {
        let mut cluster = Cluster::new().with_features(features).with_minions(&["m1"]);
        let mut next_job = 10;
        let submit_burst = |cluster: &mut Cluster, next_job: &mut u64| {
            for _ in 0..6 {
                cluster.submit(*next_job, vec![step(4)]);
                *next_job += 1;
            }
        };
        submit_burst(&mut cluster, &mut next_job);
        cluster.submit(1, vec![StepSpec { estimate_ms: 4_000, ..step(12) }]);
        for second in 1..=9 {
            cluster.carry_out_orders();
            if running_tasks_of(&cluster, 1) > 0 {
                return Some((second - 1) * 1_000);
            }
            submit_burst(&mut cluster, &mut next_job);
            cluster.advance(1_000);
            cluster.end_all_runs(EndKind::Done);
        }
        None
    };
    // The objective is 8.5 s, and the job takes 4 s.
    let latest_start_ms = 4_500;
    assert!(started_ms(&[Feature::Shares]).is_some_and(|ms| ms <= latest_start_ms));
    assert_eq!(started_ms(&[]), None);
}

/// The order of the jobs of two queues with the feature, but without weights, is the same as
/// without the feature.
#[test]
fn without_weights_the_order_is_unchanged() {
    let started = |features: &[Feature]| -> Vec<(JobId, u32)> {
        let mut cluster = Cluster::new().with_features(features);
        cluster.submit_with_terms(1, vec![step(20)], terms_of("reports"));
        cluster.submit_with_terms(2, vec![step(9)], terms_of("lookups"));
        cluster.submit_with_terms(3, vec![step(3)], terms_of("reports"));
        cluster.join("m1", |info| info);
        cluster.orders.iter().map(|order| (order.task.job, order.task.index)).collect()
    };
    let order = started(&[Feature::Shares]);
    assert_eq!(order.len(), 16);
    assert_eq!(order, started(&[]));
}

/// Weights are part of no record. A successor knows them from its own configuration, and one that
/// has not read it yet uses the order without weights; no job is lost or started twice.
#[test]
fn successor_without_weights_continues_all_jobs() {
    let mut cluster = cluster_with_weights(&[("lookups", 3), ("reports", 1)]);
    cluster.submit_with_terms(1, vec![step(20)], terms_of("reports"));
    cluster.submit_with_terms(2, vec![step(20)], terms_of("lookups"));
    cluster.join("m1", |info| info);
    cluster.carry_out_orders();
    cluster.take_over();
    cluster.join("m1", |info| info);
    assert!(cluster.orders.is_empty(), "{:?}", cluster.orders);
    run_for_seconds(&mut cluster, 2);
    assert!(running_tasks_of(&cluster, 1) + running_tasks_of(&cluster, 2) > 0);
    assert_eq!(cluster.coordinator.queue_shares(), []);
}
