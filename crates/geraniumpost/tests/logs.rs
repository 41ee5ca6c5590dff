//! Tests of the log of decisions.

use std::sync::{Arc, Mutex};

use geraniumpost::{decision, logs};
use geraniumpost_schema::{LogLevel, LogSettings};
use spdlog::sink::WriteSink;

/// Writer whose output the test can read.
#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl std::io::Write for SharedBuffer {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn logged(settings: &LogSettings, action: impl FnOnce()) -> String {
    let log = SharedBuffer::default();
    let sink = WriteSink::builder().target(log.clone()).build_arc().unwrap();
    logs::start_with(settings, "entry-1", sink).unwrap();
    action();
    // Errors are flushed and lines are written in order, so this line marks the end of the output.
    spdlog::error!("last line");
    let deadline = std::time::Instant::now() + std::time::Duration::from_secs(5);
    loop {
        let text = String::from_utf8(log.0.lock().unwrap().clone()).unwrap();
        if text.contains("last line") || std::time::Instant::now() > deadline {
            return text;
        }
        std::thread::yield_now();
    }
}

/// A single test, because all tests of a process share its log. Each decision is logged on one
/// line, whatever its fields contain, and none if decisions are disabled or below the log level.
#[test]
fn decisions_are_logged_on_one_line_each() {
    let on = LogSettings { level: LogLevel::Info, decisions: true };
    let text =
        logged(&on, || decision!("route", request = "a\nb", chosen = "agent-3", why = "p2c"));
    assert!(text.contains("decision=route request=a\\nb chosen=agent-3 why=p2c"), "{text}");
    assert!(text.contains("entry-1"), "{text}");
    assert_eq!(text.lines().count(), 2, "{text}");

    let off = LogSettings { level: LogLevel::Info, decisions: false };
    let text = logged(&off, || decision!("route", why = panic_if_read()));
    assert!(!text.contains("decision="), "{text}");

    let warnings = LogSettings { level: LogLevel::Warn, decisions: true };
    assert!(!logged(&warnings, || decision!("route", why = 1)).contains("decision="));
    assert_eq!(logs::dropped(), 0);
}

fn panic_if_read() -> u8 {
    panic!("fields of a decision that is not logged are not evaluated")
}
