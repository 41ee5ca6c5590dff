//! The tasks that the site runs, and what they take.

use geraniumpost_batch::{JobId, TaskId};

use super::Site;
use crate::world::standing;

/// The job whose tasks the promise is checked for.
const STANDING: JobId = JobId(1);
/// The job of large tasks beside them, on a crowded site.
const LARGE: JobId = JobId(2);
/// Tasks of the standing step.
const TASKS: u32 = 6;
/// What one of them takes.
pub(super) const MILLI_CPUS: i64 = 1_000;
/// What a large task takes.
const LARGE_MILLI_CPUS: i64 = 12_000;
/// Until the machines are linked and take work, in milliseconds.
const LINKED_MS: u64 = 1_000;
/// When the first event happens.
const QUIET_MS: u64 = 2_000;

impl Site {
    /// Submits the tasks, and lets them all get to work, so that a day begins from a sound state.
    pub(super) fn set_to_work(&mut self, crowded: bool) {
        self.pass_until(LINKED_MS);
        self.submit_standing(STANDING, TASKS, MILLI_CPUS);
        if crowded {
            // One more than there are machines, so that it never finds room.
            self.submit_standing(LARGE, 5, LARGE_MILLI_CPUS);
        }
        self.pass_until(QUIET_MS);
        let large = if crowded { 4 } else { 0 };
        assert_eq!(self.world.places().len(), TASKS as usize + large, "at work at first");
    }

    fn submit_standing(&mut self, job: JobId, count: u32, milli_cpus: i64) {
        let mut step = standing(count);
        step.demand.milli_cpus = milli_cpus;
        self.world.submit(job.0, vec![step]);
    }
}

/// Returns whether the promise is checked for a task.
pub(super) fn is_watched(task: TaskId) -> bool {
    task.job == STANDING
}

/// Returns what a task takes, in thousandths of a processor.
pub(super) fn demand(task: TaskId) -> i64 {
    if task.job == STANDING { MILLI_CPUS } else { LARGE_MILLI_CPUS }
}
