use std::sync::Arc;
use std::time::Duration;

use geraniumpost_outside::{Store, StoreError, Watched};
use tokio::sync::mpsc;

use super::{CONFIG_KEY, ConfigUpdater, FetchRequest};

/// Timeout of a watch.
///
/// The platform counts each watch as a call, so a process makes one call in ten seconds. If the
/// connection of a watch stalls, a change is noticed up to this much later from the store; peers'
/// heartbeats report it sooner.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which the adoption handles the passing of time.
const TICK: Duration = Duration::from_millis(100);
/// Minimum delay after a failed call. The delay is random up to twice as long, so that entries that
/// lost the store at the same time do not retry at the same time.
const RETRY_DELAY_MS: u64 = 500;

/// Keeps the configuration up to date with the store and with peers until the receiver of
/// `requests` is dropped.
///
/// Reads the store itself, and sends requests to fetch from peers through `requests`.
pub async fn follow_store(
    config: Arc<ConfigUpdater>,
    store: Store,
    requests: mpsc::Sender<FetchRequest>,
) {
    tokio::select! {
        () = requests.closed() => {}
        () = follow_adoption(&config, &requests) => {}
        () = watch(&config, &store, &requests) => {}
    }
}

/// Keeps the configuration up to date with peers only, as agents do, until the receiver of
/// `requests` is dropped.
pub async fn follow_peers(config: Arc<ConfigUpdater>, requests: mpsc::Sender<FetchRequest>) {
    tokio::select! {
        () = requests.closed() => {}
        () = follow_adoption(&config, &requests) => {}
    }
}

/// Requests the configuration at the start and drives the timers of the adoption.
async fn follow_adoption(config: &ConfigUpdater, requests: &mpsc::Sender<FetchRequest>) {
    send(config.start(), requests).await;
    let mut ticks = tokio::time::interval(TICK);
    loop {
        ticks.tick().await;
        send(config.tick(), requests).await;
    }
}

async fn watch(config: &ConfigUpdater, store: &Store, requests: &mpsc::Sender<FetchRequest>) {
    // The first call is a read, because it returns immediately; a watch would wait for a change.
    let mut read = true;
    let mut failing = false;
    loop {
        let outcome = if read {
            config.refresh(store).await.map(|()| Vec::new())
        } else {
            watch_once(config, store).await
        };
        read = outcome.is_err();
        log_outage(&mut failing, outcome.as_ref().err());
        if let Ok(requested) = outcome {
            send(requested, requests).await;
        } else {
            let delay = RETRY_DELAY_MS + rand::random_range(0..RETRY_DELAY_MS);
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
    }
}

/// Logs the beginning and the end of an outage of the store, not every failed call.
fn log_outage(failing: &mut bool, error: Option<&StoreError>) {
    match error {
        Some(error) if !*failing => {
            spdlog::warn!("the configuration cannot be read from the store: {error}");
        }
        None if *failing => spdlog::info!("the configuration can be read from the store again"),
        _ => {}
    }
    *failing = error.is_some();
}

async fn watch_once(
    config: &ConfigUpdater,
    store: &Store,
) -> Result<Vec<FetchRequest>, StoreError> {
    let after = config.active().load().revision();
    match store.watch(CONFIG_KEY, after, WATCH_TIMEOUT).await? {
        Watched::Written(found) if found.revision > after => {
            let requested = config.stored(found.revision, &found.value);
            if config.active().load().revision() == after {
                // The document is unreadable, so the next watch would return immediately.
                tokio::time::sleep(WATCH_TIMEOUT).await;
            }
            Ok(requested)
        }
        Watched::Unchanged => Ok(Vec::new()),
        // geraniumpost never removes the document. If it is removed anyway, the configuration in
        // force stays.
        Watched::Removed { .. } | Watched::Written(_) => {
            tokio::time::sleep(WATCH_TIMEOUT).await;
            Ok(Vec::new())
        }
    }
}

async fn send(requested: Vec<FetchRequest>, requests: &mpsc::Sender<FetchRequest>) {
    for request in requested {
        // If the channel is closed, `select!` in the caller ends this task.
        let _ = requests.send(request).await;
    }
}
