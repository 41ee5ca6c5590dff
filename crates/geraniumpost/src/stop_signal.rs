use eyre::{Result, WrapErr};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Returns a receiver that turns true when the process is asked to stop.
///
/// The handlers stay in place for good: a second SIGTERM during a planned stop would otherwise end
/// the process at once and cut off the requests that the first one promised to finish.
///
/// # Errors
///
/// Fails if the handlers cannot be installed.
pub fn stop_signal() -> Result<watch::Receiver<bool>> {
    let mut term = signal(SignalKind::terminate()).wrap_err("SIGTERM handler")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("SIGINT handler")?;
    let (tx, rx) = watch::channel(false);
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = term.recv() => {}
                _ = interrupt.recv() => {}
            }
            spdlog::info!("asked to stop: work under way is finished first");
            tx.send_replace(true);
        }
    });
    Ok(rx)
}

/// Waits until the process is asked to stop.
pub async fn stopped(stop: &mut watch::Receiver<bool>) {
    // An error means that nobody can ask any more, which is a stop as well.
    let _ = stop.wait_for(|asked| *asked).await;
}

/// Takes note of SIGHUP, which tells that the settings file has changed.
///
/// Without a handler the signal would end the process. What the file says of this process cannot
/// change while it runs, so the file is only read and checked.
///
/// # Errors
///
/// Fails if the handler cannot be installed.
pub fn on_reload(check: impl Fn() -> Result<()> + Send + 'static) -> Result<()> {
    let mut hangup = signal(SignalKind::hangup()).wrap_err("SIGHUP handler")?;
    tokio::spawn(async move {
        while hangup.recv().await.is_some() {
            match check() {
                Ok(()) => spdlog::info!("event=reload outcome=unchanged"),
                Err(error) => spdlog::warn!("event=reload outcome=kept why=\"{error:#}\""),
            }
        }
    });
    Ok(())
}
