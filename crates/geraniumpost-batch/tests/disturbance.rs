//! The ledger of disturbed serving tasks, and the ramp of paces.

use geraniumpost_batch::disturbance::{
    BudgetChange, DisturbanceCounts, DisturbanceLedger, PaceRamp, Trial, disturbance_budget,
};
use geraniumpost_batch::{JobId, StepSpec, TaskId};
use proptest::prelude::*;

const STEP: TaskId = TaskId { job: JobId(1), occurrence: 0, step: 0, index: 0 };

fn counts(over: u32) -> DisturbanceCounts {
    DisturbanceCounts { over, predicted: 0 }
}

macro_rules! budgets {
    ($($case:ident: $count:expr, $stated:expr => $budget:expr;)*) => {$(
        #[test]
        fn $case() {
            let spec = StepSpec { count: $count, disruption_budget: $stated, ..Default::default() };
            assert_eq!(disturbance_budget(&spec), $budget);
        }
    )*};
}

budgets! {
    small_step_may_have_one_disturbed_task: 4, 0 => 1;
    large_step_may_have_a_tenth: 40, 0 => 4;
    submitter_may_allow_fewer: 40, 2 => 2;
    submitter_cannot_allow_more_than_a_tenth: 40, 20 => 4;
}

/// A job is disturbed a little on each of two minions. Each alone is within the budget, and their
/// sum is not.
#[test]
fn disturbance_on_two_minions_exceeds_the_budget() {
    let mut ledger = DisturbanceLedger::default();
    let [m1, m2] = ["m1", "m2"].map(geraniumpost_schema::Name::from);
    assert_eq!(ledger.update(STEP, 1, &m1, counts(1), 0), BudgetChange::None);
    assert!(ledger.is_budget_used_up(STEP) && !ledger.is_over_budget(STEP));
    assert_eq!(ledger.update(STEP, 1, &m2, counts(1), 100), BudgetChange::Exceeded);
    assert_eq!(ledger.minions_over_bound(STEP), [m1.clone(), m2.clone()]);
    assert_eq!(ledger.update(STEP, 1, &m1, counts(0), 400), BudgetChange::Restored);
    assert_eq!(ledger.update(STEP, 1, &m2, counts(0), 500), BudgetChange::None);
    assert_eq!(ledger.status().over_bound_ms, 800);
    assert!(!ledger.is_budget_used_up(STEP));
}

/// Two images arrive beside a job in the same round. Only one of them is tried; the other is tried
/// when the first trial has ended, also if that one never shows anything.
#[test]
fn one_trial_at_a_time_for_each_step() {
    let mut ledger = DisturbanceLedger::default();
    let trial = |image: &str| Trial { minion: "m1".into(), image: image.into(), since_ms: 0 };
    assert!(ledger.begin_trial(STEP, trial("logs")));
    assert!(!ledger.begin_trial(STEP, trial("index")));
    ledger.end_trials(1_000, |_, _| true);
    assert!(ledger.trial(STEP).is_some());
    ledger.end_trials(60_000, |_, _| true);
    assert!(ledger.begin_trial(STEP, trial("index")));
}

/// A limit falls from full speed to suspension within two polls and needs three to return, so that
/// an image never alternates between both within a second.
#[test]
fn ramp_falls_faster_than_it_rises() {
    let mut ramp = PaceRamp::FULL;
    ramp.fall(100);
    ramp.fall(100);
    assert_eq!(ramp.limit_percent(), 0);
    let mut limits = Vec::new();
    for _ in 0..4 {
        ramp.rise();
        limits.push(ramp.limit_percent());
    }
    assert_eq!(limits, [25, 50, 100, 100]);
}

proptest! {
    /// The incremental sums equal sums over all counts.
    #[test]
    fn sums_equal_a_recount(updates in prop::collection::vec((0..4u8, 0..3u32, 0..3u32), 1..60)) {
        let mut ledger = DisturbanceLedger::default();
        let mut naive = std::collections::BTreeMap::new();
        for (at, (minion, over, predicted)) in (0u64..).zip(updates) {
            let counts = DisturbanceCounts { over, predicted };
            let was_over = naive.values().map(|c: &DisturbanceCounts| c.disturbed()).sum::<u32>() > 2;
            naive.insert(minion, counts);
            let sum = naive.values().map(|c| c.disturbed()).sum::<u32>();
            let change = ledger.update(STEP, 2, &format!("m{minion}").into(), counts, at);
            let expected = match (was_over, sum > 2) {
                (false, true) => BudgetChange::Exceeded,
                (true, false) => BudgetChange::Restored,
                _ => BudgetChange::None,
            };
            prop_assert_eq!(change, expected);
            prop_assert_eq!(ledger.disturbed(STEP), sum);
            prop_assert_eq!(ledger.is_over_budget(STEP), sum > 2);
        }
    }
}
