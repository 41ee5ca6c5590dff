use std::future::Future;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use geraniumpost_platform::{Store, StoreError};
use tokio::time::Instant;

/// Maximum number of concurrent attempts of one read. Each attempt waits for a response for this
/// many intervals.
pub const MAX_CONCURRENT_ATTEMPTS: u32 = 3;
/// Pause before the next attempt if all others have failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Repeats a read until one attempt succeeds; another attempt starts every `interval`.
///
/// An attempt is not cancelled when the next one starts: on a busy link the response may merely be
/// late, and requesting it again would add to the load. An attempt that starts while another one is
/// under way uses a new connection, because the idle connections may be broken as well. `attempt`
/// is called with its timeout, and `on_failure` with the error of each failed attempt.
///
/// # Errors
///
/// Fails only if an attempt returns [`StoreError::Compacted`].
pub async fn hedged_read<T, F>(
    store: &Store,
    interval: Duration,
    attempt: impl Fn(Duration) -> F,
    mut on_failure: impl FnMut(&StoreError),
) -> Result<T, StoreError>
where
    F: Future<Output = Result<T, StoreError>>,
{
    let mut in_flight = FuturesUnordered::new();
    let mut next_attempt = Instant::now();
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(next_attempt),
                if in_flight.len() < MAX_CONCURRENT_ATTEMPTS as usize =>
            {
                if !in_flight.is_empty() {
                    store.close_idle();
                }
                in_flight.push(attempt(interval * MAX_CONCURRENT_ATTEMPTS));
                next_attempt = Instant::now() + interval;
            }
            Some(result) = in_flight.next() => match result {
                Ok(result) => return Ok(result),
                Err(StoreError::Compacted) => return Err(StoreError::Compacted),
                Err(error) => {
                    on_failure(&error);
                    if in_flight.is_empty() {
                        next_attempt = next_attempt.min(Instant::now() + RETRY_PAUSE);
                    }
                }
            },
        }
    }
}
