use std::future::Future;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use geraniumpost_platform::{Store, StoreError};
use tokio::time::Instant;

/// Most attempts of one read that are under way at the same time. Each must get a response within
/// this many intervals.
pub const MAX_CONCURRENT_ATTEMPTS: u32 = 3;
/// Pause before the next attempt if all others have failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Repeats a read until one attempt succeeds; another attempt starts every `interval`.
///
/// An attempt is not cancelled when the next one starts: its response may only be late on a busy
/// link, and a repetition would add to the load. An attempt that starts while another one is under
/// way uses a new connection, because idle connections may no longer deliver responses either.
/// `attempt` gets the time for which it may wait for a response; `on_failure` is called with the
/// error of each failed attempt.
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
