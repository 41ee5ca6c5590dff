use std::str::FromStr;

use derive_more::{Display, Error};

/// Command of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// `sleep:MS` completes after this many milliseconds of work at full speed.
    Sleep {
        /// Work in microseconds.
        work_us: u64,
    },
    /// `fail` or `fail:MS` fails after this many milliseconds of work.
    Fail {
        /// Work in microseconds.
        work_us: u64,
    },
    /// `hog:MS:CPUS` is like `sleep`, but uses this many processors regardless of its declared
    /// resources.
    Hog {
        /// Work in microseconds.
        work_us: u64,
        /// Processors used, in thousandths.
        milli_cpus: u64,
    },
}

/// Error for a text that is not a command.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
#[display("a command is sleep:MS, fail, fail:MS or hog:MS:CPUS")]
pub struct UnknownCommand;

impl Command {
    /// Returns the duration of the task at full speed, in microseconds.
    pub const fn work_us(self) -> u64 {
        match self {
            Self::Sleep { work_us } | Self::Fail { work_us } | Self::Hog { work_us, .. } => work_us,
        }
    }

    /// Returns whether the task fails at its end.
    pub const fn fails(self) -> bool {
        matches!(self, Self::Fail { .. })
    }
}

impl FromStr for Command {
    type Err = UnknownCommand;

    fn from_str(text: &str) -> Result<Self, UnknownCommand> {
        let words: Vec<&str> = text.split(':').collect();
        Ok(match words[..] {
            ["sleep", ms] => Self::Sleep { work_us: parse_ms_as_us(ms)? },
            ["fail"] => Self::Fail { work_us: 0 },
            ["fail", ms] => Self::Fail { work_us: parse_ms_as_us(ms)? },
            ["hog", ms, cpus] => {
                let cpus: u64 = cpus.parse().map_err(|_| UnknownCommand)?;
                Self::Hog { work_us: parse_ms_as_us(ms)?, milli_cpus: cpus.saturating_mul(1000) }
            }
            _ => return Err(UnknownCommand),
        })
    }
}

fn parse_ms_as_us(ms: &str) -> Result<u64, UnknownCommand> {
    let ms: u64 = ms.parse().map_err(|_| UnknownCommand)?;
    ms.checked_mul(1000).ok_or(UnknownCommand)
}
