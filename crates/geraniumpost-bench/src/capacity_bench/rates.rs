use super::traffic_counts::TrafficCounts;

/// What processes used and sent in a second.
#[derive(Debug, Clone, Copy)]
pub struct Rates {
    /// Length of the look in seconds.
    pub seconds: f64,
    /// Processor time of an entry as a share of a core.
    pub entry_cpu: f64,
    /// Processor time of all entries together as a share of a core.
    pub entries_cpu: f64,
    /// Resident memory of an entry in megabytes.
    pub entry_mb: f64,
    /// Processor time of a real agent as a share of a core.
    pub agent_cpu: f64,
    /// Resident memory of a real agent in megabytes.
    pub agent_mb: f64,
    /// What all light agents together sent and received.
    pub traffic: TrafficCounts,
    /// Calls of the store by all entries.
    pub store_calls: f64,
    /// Those of them that write.
    pub store_writes: f64,
    /// Bytes of values written to the store.
    pub store_bytes: f64,
}
