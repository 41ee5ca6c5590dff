//! Timeouts, limits and weights of the coordinator, each with its unit and its grounds.

/// How long a finished job's state can be asked for, in milliseconds: the two minutes that callers
/// were promised, and a tenth more.
pub const FINISHED_JOB_RETENTION_MS: u64 = 132_000;
/// Records in one write: the store takes 32 entries in a transaction, of which one is the
/// coordinator's key and one may be what was learnt of images.
pub const MAX_RECORDS_PER_WRITE: usize = 30;
/// Bytes of records in one write; keeps a transaction's body well below the store's largest value.
pub const MAX_BYTES_PER_WRITE: usize = 400_000;
/// Writes under way at once. One suffices at the store's usual 4 ms; when an answer takes a quarter
/// of a second, four keep 120 records a round trip moving.
pub const MAX_CONCURRENT_WRITES: usize = 4;
/// Pause after which an order without an answer is given again, in milliseconds. It follows the
/// agent's own timeout, so it only has to be longer than a round trip.
pub const ORDER_RETRY_MS: u64 = 300;
/// Time after which an order whose result never came is given again, in milliseconds: the agent's
/// timeout for a call, with room for a slow agent.
pub const ORDER_RESULT_TIMEOUT_MS: u64 = 2_500;
/// Pause before a task that failed runs again, in milliseconds.
pub const FAILURE_BACKOFF_MS: u64 = 50;
/// Pause before a task that a minion had no room for is placed again, in milliseconds.
pub const NO_CAPACITY_BACKOFF_MS: u64 = 150;
/// How much later than the granted time a lease has surely lapsed: minions' clocks may be 2% slow.
pub const LEASE_EXPIRY_PERCENT: u64 = 103;
/// Margin on top of [`LEASE_EXPIRY_PERCENT`] in milliseconds, for the way of the last call.
pub const LEASE_EXPIRY_MARGIN_MS: u64 = 250;
/// Failed runs in a row, of different jobs, after which a minion is taken for sick. Jobs' own
/// faults are about one in a hundred runs, so two in a row are one in ten thousand.
pub const QUARANTINE_FAILURES: u32 = 2;
/// How long a minion that seems sick gets no work, in milliseconds; after it one task tries it.
pub const QUARANTINE_MS: u64 = 2_500;
/// A run whose progress stands still for so long, in milliseconds, is taken for stuck.
pub const STALLED_RUN_TIMEOUT_MS: u64 = 1_800;
/// Share of a minion's memory, in percent, that tasks taking left-over processors do not fill, so
/// that urgent small tasks and tasks that serve always find some.
pub const BEST_EFFORT_MEMORY_PERCENT: i64 = 85;
/// Share of a minion's processors, in percent, that tasks without end may reserve. They never make
/// room again, and short urgent tasks would otherwise wait behind them for ever; those take about a
/// twentieth of the fleet on the users' ordinary days.
pub const PERSISTENT_CPU_PERCENT: i64 = 97;
/// Share of its reserved processors that a serving task leaves unused, in percent: users declare for their
/// peaks.
pub const SERVING_UNUSED_CPU_PERCENT: i64 = 50;
/// Tail up to which minions are filled, in bounds: what is left is for own loads that rise between two looks.
pub const BEST_EFFORT_TAIL_LIMIT: f64 = 0.90;
/// Pause between two writes of what was learnt of images, in milliseconds: they travel with others, and
/// slopes hardly change.
pub const INTERFERENCE_WRITE_INTERVAL_MS: u64 = 3_000;
/// Stop orders are given again after so many milliseconds without an end.
pub const STOP_RETRY_MS: u64 = 1_500;
/// Jobs that may be open at once. Each takes some kilobytes here and in the store, and is looked at
/// with each placement; users' deployments have some hundreds on their fullest days.
pub const MAX_OPEN_JOBS: usize = 3_000;
/// Wait that a refused caller is told, in milliseconds: with so many jobs open, some end each second.
pub const RETRY_AFTER_MS: u64 = 1_000;
/// How long a coordinator that the store does not confirm goes on extending leases, in
/// milliseconds. It covers the outages of the store that operators report, so that running work
/// outlives them; a successor waits for it before it takes work for ended on minions that it cannot
/// reach.
pub const STORE_OUTAGE_TOLERANCE_MS: u64 = 8_000;
/// How long after it asked the store a coordinator extends leases on the answer alone, in milliseconds. Less
/// than its pause between two questions is enough, as one extension in several beats keeps work going; a
/// successor waits for all of it.
pub const STORE_CONFIRMATION_MS: u64 = 500;
/// How long an entry's promise to support a coordinator lasts, in milliseconds, counted from when the
/// coordinator sent what the entry answers. It covers three pings, and is over when an entry takes the
/// silent coordinator for lost.
pub const PROMISE_MS: u64 = 900;
/// By how much longer an entry keeps its promise than the coordinator counts on it: clocks may be 2% apart.
pub const PROMISE_PERCENT: u64 = 104;
/// Silence of an entry after which a coordinator counts it among its voters no more, in milliseconds.
pub const VOTER_TIMEOUT_MS: u64 = 3_000;
/// Silence of an entry towards a coordinator after which the store names it no more, in milliseconds. One that
/// lives names itself again.
pub const ENTRY_EXPIRY_MS: u64 = 15_000;
/// Shortest pause between two times at which a coordinator's key names other voters, in milliseconds: entries
/// that start together are named together, and a new coordinator has heard of all by then.
pub const VOTER_CHANGE_INTERVAL_MS: u64 = 2_000;
/// Age of the store's last confirmation from which on a coordinator tells its peers that it misses
/// the store, in milliseconds.
pub const STORE_UNREACHABLE_MS: u64 = 900;
