//! Suspects whose last run ended with an expired lease, and that wait for the agent's report.
//!
//! A crash is reported when the next incarnation responds, which may be later than the expiry of
//! the lease. A task that was started again in between would crash another minion before the last
//! crash is counted. Suspects therefore wait for the report, for a limited time.

use super::Coordinator;
use super::isolation_limits::{is_decisive, must_be_isolated};
use super::job::NextPlacement;
use super::minion::Minion;
use super::young_run::YoungRun;
use crate::{Now, TaskId};

/// Maximum time from the expiry of the lease for which a persistent task waits for the report, in
/// milliseconds. Its users notice its absence, and the lease has taken more than 6 s.
const MAX_PERSISTENT_WAIT_MS: u64 = 2_000;
/// Maximum time for which any other task waits for the report after one crash, in milliseconds.
/// With the lease this covers a downtime of 9 s.
const MAX_WAIT_MS: u64 = 3_000;
/// The same after more crashes, in milliseconds. Hardly any healthy task meets several.
const MAX_ISOLATED_WAIT_MS: u64 = 10_000;
/// Number of crashes from which a persistent task waits as long as any other. Only two more starts
/// are allowed, so that each has to count.
const LIMITED_CRASHES: usize = 3;
/// Maximum time for which a suspect waits for a minion without other suspects, in milliseconds.
/// Most of the others are short, or start where the minion that was down is back.
const MAX_LONE_START_WAIT_MS: u64 = 2_000;

impl Coordinator {
    /// Returns for how long a task is not placed yet, in milliseconds, because a report on the
    /// minion of its last run is due; 0 if the task does not wait for a report.
    ///
    /// The wait ends earlier if the report arrives or the minion responds again, since its young
    /// runs are forgotten then, and if the agent is silent as well.
    pub(super) fn remaining_report_wait_ms(&self, task: TaskId, now: Now) -> u64 {
        let crashes = self.crash_count(task);
        if crashes == 0 {
            return 0;
        }
        let persistent = self.step_spec(task).is_some_and(|step| step.persistent);
        let max_wait_ms = max_wait_ms(crashes, persistent);
        let lost_run = |minion: &&Minion| minion.expired_runs.iter().any(|run| run.task == task);
        let is_due = |minion: &&Minion| minion.linked && self.is_agent_heard(&minion.agent, now);
        let minions = self.minions.values().filter(lost_run).filter(is_due);
        let until_ms = minions.map(|minion| minion.runs_expired_ms + max_wait_ms).max();
        until_ms.map_or(0, |until_ms| until_ms.saturating_sub(now.steady_ms))
    }

    /// Lets suspects start alone whose runs had ended before the crash was reported.
    ///
    /// Other tasks that were lost with them may have been started again meanwhile. Beside one of
    /// these, the next crash would not tell which of both is at fault, and each such crash costs a
    /// minion for longer than a lease.
    pub(super) fn require_lone_starts(&mut self, late: &[YoungRun], now: Now) {
        for task in late.iter().map(|run| run.task) {
            if must_be_isolated(self.crash_count(task))
                && let Some(next) = self.next_placement_of_waiting(task)
            {
                next.alone_until_ms = now.steady_ms + MAX_LONE_START_WAIT_MS;
            }
        }
    }

    /// Lets suspects that the next crash may give up start apart from all that were lost in the same
    /// crash.
    ///
    /// All of them start at the same time. If one that has met fewer crashes causes the next one,
    /// the suspect would be given up for it.
    pub(super) fn require_separate_starts(&mut self, young: &[YoungRun], now: Now) {
        for task in young.iter().map(|run| run.task) {
            if is_decisive(self.unexplained_crash_count(task))
                && let Some(next) = self.next_placement_of_waiting(task)
            {
                next.apart_until_ms = now.steady_ms + MAX_LONE_START_WAIT_MS;
            }
        }
    }

    fn next_placement_of_waiting(&mut self, task: TaskId) -> Option<&mut NextPlacement> {
        let waits = self.open_jobs.contains(&task.job) && !self.runs.contains_key(&task);
        let job = self.jobs.get_mut(&task.job).filter(|_| waits)?;
        Some(job.next_placements.entry(task).or_default())
    }

    /// Returns whether a task must start alone and another suspect is on the minion, or must start
    /// apart from one that was lost in the same crash.
    pub(super) fn prevents_lone_start(&self, minion: &Minion, task: TaskId, now: Now) -> bool {
        let next = self.jobs.get(&task.job).and_then(|job| job.next_placements.get(&task));
        let Some(next) = next else { return false };
        let key = self.suspect_key(task);
        let others = || minion.runs.iter().filter(|other| self.suspect_key(**other) != key);
        let is_suspect = |other: &TaskId| self.crash_count(*other) > 0;
        let shares_crash = |other: &TaskId| {
            is_suspect(other)
                && self.explained_crashes.shares_last_crash(key, self.suspect_key(*other))
        };
        (now.steady_ms < next.alone_until_ms && others().any(is_suspect))
            || (now.steady_ms < next.apart_until_ms && others().any(shares_crash))
    }
}

const fn max_wait_ms(crashes: usize, persistent: bool) -> u64 {
    if persistent && crashes < LIMITED_CRASHES {
        MAX_PERSISTENT_WAIT_MS
    } else if must_be_isolated(crashes) {
        MAX_ISOLATED_WAIT_MS
    } else {
        MAX_WAIT_MS
    }
}
