use std::net::SocketAddr;
use std::path::Path;

use eyre::Result;
use geraniumpost_schema::EntrySettings;

use crate::{Binaries, Process, StandinHandle};

/// A VM with an entry, and the relay between the entry and the store.
#[derive(Debug)]
pub struct EntryVm {
    settings: EntrySettings,
    store_relay: StandinHandle,
    process: Process,
}

impl EntryVm {
    pub(crate) fn start(
        binaries: &Binaries,
        folder: &Path,
        settings: EntrySettings,
        store_relay: StandinHandle,
    ) -> Result<Self> {
        let path = folder.join(format!("{}.toml", settings.name));
        std::fs::write(&path, toml::to_string(&settings)?)?;
        let log = folder.join(format!("{}.log", settings.name));
        let args = ["entry", "--settings", &path.to_string_lossy()];
        let process = Process::start(&settings.name, binaries.geraniumpost(), &args, log)?;
        Ok(Self { settings, store_relay, process })
    }

    /// Returns the address on which the entry serves callers.
    pub const fn callers(&self) -> SocketAddr {
        self.settings.callers
    }

    /// Returns the address of the console and the operators' API.
    pub const fn console(&self) -> SocketAddr {
        self.settings.console
    }

    /// Returns the address for heartbeats and other datagrams of agents and entries.
    pub const fn datagrams(&self) -> SocketAddr {
        self.settings.datagrams
    }

    /// Returns the relay between this entry and the store.
    pub const fn store_relay(&self) -> &StandinHandle {
        &self.store_relay
    }

    /// Returns the entry's process.
    pub const fn process(&self) -> &Process {
        &self.process
    }

    /// Returns the entry's process for killing or restarting it.
    pub const fn process_mut(&mut self) -> &mut Process {
        &mut self.process
    }
}
