//! Timeouts, limits and weights of the coordinator.

/// How long a finished job's state can be read, in milliseconds: the two minutes that callers are
/// promised, and a tenth more.
pub const FINISHED_JOB_RETENTION_MS: u64 = 132_000;
/// Limit on the job records in one write. The store takes 32 entries in a transaction, of which one
/// is the coordinator's key and one may be the interference snapshot.
pub const MAX_RECORDS_PER_WRITE: usize = 30;
/// Limit on the bytes of job records in one write. It keeps the body of a transaction well below
/// the store's largest value.
pub const MAX_BYTES_PER_WRITE: usize = 400_000;
/// Limit on concurrent writes. One suffices at the store's usual response time of 4 ms; if the
/// store needs a quarter of a second, four still carry 120 records per round trip.
pub const MAX_CONCURRENT_WRITES: usize = 4;
/// Pause after which an order that was not answered is sent again, in milliseconds. It begins after
/// the agent's own timeout, so that it only has to exceed a round trip.
pub const ORDER_RETRY_MS: u64 = 300;
/// Time after which an order whose result has not arrived is sent again, in milliseconds: the
/// agent's timeout for a call, and a margin for a slow agent.
pub const ORDER_RESULT_TIMEOUT_MS: u64 = 2_500;
/// Pause before a failed task runs again, in milliseconds.
pub const FAILURE_BACKOFF_MS: u64 = 50;
/// Pause before a task that a minion refused for lack of resources is placed again, in
/// milliseconds.
pub const NO_CAPACITY_BACKOFF_MS: u64 = 150;
/// Time until a lease has expired on any minion's clock, in percent of its duration: clocks may be
/// 2% slow.
pub const LEASE_EXPIRY_PERCENT: u64 = 103;
/// Margin on top of [`LEASE_EXPIRY_PERCENT`] in milliseconds, for the delay of the last call.
pub const LEASE_EXPIRY_MARGIN_MS: u64 = 250;
/// Consecutive failed runs of different jobs after which a minion is quarantined. About one run in
/// a hundred fails through its own fault, so that two in a row are one case in ten thousand.
pub const QUARANTINE_FAILURES: u32 = 2;
/// Time for which a quarantined minion gets no tasks, in milliseconds. Afterwards it gets one task
/// as a trial.
pub const QUARANTINE_MS: u64 = 2_500;
/// Time without progress after which a run counts as stalled, in milliseconds.
pub const STALLED_RUN_TIMEOUT_MS: u64 = 1_800;
/// Limit on the share of a minion's memory that best-effort tasks may use, in percent. The rest
/// stays free for small urgent tasks and serving tasks.
pub const BEST_EFFORT_MEMORY_PERCENT: i64 = 85;
/// Limit on the share of a minion's processors that persistent tasks may reserve, in percent. They
/// never release them, so that short urgent tasks would otherwise wait without end; those need
/// about a twentieth of the fleet on ordinary days.
pub const PERSISTENT_CPU_PERCENT: i64 = 97;
/// Share of its reserved processors that a serving task leaves idle, in percent: users declare for
/// their peaks.
pub const SERVING_UNUSED_CPU_PERCENT: i64 = 50;
/// Tail latency of serving tasks, as a multiple of its bound, up to which best-effort tasks are
/// placed beside them. The rest absorbs a rise of the serving tasks' own load between two polls.
pub const MAX_SERVING_TAIL_LATENCY_RATIO: f64 = 0.90;
/// Least time between two writes of the interference snapshot, in milliseconds. It is written along
/// with job records, and slopes hardly change.
pub const INTERFERENCE_WRITE_INTERVAL_MS: u64 = 3_000;
/// Time after which a stop order is sent again if the run has not ended, in milliseconds.
pub const STOP_RETRY_MS: u64 = 1_500;
/// Limit on open jobs. Each takes some kilobytes in this process and in the store, and is examined
/// in each placement; deployments have some hundreds at their peak.
pub const MAX_OPEN_JOBS: usize = 3_000;
/// Wait that a refused caller is advised to keep, in milliseconds: with [`MAX_OPEN_JOBS`] jobs
/// open, some end each second.
pub const RETRY_AFTER_MS: u64 = 1_000;
/// How long a coordinator extends leases without a confirmation from the store, in milliseconds. It
/// covers the store outages that operators report, so that running tasks outlive them. A successor
/// waits for this time before it takes runs on unreachable minions for ended.
pub const STORE_OUTAGE_TOLERANCE_MS: u64 = 8_000;
/// How long after a request to the store its response alone permits a coordinator to extend leases,
/// in milliseconds. It may be shorter than the interval between two requests, because one extension
/// in several heartbeats keeps tasks running. A successor waits for all of this time.
pub const STORE_CONFIRMATION_VALIDITY_MS: u64 = 500;
/// How long an entry's promise to support a coordinator lasts, in milliseconds, counted from when
/// the coordinator sent the pong that the entry answers. It covers three pings, and has expired
/// when an entry takes the silent coordinator for lost.
pub const PROMISE_DURATION_MS: u64 = 900;
/// How long an entry keeps its promise, in percent of the time for which the coordinator relies on
/// it: clocks may be 2% apart.
pub const KEPT_PROMISE_PERCENT: u64 = 104;
/// Silence of an entry after which it is no longer a voter, in milliseconds.
pub const VOTER_TIMEOUT_MS: u64 = 3_000;
/// Silence of an entry towards the coordinator after which it is removed from the store's list of
/// entries, in milliseconds. An entry that is alive adds itself again.
pub const ENTRY_EXPIRY_MS: u64 = 15_000;
/// Least time between two changes of the voters in the coordinator's key, in milliseconds. Entries
/// that start together are thus added together, and a new coordinator has heard from all of them by
/// then.
pub const VOTER_CHANGE_INTERVAL_MS: u64 = 2_000;
/// Age of the store's last confirmation from which on a coordinator reports to its peers that it
/// does not reach the store, in milliseconds.
pub const STORE_UNREACHABLE_MS: u64 = 900;
