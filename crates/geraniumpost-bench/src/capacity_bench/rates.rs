use super::traffic_counts::TrafficCounts;

/// Usage and traffic per second during a measurement.
#[derive(Debug, Clone, Copy)]
pub struct Rates {
    /// Duration of the measurement in seconds.
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
    /// Messages of all light agents together.
    pub traffic: TrafficCounts,
    /// Store calls of all entries together.
    pub store_calls: f64,
    /// Store calls that write.
    pub store_writes: f64,
    /// Bytes of the values written to the store.
    pub store_bytes: f64,
}
