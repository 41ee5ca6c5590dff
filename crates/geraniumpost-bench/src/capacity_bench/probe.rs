use std::time::Instant;

use eyre::Result;
use geraniumpost_harness::Fleet;
use geraniumpost_standin::store::StoreCounts;

use super::light_agents::LightAgents;
use super::rates::Rates;
use super::traffic_counts::TrafficCounts;
use crate::usage::Usage;

/// What had been used and sent by one moment.
#[derive(Debug)]
pub struct Probe {
    at: Instant,
    entries: Vec<Usage>,
    agents: Vec<Usage>,
    traffic: TrafficCounts,
    store: StoreCounts,
}

impl Probe {
    /// Looks at all processes.
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

    /// Returns the use in a second since an earlier moment.
    pub fn since(&self, then: &Self) -> Rates {
        let seconds = (self.at - then.at).as_secs_f64();
        let (now, before) = (&self.store, &then.store);
        Rates {
            seconds,
            entry_cpu: busy(&self.entries, &then.entries) / seconds,
            entries_cpu: busy(&self.entries, &then.entries) * self.entries.len() as f64 / seconds,
            entry_mb: megabytes(&self.entries),
            agent_cpu: busy(&self.agents, &then.agents) / seconds,
            agent_mb: megabytes(&self.agents),
            traffic: (self.traffic - then.traffic) / seconds,
            store_calls: (now.total() - before.total()) as f64 / seconds,
            store_writes: (now.writes() - before.writes()) as f64 / seconds,
            store_bytes: (now.bytes_written - before.bytes_written) as f64 / seconds,
        }
    }
}

/// Returns the processor time of one process on average, in seconds.
fn busy(now: &[Usage], then: &[Usage]) -> f64 {
    let each = now.iter().zip(then).map(|(now, then)| now.cpu_s - then.cpu_s);
    each.sum::<f64>() / now.len().max(1) as f64
}

/// Returns the resident memory of one process on average.
fn megabytes(usages: &[Usage]) -> f64 {
    let sum: u64 = usages.iter().map(|usage| usage.resident).sum();
    sum as f64 / 1e6 / usages.len().max(1) as f64
}
