//! When entries take the coordinator for lost.

use geraniumpost::batch::coordination::{CoordinatorLoss, detect_loss};
use geraniumpost::batch::entry::LinkState;

/// Now, on the monotonic clock of these tests.
const NOW_MS: u64 = 100_000;

/// A link over which the coordinator has just answered.
fn healthy() -> LinkState {
    LinkState { last_heard_ms: NOW_MS - 250, ..LinkState::default() }
}

/// Names each case: the link, since when the store answers this entry again, and the verdict.
macro_rules! judged {
    ($($(#[$doc:meta])* $name:ident: $link:expr, $readable:expr => $loss:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            assert_eq!(detect_loss(&$link, $readable, NOW_MS), $loss);
        }
    )*};
}

judged! {
    /// The coordinator answers its pings and reaches the store.
    healthy_coordinator_stays: healthy(), None => None;
    /// Its VM is off or cut off: three pings had no answer. Nothing starts until somebody follows it.
    silent_coordinator_is_lost:
        LinkState { last_heard_ms: NOW_MS - 900, ..healthy() }, None => Some(CoordinatorLoss::Silent);
    /// Its process was killed, and its VM refuses connections.
    refused_links_are_a_loss: LinkState { failed_connects: 2, ..healthy() }, None => Some(CoordinatorLoss::Silent);
    /// It says itself that it no longer coordinates.
    denial_is_a_loss: LinkState { not_coordinating: true, ..healthy() }, None => Some(CoordinatorLoss::Ended);
    /// The store turns the coordinator away and serves this entry. Accepted jobs would wait for as
    /// long as that lasts.
    coordinator_without_the_store_is_lost:
        LinkState { store_unreachable_since_ms: Some(NOW_MS - 200), ..healthy() }, None => Some(CoordinatorLoss::Silent);
    /// The store was away for everybody and has just come back. The coordinator is about to reach it;
    /// a takeover would stop all work for a second.
    coordinator_keeps_its_term_after_an_outage:
        LinkState { store_unreachable_since_ms: Some(NOW_MS - 5_000), ..healthy() }, Some(NOW_MS - 600) => None;
    /// The store has long been back, but not for the coordinator.
    coordinator_that_stays_without_the_store_is_lost:
        LinkState { store_unreachable_since_ms: Some(NOW_MS - 5_000), ..healthy() }, Some(NOW_MS - 1_200)
        => Some(CoordinatorLoss::Silent);
    /// A coordinator that died during the outage is followed at once.
    silence_counts_after_an_outage:
        LinkState { last_heard_ms: NOW_MS - 900, ..healthy() }, Some(NOW_MS - 100) => Some(CoordinatorLoss::Silent);
}
