use std::cmp::Reverse;

use super::StopCandidate;
use crate::Demand;

/// Returns runs of one minion whose stop frees at least `lacking`, or `None` if all candidates
/// together free less.
///
/// Runs with a better reason are chosen first, then those that lose less work. No chosen run can be
/// left out. A set with a smaller sum of lost work may exist: to find it would take time that grows
/// exponentially with the number of runs, and the difference is at most a few runs.
///
/// # Example
///
/// ```
/// use geraniumpost_batch::shares::choose_stops;
/// use geraniumpost_batch::Demand;
///
/// let lacking = Demand { milli_cpus: 1_000, ..Demand::default() };
/// assert_eq!(choose_stops(lacking, Vec::new()), None);
/// ```
pub fn choose_stops(
    lacking: Demand,
    mut candidates: Vec<StopCandidate>,
) -> Option<Vec<StopCandidate>> {
    candidates.sort_by_key(|candidate| {
        let freed = Reverse(candidate.frees.memory_mb + candidate.frees.milli_cpus);
        (candidate.reason, candidate.lost_work, freed, candidate.task)
    });
    let mut chosen: Vec<StopCandidate> = Vec::new();
    let mut left = lacking;
    for candidate in candidates {
        if is_covered(left) {
            break;
        }
        if reduces(candidate.frees, left) {
            left -= candidate.frees;
            chosen.push(candidate);
        }
    }
    if !is_covered(left) {
        return None;
    }
    for index in (0..chosen.len()).rev() {
        let without = left + chosen[index].frees;
        if is_covered(without) {
            left = without;
            chosen.remove(index);
        }
    }
    Some(chosen)
}

/// Returns whether nothing is lacking.
const fn is_covered(lacking: Demand) -> bool {
    lacking.milli_cpus <= 0 && lacking.memory_mb <= 0 && lacking.accelerators <= 0
}

/// Returns whether `frees` contains any of what is lacking.
const fn reduces(frees: Demand, lacking: Demand) -> bool {
    (lacking.milli_cpus > 0 && frees.milli_cpus > 0)
        || (lacking.memory_mb > 0 && frees.memory_mb > 0)
        || (lacking.accelerators > 0 && frees.accelerators > 0)
}
