use std::time::Instant;

use eyre::Result;
use geraniumpost_harness::Fleet;
use geraniumpost_standin::store::StoreCounts;

use super::light_agents::LightAgents;
use super::rates::Rates;
use super::traffic_counts::TrafficCounts;
use crate::usage::Usage;

/// Totals of usage, traffic and store calls at one time.
#[derive(Debug)]
pub struct Probe {
    at: Instant,
    entries: Vec<Usage>,
    agents: Vec<Usage>,
    traffic: TrafficCounts,
    store: StoreCounts,
}

impl Probe {
    /// Reads the totals of all processes.
    pub async fn take(fleet: &Fleet, light: &LightAgents) -> Result<Self> {
        let entries = fleet.entries().iter().filter_map(|entry| entry.process().id());
        let agents = fleet.agents().iter().filter_map(|agent| agent.process().id());
        Ok(Self {
            at: Instant::now(),
            entries: entries.map(Usage::of).collect::<Result<_>>()?,
            agents: agents.map(Usage::of).collect::<Result<_>>()?,
            traffic: light.traffic(),
            store: fleet.store_counts().await?,
        })
    }

    /// Returns the rates per second since an earlier probe.
    pub fn since(&self, earlier: &Self) -> Rates {
        let seconds = (self.at - earlier.at).as_secs_f64();
        let (now, before) = (&self.store, &earlier.store);
        Rates {
            seconds,
            entry_cpu: mean_cpu_s(&self.entries, &earlier.entries) / seconds,
            entries_cpu: mean_cpu_s(&self.entries, &earlier.entries) * self.entries.len() as f64
                / seconds,
            entry_mb: mean_resident_mb(&self.entries),
            agent_cpu: mean_cpu_s(&self.agents, &earlier.agents) / seconds,
            agent_mb: mean_resident_mb(&self.agents),
            traffic: (self.traffic - earlier.traffic) / seconds,
            store_calls: (now.total() - before.total()) as f64 / seconds,
            store_writes: (now.writes() - before.writes()) as f64 / seconds,
            store_bytes: (now.bytes_written - before.bytes_written) as f64 / seconds,
        }
    }
}

/// Returns the mean processor time per process since an earlier probe, in seconds.
fn mean_cpu_s(now: &[Usage], earlier: &[Usage]) -> f64 {
    let each = now.iter().zip(earlier).map(|(now, earlier)| now.cpu_s - earlier.cpu_s);
    each.sum::<f64>() / now.len().max(1) as f64
}

/// Returns the mean resident memory per process, in megabytes.
fn mean_resident_mb(usages: &[Usage]) -> f64 {
    let sum: u64 = usages.iter().map(|usage| usage.resident).sum();
    sum as f64 / 1e6 / usages.len().max(1) as f64
}
