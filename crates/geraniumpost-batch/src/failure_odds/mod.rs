//! How likely runs fail, by class of work and by job, and what ends of runs tell about minions.
//!
//! A run may fail by its own fault or by the fault of its minion. A [`MinionEvidence`] compares two
//! explanations of the ends on a minion: the minion is sound, and its runs fail with the odds of
//! their own class and job ([`FailureOdds`]), or it is faulty and fails most of its runs.
//! Everything here is a plain function of its inputs, without clock or randomness.

mod class_odds;
mod minion_evidence;
mod odds_table;
mod quarantine;

pub use class_odds::ClassOdds;
pub use minion_evidence::{MinionEvidence, QUARANTINE_LOG_ODDS};
pub use odds_table::FailureOdds;
pub use quarantine::Quarantine;
