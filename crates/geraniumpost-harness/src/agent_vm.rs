use std::path::Path;

use eyre::Result;
use geraniumpost_schema::AgentSettings;
use geraniumpost_standin::minion::{MinionCounts, MinionEvent};
use geraniumpost_standin::now_us;
use geraniumpost_standin::worker::WorkerEvent;

use crate::{Binaries, Process, StandinHandle};

/// A VM with an agent, its minion, its worker and the relays between them.
#[derive(Debug)]
pub struct AgentVm {
    pub(crate) settings: AgentSettings,
    pub(crate) link_relay: Option<StandinHandle>,
    pub(crate) minion: StandinHandle,
    pub(crate) minion_relay: StandinHandle,
    pub(crate) worker: StandinHandle,
    pub(crate) worker_relay: StandinHandle,
    pub(crate) process: Process,
    pub(crate) lost_at_us: Option<u64>,
}

impl AgentVm {
    pub(crate) fn start_process(
        binaries: &Binaries,
        folder: &Path,
        settings: &AgentSettings,
    ) -> Result<Process> {
        let path = folder.join(format!("{}.toml", settings.name));
        std::fs::write(&path, toml::to_string(settings)?)?;
        let log = folder.join(format!("{}.log", settings.name));
        let args = ["agent", "--settings", &path.to_string_lossy()];
        Process::start(&settings.name, binaries.geraniumpost(), &args, log)
    }

    /// Returns the agent's name.
    pub fn name(&self) -> &str {
        &self.settings.name
    }

    /// Returns the relay between all entries and the agent, if [`Plan::relayed_links`] was set.
    ///
    /// [`Plan::relayed_links`]: crate::Plan::relayed_links
    pub const fn link_relay(&self) -> Option<&StandinHandle> {
        self.link_relay.as_ref()
    }

    /// Returns the minion.
    pub const fn minion(&self) -> &StandinHandle {
        &self.minion
    }

    /// Returns the relay between agent and minion.
    pub const fn minion_relay(&self) -> &StandinHandle {
        &self.minion_relay
    }

    /// Returns the worker.
    pub const fn worker(&self) -> &StandinHandle {
        &self.worker
    }

    /// Returns the relay between agent and worker.
    pub const fn worker_relay(&self) -> &StandinHandle {
        &self.worker_relay
    }

    /// Returns the agent's process.
    pub const fn process(&self) -> &Process {
        &self.process
    }

    /// Returns the agent's process for killing or restarting it.
    pub const fn process_mut(&mut self) -> &mut Process {
        &mut self.process
    }

    /// Kills the agent, the minion and the worker, as the loss of their VM does.
    pub fn kill(&mut self) {
        self.process.kill();
        self.minion.kill();
        self.worker.kill();
        self.lost_at_us = Some(now_us());
    }

    /// Returns the time at which the VM was killed, on the clock of [`now_us`].
    pub const fn lost_at_us(&self) -> Option<u64> {
        self.lost_at_us
    }

    /// Returns the minion's record of what it ran.
    pub async fn minion_record(&self) -> Result<Vec<MinionEvent>> {
        self.minion.record().await
    }

    /// Returns the minion's counters.
    pub async fn minion_counts(&self) -> Result<MinionCounts> {
        self.minion.control().read("counts").await
    }

    /// Returns the worker's record of what it ran.
    pub async fn worker_record(&self) -> Result<Vec<WorkerEvent>> {
        self.worker.record().await
    }
}
