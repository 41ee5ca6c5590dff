use eyre::{Result, WrapErr};

/// Clock ticks in a second, as Linux gives processor times to user space.
const TICKS: f64 = 100.0;

/// What a process has used so far, read from `/proc`.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Processor time in seconds.
    pub cpu_s: f64,
}

impl Usage {
    /// Reads the usage of a process.
    ///
    /// # Errors
    ///
    /// Fails if the process is gone.
    pub fn of(pid: u32) -> Result<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).wrap_err("process gone")?;
        // The name in parentheses may hold spaces; the fields are counted behind it.
        let fields: Vec<&str> =
            stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let number = |index: usize| fields.get(index).and_then(|f| f.parse::<u64>().ok());
        let ticks = number(11).unwrap_or(0) + number(12).unwrap_or(0);
        Ok(Self { cpu_s: ticks as f64 / TICKS })
    }
}
