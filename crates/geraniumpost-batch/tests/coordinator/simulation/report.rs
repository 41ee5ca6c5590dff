use geraniumpost_batch::TaskId;

/// Violations of the guarantees in a simulation, and its trace.
#[derive(Debug, Default, Clone)]
pub struct Report {
    /// Largest excess over the guaranteed downtime in milliseconds, the task concerned, and its
    /// downtime in milliseconds.
    pub overdue: Option<(u64, TaskId, u64)>,
    /// Description of the first task that was found running on two minions at once.
    pub duplicate_run: Option<String>,
    /// Whether, in some stored step, a task that was never placed has a lower index than a task
    /// that was placed.
    pub has_placement_gap: bool,
    /// Events and log lines in order, each preceded by its time in seconds.
    pub trace: Vec<String>,
}

impl Report {
    /// Returns whether no task was down for too long and none ran twice at once.
    pub fn meets_guarantee(&self) -> bool {
        self.overdue.is_none() && self.duplicate_run.is_none()
    }

    /// Records a task that is down for `overdue_ms` longer than guaranteed, if this is the largest
    /// excess so far.
    pub(super) fn record_overdue(&mut self, overdue_ms: u64, task: TaskId, down_ms: u64) {
        if self.overdue.is_none_or(|(most_ms, _, _)| overdue_ms > most_ms) {
            self.overdue = Some((overdue_ms, task, down_ms));
        }
    }
}
