use geraniumpost_batch::TaskId;

/// What a day has shown.
#[derive(Debug, Default, Clone)]
pub struct Report {
    /// The longest time by which the promise was missed, in milliseconds, with the task and how
    /// long it was down by then.
    pub late: Option<(u64, TaskId, u64)>,
    /// A task that ran at two places at once.
    pub twice: Option<String>,
    /// Whether a task that was never placed stands before one that was, in a step.
    pub skips_some: bool,
    /// What happened, a line each, with the time in seconds.
    pub trace: Vec<String>,
}

impl Report {
    /// Returns whether the promise was kept.
    pub fn kept(&self) -> bool {
        self.late.is_none() && self.twice.is_none()
    }

    /// Takes note that a task is down for longer than promised, if that is the worst so far.
    pub(super) fn note_late(&mut self, late_ms: u64, task: TaskId, down_ms: u64) {
        if self.late.is_none_or(|(most_ms, _, _)| late_ms > most_ms) {
            self.late = Some((late_ms, task, down_ms));
        }
    }
}
