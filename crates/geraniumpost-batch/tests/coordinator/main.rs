//! Tests of the coordinator's decisions, without I/O.

mod best_effort;
mod best_effort_fleet;
mod changed_capacity;
mod cluster;
mod contention;
mod crashing_fleet;
mod crashing_siblings;
mod crashing_tasks;
mod diagnostic_logs;
mod disturbance;
mod draining;
mod duplicate_orders;
mod evacuations;
mod explained_crashes;
mod job_guarantees;
mod late_crash_reports;
mod leases;
mod longest_wait;
mod persistent_restart;
mod random_faults;
mod recovery_time;
mod regressions;
mod simulation;
mod steps;
