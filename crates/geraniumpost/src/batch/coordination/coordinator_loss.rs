//! Detection of a lost coordinator.

use super::super::entry::LinkState;

/// Silence after which a coordinator counts as lost, in milliseconds: three missing pongs.
pub const SILENCE_MS: u64 = 900;
/// Failed connects in a row after which a coordinator counts as lost.
const MAX_FAILED_CONNECTS: u32 = 2;
/// Time for which a coordinator may report that it does not reach the store before another entry
/// takes over, in milliseconds. It is added to the time after which the coordinator reports it.
const STORE_UNREACHABLE_MS: u64 = 200;
/// Time that a coordinator gets to reach the store after an outage that this entry saw as well, in
/// milliseconds. Its calls wait for up to a second while the store does not answer, and this entry
/// learns of the first success with the next pong.
const OUTAGE_RECOVERY_MS: u64 = 1_200;

/// How a coordinator was lost. It determines whether the coordinator may still extend leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CoordinatorLoss {
    /// Its process has terminated, or it has stepped down.
    Ended,
    /// It may still run, and extend leases until it learns of its successor.
    Silent,
}

/// Returns how the coordinator was lost, or `None` if it still counts as working.
///
/// `readable_since_ms` is when the store answered this entry again after an outage, and `now_ms`
/// the present time, both on the boot clock. After an outage that affected all entries the
/// coordinator may reach the store slightly later than this entry. A takeover at that moment would
/// interrupt all work for a second without need.
pub fn detect_loss(
    link: &LinkState,
    readable_since_ms: Option<u64>,
    now_ms: u64,
) -> Option<CoordinatorLoss> {
    if link.not_coordinating {
        return Some(CoordinatorLoss::Ended);
    }
    // A refused connection does not prove that the process has terminated.
    let silent_ms = now_ms.saturating_sub(link.last_heard_ms);
    if link.failed_connects >= MAX_FAILED_CONNECTS || silent_ms >= SILENCE_MS {
        return Some(CoordinatorLoss::Silent);
    }
    let recovering = readable_since_ms.is_some_and(|since| now_ms < since + OUTAGE_RECOVERY_MS);
    let store_unreachable =
        link.store_unreachable_since_ms.is_some_and(|since| now_ms >= since + STORE_UNREACHABLE_MS);
    (store_unreachable && !recovering).then_some(CoordinatorLoss::Silent)
}
