use std::collections::BTreeMap;

use geraniumpost_schema::Name;

use super::{DisturbanceCounts, DisturbanceStatus, Trial};
use crate::TaskId;

/// Age above which a minion's counts no longer apply, in milliseconds: several missed polls.
const COUNTS_TIMEOUT_MS: u64 = 2_000;
/// Longest time between two polls that counts as time over the bound, in milliseconds.
const MAX_POLL_INTERVAL_MS: u64 = 1_000;
/// Time after which a trial ends even if it showed nothing, in milliseconds: it must not keep an
/// image away from a step's other minions for as long as the image runs.
const TRIAL_TIMEOUT_MS: u64 = 2_500;

/// Disturbed tasks of each serving step over all minions, and the trials beside it. Only steps with
/// disturbed tasks or a trial have an entry; each poll of a minion changes the counts of that
/// minion's steps.
#[derive(Debug, Default)]
pub struct DisturbanceLedger {
    /// Steps with disturbed tasks, identified by their first task.
    steps: BTreeMap<TaskId, StepDisturbance>,
    /// Trial in progress beside each step.
    trials: BTreeMap<TaskId, Trial>,
    over_bound_ms: u64,
    trials_begun: u64,
}

/// Disturbed tasks of one serving step.
#[derive(Debug, Default)]
struct StepDisturbance {
    budget: u32,
    disturbed: u32,
    minions: BTreeMap<Name, (DisturbanceCounts, u64)>,
}

/// Whether a step's number of disturbed tasks has just begun or ended to exceed its budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetChange {
    /// Neither has changed.
    None,
    /// More tasks are disturbed than the budget allows.
    Exceeded,
    /// The number of disturbed tasks is within the budget again.
    Restored,
}

impl StepDisturbance {
    const fn is_over(&self) -> bool {
        self.disturbed > self.budget
    }
}

impl DisturbanceLedger {
    /// Replaces the counts of a step on one minion, and returns whether this exceeds the step's
    /// budget or restores it.
    pub fn update(
        &mut self,
        step: TaskId,
        budget: u32,
        minion: &Name,
        counts: DisturbanceCounts,
        now_ms: u64,
    ) -> BudgetChange {
        if counts.disturbed() == 0 && !self.steps.contains_key(&step) {
            return BudgetChange::None;
        }
        let entry = self.steps.entry(step).or_default();
        let was_over = entry.budget > 0 && entry.is_over();
        entry.budget = budget;
        let before = if counts.disturbed() == 0 {
            entry.minions.remove(minion)
        } else {
            entry.minions.insert(minion.clone(), (counts, now_ms))
        };
        if let Some((before, at_ms)) = before {
            entry.disturbed -= before.disturbed();
            let elapsed_ms = now_ms.saturating_sub(at_ms).min(MAX_POLL_INTERVAL_MS);
            self.over_bound_ms += elapsed_ms * u64::from(before.over);
        }
        entry.disturbed += counts.disturbed();
        let is_over = entry.is_over();
        if entry.minions.is_empty() {
            self.steps.remove(&step);
        }
        match (was_over, is_over) {
            (false, true) => BudgetChange::Exceeded,
            (true, false) => BudgetChange::Restored,
            _ => BudgetChange::None,
        }
    }

    /// Returns how many tasks of a step are disturbed.
    pub fn disturbed(&self, step: TaskId) -> u32 {
        self.steps.get(&step).map_or(0, |entry| entry.disturbed)
    }

    /// Returns whether more tasks of a step are disturbed than its budget allows.
    pub fn is_over_budget(&self, step: TaskId) -> bool {
        self.steps.get(&step).is_some_and(StepDisturbance::is_over)
    }

    /// Returns whether as many tasks of a step are disturbed as its budget allows, or more.
    pub fn is_budget_used_up(&self, step: TaskId) -> bool {
        self.steps.get(&step).is_some_and(|entry| entry.disturbed >= entry.budget)
    }

    /// Returns the minions on which tasks of a step are over their bound.
    pub fn minions_over_bound(&self, step: TaskId) -> Vec<Name> {
        let minions = self.steps.get(&step).into_iter().flat_map(|entry| &entry.minions);
        minions.filter(|(_, (counts, _))| counts.over > 0).map(|(id, _)| id.clone()).collect()
    }

    /// Returns the trial in progress beside a step.
    pub fn trial(&self, step: TaskId) -> Option<&Trial> {
        self.trials.get(&step)
    }

    /// Begins a trial beside a step. Returns false, and changes nothing, if one is in progress.
    pub fn begin_trial(&mut self, step: TaskId, trial: Trial) -> bool {
        if self.trials.contains_key(&step) {
            return false;
        }
        self.trials.insert(step, trial);
        self.trials_begun += 1;
        true
    }

    /// Ends the trials that `goes_on` rejects, and those that have lasted too long.
    pub fn end_trials(&mut self, now_ms: u64, goes_on: impl Fn(TaskId, &Trial) -> bool) {
        self.trials.retain(|step, trial| {
            now_ms < trial.since_ms + TRIAL_TIMEOUT_MS && goes_on(*step, trial)
        });
    }

    /// Removes counts of minions that were not polled for some time, and of tasks that `exists`
    /// rejects by step and minion. Returns the steps that are within their budget again.
    pub fn remove_outdated(
        &mut self,
        now_ms: u64,
        exists: impl Fn(TaskId, &Name) -> bool,
    ) -> Vec<TaskId> {
        let mut restored = Vec::new();
        self.steps.retain(|step, entry| {
            let was_over = entry.is_over();
            entry.minions.retain(|minion, (_, at_ms)| {
                now_ms < *at_ms + COUNTS_TIMEOUT_MS && exists(*step, minion)
            });
            entry.disturbed = entry.minions.values().map(|(counts, _)| counts.disturbed()).sum();
            if was_over && !entry.is_over() {
                restored.push(*step);
            }
            !entry.minions.is_empty()
        });
        restored
    }

    /// Returns figures for metrics.
    pub fn status(&self) -> DisturbanceStatus {
        DisturbanceStatus {
            steps_over_budget: self.steps.values().filter(|entry| entry.is_over()).count() as u64,
            over_bound_ms: self.over_bound_ms,
            trials: self.trials_begun,
        }
    }
}
