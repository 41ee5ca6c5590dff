use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

use eyre::Result;
use geraniumpost_standin::minion::{self, MinionOptions};
use geraniumpost_standin::relay::{self, Protocol};
use geraniumpost_standin::store;
use geraniumpost_standin::worker::{self, WorkerOptions};

use crate::{Binaries, Loopback, Process, StandinPlace};

/// Any free port, for stand-ins that never restart.
const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Starts stand-ins, inside this process or as processes of their own.
#[derive(Debug)]
pub(crate) struct Standins<'a> {
    pub(crate) binaries: &'a Binaries,
    pub(crate) folder: &'a Path,
    pub(crate) addresses: &'a mut Loopback,
    pub(crate) as_processes: bool,
}

impl Standins<'_> {
    pub(crate) async fn store(&mut self) -> Result<StandinPlace> {
        if self.as_processes {
            return self.process("store", &["store".to_owned()], None).await;
        }
        Ok(StandinPlace::here(store::spawn_in_process(ANY, ANY).await?, None))
    }

    /// Starts a relay; it stands for the network and stays inside this process.
    pub(crate) async fn relay(&self, to: SocketAddr) -> Result<StandinPlace> {
        let relay = relay::spawn_in_process(ANY, ANY, Protocol::Tcp, to).await?;
        Ok(StandinPlace::here(relay, None))
    }

    pub(crate) async fn minion(&mut self, mut options: MinionOptions) -> Result<StandinPlace> {
        let name = format!("minion-{}", options.name);
        let record = self.record(&name);
        if self.as_processes {
            let words = [
                "minion".to_owned(),
                format!("--name={}", options.name),
                format!("--slots={}", options.slots),
                format!("--connections={}", options.connections),
                format!("--work-ms={}", options.work_ms),
            ];
            return self.process(&name, &words, Some(record)).await;
        }
        options.record = Some(record.clone());
        let minion = minion::spawn_in_process(ANY, ANY, options).await?;
        Ok(StandinPlace::here(minion, Some(record)))
    }

    pub(crate) async fn worker(&mut self, mut options: WorkerOptions) -> Result<StandinPlace> {
        let name = format!("worker-{}", options.name);
        let record = self.record(&name);
        if self.as_processes {
            let words = [
                "worker".to_owned(),
                format!("--name={}", options.name),
                format!("--milli-cpus={}", options.capacity.milli_cpus),
                format!("--memory-mb={}", options.capacity.memory_mb),
                format!("--accelerators={}", options.capacity.accelerators),
                format!("--usage-lag-ms={}", options.usage_lag_ms),
            ];
            return self.process(&name, &words, Some(record)).await;
        }
        options.record = Some(record.clone());
        let worker = worker::spawn_in_process(ANY, ANY, options).await?;
        Ok(StandinPlace::here(worker, Some(record)))
    }

    fn record(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.record"))
    }

    async fn process(
        &mut self,
        name: &str,
        words: &[String],
        record: Option<PathBuf>,
    ) -> Result<StandinPlace> {
        let (listen, control) = (self.addresses.next_address(), self.addresses.next_address());
        let mut words = words.to_vec();
        words.push(format!("--listen={listen}"));
        words.push(format!("--control={control}"));
        words.extend(record.iter().map(|file| format!("--record={}", file.display())));
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        let log = self.folder.join(format!("{name}.log"));
        let process = Process::start(name, self.binaries.standin(), &words, log)?;
        Ok(StandinPlace::there(process, listen, control, record).await)
    }
}
