/// How long a killed entry is away, in milliseconds.
pub(super) const RESTART_MS: u64 = 2_000;
/// How long a frozen entry is silent.
pub(super) const PAUSE_MS: u64 = 2_500;
/// After how long an entry that is lost for good is replaced.
const REPLACEMENT_MS: u64 = 10_000;
/// How long an entry is cut off.
pub(super) const ISOLATION_MS: u64 = 14_000;

/// How a coordinator is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CoordinatorLoss {
    /// It has said so in its key.
    Planned,
    /// Links to it are refused, until its process is back. As a path may refuse links as well, it
    /// counts as silent.
    Killed,
    /// The same, and agents find the next one late.
    KilledSlowRelink,
    /// It is silent for a while.
    Paused,
    /// It is silent for good.
    MachineLost,
    /// It is silent for those it is cut off from, and goes on for others.
    Isolated,
}

impl CoordinatorLoss {
    /// Returns how long nobody coordinates, in milliseconds.
    pub(super) const fn vacancy_ms(self) -> u64 {
        match self {
            Self::Planned => 100,
            Self::Killed | Self::KilledSlowRelink => 300,
            Self::Paused | Self::MachineLost | Self::Isolated => 1_000,
        }
    }

    /// Returns after how long the entry answers again, in milliseconds.
    pub(super) const fn answers_after_ms(self) -> Option<u64> {
        match self {
            Self::Killed | Self::KilledSlowRelink => Some(RESTART_MS),
            Self::Paused => Some(PAUSE_MS),
            Self::Isolated => Some(ISOLATION_MS),
            Self::Planned | Self::MachineLost => None,
        }
    }

    /// Returns how long nobody hears of the entry, in milliseconds; one that is lost for good is replaced.
    pub(super) const fn unavailable_ms(self) -> u64 {
        match (self, self.answers_after_ms()) {
            (Self::Planned, _) => RESTART_MS,
            (_, Some(answers_after_ms)) => answers_after_ms,
            (_, None) => REPLACEMENT_MS,
        }
    }

    /// Returns whether agents notice the loss by silence only, as no link closes.
    pub(super) const fn is_silent(self) -> bool {
        matches!(self, Self::Paused | Self::MachineLost | Self::Isolated)
    }

    /// Returns how far apart agents link to the successor, in milliseconds.
    pub(super) const fn relink_interval_ms(self) -> u64 {
        if matches!(self, Self::KilledSlowRelink) { 600 } else { 100 }
    }
}
