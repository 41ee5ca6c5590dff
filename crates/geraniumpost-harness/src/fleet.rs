use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use eyre::Result;
use geraniumpost_core::config::{Change, StoredDocument};
use geraniumpost_outside::{Expect, Store};
use geraniumpost_schema::{AgentSettings, EntrySettings, LogSettings, Name};
use geraniumpost_standin::minion::{MinionEvent, MinionOptions};
use geraniumpost_standin::store::{StoreCounts, StoreFaults};
use geraniumpost_standin::worker::{Resources, WorkerEvent, WorkerOptions};
use tokio::sync::{Semaphore, SemaphorePermit};

use crate::check::{ObservedRequest, Outcome, Summary, check_requests};
use crate::plan::{REGION, SERVICE, SHARED_KEY};
use crate::standins::Standins;
use crate::{
    AgentVm, Binaries, Caller, EntryVm, Load, Loopback, Operator, Plan, Process, RequestSpec,
    ScratchDirectory, StandinHandle, wait_until,
};

/// Key of the configuration in the store.
const CONFIG_KEY: &str = "geraniumpost/config";
/// Placeholder for an address that is set once it is known.
const UNSET_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Maximum number of concurrent deployments in one test process. With more of them, the timing of
/// the tests would depend on the load of the machine.
const MAX_CONCURRENT_FLEETS: usize = 4;
static FLEET_PERMITS: Semaphore = Semaphore::const_new(MAX_CONCURRENT_FLEETS);
/// Maximum time until all processes are connected or all minions are idle.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// A deployment on loopback: entries and agents as processes, and stand-ins for the platform.
///
/// Dropping it ends all processes. The logs are kept if that happens during a panic.
#[derive(Debug)]
pub struct Fleet {
    // Fields are dropped in this order. The processes end before the stand-ins, so that they do not
    // log errors about lost connections to the stand-ins.
    entries: Vec<EntryVm>,
    agents: Vec<AgentVm>,
    store: StandinHandle,
    _addresses: Loopback,
    _scratch: ScratchDirectory,
    _permit: SemaphorePermit<'static>,
}

impl Fleet {
    /// Starts a deployment and waits until it is ready, see [`Self::ready`].
    pub async fn start(binaries: &Binaries, plan: &Plan) -> Result<Self> {
        let fleet = Self::start_without_waiting(binaries, plan).await?;
        fleet.ready().await;
        Ok(fleet)
    }

    /// Starts a deployment without waiting until it is ready.
    pub async fn start_without_waiting(binaries: &Binaries, plan: &Plan) -> Result<Self> {
        let permit = FLEET_PERMITS.acquire().await?;
        let mut addresses = Loopback::reserve()?;
        let scratch = ScratchDirectory::create()?;
        let settings = entry_settings(plan, &mut addresses);
        let datagrams: Vec<SocketAddr> = settings.iter().map(|s| s.datagrams).collect();
        let mut standins = Standins {
            binaries,
            folder: scratch.path(),
            addresses: &mut addresses,
            as_processes: plan.standins_as_processes,
        };
        let store = standins.store().await?;
        write_configuration(&store, plan).await?;
        let mut entries = Vec::new();
        for mut settings in settings {
            let relay = standins.relay(store.address()).await?;
            settings.store = relay.address();
            if plan.peers_in_settings {
                settings.peers = datagrams.clone();
                settings.peers.retain(|peer| *peer != settings.datagrams);
            }
            entries.push(EntryVm::start(binaries, scratch.path(), settings, relay)?);
        }
        let known = if plan.peers_in_settings { &datagrams[..] } else { &datagrams[..1] };
        let mut agents = Vec::new();
        for number in 0..plan.agents {
            let listen = standins.addresses.next_address();
            let settings = agent_settings(plan, number, listen, known);
            agents.push(start_agent(&mut standins, plan, settings).await?);
        }
        Ok(Self {
            entries,
            agents,
            store,
            _addresses: addresses,
            _scratch: scratch,
            _permit: permit,
        })
    }

    /// Waits until each entry can route requests to each agent.
    pub async fn ready(&self) {
        for entry in 0..self.entries.len() {
            for agent in 0..self.agents.len() {
                let what = format!("entry {entry} is connected to agent {agent}");
                wait_until(&what, READY_TIMEOUT, || self.reaches(entry, agent)).await;
            }
        }
    }

