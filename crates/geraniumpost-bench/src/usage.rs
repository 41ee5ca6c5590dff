use eyre::{Result, WrapErr};

/// Nanoseconds in a second.
const NANOS_PER_SECOND: f64 = 1e9;
/// Bytes in a page of memory.
const PAGE_BYTES: u64 = 4096;

/// Processor time and memory of a process, read from `/proc`.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Processor time in seconds so far.
    pub cpu_s: f64,
    /// Resident memory in bytes now.
    pub resident: u64,
}

impl Usage {
    /// Reads the usage of a process.
    ///
    /// Processor time is summed over the threads' `schedstat`, which counts nanoseconds: one tick
    /// of `stat` is as long as all the time that an idle agent uses in a second.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn of(pid: u32) -> Result<Self> {
        let statm =
            std::fs::read_to_string(format!("/proc/{pid}/statm")).wrap_err("process has ended")?;
        let pages: u64 = statm.split_whitespace().nth(1).and_then(|f| f.parse().ok()).unwrap_or(0);
        let mut nanos = 0;
        for thread in std::fs::read_dir(format!("/proc/{pid}/task"))? {
            // A thread may end after the directory was listed.
            let schedule = std::fs::read_to_string(thread?.path().join("schedstat"));
            let schedule = schedule.unwrap_or_default();
            let ran = schedule.split_whitespace().next().and_then(|f| f.parse::<u64>().ok());
            nanos += ran.unwrap_or(0);
        }
        Ok(Self { cpu_s: nanos as f64 / NANOS_PER_SECOND, resident: pages * PAGE_BYTES })
    }
}
