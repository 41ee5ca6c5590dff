//! Tests of the conditions under which an entry considers the coordinator lost.

use geraniumpost::batch::coordination::{CoordinatorLoss, detect_loss};
use geraniumpost::batch::entry::LinkState;

/// The present time on the monotonic clock.
const NOW_MS: u64 = 100_000;

/// Returns the state of a link over which the coordinator has sent its last pong in time.
fn healthy() -> LinkState {
    LinkState { last_heard_ms: NOW_MS - 250, ..LinkState::default() }
}

/// Defines a test for each case: state of the link, time at which the store responded to this entry
/// again after an outage, and expected loss.
macro_rules! loss_cases {
    ($($(#[$doc:meta])* $name:ident: $link:expr, $readable_since_ms:expr => $loss:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            assert_eq!(detect_loss(&$link, $readable_since_ms, NOW_MS), $loss);
        }
    )*};
}

loss_cases! {
    /// The coordinator responds to pings and reaches the store.
    responding_coordinator_is_not_lost: healthy(), None => None;
    /// The coordinator's VM is down or partitioned: three pongs are missing. No task starts until a
    /// successor takes over.
    silent_coordinator_is_lost:
        LinkState { last_heard_ms: NOW_MS - 900, ..healthy() }, None => Some(CoordinatorLoss::Silent);
    /// The coordinator's process was killed, and its VM refuses connections.
    coordinator_that_refuses_links_is_lost: LinkState { failed_connects: 2, ..healthy() }, None => Some(CoordinatorLoss::Silent);
    /// The process at the coordinator's address responds that it does not coordinate.
    process_that_does_not_coordinate_is_a_loss: LinkState { not_coordinating: true, ..healthy() }, None => Some(CoordinatorLoss::Ended);
    /// The coordinator cannot reach the store but this entry can. Without a takeover, accepted jobs
    /// would wait until the coordinator reaches the store.
    coordinator_without_the_store_is_lost:
        LinkState { store_unreachable_since_ms: Some(NOW_MS - 200), ..healthy() }, None => Some(CoordinatorLoss::Silent);
    /// The store was unavailable to all entries and responds again. The coordinator is about to
    /// reach the store, and a takeover would interrupt all work for a second.
    recovering_coordinator_is_not_lost_after_an_outage:
        LinkState { store_unreachable_since_ms: Some(NOW_MS - 5_000), ..healthy() }, Some(NOW_MS - 600) => None;
    /// The store has responded to this entry for a while, but not to the coordinator.
    coordinator_without_the_store_after_an_outage_is_lost:
        LinkState { store_unreachable_since_ms: Some(NOW_MS - 5_000), ..healthy() }, Some(NOW_MS - 1_200)
        => Some(CoordinatorLoss::Silent);
    /// A coordinator that was lost during the outage is replaced at once.
    silent_coordinator_is_lost_after_an_outage:
        LinkState { last_heard_ms: NOW_MS - 900, ..healthy() }, Some(NOW_MS - 100) => Some(CoordinatorLoss::Silent);
}
