//! Crashes that are put down to tasks which were given up.
//!
//! A crash makes all that had begun on the minion suspect, often hundreds of tasks. Once a task is
//! given up for it, the others need no isolation for it any more; they would run one after the
//! other for minutes. Such a crash also gives nobody a lead over other suspects. The counts stay,
//! so that the number of crashes at which any task is given up is the same.

use std::collections::BTreeSet;

use super::Coordinator;
use super::isolation_limits::must_be_isolated;
use super::young_run::YoungRun;
use crate::{JobId, TaskCrashes, TaskId};

/// Maximum number of remembered crashes. A task is given up after a few.
const MAX_REMEMBERED_CRASHES: usize = 32;

/// A run that a crash ended: the task under which the crash is counted, and the run's number.
type CrashedRun = (TaskId, u32);

#[derive(Debug, Default)]
pub(super) struct ExplainedCrashes {
    /// The runs that each of the latest crashes ended, oldest crash first.
    latest: Vec<Vec<CrashedRun>>,
    /// Tasks that were given up, and their siblings that had to be isolated then.
    culprits: BTreeSet<TaskId>,
    /// Runs ended by a crash that is put down to a culprit.
    explained: BTreeSet<CrashedRun>,
}

impl ExplainedCrashes {
    fn record(&mut self, mut runs: Vec<CrashedRun>) {
        runs.sort_unstable();
        if self.latest.len() == MAX_REMEMBERED_CRASHES {
            self.latest.remove(0);
        }
        self.latest.push(runs);
        self.explain();
    }

    fn add_culprits(&mut self, tasks: impl IntoIterator<Item = TaskId>) {
        self.culprits.extend(tasks);
        self.explain();
    }

    fn explain(&mut self) {
        let is_explained =
            |runs: &Vec<CrashedRun>| runs.iter().any(|(task, _)| self.culprits.contains(task));
        let explained = self.latest.extract_if(.., |runs| is_explained(runs));
        self.explained.extend(explained.flatten());
    }

    /// Returns whether a task was given up, or is a sibling of such a task that had to be isolated.
    pub(super) fn is_culprit(&self, task: TaskId) -> bool {
        self.culprits.contains(&task)
    }

    /// Returns whether a task was lost in the last remembered crash of another one.
    pub(super) fn shares_last_crash(&self, task: TaskId, other: TaskId) -> bool {
        let met = |runs: &[CrashedRun], task: TaskId| {
            let first = runs.partition_point(|(crashed, _)| *crashed < task);
            runs.get(first).is_some_and(|(crashed, _)| *crashed == task)
        };
        let last = self.latest.iter().rev().find(|runs| met(runs, task));
        last.is_some_and(|runs| met(runs, other))
    }

    /// Returns the tasks that met all remembered crashes of a task before the latest one.
    fn companions(&self, task: TaskId) -> BTreeSet<TaskId> {
        let met = |runs: &&Vec<CrashedRun>| runs.iter().any(|(other, _)| *other == task);
        let earlier = self.latest.split_last().map_or(&[][..], |(_, earlier)| earlier);
        let tasks = earlier.iter().filter(met).map(|runs| runs.iter().map(|(other, _)| *other));
        let common = tasks.map(BTreeSet::from_iter).reduce(|common, tasks| &common & &tasks);
        common.unwrap_or_default()
    }

    /// Returns how many crashes of a task are not explained by others.
    pub(super) fn unexplained_count(&self, task: TaskId, crashes: &TaskCrashes) -> usize {
        if self.culprits.contains(&task) {
            return crashes.runs.len();
        }
        let is_explained = |run: &&u32| self.explained.contains(&(task, **run));
        crashes.runs.len() - crashes.runs.iter().filter(is_explained).count()
    }

    /// Forgets a removed job.
    pub(super) fn remove_job(&mut self, job: JobId) {
        self.culprits.retain(|task| task.job != job);
        self.explained.retain(|(task, _)| task.job != job);
    }
}

impl Coordinator {
    /// Remembers which runs a crash ended.
    pub(super) fn record_crashed_runs(&mut self, young: &[YoungRun]) {
        let runs = young.iter().map(|run| (self.suspect_key(run.task), run.number)).collect();
        self.explained_crashes.record(runs);
    }

    /// Puts the latest crashes down to a task that is given up, and to those of its siblings that
    /// had to be isolated. The job is finished only after this call, which drops its counts.
    pub(super) fn explain_crashes_by(&mut self, task: TaskId) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        let is_culprit = |crashes: &TaskCrashes| must_be_isolated(crashes.runs.len());
        let siblings = job.record.crashes.iter().filter(|(_, crashes)| is_culprit(crashes));
        let siblings = siblings.map(|(sibling, _)| *sibling);
        self.explained_crashes.add_culprits(siblings.chain([self.suspect_key(task)]));
    }

    /// Returns how many minions have crashed under a task since it was last cleared, without
    /// crashes that are put down to tasks which were given up.
    pub(super) fn unexplained_crash_count(&self, task: TaskId) -> usize {
        let Some(job) = self.jobs.get(&task.job) else { return 0 };
        if job.record.crashes.is_empty() {
            return 0;
        }
        let key = self.suspect_key(task);
        let crashes = job.record.crashes.get(&key);
        crashes.map_or(0, |crashes| self.explained_crashes.unexplained_count(key, crashes))
    }

    /// Returns whether a crash may have been caused by another suspect than its main one: others had
    /// just begun there as well, and all earlier crashes of the main suspect may be put down to a task
    /// elsewhere, which has met them too, has as many crashes and is not known to work.
    ///
    /// Tasks without earlier crashes do not count, because a crash that was not reported may have
    /// used up the reserve of starts.
    pub(super) fn has_rival(&self, suspect: TaskId, young: &[YoungRun]) -> bool {
        let is_here = |task| young.iter().any(|run| self.suspect_key(run.task) == task);
        let is_other_suspect = |run: &YoungRun| {
            run.is_at_start
                && self.suspect_key(run.task) != suspect
                && self.unexplained_crash_count(run.task) > 0
        };
        if !young.iter().any(is_other_suspect) {
            return false;
        }
        let crashes = self.unexplained_crash_count(suspect);
        let works = |task| self.runs.get(&task).is_some_and(|run| !run.is_at_start());
        self.explained_crashes.companions(suspect).into_iter().any(|task| {
            self.unexplained_crash_count(task) >= crashes && !is_here(task) && !works(task)
        })
    }

    /// Returns the number of unexplained crashes of each task of an open job that has any crashes.
    pub(super) fn unexplained_crash_counts(&self) -> impl Iterator<Item = (TaskId, usize)> {
        let jobs = self.open_jobs.iter().filter_map(|id| self.jobs.get(id));
        let crashes = jobs.flat_map(|job| &job.record.crashes);
        crashes
            .map(|(key, crashes)| (*key, self.explained_crashes.unexplained_count(*key, crashes)))
    }
}
