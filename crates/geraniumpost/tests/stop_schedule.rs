//! Tests of the times of a planned stop of an entry.

use std::time::Duration;

use geraniumpost::batch::entry::StopSchedule;
use tokio::time::timeout;

/// Time that a test waits for something that must not happen.
const PAUSE: Duration = Duration::from_millis(300);
/// Grace period of which 100 ms are left after the margin for the exit.
const SHORT_GRACE: Duration = Duration::from_millis(1_300);

/// An entry that was not asked to stop would refuse requests, or cut off their waiting.
#[tokio::test]
async fn nothing_is_due_before_the_stop() {
    let stop = StopSchedule::new(SHORT_GRACE);
    assert!(timeout(PAUSE, stop.response_due()).await.is_err());
    assert!(timeout(PAUSE, stop.drained()).await.is_err());
    assert!(!stop.has_begun() && !stop.is_drained());
}

/// A request that waits when the stop begins must learn of the stop.
#[tokio::test]
async fn waiting_requests_learn_of_the_stop() {
    let stop = StopSchedule::new(SHORT_GRACE);
    let begin = async {
        tokio::time::sleep(PAUSE).await;
        stop.begin();
    };
    let both = async { tokio::join!(stop.response_due(), begin) };
    assert!(timeout(SHORT_GRACE, both).await.is_ok());
    assert!(stop.has_begun());
}

/// With a grace period that is shorter than the usual drain time, an entry would relay requests
/// until it is killed.
#[tokio::test]
async fn drain_time_ends_when_responses_are_due() {
    let stop = StopSchedule::new(SHORT_GRACE);
    stop.begin();
    stop.response_due().await;
    assert!(stop.is_drained());
}
