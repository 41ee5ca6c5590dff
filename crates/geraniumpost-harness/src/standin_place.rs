use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use eyre::Result;
use geraniumpost_standin::{Control, Standin};

use crate::{Process, wait_until};

/// Time for a stand-in's process to come up.
const UP: Duration = Duration::from_secs(10);

/// A stand-in inside this process or as one of its own.
#[derive(Debug)]
pub struct StandinPlace {
    address: SocketAddr,
    control: SocketAddr,
    record: Option<PathBuf>,
    running: Option<Running>,
}

#[derive(Debug)]
enum Running {
    Here(#[expect(dead_code, reason = "runs until it is dropped")] Standin),
    There(Process),
}

impl StandinPlace {
    /// Keeps a stand-in that runs inside this process.
    pub const fn here(standin: Standin, record: Option<PathBuf>) -> Self {
        let (address, control) = (standin.address(), standin.control_address());
        Self { address, control, record, running: Some(Running::Here(standin)) }
    }

    /// Keeps a stand-in's process once it answers.
    pub async fn there(
        process: Process,
        address: SocketAddr,
        control: SocketAddr,
        record: Option<PathBuf>,
    ) -> Self {
        let what = format!("{} answers", process.name());
        let up =
            || async { Control::new(control).read::<serde_json::Value>("fault").await.is_ok() };
        wait_until(&what, UP, up).await;
        Self { address, control, record, running: Some(Running::There(process)) }
    }

    /// Returns the address at which it serves.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a client of its control listener.
    pub const fn control(&self) -> Control {
        Control::new(self.control)
    }

    /// Returns its process, if it has one of its own.
    pub const fn process(&self) -> Option<&Process> {
        match &self.running {
            Some(Running::There(process)) => Some(process),
            _ => None,
        }
    }

    /// Ends it at once, as its VM does when it is lost.
    pub fn lose(&mut self) {
        self.running = None;
    }

    /// Returns its record, after its loss that which it left behind.
    pub async fn record<T: serde::de::DeserializeOwned>(&self) -> Result<Vec<T>> {
        match (&self.running, &self.record) {
            (None, Some(file)) => {
                let text = std::fs::read_to_string(file)?;
                text.lines().map(|line| Ok(serde_json::from_str(line)?)).collect()
            }
            _ => self.control().read("record").await,
        }
    }
}
