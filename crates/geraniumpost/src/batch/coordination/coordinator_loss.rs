//! When a coordinator is taken for lost.

use super::super::entry::LinkState;

/// Silence after which a coordinator is taken for lost, in milliseconds: three missing answers.
pub const SILENCE_MS: u64 = 900;
/// Refused links in a row after which a coordinator is taken for gone.
const MAX_FAILED_CONNECTS: u32 = 2;
/// How long a coordinator may miss the store before another entry that reaches it takes over, in
/// milliseconds, on top of the time after which it says so.
const STORE_UNREACHABLE_MS: u64 = 200;
/// How long a coordinator may take to reach a store that was away from this entry as well, in
/// milliseconds: its calls wait for up to a second while the store is silent, and this entry hears of
/// the next one with the answer to a ping.
const OUTAGE_RECOVERY_MS: u64 = 1_200;

/// How a coordinator was lost, which decides what it may still do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CoordinatorLoss {
    /// Its process is gone, or it has stepped down.
    Ended,
    /// It may live on, and extend leases until it notices.
    Silent,
}

/// Judges the link to a coordinator at a time on the boot clock.
///
/// `readable_since_ms` is when the store answered this entry again after it had not. After an outage
/// for everybody the coordinator reaches the store a moment after others do. Taking over then would
/// stop all work for a second, for nothing.
pub fn detect_loss(
    link: &LinkState,
    readable_since_ms: Option<u64>,
    now_ms: u64,
) -> Option<CoordinatorLoss> {
    if link.not_coordinating {
        return Some(CoordinatorLoss::Ended);
    }
    // A path that refuses connections says nothing of the process behind it.
    let silent_ms = now_ms.saturating_sub(link.last_heard_ms);
    if link.failed_connects >= MAX_FAILED_CONNECTS || silent_ms >= SILENCE_MS {
        return Some(CoordinatorLoss::Silent);
    }
    let recovering = readable_since_ms.is_some_and(|since| now_ms < since + OUTAGE_RECOVERY_MS);
    let store_unreachable =
        link.store_unreachable_since_ms.is_some_and(|since| now_ms >= since + STORE_UNREACHABLE_MS);
    (store_unreachable && !recovering).then_some(CoordinatorLoss::Silent)
}
