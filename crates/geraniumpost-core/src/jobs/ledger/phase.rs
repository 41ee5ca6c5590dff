use geraniumpost_schema::TaskState;

/// Phase of a task in the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// The start was sent to the worker and has not been confirmed.
    Starting,
    /// The worker confirmed that it runs the task.
    Running,
    /// The worker writes a checkpoint before an eviction.
    Checkpointing,
    /// The task is being stopped and the worker has not confirmed it. The value is the final state
    /// to be reported.
    Stopping(TaskState),
    /// The task ended in this state. The report is repeated until the planner settles it.
    Ended(TaskState),
}

impl Phase {
    /// Returns whether the task may still use resources of the VM.
    pub(super) const fn is_live(self) -> bool {
        !matches!(self, Self::Ended(_))
    }

    /// Returns whether the task has neither ended nor begun to stop. Once the worker has confirmed
    /// the start, the lease of such a task is renewed, even while it writes a checkpoint before its
    /// eviction.
    pub(super) const fn is_before_stop(self) -> bool {
        matches!(self, Self::Starting | Self::Running | Self::Checkpointing)
    }

    /// Returns the state that is reported to the planner. A task that writes a checkpoint or is
    /// being stopped is reported as running until its end is confirmed.
    pub(super) const fn reported_state(self) -> TaskState {
        match self {
            Self::Starting => TaskState::Starting,
            Self::Running | Self::Checkpointing | Self::Stopping(_) => TaskState::Running,
            Self::Ended(state) => state,
        }
    }
}
