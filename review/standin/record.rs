//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

/// Begins the record in a file.
pub fn begin(path: &str) -> std::io::Result<()> {
    let file = File::create(path)?;
    let _ = RECORD.set((Instant::now(), Mutex::new(file)));
    Ok(())
}

/// Milliseconds since the record began.
pub fn now_ms() -> u64 {
    RECORD.get().map_or(0, |(began, _)| began.elapsed().as_millis() as u64)
}

/// Writes a line with the time.
pub fn line(text: &str) {
    if let Some((_, file)) = RECORD.get() {
        let mut file = file.lock().unwrap();
        let _ = writeln!(file, "{:>7} {text}", now_ms());
    }
}