    /// Returns whether an entry is connected to an agent and both have a configuration in force.
    ///
    /// A request would not show this: an idle entry uses only agents in its own failure domain.
    async fn reaches(&self, entry: usize, agent: usize) -> bool {
        let Ok((_, status)) = self.operator(entry).get("/api/status").await else { return false };
        let name = self.agents[agent].name();
        let agents = status["state"]["agents"].as_array().map(Vec::as_slice).unwrap_or_default();
        let found = agents.iter().find(|seen| seen["name"] == name);
        found.is_some_and(|seen| {
            seen["connected"] == true && seen["revision"].as_u64().unwrap_or(0) > 0
        })
    }

    /// Sends a request to an entry and returns whether it was answered.
    pub async fn answers(&self, entry: usize) -> bool {
        matches!(
            self.caller(entry).send(&RequestSpec::get()).await.outcome,
            Outcome::Answered { .. }
        )
    }

    /// Starts callers that send requests to all entries.
    pub fn load(&self, callers: u64, seed: u64) -> Load {
        Load::start(&self.callers_addresses(), callers, seed)
    }

    /// Returns the number of requests that are running on all minions.
    pub async fn running(&self) -> u64 {
        let mut running = 0;
        for agent in &self.agents {
            running += agent.minion_counts().await.map_or(0, |counts| counts.running);
        }
        running
    }

    /// Returns a caller that sends requests to an entry.
    pub fn caller(&self, entry: usize) -> Caller {
        Caller::new(self.entries[entry].callers())
    }

    /// Returns the entries.
    pub fn entries(&self) -> &[EntryVm] {
        &self.entries
    }

    /// Returns an entry's process for killing or restarting it.
    pub fn entry(&mut self, number: usize) -> &mut Process {
        self.entries[number].process_mut()
    }

    /// Returns the agents with their VMs.
    pub fn agents(&self) -> &[AgentVm] {
        &self.agents
    }

    /// Returns an agent's process for killing or restarting it.
    pub fn agent(&mut self, number: usize) -> &mut Process {
        self.agents[number].process_mut()
    }

    /// Kills an agent, its minion and its worker, as the loss of their VM does.
    pub fn lose_vm(&mut self, number: usize) {
        self.agents[number].kill();
    }

    /// Returns the workers on lost VMs with the times of the losses, for
    /// [`check_jobs`](crate::check::check_jobs).
    pub fn lost_vms(&self) -> BTreeMap<String, u64> {
        let lost = self.agents.iter().filter_map(|a| Some((a.name().to_owned(), a.lost_at_us()?)));
        lost.collect()
    }

    /// Returns the store.
    pub const fn store(&self) -> &StandinHandle {
        &self.store
    }

    /// Replaces the faults that the store simulates.
    pub async fn set_store_faults(&self, faults: StoreFaults) -> Result<()> {
        self.store.control().set_faults(&faults).await
    }

    /// Returns the store's counters of calls.
    pub async fn store_counts(&self) -> Result<StoreCounts> {
        self.store.control().read("counts").await
    }

    /// Waits until all minions are idle, and panics if a guarantee to callers was violated.
    pub async fn assert_promises_to_callers(&self, requests: &[ObservedRequest]) {
        let idle = || async {
            let mut running = 0;
            for agent in self.agents.iter().filter(|agent| agent.lost_at_us().is_none()) {
                running += agent.minion_counts().await.map_or(1, |counts| counts.running);
            }
            running == 0
        };
        wait_until("all minions are idle", READY_TIMEOUT, idle).await;
        self.assert_promises_so_far(requests).await;
    }

    /// Panics if a guarantee to callers has been violated so far. Minions may still be busy.
    pub async fn assert_promises_so_far(&self, requests: &[ObservedRequest]) {
        let record = self.minion_record().await.expect("the minions' records can be read");
        let found = check_requests(requests, &record);
        let summary: Summary = requests.iter().collect();
        println!("{summary}");
        assert!(found.is_empty(), "{} violated guarantees: {found:#?}\n{summary}", found.len());
    }

