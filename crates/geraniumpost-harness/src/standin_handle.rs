use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use eyre::Result;
use geraniumpost_standin::{Control, Standin};

use crate::{Process, wait_until};

/// Maximum time until the process of a stand-in responds.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// A stand-in that runs inside this process or as a separate process.
#[derive(Debug)]
pub struct StandinHandle {
    address: SocketAddr,
    control: SocketAddr,
    record: Option<PathBuf>,
    running: Option<Running>,
}

#[derive(Debug)]
enum Running {
    InProcess(#[expect(dead_code, reason = "runs until it is dropped")] Standin),
    SeparateProcess(Process),
}

impl StandinHandle {
    /// Creates the handle of a stand-in inside this process.
    pub const fn in_process(standin: Standin, record: Option<PathBuf>) -> Self {
        let (address, control) = (standin.address(), standin.control_address());
        Self { address, control, record, running: Some(Running::InProcess(standin)) }
    }

    /// Waits until the process of a stand-in responds and creates its handle.
    pub async fn separate_process(
        process: Process,
        address: SocketAddr,
        control: SocketAddr,
        record: Option<PathBuf>,
    ) -> Self {
        let what = format!("{} responds", process.name());
        let responds =
            || async { Control::new(control).read::<serde_json::Value>("fault").await.is_ok() };
        wait_until(&what, START_TIMEOUT, responds).await;
        Self { address, control, record, running: Some(Running::SeparateProcess(process)) }
    }

    /// Returns the address on which the stand-in serves requests.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a client of the stand-in's control listener.
    pub const fn control(&self) -> Control {
        Control::new(self.control)
    }

    /// Returns the process of the stand-in, `None` if it runs inside this process.
    pub const fn process(&self) -> Option<&Process> {
        match &self.running {
            Some(Running::SeparateProcess(process)) => Some(process),
            _ => None,
        }
    }

    /// Ends the stand-in without a shutdown, as the loss of its VM does.
    pub fn kill(&mut self) {
        self.running = None;
    }

    /// Returns the recorded events. After the stand-in was killed, reads them from its record file.
    pub async fn record<T: serde::de::DeserializeOwned>(&self) -> Result<Vec<T>> {
        match (&self.running, &self.record) {
            (None, Some(path)) => {
                let text = std::fs::read_to_string(path)?;
                text.lines().map(|line| Ok(serde_json::from_str(line)?)).collect()
            }
            _ => self.control().read("record").await,
        }
    }
}
