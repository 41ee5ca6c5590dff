use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr, bail};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Pause between two looks at whether a process has ended.
const PAUSE: Duration = Duration::from_millis(5);

/// A child process that can be killed, frozen and restarted, and that ends with this handle.
#[derive(Debug)]
pub struct Process {
    name: String,
    binary: PathBuf,
    words: Vec<String>,
    variables: Vec<(String, String)>,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Starts `binary` with `words`; its output is appended to `log`.
    pub fn start(name: &str, binary: &Path, words: &[&str], log: PathBuf) -> Result<Self> {
        Self::start_with(name, binary, words, &[], log)
    }

    /// Starts `binary` with `words`, and with environment variables of its own.
    pub fn start_with(
        name: &str,
        binary: &Path,
        words: &[&str],
        variables: &[(&str, &str)],
        log: PathBuf,
    ) -> Result<Self> {
        let owned = |(key, value): &(&str, &str)| ((*key).to_owned(), (*value).to_owned());
        let variables = variables.iter().map(owned).collect();
        let words = words.iter().map(ToString::to_string).collect();
        let (name, binary) = (name.to_owned(), binary.to_owned());
        let mut process = Self { name, binary, words, variables, log, child: None };
        process.restart()?;
        Ok(process)
    }

    /// Returns the process's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process's id while it is running.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns all that the process has written so far, over all its restarts.
    pub fn output(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Starts the process again after it has ended; a running one is killed first.
    pub fn restart(&mut self) -> Result<()> {
        self.kill();
        let log = self.open_log()?;
        let child = Command::new(&self.binary)
            .args(&self.words)
            .envs(self.variables.iter().map(|(key, value)| (key, value)))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .wrap_err_with(|| format!("starting {}", self.binary.display()))?;
        self.child = Some(child);
        Ok(())
    }

    /// Ends the process at once (SIGKILL) and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // A frozen process dies of SIGKILL as well; an error means that it is already gone.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks the process to stop gracefully (SIGTERM).
    pub fn term(&self) -> Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Freezes the process (SIGSTOP), as a paused VM would be.
    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Lets a frozen process go on (SIGCONT).
    pub fn thaw(&self) -> Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Tells whether the process is running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.as_mut().map(Child::try_wait), Some(Ok(None)))
    }

    /// Waits until the process has ended by itself.
    pub async fn ended(&mut self, time: Duration) -> Result<ExitStatus> {
        let ends = Instant::now() + time;
        while Instant::now() < ends {
            let Some(child) = self.child.as_mut() else { bail!("{} is not running", self.name) };
            if let Some(status) = child.try_wait()? {
                self.child = None;
                return Ok(status);
            }
            tokio::time::sleep(PAUSE).await;
        }
        bail!("{} has not ended within {time:?}", self.name)
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
