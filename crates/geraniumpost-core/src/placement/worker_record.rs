use geraniumpost_schema::Name;

use crate::Millis;

/// Number of different jobs whose failures quarantine a worker, if none of its current runs is
/// unproven.
const FAILED_JOBS_TO_QUARANTINE: usize = 3;
/// Number of different jobs whose failures quarantine a worker even while it has unproven runs.
const FAILED_JOBS_TO_QUARANTINE_ALWAYS: usize = 6;
/// A run counts as a success once it has lasted this many times as long as the longest failed run.
const SUCCESS_DURATION_FACTOR: u64 = 2;
/// Lower limit of the time after which a run counts as a success.
const MIN_SUCCESS_DURATION_MS: u64 = 5_000;
/// Upper limit of the time after which a run counts as a success.
const MAX_SUCCESS_DURATION_MS: u64 = 120_000;
/// Number of different failed jobs from which a trusted worker may have only one unproven run at a
/// time.
const FAILED_JOBS_TO_LIMIT_RUNS: usize = 2;
/// Age from which failures are forgotten.
const FAILURE_WINDOW_MS: u64 = 300_000;
/// Duration of the first quarantine; each failed probe doubles the duration.
const FIRST_QUARANTINE_MS: u64 = 30_000;
/// Maximum number of doublings, which limits the duration of a quarantine to eight minutes.
const MAX_QUARANTINE_DOUBLINGS: u32 = 4;

/// How far a worker is trusted after failures of its runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum TrustState {
    /// Too few different jobs failed on the worker to quarantine it.
    #[default]
    Trusted,
    /// No jobs are started on the worker.
    Quarantined {
        /// End of the quarantine, after which the worker is probed.
        until: Millis,
        /// Number of failed probes, at most [`MAX_QUARANTINE_DOUBLINGS`].
        doublings: u32,
    },
    /// The worker is given one job at a time, to test whether runs succeed again.
    Probing {
        /// Start of the probe.
        since: Millis,
        /// Number of failed probes before this probe, at most [`MAX_QUARANTINE_DOUBLINGS`].
        doublings: u32,
    },
}

/// The failures and the trust state of one worker.
#[derive(Debug, Clone, Default)]
pub struct WorkerRecord {
    trust: TrustState,
    /// Failures in the last [`FAILURE_WINDOW_MS`], at most one for each job.
    failures: Vec<Failure>,
    /// Whether a run that began during the current probe succeeded.
    probe_succeeded: bool,
}

/// Latest failure of one job on the worker.
#[derive(Debug, Clone)]
struct Failure {
    job: Name,
    started: Millis,
    at: Millis,
}

impl WorkerRecord {
    /// Records a failure of `job`, which replaces an earlier failure of the same job.
    pub fn record_failure(&mut self, job: &Name, started: Millis, at: Millis) {
        self.clear_failure(job);
        self.failures.push(Failure { job: job.clone(), started, at });
    }

    /// Removes the failure of `job`, if any, so that it no longer counts against the worker.
    pub fn clear_failure(&mut self, job: &Name) {
        self.failures.retain(|failure| failure.job != *job);
    }

    /// Returns the duration in milliseconds from which a run counts as a success of the worker.
    pub fn success_after_ms(&self) -> u64 {
        let longest = self.failures.iter().map(|failure| failure.at.since(failure.started)).max();
        (longest.unwrap_or(0) * SUCCESS_DURATION_FACTOR)
            .clamp(MIN_SUCCESS_DURATION_MS, MAX_SUCCESS_DURATION_MS)
    }

    /// Records the success of a run that began at `started`. On a trusted worker this removes the
    /// failures of runs that began no later; a probe succeeds if the run began during the probe.
    pub fn record_success(&mut self, started: Millis) {
        match self.trust {
            TrustState::Trusted => self.failures.retain(|failure| failure.started > started),
            TrustState::Probing { since, .. } if started >= since => self.probe_succeeded = true,
            _ => {}
        }
    }

    /// Updates the trust state, and returns the new state if there was a change. `has_unproven_run`
    /// says whether any current run of the worker [is unproven](Self::is_unproven).
    pub fn update_trust(&mut self, now: Millis, has_unproven_run: bool) -> Option<TrustState> {
        self.failures.retain(|failure| now.since(failure.at) < FAILURE_WINDOW_MS);
        let next = self.next_state(now, has_unproven_run);
        if next == self.trust {
            return None;
        }
        self.trust = next;
        if next == TrustState::Trusted {
            self.failures.clear();
        }
        self.probe_succeeded = false;
        Some(next)
    }

    /// Returns the number of different jobs with recent failures on the worker.
    pub fn failed_jobs(&self) -> u32 {
        self.failures.len() as u32
    }

    /// Returns the maximum number of concurrent unproven runs, or `None` if there is no limit.
    pub fn unproven_run_limit(&self) -> Option<u32> {
        match self.trust {
            TrustState::Quarantined { .. } => Some(0),
            TrustState::Probing { .. } => Some(1),
            TrustState::Trusted => (self.failures.len() >= FAILED_JOBS_TO_LIMIT_RUNS).then_some(1),
        }
    }

    /// Returns whether a current run that began at `started` is unproven, that is, could still fail
    /// like the failed runs: the run began during the probe or, without a probe, no earlier than a
    /// failed run.
    pub fn is_unproven(&self, started: Millis) -> bool {
        match self.trust {
            TrustState::Probing { since, .. } => started >= since,
            _ => self.failures.iter().any(|failure| started >= failure.started),
        }
    }

    /// Returns whether the worker is quarantined or being probed.
    pub const fn is_untrusted(&self) -> bool {
        !matches!(self.trust, TrustState::Trusted)
    }

    /// Returns whether the worker is trusted and has no recent failures. Such a record can be
    /// dropped.
    pub fn is_clean(&self) -> bool {
        self.trust == TrustState::Trusted && self.failures.is_empty()
    }

    fn next_state(&self, now: Millis, has_unproven_run: bool) -> TrustState {
        let needed = if has_unproven_run {
            FAILED_JOBS_TO_QUARANTINE_ALWAYS
        } else {
            FAILED_JOBS_TO_QUARANTINE
        };
        match self.trust {
            TrustState::Trusted if self.failures.len() >= needed => quarantine(now, 0),
            TrustState::Quarantined { until, doublings } if now >= until => {
                TrustState::Probing { since: now, doublings }
            }
            TrustState::Probing { since, doublings }
                if self.failures.iter().any(|failure| failure.at > since) =>
            {
                quarantine(now, (doublings + 1).min(MAX_QUARANTINE_DOUBLINGS))
            }
            TrustState::Probing { .. } if self.probe_succeeded => TrustState::Trusted,
            trust => trust,
        }
    }
}

/// Returns a quarantine that begins now and lasts [`FIRST_QUARANTINE_MS`], doubled `doublings`
/// times.
const fn quarantine(now: Millis, doublings: u32) -> TrustState {
    TrustState::Quarantined { until: now.plus(FIRST_QUARANTINE_MS << doublings), doublings }
}
