use std::net::SocketAddr;
use std::sync::Arc;

use eyre::Result;
use tokio::task::JoinSet;

use super::light_agent::LightAgent;
use super::traffic::Traffic;
use super::traffic_counts::TrafficCounts;

/// Failure domains over which the agents are distributed.
const DOMAINS: [&str; 4] = ["miraflores", "surco", "callao", "ate"];

/// The light agents in this process, which end when this is dropped.
#[derive(Debug)]
pub struct LightAgents {
    entries: Vec<SocketAddr>,
    agents: Vec<Arc<LightAgent>>,
    traffic: Arc<Traffic>,
    tasks: JoinSet<()>,
}

impl LightAgents {
    /// Creates it without agents.
    pub fn new(entries: Vec<SocketAddr>) -> Self {
        Self { entries, agents: Vec::new(), traffic: Arc::default(), tasks: JoinSet::new() }
    }

    /// Adds agents until there are `count`.
    pub async fn grow_to(&mut self, count: usize) -> Result<()> {
        for number in self.agents.len()..count {
            let domain = DOMAINS[number % DOMAINS.len()];
            let (entries, traffic) = (self.entries.clone(), Arc::clone(&self.traffic));
            let agent = LightAgent::start(number, domain, entries, traffic, &mut self.tasks);
            self.agents.push(agent.await?);
        }
        Ok(())
    }

    /// Returns the number of agents.
    pub fn len(&self) -> usize {
        self.agents.len()
    }

    /// Returns the lowest revision that is in force on any agent.
    pub fn revision(&self) -> u64 {
        self.agents.iter().map(|agent| agent.revision()).min().unwrap_or(u64::MAX)
    }

    /// Returns the traffic counted so far.
    pub fn traffic(&self) -> TrafficCounts {
        self.traffic.read()
    }
}
