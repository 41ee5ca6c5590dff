use std::str::FromStr;

use derive_more::{Display, Error};

/// What a task of the stand-in does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// `sleep:MS` works for so long at full speed and then is done.
    Sleep {
        /// Work in microseconds.
        work_us: u64,
    },
    /// `fail` or `fail:MS` works for so long and then fails.
    Fail {
        /// Work in microseconds.
        work_us: u64,
    },
    /// `hog:MS:CPUS` is like `sleep` but uses so many processors, whatever was declared.
    Hog {
        /// Work in microseconds.
        work_us: u64,
        /// Processors used, in thousandths.
        milli_cpus: u64,
    },
}

/// A command that the stand-in does not know.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
#[display("a command is sleep:MS, fail, fail:MS or hog:MS:CPUS")]
pub struct UnknownCommand;

impl Command {
    /// Returns the time the task takes at full speed, in microseconds.
    pub const fn work_us(self) -> u64 {
        match self {
            Self::Sleep { work_us } | Self::Fail { work_us } | Self::Hog { work_us, .. } => work_us,
        }
    }

    /// Tells whether the task fails after its work.
    pub const fn fails(self) -> bool {
        matches!(self, Self::Fail { .. })
    }
}

impl FromStr for Command {
    type Err = UnknownCommand;

    fn from_str(text: &str) -> Result<Self, UnknownCommand> {
        let words: Vec<&str> = text.split(':').collect();
        Ok(match words[..] {
            ["sleep", ms] => Self::Sleep { work_us: micros(ms)? },
            ["fail"] => Self::Fail { work_us: 0 },
            ["fail", ms] => Self::Fail { work_us: micros(ms)? },
            ["hog", ms, cpus] => {
                let cpus: u64 = cpus.parse().map_err(|_| UnknownCommand)?;
                Self::Hog { work_us: micros(ms)?, milli_cpus: cpus.saturating_mul(1000) }
            }
            _ => return Err(UnknownCommand),
        })
    }
}

fn micros(ms: &str) -> Result<u64, UnknownCommand> {
    let ms: u64 = ms.parse().map_err(|_| UnknownCommand)?;
    ms.checked_mul(1000).ok_or(UnknownCommand)
}
