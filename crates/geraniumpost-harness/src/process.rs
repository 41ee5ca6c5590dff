use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr, bail};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Interval between two checks whether a process has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A child process that can be killed, frozen and restarted, and that is killed on drop.
#[derive(Debug)]
pub struct Process {
    name: String,
    binary: PathBuf,
    args: Vec<String>,
    environment: Vec<(String, String)>,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Starts `binary` with `args` and appends its output to `log`.
    pub fn start(name: &str, binary: &Path, args: &[&str], log: PathBuf) -> Result<Self> {
        Self::start_with(name, binary, args, &[], log)
    }

    /// Starts `binary` with `args` and additional environment variables, and appends its output to
    /// `log`.
    pub fn start_with(
        name: &str,
        binary: &Path,
        args: &[&str],
        environment: &[(&str, &str)],
        log: PathBuf,
    ) -> Result<Self> {
        let owned = |(key, value): &(&str, &str)| ((*key).to_owned(), (*value).to_owned());
        let environment = environment.iter().map(owned).collect();
        let args = args.iter().map(ToString::to_string).collect();
        let (name, binary) = (name.to_owned(), binary.to_owned());
        let mut process = Self { name, binary, args, environment, log, child: None };
        process.restart()?;
        Ok(process)
    }

    /// Returns the name under which the process was started.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the id of the process, `None` if it was killed or has ended.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns the output of the process so far, including that before restarts.
    pub fn output(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Starts the process again. If it is still running, it is killed first.
    pub fn restart(&mut self) -> Result<()> {
        self.kill();
        let log = self.open_log()?;
        let child = Command::new(&self.binary)
            .args(&self.args)
            .envs(self.environment.iter().map(|(key, value)| (key, value)))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .wrap_err_with(|| format!("starting {}", self.binary.display()))?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process (SIGKILL) and waits until it has ended.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // SIGKILL also ends frozen processes. An error means that the process has exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks the process to shut down gracefully (SIGTERM).
    pub fn term(&self) -> Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Freezes the process (SIGSTOP), as a pause of its VM does.
    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Resumes a frozen process (SIGCONT).
    pub fn thaw(&self) -> Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Returns whether the process is running or frozen.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.as_mut().map(Child::try_wait), Some(Ok(None)))
    }

    /// Waits until the process has exited, and returns its status.
    pub async fn ended(&mut self, time: Duration) -> Result<ExitStatus> {
        let deadline = Instant::now() + time;
        while Instant::now() < deadline {
            let Some(child) = self.child.as_mut() else { bail!("{} is not running", self.name) };
            if let Some(status) = child.try_wait()? {
                self.child = None;
                return Ok(status);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        bail!("{} has not exited within {time:?}", self.name)
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        let Some(id) = self.id() else { bail!("{} is not running", self.name) };
        kill(Pid::from_raw(id.cast_signed()), signal)
            .wrap_err_with(|| format!("sending {signal} to {}", self.name))
    }

    fn open_log(&self) -> Result<File> {
        let log = OpenOptions::new().create(true).append(true).open(&self.log);
        log.wrap_err_with(|| format!("opening {}", self.log.display()))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
