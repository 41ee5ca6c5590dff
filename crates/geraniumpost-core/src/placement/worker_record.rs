use geraniumpost_schema::Name;

use crate::Millis;

/// Different jobs that a worker must fail in a row to be set aside, if no run that had the same
/// chance goes on.
const JOBS_TO_QUARANTINE: usize = 3;
/// Different jobs that set a worker aside in any case.
const JOBS_IN_ANY_CASE: usize = 6;
/// A run is sound once it has lasted this many times the longest time to a failure, ...
const SOUND_TIMES: u64 = 2;
/// ... but at least this long, ...
const SOUND_LEAST_MS: u64 = 5_000;
/// ... and at most this long.
const SOUND_MOST_MS: u64 = 120_000;
/// Different jobs after which a worker gets one job at a time.
const JOBS_TO_DOUBT: usize = 2;
/// How long failures count.
const WINDOW_MS: u64 = 300_000;
/// First time a worker is set aside; it doubles with each failed probe.
const FIRST_QUARANTINE_MS: u64 = 30_000;
/// Most doublings, which bounds the time to about eight minutes.
const MOST_DOUBLINGS: u32 = 4;

/// Whether a worker may be given work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Standing {
    /// Nothing speaks against it.
    #[default]
    Trusted,
    /// Given nothing.
    Quarantined {
        /// When it is probed.
        until: Millis,
        /// How often its probes failed.
        doublings: u32,
    },
    /// Given one job at a time.
    Probing {
        /// Since when.
        since: Millis,
        /// How often its probes failed before.
        doublings: u32,
    },
}

/// What speaks for and against one worker.
#[derive(Debug, Clone, Default)]
pub struct WorkerRecord {
    standing: Standing,
    failures: Vec<Failure>,
    vouched: bool,
}

/// A job that failed here.
#[derive(Debug, Clone)]
struct Failure {
    job: Name,
    began: Millis,
    at: Millis,
}

impl WorkerRecord {
    /// Notes a failure; several of one job count once.
    pub fn fail(&mut self, job: &Name, began: Millis, at: Millis) {
        self.acquit(job);
        self.failures.push(Failure { job: job.clone(), began, at });
    }

    /// Takes back a failure that turned out to be the job's own.
    pub fn acquit(&mut self, job: &Name) {
        self.failures.retain(|failure| failure.job != *job);
    }

    /// Returns how long a run here must last to speak for the worker.
    pub fn sound_after(&self) -> u64 {
        let longest = self.failures.iter().map(|failure| failure.at.since(failure.began)).max();
        (longest.unwrap_or(0) * SOUND_TIMES).clamp(SOUND_LEAST_MS, SOUND_MOST_MS)
    }

    /// Clears failures of runs that began no later than a sound one, or ends a probe.
    pub fn vouch(&mut self, began: Millis) {
        match self.standing {
            Standing::Trusted => self.failures.retain(|failure| failure.began > began),
            Standing::Probing { since, .. } if began >= since => self.vouched = true,
            _ => {}
        }
    }

    /// Moves time on and returns the standing if it changed; `pending` tells whether a run that
    /// had the same chance as the failed ones still goes on.
    pub fn review(&mut self, now: Millis, pending: bool) -> Option<Standing> {
        self.failures.retain(|failure| now.since(failure.at) < WINDOW_MS);
        let next = self.next(now, pending);
        if next == self.standing {
            return None;
        }
        self.standing = next;
        if next == Standing::Trusted {
            self.failures.clear();
        }
        self.vouched = false;
        Some(next)
    }

    /// Returns the jobs that failed here.
    pub fn failed_jobs(&self) -> u32 {
        self.failures.len() as u32
    }

    /// Returns how many unproven jobs the worker may run at once, if that is bounded.
    pub fn most_at_once(&self) -> Option<u32> {
        match self.standing {
            Standing::Quarantined { .. } => Some(0),
            Standing::Probing { .. } => Some(1),
            Standing::Trusted => (self.failures.len() >= JOBS_TO_DOUBT).then_some(1),
        }
    }

    /// Returns whether a run that began then is still unproven.
    pub fn counts_since(&self, began: Millis) -> bool {
        match self.standing {
            Standing::Probing { since, .. } => began >= since,
            _ => self.failures.iter().any(|failure| began >= failure.began),
        }
    }

    /// Returns whether the worker is quarantined or probed.
    pub const fn is_set_aside(&self) -> bool {
        !matches!(self.standing, Standing::Trusted)
    }

    /// Returns whether nothing speaks against the worker.
    pub fn is_clean(&self) -> bool {
        self.standing == Standing::Trusted && self.failures.is_empty()
    }

    fn next(&self, now: Millis, pending: bool) -> Standing {
        let needed = if pending { JOBS_IN_ANY_CASE } else { JOBS_TO_QUARANTINE };
        match self.standing {
            Standing::Trusted if self.failures.len() >= needed => set_aside(now, 0),
            Standing::Quarantined { until, doublings } if now >= until => {
                Standing::Probing { since: now, doublings }
            }
            Standing::Probing { since, doublings }
                if self.failures.iter().any(|failure| failure.at > since) =>
            {
                set_aside(now, (doublings + 1).min(MOST_DOUBLINGS))
            }
            Standing::Probing { .. } if self.vouched => Standing::Trusted,
            standing => standing,
        }
    }
}

/// Sets a worker aside for a time that doubles.
const fn set_aside(now: Millis, doublings: u32) -> Standing {
    Standing::Quarantined { until: now.plus(FIRST_QUARANTINE_MS << doublings), doublings }
}
