use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

use eyre::Result;
use geraniumpost_standin::minion::{self, MinionOptions};
use geraniumpost_standin::relay::{self, Protocol};
use geraniumpost_standin::store;
use geraniumpost_standin::worker::{self, WorkerOptions};

use crate::{Binaries, Loopback, Process, StandinHandle};

/// Any free port, for stand-ins that are never restarted.
const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Starts stand-ins inside this process or as separate processes.
#[derive(Debug)]
pub(crate) struct Standins<'a> {
    pub(crate) binaries: &'a Binaries,
    pub(crate) folder: &'a Path,
    pub(crate) addresses: &'a mut Loopback,
    pub(crate) as_processes: bool,
}

impl Standins<'_> {
    pub(crate) async fn store(&mut self) -> Result<StandinHandle> {
        if self.as_processes {
            return self.start_process("store", &["store".to_owned()], None).await;
        }
        Ok(StandinHandle::in_process(store::spawn_in_process(ANY, ANY).await?, None))
    }

    /// Starts a relay inside this process. Relays simulate faults of the network.
    pub(crate) async fn relay(&self, to: SocketAddr) -> Result<StandinHandle> {
        let relay = relay::spawn_in_process(ANY, ANY, Protocol::Tcp, to).await?;
        Ok(StandinHandle::in_process(relay, None))
    }

    pub(crate) async fn minion(&mut self, mut options: MinionOptions) -> Result<StandinHandle> {
        let name = format!("minion-{}", options.name);
        let record = self.record_path(&name);
        if self.as_processes {
            let args = [
                "minion".to_owned(),
                format!("--name={}", options.name),
                format!("--slots={}", options.slots),
                format!("--connections={}", options.connections),
                format!("--work-ms={}", options.work_ms),
            ];
            return self.start_process(&name, &args, Some(record)).await;
        }
        options.record = Some(record.clone());
        let minion = minion::spawn_in_process(ANY, ANY, options).await?;
        Ok(StandinHandle::in_process(minion, Some(record)))
    }

    pub(crate) async fn worker(&mut self, mut options: WorkerOptions) -> Result<StandinHandle> {
        let name = format!("worker-{}", options.name);
        let record = self.record_path(&name);
        if self.as_processes {
            let args = [
                "worker".to_owned(),
                format!("--name={}", options.name),
                format!("--milli-cpus={}", options.capacity.milli_cpus),
                format!("--memory-mb={}", options.capacity.memory_mb),
                format!("--accelerators={}", options.capacity.accelerators),
                format!("--usage-lag-ms={}", options.usage_lag_ms),
            ];
            return self.start_process(&name, &args, Some(record)).await;
        }
        options.record = Some(record.clone());
        let worker = worker::spawn_in_process(ANY, ANY, options).await?;
        Ok(StandinHandle::in_process(worker, Some(record)))
    }

    fn record_path(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.record"))
    }

    async fn start_process(
        &mut self,
        name: &str,
        args: &[String],
        record: Option<PathBuf>,
    ) -> Result<StandinHandle> {
        let (listen, control) = (self.addresses.next_address(), self.addresses.next_address());
        let mut args = args.to_vec();
        args.push(format!("--listen={listen}"));
        args.push(format!("--control={control}"));
        args.extend(record.iter().map(|path| format!("--record={}", path.display())));
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        let log = self.folder.join(format!("{name}.log"));
        let process = Process::start(name, self.binaries.standin(), &args, log)?;
        Ok(StandinHandle::separate_process(process, listen, control, record).await)
    }
}
