use eyre::{Result, WrapErr};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Returns a receiver that becomes true when the process receives SIGTERM or SIGINT.
///
/// The handlers remain installed during a planned stop. Otherwise a second SIGTERM would end the
/// process immediately, and the requests in flight would get no answer.
///
/// # Errors
///
/// Fails if the handlers cannot be installed.
pub fn stop_signal() -> Result<watch::Receiver<bool>> {
    let mut term =
        signal(SignalKind::terminate()).wrap_err("cannot install the SIGTERM handler")?;
    let mut interrupt =
        signal(SignalKind::interrupt()).wrap_err("cannot install the SIGINT handler")?;
    let (tx, rx) = watch::channel(false);
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = term.recv() => {}
                _ = interrupt.recv() => {}
            }
            spdlog::info!("received a stop signal; finishing work in flight");
            tx.send_replace(true);
        }
    });
    Ok(rx)
}

/// Waits until the process is asked to stop.
pub async fn stopped(stop: &mut watch::Receiver<bool>) {
    // An error means that the sender was dropped; the process is stopping then, too.
    let _ = stop.wait_for(|requested| *requested).await;
}

/// Handles SIGHUP, which signals that the settings file has changed.
///
/// Without a handler the signal would end the process. The settings of a running process cannot
/// change, so the file is only read and checked, and the result is logged.
///
/// # Errors
///
/// Fails if the handler cannot be installed.
pub fn on_reload(check: impl Fn() -> Result<()> + Send + 'static) -> Result<()> {
    let mut hangup = signal(SignalKind::hangup()).wrap_err("cannot install the SIGHUP handler")?;
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
