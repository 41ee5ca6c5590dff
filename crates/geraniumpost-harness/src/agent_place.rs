use std::path::Path;

use eyre::Result;
use geraniumpost_schema::AgentSettings;
use geraniumpost_standin::minion::{MinionCounts, MinionEvent};
use geraniumpost_standin::now_us;
use geraniumpost_standin::worker::WorkerEvent;

use crate::{Binaries, Process, StandinPlace};

/// A VM: an agent, its minion, its worker and the relays between them.
#[derive(Debug)]
pub struct AgentPlace {
    pub(crate) settings: AgentSettings,
    pub(crate) link_relay: Option<StandinPlace>,
    pub(crate) minion: StandinPlace,
    pub(crate) minion_relay: StandinPlace,
    pub(crate) worker: StandinPlace,
    pub(crate) worker_relay: StandinPlace,
    pub(crate) process: Process,
    pub(crate) lost_at_us: Option<u64>,
}

impl AgentPlace {
    pub(crate) fn start_process(
        binaries: &Binaries,
        folder: &Path,
        settings: &AgentSettings,
    ) -> Result<Process> {
        let file = folder.join(format!("{}.toml", settings.name));
        std::fs::write(&file, toml::to_string(settings)?)?;
        let log = folder.join(format!("{}.log", settings.name));
        let words = ["agent", "--settings", &file.to_string_lossy()];
        Process::start(&settings.name, binaries.geraniumpost(), &words, log)
    }

    /// Returns the agent's name.
    pub fn name(&self) -> &str {
        &self.settings.name
    }

    /// Returns the relay between all entries and the agent, if the plan has one.
    pub const fn link_relay(&self) -> Option<&StandinPlace> {
        self.link_relay.as_ref()
    }

    /// Returns the minion.
    pub const fn minion(&self) -> &StandinPlace {
        &self.minion
    }

    /// Returns the relay between agent and minion.
    pub const fn minion_relay(&self) -> &StandinPlace {
        &self.minion_relay
    }

    /// Returns the worker.
    pub const fn worker(&self) -> &StandinPlace {
        &self.worker
    }

    /// Returns the relay between agent and worker.
    pub const fn worker_relay(&self) -> &StandinPlace {
        &self.worker_relay
    }

    /// Returns the agent's process.
    pub const fn process(&self) -> &Process {
        &self.process
    }

    /// Returns the agent's process, to end or restart it.
    pub const fn process_mut(&mut self) -> &mut Process {
        &mut self.process
    }

    /// Ends agent, minion and worker at once, as the loss of their VM does.
    pub fn lose(&mut self) {
        self.process.kill();
        self.minion.lose();
        self.worker.lose();
        self.lost_at_us = Some(now_us());
    }

    /// Returns when the VM was lost, see [`now_us`].
    pub const fn lost_at_us(&self) -> Option<u64> {
        self.lost_at_us
    }

    /// Returns what the minion really ran.
    pub async fn minion_record(&self) -> Result<Vec<MinionEvent>> {
        self.minion.record().await
    }

    /// Returns what the minion has counted.
    pub async fn minion_counts(&self) -> Result<MinionCounts> {
        self.minion.control().read("counts").await
    }

    /// Returns what the worker really ran.
    pub async fn worker_record(&self) -> Result<Vec<WorkerEvent>> {
        self.worker.record().await
    }
}
