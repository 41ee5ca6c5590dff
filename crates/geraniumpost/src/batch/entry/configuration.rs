//! Following the operators' configuration.

use std::sync::Arc;
use std::time::Duration;

use geraniumpost_platform::{
    CONFIGURATION_KEY, Change, OPERATOR_PREFIX, Store, StoreError, decode_routes,
};

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
    let mut lost = false;
    loop {
        let error = match store.list(OPERATOR_PREFIX, READ_TIMEOUT).await {
            Ok((items, revision)) => {
                if lost {
                    spdlog::info!("event=dependency_regained dependency=store");
                    lost = false;
                }
                for item in items.iter().filter(|item| item.key == CONFIGURATION_KEY) {
                    adopt(&shared, &item.value);
                }
                watch(&store, &shared, revision).await
            }
            Err(error) => error,
        };
        if !lost && error != StoreError::Compacted {
            spdlog::warn!("event=dependency_lost dependency=store why=\"{error}\"");
            lost = true;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Watches until the watch fails.
async fn watch(store: &Store, shared: &Shared, mut revision: u64) -> StoreError {
    loop {
        let watched = match store.watch(OPERATOR_PREFIX, revision, WATCH).await {
            Ok(watched) => watched,
            Err(error) => return error,
        };
        revision = revision.max(watched.revision);
        for change in watched.changes {
            if let Change::Written(item) = change
                && item.key == CONFIGURATION_KEY
            {
                adopt(shared, &item.value);
            }
        }
    }
}

/// Puts a configuration in force if it is newer than the one that is.
fn adopt(shared: &Shared, value: &[u8]) {
    let routes = match decode_routes(value) {
        Ok(routes) => routes,
        Err(error) => {
            spdlog::error!("event=configuration_unusable why=\"{error:#}\"");
            return;
        }
    };
    let before = shared.routes.load().as_ref().map_or(0, |routes| routes.version);
    if routes.version > before {
        let (version, queues) = (routes.version, routes.len());
        shared.routes.store(Some(Arc::new(routes)));
        spdlog::info!("event=configuration version={version} before={before} queues={queues}");
    }
}
