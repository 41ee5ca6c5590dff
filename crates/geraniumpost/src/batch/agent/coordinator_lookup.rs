//! Finding the coordinator.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use geraniumpost_platform::Store;
use tokio::sync::watch;

use super::super::coordination::{COORDINATOR_KEY, CoordinatorRecord, KnownCoordinator};
use super::state::State;

/// Longest time a reading may take.
const READ_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause between two readings while there is no link.
const SEARCHING: Duration = Duration::from_millis(200);
/// Silence of the coordinator after which a successor is looked for, in milliseconds: one missing
/// answer. A VM without power sends no reset, and entries take over after 0.9 s of silence; agents
/// that only then began to doubt would leave their minions without orders for another second.
const SILENCE_MS: u64 = 700;
/// Pause between two looks at whether there is a link.
const LINKED: Duration = Duration::from_millis(100);
/// Pause between two readings while the coordinator misses the store and may have a successor.
const DOUBTING: Duration = Duration::from_millis(600);

/// Reads who coordinates whenever there is no link, or the linked one may have been replaced.
///
/// While the link works the store need not be asked, so that a fleet costs it nothing.
pub async fn find(
    store: Arc<Store>,
    state: Arc<State>,
    known: watch::Sender<Option<KnownCoordinator>>,
) {
    let mut lost = false;
    loop {
        let linked = state.results().is_some();
        let silent = state.silent_ms() > SILENCE_MS;
        let doubts = state.coordinator_misses_store.load(Ordering::Relaxed);
        if linked && !doubts && !silent {
            tokio::time::sleep(LINKED).await;
            continue;
        }
        match store.get(COORDINATOR_KEY, READ_TIMEOUT).await {
            Ok(Some(item)) => {
                lost = false;
                if let Ok(record) = CoordinatorRecord::decode(&item.value)
                    && !record.stepped_down
                {
                    KnownCoordinator { address: record.address, fence: record.term }
                        .publish(&known);
                }
            }
            Ok(None) => lost = false,
            Err(error) => {
                if !lost {
                    spdlog::warn!("event=dependency_lost dependency=store why=\"{error}\"");
                }
                lost = true;
            }
        }
        tokio::time::sleep(if linked && !silent { DOUBTING } else { SEARCHING }).await;
    }
}
