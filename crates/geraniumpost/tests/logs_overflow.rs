//! Tests of a log whose output is blocked.

use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use geraniumpost::metrics::Metrics;
use geraniumpost::{decision, logs};
use geraniumpost_schema::{LogLevel, LogSettings};
use spdlog::sink::WriteSink;

/// Writer that blocks until the test has dropped the sender, as a terminal with paused output does.
#[derive(Clone)]
struct BlockedWriter(Arc<Mutex<Receiver<()>>>);

impl std::io::Write for BlockedWriter {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        // Blocks until the test has dropped the sender.
        let _ = self.0.lock().unwrap().recv();
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// The output of the log is blocked while decisions are logged. Lines must be dropped and counted,
/// because waiting for space in the log's queue would block all requests of the entry.
#[test]
fn blocked_log_drops_lines_instead_of_blocking() {
    let (unblock, blocked) = channel::<()>();
    let sink = WriteSink::builder()
        .target(BlockedWriter(Arc::new(Mutex::new(blocked))))
        .build_arc()
        .unwrap();
    let settings = LogSettings { level: LogLevel::Info, decisions: true };
    logs::start_with(&settings, "entry-1", sink).unwrap();
    let begin = Instant::now();
    for request in 0..40_000 {
        decision!("route", request = request, why = "p2c");
    }
    let elapsed = begin.elapsed();
    drop(unblock);
    assert!(elapsed < Duration::from_secs(5), "40,000 lines took {elapsed:?}");
    assert!(logs::dropped() > 20_000, "{} lines were dropped", logs::dropped());
    let metrics = Metrics::new().unwrap();
    metrics.render().unwrap();
    let shown = format!("dropped_total{{what=\"log\",why=\"queue_full\"}} {}", logs::dropped());
    assert!(
        metrics.render().unwrap().contains(&shown),
        "each dropped line must be counted once, however often the metric is read"
    );
}
