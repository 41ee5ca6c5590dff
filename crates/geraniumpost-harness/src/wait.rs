use std::future::Future;
use std::time::Duration;

use tokio::time::Instant;

/// Interval between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Calls `poll` until it returns a value, and returns the value.
///
/// # Panics
///
/// Panics with `what` if `poll` returns no value within `time`.
pub async fn wait_for<T, F>(what: &str, time: Duration, mut poll: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let deadline = Instant::now() + time;
    loop {
        if let Some(value) = poll().await {
            return value;
        }
        assert!(Instant::now() < deadline, "condition not met within {time:?}: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Calls `poll` until it returns true.
///
/// # Panics
///
/// Panics with `what` if `poll` does not return true within `time`.
pub async fn wait_until<F>(what: &str, time: Duration, mut poll: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    wait_for(what, time, || {
        let condition = poll();
        async move { condition.await.then_some(()) }
    })
    .await;
}

/// Sleeps for a number of milliseconds, for example while a load runs or a fault lasts.
pub async fn sleep_ms(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}
