//! Follows the evacuated failure domains in the store.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use geraniumpost_batch::EvacuationReading;
use geraniumpost_platform::{EVACUATION_PREFIX, KeyPage, Store, StoreError, decode_evacuation};
use tokio::sync::mpsc;

use super::super::{BootClock, hedged_read};
use super::driver::Input;

/// Interval between two readings. A reading permits starts for several times as long, so that single
/// failures do not hold them up.
const READ_INTERVAL: Duration = Duration::from_millis(400);
/// Interval at which further attempts of one reading start, until one succeeds.
const READ_ATTEMPT_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum time without new bytes while the body of a response is received.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_millis(800);

/// Reads the evacuated domains again and again, and passes them to the driver until the term ends.
///
/// The whole list is read each time instead of being watched. The store may cut a watch or omit
/// changes from it, whereas a list shows every request that was acknowledged before it was
/// requested, which is what permits starts.
pub async fn follow_evacuations(store: Arc<Store>, inputs: mpsc::Sender<Input>) {
    let mut failed_attempts = 0;
    while !inputs.is_closed() {
        match read(&store, &mut failed_attempts).await {
            Ok((reading, requested_ms)) => {
                if failed_attempts > 0 {
                    spdlog::info!("event=evacuations_read_again failed={failed_attempts}");
                    failed_attempts = 0;
                }
                if inputs.send(Input::EvacuationsRead { reading, requested_ms }).await.is_err() {
                    return;
                }
            }
            Err(error) => log_failure(&mut failed_attempts, &error),
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
}

/// Reads the list, and returns it with the time at which its first page was requested.
///
/// The pages of a list are not a snapshot, but each shows every request that was acknowledged
/// before the first page was requested.
async fn read(
    store: &Store,
    failed_attempts: &mut u32,
) -> Result<(EvacuationReading, u64), StoreError> {
    let (mut first, mut last_key) = (None, None);
    let mut domains = BTreeMap::new();
    loop {
        let (requested_ms, page) = read_page(store, last_key.as_deref(), failed_attempts).await?;
        let evacuations = page.keys.iter();
        domains.extend(
            evacuations.filter_map(|(key, revision)| Some((decode_evacuation(key)?, *revision))),
        );
        let (first_ms, revision) = *first.get_or_insert((requested_ms, page.revision));
        last_key = page.keys.into_iter().next_back().map(|(key, _)| key);
        if !page.has_more {
            return Ok((EvacuationReading { revision, domains }, first_ms));
        }
    }
}

async fn read_page(
    store: &Store,
    after: Option<&str>,
    failed_attempts: &mut u32,
) -> Result<(u64, KeyPage), StoreError> {
    let attempt = |timeout| async move {
        let requested_ms = BootClock.now_ms();
        let response = store.begin_key_page(EVACUATION_PREFIX, after, timeout).await?;
        Ok((requested_ms, response.receive(BODY_IDLE_TIMEOUT).await?))
    };
    hedged_read(store, READ_ATTEMPT_INTERVAL, attempt, |error| {
        log_failure(failed_attempts, error);
    })
    .await
}

/// Logs the first failure in a row, and then those whose number is a power of two.
fn log_failure(failed_attempts: &mut u32, error: &StoreError) {
    *failed_attempts += 1;
    if failed_attempts.is_power_of_two() {
        spdlog::warn!("event=evacuations_unread attempt={failed_attempts} why=\"{error}\"");
    }
}
