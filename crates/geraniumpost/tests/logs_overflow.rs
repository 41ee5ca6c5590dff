//! A log that cannot be written must not hold up requests.

use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use geraniumpost::metrics::Metrics;
use geraniumpost::{decision, logs};
use geraniumpost_schema::{LogLevel, LogSettings};
use spdlog::sink::WriteSink;

/// Writer that stands still until the test lets it go on, as a terminal does that is scrolled back.
#[derive(Clone)]
struct Stuck(Arc<Mutex<Receiver<()>>>);

impl std::io::Write for Stuck {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        // Ends at once when the test has dropped the sender.
        let _ = self.0.lock().unwrap().recv();
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// The reader of the log stands still while decisions go on being made. Lines are lost and counted;
/// waiting for room would stop every request of the entry.
#[test]
fn a_log_that_stands_still_loses_lines_instead_of_time() {
    let (release, stuck) = channel::<()>();
    let sink = WriteSink::builder().target(Stuck(Arc::new(Mutex::new(stuck)))).build_arc().unwrap();
    let settings = LogSettings { level: LogLevel::Info, decisions: true };
    logs::start_with(&settings, "entry-1", sink).unwrap();
    let begin = Instant::now();
    for request in 0..40_000 {
        decision!("route", request = request, why = "p2c");
    }
    let took = begin.elapsed();
    drop(release);
    assert!(took < Duration::from_secs(5), "40,000 lines took {took:?}");
    assert!(logs::dropped() > 20_000, "{} lines were dropped", logs::dropped());
    let metrics = Metrics::new().unwrap();
    metrics.render().unwrap();
    let shown = format!("dropped_total{{what=\"log\",why=\"queue_full\"}} {}", logs::dropped());
    assert!(metrics.render().unwrap().contains(&shown), "counted once, however often it is read");
}