    /// Returns the addresses on which the entries serve callers.
    pub fn callers_addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(EntryVm::callers).collect()
    }

    /// Returns a client of an entry's operators' API.
    pub fn operator(&self, entry: usize) -> Operator {
        Operator::new(self.entries[entry].console())
    }

    /// Returns the records of all minions.
    pub async fn minion_record(&self) -> Result<Vec<MinionEvent>> {
        let mut record = Vec::new();
        for agent in &self.agents {
            record.extend(agent.minion_record().await?);
        }
        Ok(record)
    }

    /// Returns the records of all workers.
    pub async fn worker_record(&self) -> Result<Vec<WorkerEvent>> {
        let mut record = Vec::new();
        for agent in &self.agents {
            record.extend(agent.worker_record().await?);
        }
        Ok(record)
    }
}

/// Writes the initial configuration to the store.
async fn write_configuration(store: &StandinHandle, plan: &Plan) -> Result<()> {
    let change = Change {
        change_id: Name::from("seed"),
        changed_by: Name::from("rosa"),
        based_on: 0,
        document: plan.document.clone(),
    };
    let value = serde_json::to_vec(&StoredDocument::from_change(None, &change))?;
    Store::new(store.address()).put(CONFIG_KEY, value, Expect::Absent, None).await?;
    Ok(())
}

fn entry_settings(plan: &Plan, addresses: &mut Loopback) -> Vec<EntrySettings> {
    let settings = (0..plan.entries).map(|number| EntrySettings {
        name: Name::from(format!("entry-{number}")),
        region: Name::from(REGION),
        domain: domain(plan, number),
        callers: addresses.next_address(),
        console: addresses.next_address(),
        datagrams: addresses.next_address(),
        store: UNSET_ADDRESS,
        shared_key: SHARED_KEY.to_owned(),
        peers: Vec::new(),
        heartbeat_ms: plan.heartbeat_ms,
        drain_ms: plan.drain_ms,
        log: LogSettings::default(),
    });
    settings.collect()
}

fn agent_settings(
    plan: &Plan,
    number: usize,
    listen: SocketAddr,
    entries: &[SocketAddr],
) -> AgentSettings {
    AgentSettings {
        name: Name::from(format!("agent-{number}")),
        region: Name::from(REGION),
        domain: domain(plan, number),
        rack: Name::from(format!("rack-{}", number / 3)),
        listen,
        announce: None,
        entries: entries.to_vec(),
        shared_key: SHARED_KEY.to_owned(),
        service: Some(Name::from(SERVICE)),
        minion: None,
        worker: None,
        metrics: None,
        milli_cpus: plan.milli_cpus,
        memory_mb: plan.memory_mb,
        accelerators: 0,
        heartbeat_ms: plan.heartbeat_ms,
        drain_ms: plan.drain_ms,
        log: LogSettings::default(),
    }
}

async fn start_agent(
    standins: &mut Standins<'_>,
    plan: &Plan,
    mut settings: AgentSettings,
) -> Result<AgentVm> {
    let name = settings.name.to_string();
    let options = MinionOptions { name: name.clone(), slots: plan.slots, ..Default::default() };
    let minion = standins.minion(options).await?;
    let capacity =
        Resources { milli_cpus: plan.milli_cpus, memory_mb: plan.memory_mb, accelerators: 0 };
    let options = WorkerOptions { name, capacity, ..WorkerOptions::default() };
    let worker = standins.worker(options).await?;
    let link_relay = if plan.relayed_links {
        let relay = standins.relay(settings.listen).await?;
        settings.announce = Some(relay.address());
        Some(relay)
    } else {
        None
    };
    let minion_relay = standins.relay(minion.address()).await?;
    let worker_relay = standins.relay(worker.address()).await?;
    settings.minion = Some(minion_relay.address());
    settings.worker = Some(worker_relay.address());
    let process = AgentVm::start_process(standins.binaries, standins.folder, &settings)?;
    let lost_at_us = None;
    Ok(AgentVm {
        settings,
        link_relay,
        minion,
        minion_relay,
        worker,
        worker_relay,
        process,
        lost_at_us,
    })
}

fn domain(plan: &Plan, number: usize) -> Name {
    Name::from(plan.domains[number % plan.domains.len()].as_str())
}
