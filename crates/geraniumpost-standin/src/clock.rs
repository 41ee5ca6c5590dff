use std::sync::LazyLock;
use std::time::{Duration, Instant, SystemTime};

/// Time of the first use in this process, by the monotonic clock and since the Unix epoch.
static ANCHOR: LazyLock<(Instant, Duration)> = LazyLock::new(|| {
    let since_epoch = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    (Instant::now(), since_epoch)
});

/// Returns a monotonic time in microseconds, comparable between the processes of one machine.
///
/// The wall clock is read only once per process; time since then is measured by the monotonic
/// clock. The wall clock itself may step back, and a run could seem to end before its start.
pub fn now_us() -> u64 {
    let (start, since_epoch) = *ANCHOR;
    (since_epoch + start.elapsed()).as_micros() as u64
}
