//! Timeouts, limits and weights of the coordinator.

/// How long a finished job's state can be read, in milliseconds: the two minutes that callers are
/// promised, plus 10%.
pub const FINISHED_JOB_RETENTION_MS: u64 = 132_000;
/// Maximum number of job records in one write. The store takes 32 entries in a transaction; one
/// entry is the coordinator's key, and another may be the interference snapshot.
pub const MAX_RECORDS_PER_WRITE: usize = 30;
/// Size of the job records in a write, in bytes, from which no further record is added. This keeps
/// the body of a transaction well below the store's largest value.
pub const MAX_BYTES_PER_WRITE: usize = 400_000;
/// Maximum number of concurrent writes. One write at a time suffices at the store's usual response
/// time of 4 ms; at 250 ms, four writes still carry 120 records per round trip.
pub const MAX_CONCURRENT_WRITES: usize = 4;
/// Delay before a start order whose outcome is unknown is sent again, in milliseconds. For an order
/// without a response the agent's own timeout has passed already, and the delay only has to exceed
/// a round trip.
pub const ORDER_RETRY_DELAY_MS: u64 = 300;
/// Time after which a start order is sent again if its agent has reported no result, in
/// milliseconds: the agent's timeout for a call, and a margin for a slow agent.
pub const ORDER_RESULT_TIMEOUT_MS: u64 = 2_500;
/// Delay before a failed task is placed again, in milliseconds.
pub const FAILURE_BACKOFF_MS: u64 = 50;
/// Delay before a task that a minion refused is placed again, in milliseconds.
pub const REFUSAL_BACKOFF_MS: u64 = 150;
/// Time until a lease has expired on any minion's clock, in percent of its duration: clocks may be
/// 2% slow.
pub const LEASE_EXPIRY_BOUND_PERCENT: u64 = 103;
/// Margin on top of [`LEASE_EXPIRY_BOUND_PERCENT`] in milliseconds, for the delay of the last call
/// that extended the lease.
pub const LEASE_EXPIRY_MARGIN_MS: u64 = 250;
/// Consecutive failed runs of different jobs after which a minion is quarantined. About one run in
/// a hundred fails through a fault of its own task; two such failures in a row occur in one case in
/// ten thousand.
pub const QUARANTINE_FAILURES: u32 = 2;
/// Time for which a quarantined minion gets no tasks, in milliseconds. After a quarantine for
/// failures, the next failed run of another job starts a new quarantine, unless a run on the minion
/// has succeeded first.
pub const QUARANTINE_DURATION_MS: u64 = 2_500;
/// Time without progress after which a run counts as stalled, in milliseconds; a tenth of the
/// task's estimated duration is added.
pub const STALLED_RUN_TIMEOUT_MS: u64 = 1_800;
/// Maximum share of a minion's memory that may be reserved once a best-effort task is placed, in
/// percent. The rest stays free for small urgent tasks and serving tasks.
pub const MAX_BEST_EFFORT_MEMORY_PERCENT: i64 = 85;
/// Maximum share of a minion's processors that may be reserved once a new persistent task is
/// placed, in percent. Persistent tasks never release their processors; without this limit, short
/// urgent tasks would wait indefinitely. The limit reserves 3% for short urgent tasks, which
/// usually need about a twentieth of the fleet.
pub const MAX_PERSISTENT_CPU_PERCENT: i64 = 97;
/// Share of its reserved processors that a serving task is assumed to leave idle, in percent:
/// submitters declare the demand at peak load.
pub const SERVING_UNUSED_CPU_PERCENT: i64 = 50;
/// Tail latency of serving tasks, as a multiple of its bound, up to which best-effort tasks are
/// placed on the same minion. The remainder up to the bound absorbs a rise of the user load between
/// two polls.
pub const MAX_SERVING_TAIL_LATENCY_RATIO: f64 = 0.90;
/// Minimum interval between two writes of the interference snapshot, in milliseconds. The snapshot
/// is written along with job records, and slopes hardly change.
pub const INTERFERENCE_WRITE_INTERVAL_MS: u64 = 3_000;
/// Time after which a stop order is sent again if the run has not ended, in milliseconds.
pub const STOP_RETRY_DELAY_MS: u64 = 1_500;
/// Default maximum number of open jobs. Each job takes some kilobytes in this process and in the
/// store, and is examined in each placement round; deployments have some hundreds at their peak.
pub const MAX_OPEN_JOBS: usize = 3_000;
/// Retry delay in the response to a refused submission, in milliseconds: with [`MAX_OPEN_JOBS`]
/// jobs open, some end each second.
pub const RETRY_AFTER_MS: u64 = 1_000;
/// How long a coordinator with the support of a majority of entries extends leases without a
/// confirmation from the store, in milliseconds. This covers the store outages that operators
/// report; running tasks survive such outages. A successor of a silent coordinator waits at most
/// for this time plus the expiry of the last lease before it considers runs on unreachable minions
/// ended.
pub const STORE_OUTAGE_TOLERANCE_MS: u64 = 8_000;
/// Time for which a confirmation by the store alone permits a coordinator to extend leases, in
/// milliseconds, counted from the request. This time may be shorter than the interval between two
/// requests, because one lease extension in several heartbeats keeps tasks running. A successor
/// waits until this time has passed.
pub const STORE_CONFIRMATION_VALIDITY_MS: u64 = 500;
/// Duration of an entry's promise to support a coordinator, in milliseconds, counted from when the
/// coordinator sent the pong that the entry responds to. This covers three pings, and ends before
/// an entry considers a silent coordinator lost.
pub const PROMISE_DURATION_MS: u64 = 900;
/// Time for which an entry keeps a promise, in percent of [`PROMISE_DURATION_MS`]. The entry keeps
/// the promise longer than the coordinator relies on it, because clocks may be 2% apart.
pub const ENTRY_PROMISE_DURATION_PERCENT: u64 = 104;
/// Age of an entry's last promise at which the entry stops being a voter, in milliseconds.
pub const VOTER_TIMEOUT_MS: u64 = 3_000;
/// Time without a response from an entry after which the coordinator removes it from the store's
/// list of entries, in milliseconds. An entry that is alive adds itself again.
pub const ENTRY_EXPIRY_MS: u64 = 15_000;
/// Minimum interval between two changes of the voters in the coordinator's key, in milliseconds.
/// Entries that start together are thus added in one change, and a new coordinator has received
/// pings from all entries before its first change.
pub const VOTER_CHANGE_INTERVAL_MS: u64 = 2_000;
/// Minimum time from the beginning of a term until voters are named in a coordinator's key that
/// names none, in milliseconds: two pings. Without voters nobody can tell when a lost coordinator
/// no longer extends leases, so that this change does not wait for [`VOTER_CHANGE_INTERVAL_MS`].
pub const FIRST_VOTERS_DELAY_MS: u64 = 500;
/// Age of the store's last confirmation at which a coordinator starts to report to its peers that
/// it does not reach the store, in milliseconds.
pub const MAX_CONFIRMATION_AGE_MS: u64 = 900;
