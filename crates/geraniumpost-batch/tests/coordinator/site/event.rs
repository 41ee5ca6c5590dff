use super::act::Act;
use super::loss::{BACK_MS, CUT_OFF_MS, FROZEN_MS, Loss};
use super::orders::LATE_MS;

/// What happens to the site, much of it at one machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    Nothing,
    /// The minion gives notice, and says its farewell three seconds later.
    Notice,
    /// The same, and the agent is asked to stop 0.7 s after the farewell: the VM is taken away.
    VmLeaves,
    /// The minion says its farewell without notice.
    Farewell,
    /// The minion crashes, and another incarnation starts a second later.
    CrashAndBack,
    /// The minion crashes for good; its machine and the agent stay.
    Crash,
    /// The machine is lost with all on it.
    MachineLost,
    /// The agent reaches nobody for 2.5 s; its link says nothing of it.
    AgentCut,
    /// The same for eight seconds, for longer than a lease.
    AgentCutLong,
    /// The agent is asked to stop; the minion beside it stays.
    AgentStops,
    /// The agent is killed, and starts again a second later.
    AgentKilled,
    /// The agent is asked to restart.
    AgentRestarts,
    /// The coordinator is asked to restart.
    TakeOver,
    /// The coordinator is killed; its process is back after two seconds.
    TakeOverKilled,
    /// The coordinator freezes for 2.5 s, and then learns of its successor.
    TakeOverFrozen,
    /// The coordinator's machine is lost, which nobody can tell from silence.
    TakeOverSilent,
    /// The coordinator is cut off for 14 s from all but the agent of the machine meant.
    TakeOverCutOff,
    /// Entries are restarted one after the other, as by a new version.
    TakeOversInARow,
    /// Entries are killed one after the other.
    TakeOversKilled,
    /// The coordinator is killed; agents find the next one 0.6 s apart.
    AgentsLinkLate,
    /// Writes are held back for three seconds.
    WritesHeld,
    /// Writes are held back for three seconds, and lost with the coordinator.
    WritesLost,
    /// The store is away for nine seconds.
    StoreAway,
    /// For a second, orders have no answer and are carried out 2.5 s later.
    OrdersLate,
    /// All other machines are full for three seconds.
    Full,
}

impl Event {
    /// All of them, for tests that play each with each.
    pub const ALL: [Self; 25] = [
        Self::Nothing,
        Self::Notice,
        Self::VmLeaves,
        Self::Farewell,
        Self::CrashAndBack,
        Self::Crash,
        Self::MachineLost,
        Self::AgentCut,
        Self::AgentCutLong,
        Self::AgentStops,
        Self::AgentKilled,
        Self::AgentRestarts,
        Self::TakeOver,
        Self::TakeOverKilled,
        Self::TakeOverFrozen,
        Self::TakeOverSilent,
        Self::TakeOverCutOff,
        Self::TakeOversInARow,
        Self::TakeOversKilled,
        Self::AgentsLinkLate,
        Self::WritesHeld,
        Self::WritesLost,
        Self::StoreAway,
        Self::OrdersLate,
        Self::Full,
    ];

    /// Returns how long the disturbance lasts, in milliseconds; `None` for planned work.
    pub(super) const fn trouble_ms(self) -> Option<u64> {
        match self {
            Self::Nothing
            | Self::Notice
            | Self::VmLeaves
            | Self::Farewell
            | Self::AgentStops
            | Self::AgentRestarts
            | Self::TakeOver
            | Self::TakeOversInARow
            | Self::Full => None,
            Self::CrashAndBack
            | Self::Crash
            | Self::MachineLost
            | Self::AgentKilled
            | Self::TakeOverSilent => Some(0),
            Self::TakeOverKilled | Self::AgentsLinkLate => Some(BACK_MS),
            Self::AgentCut => Some(2_500),
            Self::AgentCutLong => Some(8_000),
            Self::TakeOverFrozen => Some(FROZEN_MS),
            Self::TakeOverCutOff => Some(CUT_OFF_MS),
            Self::TakeOversKilled => Some(4_000 + BACK_MS),
            Self::WritesHeld => Some(3_000),
            Self::WritesLost => Some(3_000 + BACK_MS),
            Self::StoreAway => Some(9_000),
            Self::OrdersLate => Some(1_000 + LATE_MS),
        }
    }

    /// Returns what an event consists of, and how many milliseconds after its beginning each part comes.
    pub(super) const fn acts(self) -> &'static [(u64, Act)] {
        use Act::{
            Crash, Cut, CutOff, Drain, Farewell, Full, Heal, HoldWrites, KillAgent, Late, Mend,
            PassWrites, Reborn, StartAgent, StopAgent, StoreAway, StoreBack, TakeOver,
        };
        match self {
            Self::Nothing => &[],
            Self::Notice => &[(0, Drain), (3_000, Farewell)],
            Self::VmLeaves => &[(0, Drain), (3_000, Farewell), (3_700, StopAgent)],
            Self::Farewell => &[(0, Farewell)],
            Self::CrashAndBack => &[(0, Crash), (1_000, Reborn)],
            Self::Crash => &[(0, Crash)],
            Self::MachineLost => &[(0, Crash), (0, Cut)],
            Self::AgentCut => &[(0, Cut), (2_500, Mend)],
            Self::AgentCutLong => &[(0, Cut), (8_000, Mend)],
            Self::AgentStops => &[(0, StopAgent)],
            Self::AgentKilled => &[(0, KillAgent), (1_000, StartAgent)],
            Self::AgentRestarts => &[(0, StopAgent), (1_000, StartAgent)],
            Self::TakeOver => &[(0, TakeOver(Loss::Planned))],
            Self::TakeOverKilled => &[(0, TakeOver(Loss::Killed))],
            Self::TakeOverFrozen => &[(0, TakeOver(Loss::Frozen))],
            Self::TakeOverSilent => &[(0, TakeOver(Loss::Lost))],
            Self::TakeOverCutOff => &[(0, CutOff), (CUT_OFF_MS, Heal)],
            Self::TakeOversInARow => &[
                (0, TakeOver(Loss::Planned)),
                (2_000, TakeOver(Loss::Planned)),
                (4_000, TakeOver(Loss::Planned)),
            ],
            Self::TakeOversKilled => &[
                (0, TakeOver(Loss::Killed)),
                (1_500, TakeOver(Loss::Killed)),
                (4_000, TakeOver(Loss::Killed)),
            ],
            Self::AgentsLinkLate => &[(0, TakeOver(Loss::KilledAndFoundLate))],
            Self::WritesHeld => &[(0, HoldWrites), (3_000, PassWrites)],
            Self::WritesLost => {
                &[(0, HoldWrites), (3_000, TakeOver(Loss::Killed)), (3_000, PassWrites)]
            }
            Self::StoreAway => &[(0, StoreAway), (9_000, StoreBack)],
            Self::OrdersLate => &[(0, Late(true)), (1_000, Late(false))],
            Self::Full => &[(0, Full(true)), (3_000, Full(false))],
        }
    }
}
