//! The jobs that run in a simulation, and the processors that their tasks use.

use geraniumpost_batch::{JobId, TaskId};

use super::Simulation;
use crate::cluster::persistent_step;

/// Job for whose tasks the guarantee of recovery is checked.
const CHECKED_JOB: JobId = JobId(1);
/// Job of large tasks, which is submitted only in a crowded simulation.
const LARGE_JOB: JobId = JobId(2);
/// Number of tasks of `CHECKED_JOB`, in one step.
const CHECKED_TASK_COUNT: u32 = 6;
/// Demand of a task of `CHECKED_JOB`, in thousandths of a processor.
pub(super) const CHECKED_TASK_MILLI_CPUS: i64 = 1_000;
/// Demand of a task of `LARGE_JOB`, in thousandths of a processor.
const LARGE_TASK_MILLI_CPUS: i64 = 12_000;
/// Time after the start by which all machines are linked and accept tasks, in milliseconds.
const LINKED_BY_MS: u64 = 1_000;
/// Time of the first event after the start, in milliseconds.
const FIRST_EVENT_MS: u64 = 2_000;

impl Simulation {
    /// Submits the jobs and advances until their tasks are running, so that every simulation starts
    /// in a healthy state.
    pub(super) fn start_workload(&mut self, crowded: bool) {
        self.advance_until(LINKED_BY_MS);
        self.submit_persistent_step(CHECKED_JOB, CHECKED_TASK_COUNT, CHECKED_TASK_MILLI_CPUS);
        if crowded {
            // One task more than there are machines, so that one task always waits for capacity.
            self.submit_persistent_step(LARGE_JOB, 5, LARGE_TASK_MILLI_CPUS);
        }
        self.advance_until(FIRST_EVENT_MS);
        let large = if crowded { 4 } else { 0 };
        assert_eq!(
            self.cluster.running_tasks().len(),
            CHECKED_TASK_COUNT as usize + large,
            "all tasks run before the first event"
        );
    }

    fn submit_persistent_step(&mut self, job: JobId, count: u32, milli_cpus: i64) {
        let mut step = persistent_step(count);
        step.demand.milli_cpus = milli_cpus;
        self.cluster.submit(job.0, vec![step]);
    }
}

/// Returns whether the guarantee of recovery is checked for `task`.
pub(super) fn is_checked(task: TaskId) -> bool {
    task.job == CHECKED_JOB
}

/// Returns the processor demand of `task`, in thousandths of a processor.
pub(super) fn task_milli_cpus(task: TaskId) -> i64 {
    if task.job == CHECKED_JOB { CHECKED_TASK_MILLI_CPUS } else { LARGE_TASK_MILLI_CPUS }
}
