//! Following the operators' configuration.

use std::sync::Arc;
use std::time::Duration;

use geraniumpost_platform::{CONFIGURATION_KEY, Change, OPERATOR_PREFIX, Store, StoreError};

use super::super::BootClock;
use super::Shared;

/// How long a watch waits. A connection that has gone silent is noticed after it, and the bound on
/// a configuration is two seconds; so one second costs a call a second and keeps the bound.
const WATCH: Duration = Duration::from_secs(1);
/// Longest time a reading may take.
const READ_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause after the store failed.
const PAUSE: Duration = Duration::from_millis(150);

/// Follows the configuration for as long as the process runs.
pub async fn follow(store: Arc<Store>, shared: Arc<Shared>) {
    let mut failed = 0;
    loop {
        let mut asked_ms = BootClock.now_ms();
        let error = match store.list(OPERATOR_PREFIX, READ_TIMEOUT).await {
            Ok((items, revision)) => {
                if failed > 0 {
                    spdlog::info!("event=dependency_regained dependency=store");
                    failed = 0;
                }
                for item in items.iter().filter(|item| item.key == CONFIGURATION_KEY) {
                    shared.in_force.adopt(&item.value, asked_ms);
                }
                shared.in_force.confirm(asked_ms);
                watch(&store, &shared, revision, &mut asked_ms).await
            }
            Err(error) => error,
        };
        if error != StoreError::Compacted {
            failed += 1;
            if failed == 1 {
                spdlog::warn!("event=dependency_lost dependency=store why=\"{error}\"");
            }
            shared.in_force.unread(failed, asked_ms, &error.to_string());
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Watches until the watch fails; `asked_ms` is when the last call was sent.
async fn watch(
    store: &Store,
    shared: &Shared,
    mut revision: u64,
    asked_ms: &mut u64,
) -> StoreError {
    loop {
        *asked_ms = BootClock.now_ms();
        let watched = match store.watch(OPERATOR_PREFIX, revision, WATCH).await {
            Ok(watched) => watched,
            Err(error) => return error,
        };
        revision = revision.max(watched.revision);
        for change in watched.changes {
            if let Change::Written(item) = change
                && item.key == CONFIGURATION_KEY
            {
                shared.in_force.adopt(&item.value, *asked_ms);
            }
        }
        shared.in_force.confirm(*asked_ms);
    }
}
