use eyre::Result;
use geraniumpost_harness::{Fleet, Process};
use geraniumpost_standin::http::Down;
use geraniumpost_standin::minion::{MinionFaults, MinionMode};
use geraniumpost_standin::relay::{Direction, RelayFaults};
use geraniumpost_standin::store::StoreFaults;
use rand::Rng;

/// Agents of the fleet; a fault affects one of them.
const AGENTS: usize = 3;
/// Entries of the fleet; a fault affects one of them.
const ENTRIES: usize = 2;

/// A fault that is injected and later repaired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An agent is killed.
    KillAgent(usize),
    /// An agent is frozen.
    FreezeAgent(usize),
    /// An agent is asked to stop, as before a planned restart.
    TermAgent(usize),
    /// An entry is killed.
    KillEntry(usize),
    /// An entry is frozen.
    FreezeEntry(usize),
    /// The store refuses connections.
    StoreDown,
    /// The store reads requests but does not answer them.
    StoreHangs,
    /// Some replies to writes are lost.
    StoreLosesReplies,
    /// A minion answers every request with a failure.
    MinionFails(usize),
    /// A minion truncates its answers.
    MinionTruncates(usize),
    /// An agent's open connections to its worker transfer no data.
    WorkerStalls(usize),
}

impl Fault {
    /// Draws a random fault.
    pub fn draw(rng: &mut impl Rng) -> Self {
        let (agent, entry) = (rng.random_range(0..AGENTS), rng.random_range(0..ENTRIES));
        match rng.random_range(0..11) {
            0 => Self::KillAgent(agent),
            1 => Self::FreezeAgent(agent),
            2 => Self::TermAgent(agent),
            3 => Self::KillEntry(entry),
            4 => Self::FreezeEntry(entry),
            5 => Self::StoreDown,
            6 => Self::StoreHangs,
            7 => Self::StoreLosesReplies,
            8 => Self::MinionFails(agent),
            9 => Self::MinionTruncates(agent),
            _ => Self::WorkerStalls(agent),
        }
    }

    /// Injects the fault.
    ///
    /// # Errors
    ///
    /// Fails if a process or stand-in cannot be controlled.
    pub async fn inject(self, fleet: &mut Fleet) -> Result<()> {
        match self {
            Self::KillAgent(number) => fleet.agent(number).kill(),
            Self::FreezeAgent(number) => signal_if_running(fleet.agent(number), Process::freeze)?,
            Self::TermAgent(number) => signal_if_running(fleet.agent(number), Process::term)?,
            Self::KillEntry(number) => fleet.entry(number).kill(),
            Self::FreezeEntry(number) => signal_if_running(fleet.entry(number), Process::freeze)?,
            Self::StoreDown => fleet.set_store_faults(store_faults(Down::Refuse)).await?,
            Self::StoreHangs => fleet.set_store_faults(store_faults(Down::Hang)).await?,
            Self::StoreLosesReplies => {
                let faults = StoreFaults { lose_permille: 300, seed: 7, ..Default::default() };
                fleet.set_store_faults(faults).await?;
            }
            Self::MinionFails(number) => set_mode(fleet, number, MinionMode::Fail).await?,
            Self::MinionTruncates(number) => set_mode(fleet, number, MinionMode::Truncate).await?,
            Self::WorkerStalls(number) => {
                let stall = Direction { stall: true, ..Direction::default() };
                let faults = RelayFaults { forward: stall, back: stall, ..Default::default() };
                fleet.agents()[number].worker_relay().control().set_faults(&faults).await?;
            }
        }
        Ok(())
    }

    /// Repairs the fault.
    ///
    /// # Errors
    ///
    /// Fails if a process or stand-in cannot be controlled.
    pub async fn repair(self, fleet: &mut Fleet) -> Result<()> {
        match self {
            Self::KillAgent(number) | Self::TermAgent(number) => fleet.agent(number).restart()?,
            Self::FreezeAgent(number) => signal_if_running(fleet.agent(number), Process::thaw)?,
            Self::KillEntry(number) => fleet.entry(number).restart()?,
            Self::FreezeEntry(number) => signal_if_running(fleet.entry(number), Process::thaw)?,
            Self::StoreDown | Self::StoreHangs | Self::StoreLosesReplies => {
                fleet.set_store_faults(StoreFaults::default()).await?;
            }
            Self::MinionFails(number) | Self::MinionTruncates(number) => {
                set_mode(fleet, number, MinionMode::Serve).await?;
            }
            Self::WorkerStalls(number) => {
                let relay = fleet.agents()[number].worker_relay();
                relay.control().set_faults(&RelayFaults::default()).await?;
            }
        }
        Ok(())
    }
}

/// Sends a signal, unless the other fault of the pair has ended the process.
fn signal_if_running(process: &mut Process, send: impl Fn(&Process) -> Result<()>) -> Result<()> {
    if process.is_running() { send(process) } else { Ok(()) }
}

fn store_faults(down: Down) -> StoreFaults {
    StoreFaults { down, ..StoreFaults::default() }
}

async fn set_mode(fleet: &Fleet, number: usize, mode: MinionMode) -> Result<()> {
    let faults = MinionFaults { mode, ..MinionFaults::default() };
    fleet.agents()[number].minion().control().set_faults(&faults).await
}
