/// Time from the end of an entry's process until a new process is running, in milliseconds.
pub(super) const RESTART_DELAY_MS: u64 = 2_000;
/// Duration of a pause of the coordinator's process, in milliseconds.
pub(super) const PAUSE_DURATION_MS: u64 = 2_500;
/// Time from the loss of an entry's machine until the entry runs on another one, in milliseconds.
const REPLACEMENT_DELAY_MS: u64 = 10_000;
/// Time for which an isolated coordinator does not learn of its successor, in milliseconds.
pub(super) const ISOLATION_DURATION_MS: u64 = 14_000;

/// Cause of the loss of a coordinator, which determines what its successor has to wait for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CoordinatorLoss {
    /// The coordinator steps down, and has recorded the end of its term in its store key.
    Planned,
    /// The coordinator's process is killed. Links to it are refused until the process is running
    /// again. As a fault of the network may also refuse links, the successor treats it as silent.
    Killed,
    /// Like `Killed`, but agents link to the successor 0.6 s apart instead of 0.1 s.
    KilledSlowRelink,
    /// The coordinator's process pauses.
    Paused,
    /// The coordinator's machine is lost, which other processes cannot distinguish from a
    /// partition.
    MachineLost,
    /// The coordinator is isolated from all processes except one agent, and still extends the lease
    /// of that agent.
    Isolated,
}

impl CoordinatorLoss {
    /// Returns the time from the loss until another entry may take over, in milliseconds.
    pub(super) const fn vacancy_ms(self) -> u64 {
        match self {
            Self::Planned => 100,
            Self::Killed | Self::KilledSlowRelink => 300,
            Self::Paused | Self::MachineLost | Self::Isolated => 1_000,
        }
    }

    /// Returns the time from the loss until the entry confirms the end of its term to a successor,
    /// in milliseconds, or `None` if it never does.
    pub(super) const fn responds_after_ms(self) -> Option<u64> {
        match self {
            Self::Killed | Self::KilledSlowRelink => Some(RESTART_DELAY_MS),
            Self::Paused => Some(PAUSE_DURATION_MS),
            Self::Isolated => Some(ISOLATION_DURATION_MS),
            Self::Planned | Self::MachineLost => None,
        }
    }

    /// Returns the time from the loss until the entry or its replacement may support or become a
    /// coordinator again, in milliseconds.
    pub(super) const fn unavailable_ms(self) -> u64 {
        match (self, self.responds_after_ms()) {
            (Self::Planned, _) => RESTART_DELAY_MS,
            (_, Some(responds_after_ms)) => responds_after_ms,
            (_, None) => REPLACEMENT_DELAY_MS,
        }
    }

    /// Returns whether links stay open, so that agents detect the loss only by a time-out.
    pub(super) const fn is_silent(self) -> bool {
        matches!(self, Self::Paused | Self::MachineLost | Self::Isolated)
    }

    /// Returns the interval between the links of two agents to the successor, in milliseconds.
    pub(super) const fn relink_interval_ms(self) -> u64 {
        if matches!(self, Self::KilledSlowRelink) { 600 } else { 100 }
    }
}
