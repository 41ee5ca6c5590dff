/// Time until a killed entry is running again, in milliseconds.
pub(super) const RESTART_MS: u64 = 2_000;
/// Duration of a process pause, in milliseconds.
pub(super) const PAUSE_MS: u64 = 2_500;
/// Time until an entry whose machine is lost is replaced, in milliseconds.
const REPLACEMENT_MS: u64 = 10_000;
/// Duration of an isolation, in milliseconds.
pub(super) const ISOLATION_MS: u64 = 14_000;

/// The way in which a coordinator is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CoordinatorLoss {
    /// It has announced its end in its key.
    Planned,
    /// Links to it are refused until its process is running again. Since a network path may refuse
    /// links as well, it counts as silent.
    Killed,
    /// Like `Killed`, and agents link to the successor late.
    KilledSlowRelink,
    /// Its process pauses.
    Paused,
    /// Its machine is lost, which cannot be told from silence.
    MachineLost,
    /// Only one agent can reach it, and it continues to serve that one.
    Isolated,
}

impl CoordinatorLoss {
    /// Returns how long there is no coordinator, in milliseconds.
    pub(super) const fn vacancy_ms(self) -> u64 {
        match self {
            Self::Planned => 100,
            Self::Killed | Self::KilledSlowRelink => 300,
            Self::Paused | Self::MachineLost | Self::Isolated => 1_000,
        }
    }

    /// Returns the time until the entry answers again, in milliseconds, if it does.
    pub(super) const fn answers_after_ms(self) -> Option<u64> {
        match self {
            Self::Killed | Self::KilledSlowRelink => Some(RESTART_MS),
            Self::Paused => Some(PAUSE_MS),
            Self::Isolated => Some(ISOLATION_MS),
            Self::Planned | Self::MachineLost => None,
        }
    }

    /// Returns the time until the entry, or its replacement, is available, in milliseconds.
    pub(super) const fn unavailable_ms(self) -> u64 {
        match (self, self.answers_after_ms()) {
            (Self::Planned, _) => RESTART_MS,
            (_, Some(answers_after_ms)) => answers_after_ms,
            (_, None) => REPLACEMENT_MS,
        }
    }

    /// Returns whether no link closes, so that agents detect the loss by a timeout.
    pub(super) const fn is_silent(self) -> bool {
        matches!(self, Self::Paused | Self::MachineLost | Self::Isolated)
    }

    /// Returns the interval in which agents link to the successor, in milliseconds.
    pub(super) const fn relink_interval_ms(self) -> u64 {
        if matches!(self, Self::KilledSlowRelink) { 600 } else { 100 }
    }
}
