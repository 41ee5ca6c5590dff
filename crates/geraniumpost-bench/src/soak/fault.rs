use eyre::Result;
use geraniumpost_harness::{Fleet, Process};
use geraniumpost_standin::http::Down;
use geraniumpost_standin::minion::{MinionFaults, MinionMode};
use geraniumpost_standin::relay::{Direction, RelayFaults};
use geraniumpost_standin::store::StoreFaults;
use rand::Rng;

/// Agents and entries of the fleet that faults are drawn for.
const AGENTS: usize = 3;
const ENTRIES: usize = 2;

/// One thing that goes wrong, until it is repaired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An agent is killed.
    KillAgent(usize),
    /// An agent is frozen.
    FreezeAgent(usize),
    /// An agent is stopped as planned.
    TermAgent(usize),
    /// An entry is killed.
    KillEntry(usize),
    /// An entry is frozen.
    FreezeEntry(usize),
    /// The store refuses connections.
    StoreDown,
    /// The store answers nothing.
    StoreHangs,
    /// Replies to writes are lost at times.
    StoreLosesReplies,
    /// A minion fails all it is given.
    MinionFails(usize),
    /// A minion cuts its answers short.
    MinionTruncates(usize),
    /// An agent's open connections to its worker carry nothing.
    WorkerStalls(usize),
}

impl Fault {
    /// Draws a fault.
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

    /// Brings the fault about.
    ///
    /// # Errors
    ///
    /// Fails if the harness cannot do so.
    pub async fn begin(self, fleet: &mut Fleet) -> Result<()> {
        match self {
            Self::KillAgent(number) => fleet.agent(number).kill(),
            Self::FreezeAgent(number) => signal(fleet.agent(number), Process::freeze)?,
            Self::TermAgent(number) => signal(fleet.agent(number), Process::term)?,
            Self::KillEntry(number) => fleet.entry(number).kill(),
            Self::FreezeEntry(number) => signal(fleet.entry(number), Process::freeze)?,
            Self::StoreDown => fleet.set_store_faults(store(Down::Refuse)).await?,
            Self::StoreHangs => fleet.set_store_faults(store(Down::Hang)).await?,
            Self::StoreLosesReplies => {
                let faults = StoreFaults { lose_permille: 300, seed: 7, ..Default::default() };
                fleet.set_store_faults(faults).await?;
            }
            Self::MinionFails(number) => minion(fleet, number, MinionMode::Fail).await?,
            Self::MinionTruncates(number) => minion(fleet, number, MinionMode::Truncate).await?,
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
    /// Fails if the harness cannot do so.
    pub async fn end(self, fleet: &mut Fleet) -> Result<()> {
        match self {
            Self::KillAgent(number) | Self::TermAgent(number) => fleet.agent(number).restart()?,
            Self::FreezeAgent(number) => signal(fleet.agent(number), Process::thaw)?,
            Self::KillEntry(number) => fleet.entry(number).restart()?,
            Self::FreezeEntry(number) => signal(fleet.entry(number), Process::thaw)?,
            Self::StoreDown | Self::StoreHangs | Self::StoreLosesReplies => {
                fleet.set_store_faults(StoreFaults::default()).await?;
            }
            Self::MinionFails(number) | Self::MinionTruncates(number) => {
                minion(fleet, number, MinionMode::Serve).await?;
            }
            Self::WorkerStalls(number) => {
                let relay = fleet.agents()[number].worker_relay();
                relay.control().set_faults(&RelayFaults::default()).await?;
            }
        }
        Ok(())
    }
}

/// A process that the other fault of the pair has ended takes no signal.
fn signal(process: &mut Process, send: impl Fn(&Process) -> Result<()>) -> Result<()> {
    if process.is_running() { send(process) } else { Ok(()) }
}

fn store(down: Down) -> StoreFaults {
    StoreFaults { down, ..StoreFaults::default() }
}

async fn minion(fleet: &Fleet, number: usize, mode: MinionMode) -> Result<()> {
    let faults = MinionFaults { mode, ..MinionFaults::default() };
    fleet.agents()[number].minion().control().set_faults(&faults).await
}
