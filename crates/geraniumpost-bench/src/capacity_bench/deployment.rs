use std::time::{Duration, Instant};

use eyre::{Result, eyre};
use geraniumpost_harness::{Binaries, EntryVm, Fleet, Plan, wait_until};
use serde_json::Value;
use tokio::time::sleep;

use super::light_agent::HEARTBEAT;
use super::light_agents::LightAgents;
use super::probe::Probe;
use super::rates::Rates;

/// Time within which new agents must have a configuration, and a change must be in force.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause after new agents are added, until the resulting traffic has ended.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Real entries and agents, and light agents in this process.
#[derive(Debug)]
pub struct Deployment {
    light: LightAgents,
    fleet: Fleet,
}

impl Deployment {
    /// Starts entries and real agents, without light agents.
    pub async fn start(binaries: &Binaries, entries: usize, agents: usize) -> Result<Self> {
        let plan = Plan::default()
            .entries(entries)
            .agents(agents)
            .heartbeat_ms(HEARTBEAT.as_millis() as u64)
            .standins_as_processes();
        let fleet = Fleet::start(binaries, &plan).await?;
        let datagrams = fleet.entries().iter().map(EntryVm::datagrams).collect();
        Ok(Self { light: LightAgents::new(datagrams), fleet })
    }

    /// Returns the entries and agents that run as processes.
    pub const fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the light agents.
    pub const fn light(&self) -> &LightAgents {
        &self.light
    }

    /// Adds light agents until there are `count`, and waits until all have a configuration.
    pub async fn grow_to(&mut self, count: usize) -> Result<()> {
        self.light.grow_to(count).await?;
        wait_until("light agents configured", READY_TIMEOUT, || async {
            self.light.revision() > 0
        })
        .await;
        sleep(SETTLE_TIME).await;
        Ok(())
    }

    /// Measures usage and traffic while `load` runs; returns them with its result.
    pub async fn measure<T>(&self, load: impl Future<Output = T>) -> Result<(Rates, T)> {
        let before = Probe::take(&self.fleet, &self.light).await?;
        let result = load.await;
        let after = Probe::take(&self.fleet, &self.light).await?;
        Ok((after.since(&before), result))
    }

    /// Returns the revision and the document in force.
    pub async fn document(&self) -> Result<(u64, Value)> {
        let (_, mut config) = self.fleet.operator(0).get("/api/config").await?;
        let revision = config["revision"].as_u64().ok_or_else(|| eyre!("no revision: {config}"))?;
        Ok((revision, config["document"].take()))
    }

    /// Changes the document and returns the time until it is in force on all light agents.
    pub async fn change(&self, document: &Value) -> Result<Duration> {
        let (revision, _) = self.document().await?;
        let started = Instant::now();
        let operator = self.fleet.operator(0);
        let (status, answer) = operator.put_if_match("/api/config", revision, document).await?;
        let written = answer["revision"].as_u64();
        let written = written.ok_or_else(|| eyre!("change refused, {status}: {answer}"))?;
        let in_force = || async { self.light.revision() >= written };
        wait_until("the change is in force everywhere", READY_TIMEOUT, in_force).await;
        Ok(started.elapsed())
    }
}
