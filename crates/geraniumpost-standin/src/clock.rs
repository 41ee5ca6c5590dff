use std::sync::LazyLock;
use std::time::{Duration, Instant, SystemTime};

/// Start of this process on the monotonic clock, and as time since the Unix epoch.
static ANCHOR: LazyLock<(Instant, Duration)> = LazyLock::new(|| {
    let since_epoch = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    (Instant::now(), since_epoch)
});

/// Returns a monotonic time in microseconds that processes of one machine can compare.
///
/// A plain wall clock may step back and make a record look as if a run had ended before it began.
/// Here the wall clock is read once per process and the monotonic clock carries it on.
pub fn now_us() -> u64 {
    let (start, since_epoch) = *ANCHOR;
    (since_epoch + start.elapsed()).as_micros() as u64
}
