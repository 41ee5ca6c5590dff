//! Which task is suspected most of having crashed a minion.

use std::collections::BTreeMap;

use super::Coordinator;
use super::young_run::YoungRun;
use crate::TaskId;

/// The task that is suspected most of having crashed a minion.
#[derive(Debug, Clone, Copy)]
pub(super) struct MainSuspect {
    pub(super) task: TaskId,
    /// By how much the suspicion of this task exceeds that of all others on the minion.
    pub(super) lead: usize,
}

impl Coordinator {
    /// Returns how strongly each task with earlier crashes is suspected of the crash that ended
    /// these runs.
    pub(super) fn suspicions(&self, young: &[YoungRun]) -> BTreeMap<TaskId, usize> {
        let mut suspicions = BTreeMap::new();
        for run in young {
            let key = self.suspect_key(run.task);
            // The crashes of a job that was given up are forgotten with its last run.
            let suspicion = if self.open_jobs.contains(&key.job) {
                self.suspicion(run.task, run.is_at_start)
            } else {
                run.suspicion
            };
            if suspicion > 0 {
                let strongest = suspicions.entry(key).or_insert(0);
                *strongest = suspicion.max(*strongest);
            }
        }
        suspicions
    }

    /// Returns how strongly a task is suspected of a crash that ends its present run: the number of
    /// its earlier crashes that are not explained, and one more if all of its crashes met runs in
    /// the same stage as this one, at their start or later.
    ///
    /// Of two tasks that were suspected equally often, the one that has worked for a while is
    /// seldom at fault if it met all earlier crashes at its start.
    pub(super) fn suspicion(&self, task: TaskId, is_at_start: bool) -> usize {
        let unexplained = self.unexplained_crash_count(task);
        if unexplained == 0 {
            return 0;
        }
        unexplained + usize::from(self.met_crashes_in_stage(task, is_at_start))
    }

    /// Returns whether all crashes of a task met runs at their start, or all met later runs.
    fn met_crashes_in_stage(&self, task: TaskId, is_at_start: bool) -> bool {
        let Some(job) = self.jobs.get(&task.job) else { return false };
        let crashes = job.record.crashes.get(&self.suspect_key(task));
        crashes.is_some_and(|crashes| {
            let (count, at_start) = (crashes.runs.len(), crashes.at_start as usize);
            let in_stage = if is_at_start { at_start } else { count.saturating_sub(at_start) };
            in_stage == count
        })
    }
}

/// Returns the task that is suspected most.
pub(super) fn main_suspect(suspicions: &BTreeMap<TaskId, usize>) -> Option<MainSuspect> {
    let (main, most) = suspicions.iter().max_by_key(|(_, suspicion)| **suspicion)?;
    let others = suspicions.iter().filter(|(task, _)| *task != main);
    let most_of_others = others.map(|(_, suspicion)| *suspicion).max().unwrap_or(0);
    Some(MainSuspect { task: *main, lead: most - most_of_others })
}
