//! The log of decisions: one line each, whatever the fields hold, and nothing when switched off.

use std::sync::{Arc, Mutex};

use geraniumpost::{decision, logs};
use geraniumpost_schema::{LogLevel, LogSettings};
use spdlog::sink::WriteSink;

/// Writer whose text the test reads.
#[derive(Clone, Default)]
struct Shared(Arc<Mutex<Vec<u8>>>);

impl std::io::Write for Shared {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn logged(settings: &LogSettings, act: impl FnOnce()) -> String {
    let shared = Shared::default();
    let sink = WriteSink::builder().target(shared.clone()).build_arc().unwrap();
    logs::start_with(settings, "entry-1", sink).unwrap();
    act();
    // The last line is an error, which is flushed; lines are written in order.
    spdlog::error!("the end");
    let until = std::time::Instant::now() + std::time::Duration::from_secs(5);
    loop {
        let text = String::from_utf8(shared.0.lock().unwrap().clone()).unwrap();
        if text.contains("the end") || std::time::Instant::now() > until {
            return text;
        }
        std::thread::yield_now();
    }
}

/// One test, since the log is the one thing that a whole process shares.
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

    let quiet = LogSettings { level: LogLevel::Warn, decisions: true };
    assert!(!logged(&quiet, || decision!("route", why = 1)).contains("decision="));
    assert_eq!(logs::dropped(), 0);
}

fn panic_if_read() -> u8 {
    panic!("fields of a decision that is not logged are not evaluated")
}
