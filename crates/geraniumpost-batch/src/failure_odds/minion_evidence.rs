use super::Quarantine;
use crate::tuning::QUARANTINE_DURATION_MS;

/// Odds with which a faulty minion fails a run. Some faulty minions fail every run, and others only
/// those that touch what is broken.
const FAULTY_ODDS: f64 = 0.6;
/// Smallest odds of failure that are assumed for a run on a sound minion, so that a single failure
/// of a class that hardly ever fails is not enough.
const MIN_SOUND_ODDS: f64 = 0.005;
/// Evidence at which a minion is quarantined, as the natural logarithm of a likelihood ratio of
/// 500.
///
/// A sound minion reaches it at most once in 500 sequences of ends that begin with a failure. Of
/// runs that fail once in twenty by their own fault, it takes three failures in a row, and of runs
/// that fail once in fifty two: so many attempts a faulty minion costs. A lower bound would take
/// sound minions out of use every few seconds in a large fleet.
pub const QUARANTINE_LOG_ODDS: f64 = 6.2;
/// Evidence after a quarantine: the next failure begins another quarantine, unless successes came
/// first.
const PROBATION_LOG_ODDS: f64 = QUARANTINE_LOG_ODDS - 0.5;
/// Time in which evidence loses half of its weight, in milliseconds. Faults are mended, and chance
/// failures long ago say nothing.
const EVIDENCE_HALF_LIFE_MS: f64 = 30_000.0;
/// Evidence below which no doubt about a minion remains: less than half of one failure in twenty.
const NEGLIGIBLE_LOG_ODDS: f64 = 1.0;
/// Time for which a successful run proves that a minion works, in milliseconds.
const PROVEN_MS: u64 = 30_000;
/// Maximum number of doublings of a quarantine's duration, up to 20 s: a minion that has been
/// mended must not stay out of use for much longer.
const MAX_DOUBLINGS: u32 = 3;

/// What the ends of runs on a minion tell about it.
#[derive(Debug, Clone, Copy, Default)]
pub struct MinionEvidence {
    log_odds: f64,
    updated_ms: u64,
    /// Number of quarantines since the evidence was last gone.
    quarantines: u32,
    quarantined_until_ms: u64,
    last_success_ms: Option<u64>,
}

impl MinionEvidence {
    /// Adds the end of a run that would fail with odds `sound_odds` on a sound minion. Returns a
    /// quarantine if the evidence against the minion suffices.
    ///
    /// Ends during a quarantine come from runs that began before, and prolong it no further.
    pub fn record_end(&mut self, failed: bool, sound_odds: f64, now_ms: u64) -> Option<Quarantine> {
        let log_odds = (self.log_odds(now_ms) + log_likelihood_ratio(failed, sound_odds)).max(0.0);
        self.log_odds = log_odds;
        self.updated_ms = now_ms;
        if !failed {
            self.last_success_ms = Some(now_ms);
        }
        if log_odds < NEGLIGIBLE_LOG_ODDS {
            self.quarantines = 0;
        }
        if now_ms < self.quarantined_until_ms {
            self.log_odds = log_odds.min(PROBATION_LOG_ODDS);
            return None;
        }
        if !failed || log_odds < QUARANTINE_LOG_ODDS {
            return None;
        }
        let duration_ms = QUARANTINE_DURATION_MS << self.quarantines.min(MAX_DOUBLINGS);
        self.quarantines += 1;
        self.quarantined_until_ms = now_ms + duration_ms;
        self.log_odds = PROBATION_LOG_ODDS;
        Some(Quarantine { duration_ms, log_odds, count: self.quarantines })
    }

    /// Returns the natural logarithm of how much likelier the ends are if the minion is faulty than
    /// if it is sound; at least 0, so that a long sound past hides no fault.
    pub fn log_odds(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms.max(self.quarantined_until_ms));
        self.log_odds * (-(elapsed_ms as f64) / EVIDENCE_HALF_LIFE_MS).exp2()
    }

    /// Returns the probability that the minion is sound, if it is as likely as not to be faulty at
    /// the bound of a quarantine.
    pub fn soundness(&self, now_ms: u64) -> f64 {
        1.0 / (1.0 + (self.log_odds(now_ms) - QUARANTINE_LOG_ODDS).exp())
    }

    /// Returns whether evidence against the minion remains.
    pub fn is_doubtful(&self, now_ms: u64) -> bool {
        self.log_odds(now_ms) >= NEGLIGIBLE_LOG_ODDS
    }

    /// Returns whether the minion was quarantined and evidence against it remains.
    pub fn is_on_probation(&self, now_ms: u64) -> bool {
        self.quarantines > 0 && self.is_doubtful(now_ms)
    }

    /// Returns whether a run succeeded on the minion lately and nothing is held against it.
    pub fn is_proven(&self, now_ms: u64) -> bool {
        let succeeded = self.last_success_ms.is_some_and(|at_ms| now_ms < at_ms + PROVEN_MS);
        succeeded && !self.is_doubtful(now_ms)
    }
}

/// Returns the logarithm of the likelihood of an end on a faulty minion over that on a sound one.
fn log_likelihood_ratio(failed: bool, sound_odds: f64) -> f64 {
    // A class that fails more often than runs on faulty minions tells nothing about minions.
    let sound_odds = sound_odds.clamp(MIN_SOUND_ODDS, FAULTY_ODDS);
    if failed {
        (FAULTY_ODDS / sound_odds).ln()
    } else {
        ((1.0 - FAULTY_ODDS) / (1.0 - sound_odds)).ln()
    }
}
