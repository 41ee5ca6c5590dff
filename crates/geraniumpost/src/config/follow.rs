use std::sync::Arc;
use std::time::Duration;

use geraniumpost_outside::{Store, StoreError, Watched};
use tokio::sync::mpsc;

use super::{CONFIG_KEY, ConfigUpdater, FetchRequest};

/// Longest wait of a watch.
///
/// The platform counts a waiting watch as a call, which this makes one in ten seconds. A watch whose
/// connection has gone silent costs as much; meanwhile the peers' beats tell of a change.
const WAIT: Duration = Duration::from_secs(10);
/// Interval at which the gathering of a starting process is looked at.
const TICK: Duration = Duration::from_millis(100);
/// Shortest pause after a call that failed; up to twice as long, so that entries that lost the
/// store together do not come back together.
const PAUSE_MS: u64 = 500;

/// Follows the configuration in the store until the receiver of `wanted` is dropped.
///
/// What peers have to be asked for is sent through `wanted`; the store is read here.
pub async fn follow_store(
    config: Arc<ConfigUpdater>,
    store: Store,
    wanted: mpsc::Sender<FetchRequest>,
) {
    tokio::select! {
        () = wanted.closed() => {}
        () = gather(&config, &wanted) => {}
        () = watch(&config, &store, &wanted) => {}
    }
}

/// Gathers the configuration from peers alone, as agents do, until the receiver is dropped.
pub async fn follow_peers(config: Arc<ConfigUpdater>, wanted: mpsc::Sender<FetchRequest>) {
    tokio::select! {
        () = wanted.closed() => {}
        () = gather(&config, &wanted) => {}
    }
}

/// Asks for what a starting process lacks, and keeps the time of the adoption rule.
async fn gather(config: &ConfigUpdater, wanted: &mpsc::Sender<FetchRequest>) {
    send(config.start(), wanted).await;
    let mut ticks = tokio::time::interval(TICK);
    loop {
        ticks.tick().await;
        send(config.tick(), wanted).await;
    }
}

async fn watch(config: &ConfigUpdater, store: &Store, wanted: &mpsc::Sender<FetchRequest>) {
    // The first call is a read, which answers at once where a watch would wait for a change.
    let mut read = true;
    let mut down = false;
    loop {
        let outcome = if read {
            config.refresh(store).await.map(|()| Vec::new())
        } else {
            wait(config, store).await
        };
        read = outcome.is_err();
        note(&mut down, outcome.as_ref().err());
        if let Ok(asked) = outcome {
            send(asked, wanted).await;
        } else {
            let pause = PAUSE_MS + rand::random_range(0..PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }
}

/// Logs the beginning and the end of an outage, not each call of it.
fn note(down: &mut bool, error: Option<&StoreError>) {
    match error {
        Some(error) if !*down => {
            spdlog::warn!("the configuration cannot be read from the store: {error}");
        }
        None if *down => spdlog::info!("the configuration can be read from the store again"),
        _ => {}
    }
    *down = error.is_some();
}

async fn wait(config: &ConfigUpdater, store: &Store) -> Result<Vec<FetchRequest>, StoreError> {
    let after = config.active().load().revision();
    match store.watch(CONFIG_KEY, after, WAIT).await? {
        Watched::Written(found) if found.revision > after => {
            let asked = config.stored(found.revision, &found.value);
            if config.active().load().revision() == after {
                // It could not be read; the watch would return at once, again and again.
                tokio::time::sleep(WAIT).await;
            }
            Ok(asked)
        }
        Watched::Unchanged => Ok(Vec::new()),
        // Nobody removes the document; should it happen, what is in force stays.
        Watched::Removed { .. } | Watched::Written(_) => {
            tokio::time::sleep(WAIT).await;
            Ok(Vec::new())
        }
    }
}

async fn send(asked: Vec<FetchRequest>, wanted: &mpsc::Sender<FetchRequest>) {
    for one in asked {
        // A closed channel ends the task at its next turn.
        let _ = wanted.send(one).await;
    }
}
