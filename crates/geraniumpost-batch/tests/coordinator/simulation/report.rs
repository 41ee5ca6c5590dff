use geraniumpost_batch::TaskId;

/// What a day has shown.
#[derive(Debug, Default, Clone)]
pub struct Report {
    /// The longest time by which the promise was missed, in milliseconds, with the task and how
    /// long it was down by then.
    pub overdue: Option<(u64, TaskId, u64)>,
    /// A task that ran at two places at once.
    pub duplicate_run: Option<String>,
    /// Whether a task that was never placed stands before one that was, in a step.
    pub has_placement_gap: bool,
    /// What happened, a line each, with the time in seconds.
    pub trace: Vec<String>,
}

impl Report {
    /// Returns whether the promise was kept.
    pub fn meets_guarantee(&self) -> bool {
        self.overdue.is_none() && self.duplicate_run.is_none()
    }

    /// Takes note that a task is down for longer than promised, if that is the worst so far.
    pub(super) fn record_overdue(&mut self, overdue_ms: u64, task: TaskId, down_ms: u64) {
        if self.overdue.is_none_or(|(most_ms, _, _)| overdue_ms > most_ms) {
            self.overdue = Some((overdue_ms, task, down_ms));
        }
    }
}
