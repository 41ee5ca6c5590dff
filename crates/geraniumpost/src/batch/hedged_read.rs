use std::future::Future;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use geraniumpost_platform::{Store, StoreError};
use tokio::time::Instant;

/// Attempts that may be under way at a time. Each gets this many times the time between two of them to be
/// answered.
pub const MAX_CONCURRENT_ATTEMPTS: u32 = 3;
/// Pause after an attempt that failed at once.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Repeats a reading until the answer of one attempt begins.
///
/// An attempt is not given up when the next one begins beside it: a connection that has gone silent never
/// answers, but one over a busy link does, later than usual, and giving it up would only add to what the
/// link carries. An attempt beside another uses a new connection, as those that are idle may have gone
/// silent as well. `attempt` gets the longest time for which it may wait for an answer, and `failed` is told
/// of each one that got none.
///
/// # Errors
///
/// Fails only if the history that is asked for is gone.
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
            () = tokio::time::sleep_until(next_attempt), if in_flight.len() < MAX_CONCURRENT_ATTEMPTS as usize => {
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
