use std::net::SocketAddr;
use std::path::Path;

use eyre::Result;
use geraniumpost_schema::EntrySettings;

use crate::{Binaries, Process, StandinPlace};

/// An entry with the relay between it and the store.
#[derive(Debug)]
pub struct EntryPlace {
    settings: EntrySettings,
    store_relay: StandinPlace,
    process: Process,
}

impl EntryPlace {
    pub(crate) fn start(
        binaries: &Binaries,
        folder: &Path,
        settings: EntrySettings,
        store_relay: StandinPlace,
    ) -> Result<Self> {
        let file = folder.join(format!("{}.toml", settings.name));
        std::fs::write(&file, toml::to_string(&settings)?)?;
        let log = folder.join(format!("{}.log", settings.name));
        let words = ["entry", "--settings", &file.to_string_lossy()];
        let process = Process::start(&settings.name, binaries.geraniumpost(), &words, log)?;
        Ok(Self { settings, store_relay, process })
    }

    /// Returns the address for callers.
    pub const fn callers(&self) -> SocketAddr {
        self.settings.callers
    }

    /// Returns the address of the console and the operators' API.
    pub const fn console(&self) -> SocketAddr {
        self.settings.console
    }

    /// Returns the address for datagrams of agents and other entries.
    pub const fn datagrams(&self) -> SocketAddr {
        self.settings.datagrams
    }

    /// Returns the relay between this entry and the store.
    pub const fn store_relay(&self) -> &StandinPlace {
        &self.store_relay
    }

    /// Returns the entry's process.
    pub const fn process(&self) -> &Process {
        &self.process
    }

    /// Returns the entry's process, to end or restart it.
    pub const fn process_mut(&mut self) -> &mut Process {
        &mut self.process
    }
}
