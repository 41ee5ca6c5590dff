//! Detection of a lost coordinator.

use super::super::entry::LinkState;

/// Silence after which a coordinator counts as lost, in milliseconds: three missing pongs.
pub const COORDINATOR_LOSS_MS: u64 = 900;
/// Number of consecutive failed connects after which a coordinator counts as lost.
const MAX_FAILED_CONNECTS: u32 = 2;
/// Time for which a coordinator may report that it does not reach the store before it counts as
/// lost, in milliseconds. The coordinator starts to report it after `tuning::MAX_CONFIRMATION_AGE_MS`.
const MAX_STORE_UNREACHABLE_MS: u64 = 200;
/// Time within which a coordinator must reach the store after an outage that this entry noticed as
/// well, in milliseconds. During the outage its calls wait for up to a second, and this entry
/// learns of the first successful one with the next pong.
const OUTAGE_RECOVERY_MS: u64 = 1_200;

/// How a coordinator was lost. It determines whether the coordinator may still extend leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CoordinatorLoss {
    /// The coordinator has terminated or stepped down, and can no longer extend leases.
    Ended,
    /// The coordinator may still run, and extend leases until it learns of its successor.
    Silent,
}

/// Returns how the coordinator was lost, or `None` if it does not count as lost.
///
/// `readable_since_ms` is the time at which the store responded to this entry again after an
/// outage, and `now_ms` the present time, both on the monotonic clock. After an outage that
/// affected all entries, the coordinator may reach the store slightly later than this entry. A
/// takeover at that moment would needlessly interrupt all work for a second.
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
    if link.failed_connects >= MAX_FAILED_CONNECTS || silent_ms >= COORDINATOR_LOSS_MS {
        return Some(CoordinatorLoss::Silent);
    }
    let recovering = readable_since_ms.is_some_and(|since| now_ms < since + OUTAGE_RECOVERY_MS);
    let store_unreachable = link
        .store_unreachable_since_ms
        .is_some_and(|since| now_ms >= since + MAX_STORE_UNREACHABLE_MS);
    (store_unreachable && !recovering).then_some(CoordinatorLoss::Silent)
}
