use geraniumpost_schema::Name;

use crate::Millis;

/// Number of different jobs that a worker must fail in a row to be quarantined, if no run that
/// could fail in the same way is still running.
const JOBS_TO_QUARANTINE: usize = 3;
/// Number of different jobs whose failures quarantine a worker in any case.
const JOBS_TO_QUARANTINE_ALWAYS: usize = 6;
/// A run counts as a success once it has lasted this many times the longest time to a failure.
const SUCCESS_FACTOR: u64 = 2;
/// Lower limit of the time after which a run counts as a success.
const MIN_SUCCESS_MS: u64 = 5_000;
/// Upper limit of the time after which a run counts as a success.
const MAX_SUCCESS_MS: u64 = 120_000;
/// Number of different failed jobs from which a worker gets one job at a time.
const JOBS_TO_LIMIT: usize = 2;
/// How long failures count.
const FAILURE_WINDOW_MS: u64 = 300_000;
/// Duration of the first quarantine. It doubles with each failed probe.
const FIRST_QUARANTINE_MS: u64 = 30_000;
/// Maximum number of doublings, which limits a quarantine to about eight minutes.
const MAX_DOUBLINGS: u32 = 4;

/// Whether a worker may be given jobs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum TrustState {
    /// There is not enough evidence against the worker.
    #[default]
    Trusted,
    /// The worker is given no jobs.
    Quarantined {
        /// When the worker is probed.
        until: Millis,
        /// Number of failed probes.
        doublings: u32,
    },
    /// The worker is given one job at a time.
    Probing {
        /// Start of the probe.
        since: Millis,
        /// Number of failed probes before this one.
        doublings: u32,
    },
}

/// The failures and the trust state of one worker.
#[derive(Debug, Clone, Default)]
pub struct WorkerRecord {
    trust: TrustState,
    failures: Vec<Failure>,
    probe_succeeded: bool,
}

/// A job that failed on the worker.
#[derive(Debug, Clone)]
struct Failure {
    job: Name,
    started: Millis,
    at: Millis,
}

impl WorkerRecord {
    /// Records a failure; several failures of one job count once.
    pub fn record_failure(&mut self, job: &Name, started: Millis, at: Millis) {
        self.clear_failure(job);
        self.failures.push(Failure { job: job.clone(), started, at });
    }

    /// Removes a failure that turned out to be caused by the job.
    pub fn clear_failure(&mut self, job: &Name) {
        self.failures.retain(|failure| failure.job != *job);
    }

    /// Returns after how many milliseconds a run counts as a success of the worker.
    pub fn success_after_ms(&self) -> u64 {
        let longest = self.failures.iter().map(|failure| failure.at.since(failure.started)).max();
        (longest.unwrap_or(0) * SUCCESS_FACTOR).clamp(MIN_SUCCESS_MS, MAX_SUCCESS_MS)
    }

    /// Removes failures of runs that began no later than a successful one, or completes a probe.
    pub fn record_success(&mut self, started: Millis) {
        match self.trust {
            TrustState::Trusted => self.failures.retain(|failure| failure.started > started),
            TrustState::Probing { since, .. } if started >= since => self.probe_succeeded = true,
            _ => {}
        }
    }

    /// Updates the trust state and returns it if it changed. `pending` is whether a run that could
    /// fail in the same way as the failed ones is still running.
    pub fn update_trust(&mut self, now: Millis, pending: bool) -> Option<TrustState> {
        self.failures.retain(|failure| now.since(failure.at) < FAILURE_WINDOW_MS);
        let next = self.next_state(now, pending);
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

    /// Returns the number of different jobs that failed on the worker.
    pub fn failed_jobs(&self) -> u32 {
        self.failures.len() as u32
    }

    /// Returns how many unproven runs the worker may have at once, or none if that is not limited.
    pub fn concurrency_limit(&self) -> Option<u32> {
        match self.trust {
            TrustState::Quarantined { .. } => Some(0),
            TrustState::Probing { .. } => Some(1),
            TrustState::Trusted => (self.failures.len() >= JOBS_TO_LIMIT).then_some(1),
        }
    }

    /// Returns whether a current run is unproven: it began during the probe or, if there is none,
    /// no earlier than a failed run.
    pub fn is_unproven(&self, started: Millis) -> bool {
        match self.trust {
            TrustState::Probing { since, .. } => started >= since,
            _ => self.failures.iter().any(|failure| started >= failure.started),
        }
    }

    /// Returns whether the worker is quarantined or probed.
    pub const fn is_untrusted(&self) -> bool {
        !matches!(self.trust, TrustState::Trusted)
    }

    /// Returns whether there is no evidence against the worker.
    pub fn is_clean(&self) -> bool {
        self.trust == TrustState::Trusted && self.failures.is_empty()
    }

    fn next_state(&self, now: Millis, pending: bool) -> TrustState {
        let needed = if pending { JOBS_TO_QUARANTINE_ALWAYS } else { JOBS_TO_QUARANTINE };
        match self.trust {
            TrustState::Trusted if self.failures.len() >= needed => quarantine(now, 0),
            TrustState::Quarantined { until, doublings } if now >= until => {
                TrustState::Probing { since: now, doublings }
            }
            TrustState::Probing { since, doublings }
                if self.failures.iter().any(|failure| failure.at > since) =>
            {
                quarantine(now, (doublings + 1).min(MAX_DOUBLINGS))
            }
            TrustState::Probing { .. } if self.probe_succeeded => TrustState::Trusted,
            trust => trust,
        }
    }
}

/// Returns a quarantine whose duration doubles with each failed probe.
const fn quarantine(now: Millis, doublings: u32) -> TrustState {
    TrustState::Quarantined { until: now.plus(FIRST_QUARANTINE_MS << doublings), doublings }
}
