use super::action::Action;
use super::coordinator_loss::{
    CoordinatorLoss, ISOLATION_DURATION_MS, PAUSE_DURATION_MS, RESTART_DELAY_MS,
};
use super::orders::ORDER_DELAY_MS;

/// A fault or planned work in a simulation. Events of a minion, agent or machine occur on the
/// machine that [`Simulation::run`](super::Simulation::run) selects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// Nothing happens.
    Idle,
    /// The minion drains, and deregisters three seconds later.
    DrainAndDeregister,
    /// The minion drains and deregisters three seconds later. The agent is asked to stop 0.7 s
    /// after the deregistration, because the VM is removed.
    VmRemoved,
    /// The minion deregisters without draining first.
    Deregister,
    /// The minion crashes, and another incarnation starts a second later.
    CrashAndRestart,
    /// The minion crashes and is not restarted. Its agent continues to run.
    Crash,
    /// The machine is lost with its agent and minion, while the agent's link stays open.
    MachineLost,
    /// The agent is partitioned from coordinators for 2.5 s, while its link stays open.
    AgentPartitioned,
    /// The agent is partitioned from coordinators for eight seconds, longer than a lease, while its
    /// link stays open.
    AgentPartitionedLong,
    /// The agent is asked to stop and is not restarted. Its minion continues to run.
    AgentStopped,
    /// The agent is killed, and starts again a second later.
    AgentKilled,
    /// The agent is asked to stop, and starts again a second later or once it has stopped.
    AgentRestarted,
    /// The coordinator steps down for a planned restart.
    CoordinatorRestarted,
    /// The coordinator is killed; its process is running again after two seconds.
    CoordinatorKilled,
    /// The coordinator's process pauses for 2.5 s, and then learns of its successor.
    CoordinatorPaused,
    /// The coordinator's machine is lost, which other processes cannot distinguish from a
    /// partition.
    CoordinatorMachineLost,
    /// The coordinator is isolated for 14 s from all processes except the machine's agent.
    CoordinatorIsolated,
    /// Three entries are restarted one after another, each while it coordinates, as in an upgrade.
    RollingRestart,
    /// Three entries are killed within four seconds, each while it coordinates.
    EntriesKilledInTurn,
    /// The coordinator is killed, and agents link to its successor 0.6 s apart.
    AgentsRelinkSlowly,
    /// Writes are held back for three seconds, and then confirmed.
    WritesDelayed,
    /// Writes are held back for three seconds. Then the coordinator is killed, and they are lost.
    WritesLost,
    /// The store is unavailable for nine seconds.
    StoreUnavailable,
    /// Orders that are sent within a second are carried out only 2.5 s later, after agents have
    /// reported them as unanswered.
    OrdersDelayed,
    /// The other machines offer no free capacity for three seconds.
    OtherMachinesFull,
}

impl Event {
    /// All events, each once.
    pub const ALL: [Self; 25] = [
        Self::Idle,
        Self::DrainAndDeregister,
        Self::VmRemoved,
        Self::Deregister,
        Self::CrashAndRestart,
        Self::Crash,
        Self::MachineLost,
        Self::AgentPartitioned,
        Self::AgentPartitionedLong,
        Self::AgentStopped,
        Self::AgentKilled,
        Self::AgentRestarted,
        Self::CoordinatorRestarted,
        Self::CoordinatorKilled,
        Self::CoordinatorPaused,
        Self::CoordinatorMachineLost,
        Self::CoordinatorIsolated,
        Self::RollingRestart,
        Self::EntriesKilledInTurn,
        Self::AgentsRelinkSlowly,
        Self::WritesDelayed,
        Self::WritesLost,
        Self::StoreUnavailable,
        Self::OrdersDelayed,
        Self::OtherMachinesFull,
    ];

