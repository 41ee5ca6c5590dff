//! The tasks of the simulation, and the processors that they use.

use geraniumpost_batch::{JobId, TaskId};

use super::Simulation;
use crate::cluster::persistent_step;

/// The job whose tasks the guarantees are checked for.
const CHECKED_JOB: JobId = JobId(1);
/// The job of large tasks in a crowded simulation.
const LARGE_JOB: JobId = JobId(2);
/// Number of tasks in the checked step.
const CHECKED_TASKS: u32 = 6;
/// Processors that a checked task uses, in thousandths.
pub(super) const TASK_MILLI_CPUS: i64 = 1_000;
/// Processors that a large task uses, in thousandths.
const LARGE_TASK_MILLI_CPUS: i64 = 12_000;
/// Time by which all machines are linked and accept tasks, in milliseconds.
const LINKED_BY_MS: u64 = 1_000;
/// When the first event happens.
const FIRST_EVENT_MS: u64 = 2_000;

impl Simulation {
    /// Submits the tasks and waits until they run, so that every simulation starts in a healthy
    /// state.
    pub(super) fn start_workload(&mut self, crowded: bool) {
        self.advance_until(LINKED_BY_MS);
        self.submit_persistent_step(CHECKED_JOB, CHECKED_TASKS, TASK_MILLI_CPUS);
        if crowded {
            // One more than there are machines, so that one task never fits.
            self.submit_persistent_step(LARGE_JOB, 5, LARGE_TASK_MILLI_CPUS);
        }
        self.advance_until(FIRST_EVENT_MS);
        let large = if crowded { 4 } else { 0 };
        assert_eq!(
            self.cluster.running_tasks().len(),
            CHECKED_TASKS as usize + large,
            "all tasks run at first"
        );
    }

    fn submit_persistent_step(&mut self, job: JobId, count: u32, milli_cpus: i64) {
        let mut step = persistent_step(count);
        step.demand.milli_cpus = milli_cpus;
        self.cluster.submit(job.0, vec![step]);
    }
}

/// Returns whether the guarantees are checked for a task.
pub(super) fn is_checked(task: TaskId) -> bool {
    task.job == CHECKED_JOB
}

/// Returns the processors that a task uses, in thousandths.
pub(super) fn task_milli_cpus(task: TaskId) -> i64 {
    if task.job == CHECKED_JOB { TASK_MILLI_CPUS } else { LARGE_TASK_MILLI_CPUS }
}
