use geraniumpost_batch::TaskId;

/// Result of a simulation.
#[derive(Debug, Default, Clone)]
pub struct Report {
    /// The largest excess over the guaranteed downtime, in milliseconds, with the task and its
    /// downtime by then.
    pub overdue: Option<(u64, TaskId, u64)>,
    /// A task that ran on two minions at once.
    pub duplicate_run: Option<String>,
    /// Whether in some step a task that was never placed precedes one that was.
    pub has_placement_gap: bool,
    /// Events and log lines, with the time in seconds.
    pub trace: Vec<String>,
}

impl Report {
    /// Returns whether no guarantee was violated.
    pub fn meets_guarantee(&self) -> bool {
        self.overdue.is_none() && self.duplicate_run.is_none()
    }

    /// Records a task that is down for longer than guaranteed, if its excess is the largest so far.
    pub(super) fn record_overdue(&mut self, overdue_ms: u64, task: TaskId, down_ms: u64) {
        if self.overdue.is_none_or(|(most_ms, _, _)| overdue_ms > most_ms) {
            self.overdue = Some((overdue_ms, task, down_ms));
        }
    }
}
