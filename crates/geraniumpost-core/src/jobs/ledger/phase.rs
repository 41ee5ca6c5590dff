use geraniumpost_schema::TaskState;

/// What the ledger is doing with a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// The worker was asked to start it; the answer is awaited.
    Starting,
    /// The worker runs it.
    Running,
    /// The worker was asked for a checkpoint before an eviction.
    Checkpointing,
    /// The worker was asked to end it; the word is awaited. The state says how it then ends.
    Stopping(TaskState),
    /// It ended; the report is repeated until it is settled.
    Ended(TaskState),
}

impl Phase {
    /// Returns whether the task may still be using the VM.
    pub(super) const fn is_live(self) -> bool {
        !matches!(self, Self::Ended(_))
    }

    /// Returns whether the task is meant to go on, so that its lease is renewed.
    pub(super) const fn goes_on(self) -> bool {
        matches!(self, Self::Starting | Self::Running | Self::Checkpointing)
    }

    /// Returns the state to report.
    pub(super) const fn report(self) -> TaskState {
        match self {
            Self::Starting => TaskState::Starting,
            Self::Running | Self::Checkpointing | Self::Stopping(_) => TaskState::Running,
            Self::Ended(state) => state,
        }
    }
}
