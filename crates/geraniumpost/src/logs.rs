//! Logging to standard output, with one line for each routing or placement decision.
//!
//! A separate thread writes the lines. If it cannot keep up, lines are dropped and counted instead
//! of delaying requests; [`dropped`] returns their number.

use std::fmt::{self, Write as _};
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use eyre::{Result, WrapErr};
use geraniumpost_schema::{LogLevel, LogSettings};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, Sink, StdStreamSink};
use spdlog::terminal_style::StyleMode;
use spdlog::{Level, LevelFilter, Logger, ThreadPool};

/// Maximum number of lines in the queue of the writer thread.
const QUEUE_CAPACITY: NonZeroUsize = NonZeroUsize::new(16_384).expect("the capacity is not 0");

static DECISIONS: AtomicBool = AtomicBool::new(false);
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Starts logging to standard output with the given settings. `process` names the process in each
/// line.
///
/// # Errors
///
/// Fails if the writer thread cannot be started.
pub fn start(settings: &LogSettings, process: &str) -> Result<()> {
    let sink = StdStreamSink::builder().stdout().style_mode(StyleMode::Never).build_arc()?;
    start_with(settings, process, sink)
}

/// Starts logging to another sink. Tests use this to read the log.
///
/// # Errors
///
/// Fails if the writer thread cannot be started.
pub fn start_with(settings: &LogSettings, process: &str, sink: Arc<dyn Sink>) -> Result<()> {
    let pool = ThreadPool::builder()
        .capacity(QUEUE_CAPACITY)
        .build_arc()
        .wrap_err("cannot start the log writer thread")?;
    let sink = AsyncPoolSink::builder()
        .sink(sink)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(|_| count_dropped())
        .build_arc()?;
    let logger = Logger::builder()
        .name(process)
        .sink(sink)
        .level_filter(level_filter(settings.level))
        .flush_level_filter(LevelFilter::MoreSevereEqual(Level::Error))
        .error_handler(|_| count_dropped())
        .build_arc()?;
    let logs_info = logger.should_log(Level::Info);
    DECISIONS.store(settings.decisions && logs_info, Ordering::Relaxed);
    spdlog::set_default_logger(logger);
    Ok(())
}

/// Returns whether decisions are logged, for [`decision!`](crate::decision).
pub fn decisions_on() -> bool {
    DECISIONS.load(Ordering::Relaxed)
}

/// Returns the number of lines dropped because the queue of the writer thread was full.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

fn count_dropped() {
    DROPPED.fetch_add(1, Ordering::Relaxed);
}

const fn level_filter(level: LogLevel) -> LevelFilter {
    LevelFilter::MoreSevereEqual(match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
        LogLevel::Trace => Level::Trace,
    })
}

/// Displays a value on one line, with control characters escaped.
///
/// Request ids and keys come from callers. Without escaping, a newline in one could forge a log
/// line.
#[derive(Debug)]
pub struct OneLine<T>(pub T);

impl<T: fmt::Display> fmt::Display for OneLine<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(Escaper(f), "{}", self.0)
    }
}

/// Writer that escapes control characters.
struct Escaper<'a, 'b>(&'a mut fmt::Formatter<'b>);

impl fmt::Write for Escaper<'_, '_> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        for part in text.split_inclusive(char::is_control) {
            match part.chars().next_back().filter(|last| last.is_control()) {
                Some(last) => {
                    self.0.write_str(&part[..part.len() - last.len_utf8()])?;
                    write!(self.0, "{}", last.escape_default())?;
                }
                None => self.0.write_str(part)?,
            }
        }
        Ok(())
    }
}

/// Logs one routing or placement decision with its fields, if logging of decisions is enabled.
///
/// The value after a semicolon displays its own fields, as the decisions of the core do.
///
/// The fields are not evaluated if logging of decisions is disabled, so that a call then costs one
/// atomic load.
///
/// # Example
///
/// ```
/// geraniumpost::decision!("route", request = 7, candidates = 11, chosen = "agent-3", why = "p2c");
/// ```
#[macro_export]
macro_rules! decision {
    ($kind:literal, $($key:ident = $value:expr),+ ; $fields:expr) => {
        if $crate::logs::decisions_on() {
            $crate::logs::write_decision(format_args!(
                concat!("decision=", $kind, $(" ", stringify!($key), "={}"),+, " {}"),
                $($value),+, $fields
            ));
        }
    };
    ($kind:literal, $($key:ident = $value:expr),+ $(,)?) => {
        if $crate::logs::decisions_on() {
            $crate::logs::write_decision(format_args!(
                concat!("decision=", $kind, $(" ", stringify!($key), "={}"),+),
                $($value),+
            ));
        }
    };
}

/// Writes the line of a [`decision!`](crate::decision).
pub fn write_decision(fields: fmt::Arguments<'_>) {
    spdlog::info!("{}", OneLine(fields));
}