    /// Returns the duration of the fault in milliseconds, or `None` if the event is planned work or
    /// no fault. The guaranteed recovery time counts from the end of the fault.
    pub(super) const fn fault_duration_ms(self) -> Option<u64> {
        match self {
            Self::Idle
            | Self::DrainAndDeregister
            | Self::VmRemoved
            | Self::Deregister
            | Self::AgentStopped
            | Self::AgentRestarted
            | Self::CoordinatorRestarted
            | Self::RollingRestart
            | Self::OtherMachinesFull => None,
            Self::CrashAndRestart
            | Self::Crash
            | Self::MachineLost
            | Self::AgentKilled
            | Self::CoordinatorMachineLost => Some(0),
            Self::CoordinatorKilled | Self::AgentsRelinkSlowly => Some(RESTART_DELAY_MS),
            Self::AgentPartitioned => Some(2_500),
            Self::AgentPartitionedLong => Some(8_000),
            Self::CoordinatorPaused => Some(PAUSE_DURATION_MS),
            Self::CoordinatorIsolated => Some(ISOLATION_DURATION_MS),
            Self::EntriesKilledInTurn => Some(4_000 + RESTART_DELAY_MS),
            Self::WritesDelayed => Some(3_000),
            Self::WritesLost => Some(3_000 + RESTART_DELAY_MS),
            Self::StoreUnavailable => Some(9_000),
            Self::OrdersDelayed => Some(1_000 + ORDER_DELAY_MS),
        }
    }

    /// Returns the actions of the event, each with its time after the start of the event in
    /// milliseconds.
    pub(super) const fn actions(self) -> &'static [(u64, Action)] {
        use Action::{
            Crash, DelayOrders, Deregister, Drain, EndIsolation, HealPartition, HoldWrites,
            IsolateCoordinator, KillAgent, LimitOtherMachines, LoseCoordinator, Partition,
            RestartMinion, ResumeWrites, StartAgent, StopAgent, StoreDown, StoreUp,
        };
        match self {
            Self::Idle => &[],
            Self::DrainAndDeregister => &[(0, Drain), (3_000, Deregister)],
            Self::VmRemoved => &[(0, Drain), (3_000, Deregister), (3_700, StopAgent)],
            Self::Deregister => &[(0, Deregister)],
            Self::CrashAndRestart => &[(0, Crash), (1_000, RestartMinion)],
            Self::Crash => &[(0, Crash)],
            Self::MachineLost => &[(0, Crash), (0, Partition)],
            Self::AgentPartitioned => &[(0, Partition), (2_500, HealPartition)],
            Self::AgentPartitionedLong => &[(0, Partition), (8_000, HealPartition)],
            Self::AgentStopped => &[(0, StopAgent)],
            Self::AgentKilled => &[(0, KillAgent), (1_000, StartAgent)],
            Self::AgentRestarted => &[(0, StopAgent), (1_000, StartAgent)],
            Self::CoordinatorRestarted => &[(0, LoseCoordinator(CoordinatorLoss::Planned))],
            Self::CoordinatorKilled => &[(0, LoseCoordinator(CoordinatorLoss::Killed))],
            Self::CoordinatorPaused => &[(0, LoseCoordinator(CoordinatorLoss::Paused))],
            Self::CoordinatorMachineLost => &[(0, LoseCoordinator(CoordinatorLoss::MachineLost))],
            Self::CoordinatorIsolated => {
                &[(0, IsolateCoordinator), (ISOLATION_DURATION_MS, EndIsolation)]
            }
            Self::RollingRestart => &[
                (0, LoseCoordinator(CoordinatorLoss::Planned)),
                (2_000, LoseCoordinator(CoordinatorLoss::Planned)),
                (4_000, LoseCoordinator(CoordinatorLoss::Planned)),
            ],
            Self::EntriesKilledInTurn => &[
                (0, LoseCoordinator(CoordinatorLoss::Killed)),
                (1_500, LoseCoordinator(CoordinatorLoss::Killed)),
                (4_000, LoseCoordinator(CoordinatorLoss::Killed)),
            ],
            Self::AgentsRelinkSlowly => &[(0, LoseCoordinator(CoordinatorLoss::KilledSlowRelink))],
            Self::WritesDelayed => &[(0, HoldWrites), (3_000, ResumeWrites)],
            Self::WritesLost => &[
                (0, HoldWrites),
                (3_000, LoseCoordinator(CoordinatorLoss::Killed)),
                (3_000, ResumeWrites),
            ],
            Self::StoreUnavailable => &[(0, StoreDown), (9_000, StoreUp)],
            Self::OrdersDelayed => &[(0, DelayOrders(true)), (1_000, DelayOrders(false))],
            Self::OtherMachinesFull => {
                &[(0, LimitOtherMachines(true)), (3_000, LimitOtherMachines(false))]
            }
        }
    }
}
