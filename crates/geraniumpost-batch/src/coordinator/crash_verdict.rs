//! Which tasks are given up after a crash.

use super::main_suspect::MainSuspect;
use super::young_run::YoungRun;
use crate::{TaskCrashes, TaskId};

/// Number of earlier crashes by which a suspect must lead all others on its minion so that a crash
/// at its start can be put down to it.
pub(super) const CLEAR_LEAD: usize = 2;
/// Number of crashes soon after its starts at which a task is given up, if the last one can be put
/// down to it.
pub(super) const MAX_CRASHES_AT_START: usize = 3;
/// Number of crashes at which a task is given up, if the last one can be put down to it.
const MAX_CERTAIN_CRASHES: usize = 4;
/// Number of crashes at which a task is given up unless the last one has another cause.
const MAX_CRASHES: usize = 5;

/// A young run for which a crash was counted, and all counted crashes of its task.
#[derive(Debug)]
pub(super) struct CountedRun {
    pub(super) run: YoungRun,
    /// The task under which the crash is counted.
    pub(super) key: TaskId,
    pub(super) crashes: TaskCrashes,
    /// Number of these crashes that are not put down to tasks which were given up.
    pub(super) unexplained: usize,
}

/// What is known about a crash, as far as it decides which tasks are given up.
#[derive(Debug, Clone, Copy)]
pub(super) struct CrashVerdict {
    pub(super) main: Option<MainSuspect>,
    /// Whether a crash can be put down to one suspect: few minions have crashed lately, and no task
    /// elsewhere is suspected of the same earlier crashes.
    pub(super) blames_main: bool,
    /// Whether crashes count that met a task some time after its start.
    pub(super) counts_all: bool,
}

impl CrashVerdict {
    /// Returns the tasks that are given up, out of those for which the crash was counted.
    pub(super) fn given_up(self, counted: Vec<CountedRun>) -> Vec<CountedRun> {
        let is_given_up =
            |counted: &CountedRun| self.is_at_fault(counted) || self.exceeds_limit(counted);
        let is_cause = |counted: &CountedRun| {
            counted.run.is_at_start && self.lead(counted) > 0 && is_given_up(counted)
        };
        let has_cause = counted.iter().any(is_cause);
        // The start of the main suspect is the cause, and not a task that had worked for a while.
        let is_spared = |counted: &CountedRun| has_cause && !counted.run.is_at_start;
        counted.into_iter().filter(|counted| is_given_up(counted) && !is_spared(counted)).collect()
    }

    /// Returns by how much a task is suspected more than all others; 0 if it is not the main
    /// suspect.
    pub(super) fn lead(self, counted: &CountedRun) -> usize {
        self.main.filter(|main| main.task == counted.key).map_or(0, |main| main.lead)
    }

    fn is_at_fault(self, counted: &CountedRun) -> bool {
        let lead = if self.blames_main { self.lead(counted) } else { 0 };
        let at_start = counted.unexplained.min(counted.crashes.at_start as usize);
        (lead >= CLEAR_LEAD && at_start >= MAX_CRASHES_AT_START)
            || (lead > 0 && counted.unexplained >= MAX_CERTAIN_CRASHES)
    }

    fn exceeds_limit(self, counted: &CountedRun) -> bool {
        let TaskCrashes { runs, at_start } = &counted.crashes;
        let crashes = if self.counts_all { runs.len() } else { *at_start as usize };
        crashes >= MAX_CRASHES
    }
}
