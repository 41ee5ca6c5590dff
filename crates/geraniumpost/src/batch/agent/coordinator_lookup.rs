//! Lookup of the current coordinator in the store.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use geraniumpost_platform::Store;
use tokio::sync::watch;

use super::super::coordination::{COORDINATOR_KEY, CoordinatorRecord, KnownCoordinator};
use super::state::State;

/// Timeout of one read of the coordinator's key.
const READ_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause between two reads of the coordinator's key while there is no link or the coordinator is
/// silent.
const SEARCH_PAUSE: Duration = Duration::from_millis(200);
/// Silence of the coordinator after which the agent looks for a successor in the store, in
/// milliseconds: one missing response. A VM without power does not reset its connections, and
/// entries take over after 0.9 s of silence. If agents waited as long, minions would get no orders
/// for another second.
const LOOKUP_SILENCE_MS: u64 = 700;
/// Pause between two checks of whether the link still works.
const LINK_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Pause between two reads of the coordinator's key while the linked coordinator may have a
/// successor.
const RECHECK_INTERVAL: Duration = Duration::from_millis(600);

/// Reads the coordinator's key while there is no link, or the linked coordinator may have a
/// successor, and publishes the current coordinator.
///
/// The store is not read while the link works, so that a large fleet puts no load on the store.
pub async fn follow_coordinator(
    store: Arc<Store>,
    state: Arc<State>,
    known_coordinator: watch::Sender<Option<KnownCoordinator>>,
) {
    let mut store_unreachable = false;
    loop {
        let linked = state.reported_result_count().is_some();
        let silent = state.coordinator_silence_ms() > LOOKUP_SILENCE_MS;
        let may_be_replaced = state.coordinator_may_be_replaced.load(Ordering::Relaxed);
        if linked && !may_be_replaced && !silent {
            tokio::time::sleep(LINK_CHECK_INTERVAL).await;
            continue;
        }
        match store.get(COORDINATOR_KEY, READ_TIMEOUT).await {
            Ok(Some(item)) => {
                store_unreachable = false;
                if let Ok(record) = CoordinatorRecord::decode(&item.value)
                    && !record.stepped_down
                {
                    KnownCoordinator { address: record.address, fence: record.term }
                        .publish(&known_coordinator);
                }
            }
            Ok(None) => store_unreachable = false,
            Err(error) => {
                if !store_unreachable {
                    spdlog::warn!("event=dependency_lost dependency=store why=\"{error}\"");
                }
                store_unreachable = true;
            }
        }
        tokio::time::sleep(if linked && !silent { RECHECK_INTERVAL } else { SEARCH_PAUSE }).await;
    }
}
