//! Usage of queues, the choice of runs to stop, and the budget of stops.

use geraniumpost_batch::shares::{
    QueueUsage, QueueWeights, StopBudget, StopCandidate, StopReason, choose_stops, dominant_share,
};
use geraniumpost_batch::{Demand, JobId, TaskId};
use geraniumpost_schema::Name;
use proptest::prelude::*;

const CAPACITY: Demand = Demand { milli_cpus: 10_000, memory_mb: 10_000, accelerators: 0 };

fn held(shares: &[(&str, f64)]) -> std::collections::BTreeMap<Name, f64> {
    shares.iter().map(|(queue, share)| (Name::from(*queue), *share)).collect()
}

/// A queue that uses much memory and few processors counts by its memory.
#[test]
fn dominant_share_is_that_of_the_scarcest_resource() {
    let used = Demand { milli_cpus: 1_000, memory_mb: 5_000, accelerators: 0 };
    assert!((dominant_share(used, CAPACITY) - 0.5).abs() < 1e-9);
}

/// A queue had the capacity for itself, and no longer runs anything.
#[test]
fn past_usage_is_forgotten_within_seconds() {
    let (queue, weights) = (Name::from("reports"), QueueWeights::default());
    let mut usage = QueueUsage::default();
    usage.record(held(&[("reports", 1.0)]), 0);
    usage.record(held(&[]), 10_000);
    assert!(usage.weighted(&queue, &weights) > 0.9);
    usage.record(held(&[]), 12_000);
    assert!((0.3..0.45).contains(&usage.weighted(&queue, &weights)));
    usage.record(held(&[]), 60_000);
    assert!(usage.weighted(&queue, &weights) <= 0.0);
}

/// A queue may use three times as much as one with a third of its weight before it counts as much.
#[test]
fn usage_counts_in_relation_to_the_weight() {
    let weights: QueueWeights = [("lookups".into(), 3), ("none".into(), 0)].into_iter().collect();
    let mut usage = QueueUsage::default();
    usage.record(held(&[("lookups", 0.6), ("reports", 0.2)]), 0);
    let weighted = |queue: &str| usage.weighted(&Name::from(queue), &weights);
    assert!((weighted("lookups") - weighted("reports")).abs() < 1e-9);
    assert_eq!(weights.queues().count(), 1, "a weight of 0 is none");
}

/// Urgent jobs come without end: only so many runs are stopped each second.
#[test]
fn budget_is_limited_by_the_size_of_the_fleet() {
    let mut budget = StopBudget::new();
    budget.refill(40, 1_000);
    assert!(!budget.take(11) && budget.take(10) && !budget.has_any());
    budget.refill(40, 1_500);
    assert!(budget.take(5) && !budget.take(1));
    budget.refill(40, 100_000);
    assert!(!budget.take(11), "stops do not accumulate over more than a second");
}

fn candidate(index: u32, reason: StopReason, lost_work: u64, frees: Demand) -> StopCandidate {
    let task = TaskId { job: JobId(1), occurrence: 0, step: 0, index };
    StopCandidate { task, reason, lost_work, frees }
}

fn candidates() -> impl Strategy<Value = Vec<StopCandidate>> {
    let one = (0..4_usize, 0..100_u64, 0..4_i64, 0..4_i64);
    prop::collection::vec(one, 0..8).prop_map(|all| {
        let with_index = all.into_iter().zip(0..);
        with_index
            .map(|((reason, lost_work, milli_cpus, memory_mb), index)| {
                let frees = Demand { milli_cpus, memory_mb, accelerators: 0 };
                candidate(index, StopReason::ALL[reason], lost_work, frees)
            })
            .collect()
    })
}

fn freed(stops: &[StopCandidate]) -> Demand {
    stops.iter().fold(Demand::default(), |freed, stop| freed + stop.frees)
}

/// Returns whether any subset of the candidates frees enough, by trying all of them.
fn any_subset_frees(lacking: Demand, candidates: &[StopCandidate]) -> bool {
    (0..1_u32 << candidates.len()).any(|subset| {
        let is_chosen = |(index, _): &(usize, &StopCandidate)| subset & (1 << index) != 0;
        let chosen: Vec<StopCandidate> =
            candidates.iter().enumerate().filter(is_chosen).map(|(_, stop)| *stop).collect();
        lacking.fits(freed(&chosen))
    })
}

proptest! {
    /// Runs are chosen whenever any set of runs frees enough, they free enough, and each of them is
    /// needed.
    #[test]
    fn chosen_runs_free_enough_and_none_is_stopped_needlessly(
        all in candidates(),
        milli_cpus in 0..10_i64,
        memory_mb in 0..10_i64,
    ) {
        let lacking = Demand { milli_cpus, memory_mb, accelerators: 0 };
        let chosen = choose_stops(lacking, all.clone());
        prop_assert_eq!(chosen.is_some(), any_subset_frees(lacking, &all));
        let chosen = chosen.unwrap_or_default();
        for left_out in 0..chosen.len() {
            let mut fewer = chosen.clone();
            fewer.remove(left_out);
            prop_assert!(!lacking.fits(freed(&fewer)));
        }
    }

    /// If runs of one reason free enough, no run with a worse reason is stopped.
    #[test]
    fn runs_that_matter_less_are_stopped_first(all in candidates(), memory_mb in 1..6_i64) {
        let lacking = Demand { milli_cpus: 0, memory_mb, accelerators: 0 };
        let worst = |stops: &[StopCandidate]| stops.iter().map(|stop| stop.reason).max();
        let chosen = choose_stops(lacking, all.clone()).unwrap_or_default();
        for reason in StopReason::ALL {
            let no_worse: Vec<StopCandidate> =
                all.iter().filter(|stop| stop.reason <= reason).copied().collect();
            if any_subset_frees(lacking, &no_worse) {
                prop_assert!(worst(&chosen) <= Some(reason));
            }
        }
    }
}
