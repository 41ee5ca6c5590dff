use std::future::Future;
use std::time::Duration;

use tokio::time::Instant;

/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(10);

/// Waits until `look` finds something and returns it.
///
/// # Panics
///
/// Panics with `what` when nothing was found in time.
pub async fn wait_for<T, F>(what: &str, time: Duration, mut look: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let ends = Instant::now() + time;
    loop {
        if let Some(found) = look().await {
            return found;
        }
        assert!(Instant::now() < ends, "not seen within {time:?}: {what}");
        tokio::time::sleep(PAUSE).await;
    }
}

/// Waits until `look` says yes.
///
/// # Panics
///
/// Panics with `what` when it did not in time.
pub async fn wait_until<F>(what: &str, time: Duration, mut look: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    wait_for(what, time, || {
        let looking = look();
        async move { looking.await.then_some(()) }
    })
    .await;
}

/// Lets so many milliseconds pass, while a load runs or a fault lasts.
pub async fn pass(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}
