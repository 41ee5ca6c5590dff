//! The agent: receives the minion's heartbeats, extends its lease, forwards orders to it, and
//! reports the ends of its tasks.

mod coordinator_lookup;
mod heartbeats;
mod link;
mod orders;
mod polling;
mod state;

use std::sync::Arc;
use std::time::Duration;

use eyre::{ContextCompat, Result};
use geraniumpost_platform::{Minion, NodeSettings, Store, load_settings};
use tokio::sync::watch;

use super::http_server;
use crate::open_connections::OpenConnections;
use state::State;

/// Time allowed for responses to heartbeats that are in progress when the process is asked to stop.
/// Each takes about a millisecond.
const HEARTBEAT_DRAIN_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which a connection without any heartbeat yet is kept at a planned stop.
const FIRST_HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(100);
/// Part of the grace period that is reserved for the exit of the process, in milliseconds.
const EXIT_MARGIN_MS: u64 = 1_000;
/// Pause between two checks of whether a coordinator has recorded all departures.
const DEPARTURE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Serves until the process is asked to stop. The agent persists nothing: the minion keeps running
/// under its lease, and the next agent process reads the minion's own lists. Only the departure of
/// a minion cannot be read again, so the process waits until a coordinator has recorded each
/// departure, or until the process's grace period is nearly over.
///
/// # Errors
///
/// Fails if an address is missing in the settings or in use.
pub async fn serve(settings: NodeSettings) -> Result<()> {
    let stop = crate::stop_signal::stop_signal()?;
    crate::stop_signal::on_reload(|| load_settings().map(drop))?;
    let minion = settings.minion_address.wrap_err("no address of the minion")?;
    let heartbeats = settings.heartbeat_address.wrap_err("no address for heartbeats")?;
    spdlog::info!("event=start role=job-agent node={} minion={minion}", settings.node);
    let metrics = super::serve_metrics(settings.ip).await?;
    let store = Arc::new(Store::new(settings.store_address));
    let state = Arc::new(State::new(settings.node.clone(), Minion::new(minion)));
    let listener = http_server::bind(heartbeats).await?;
    let (known_coordinator_tx, known_coordinator) = watch::channel(None);
    tokio::spawn(coordinator_lookup::follow_coordinator(
        store,
        Arc::clone(&state),
        known_coordinator_tx,
    ));
    tokio::spawn(link::maintain_link(Arc::clone(&state), known_coordinator));
    tokio::spawn(polling::poll_continuously(Arc::clone(&state)));
    let heartbeat_state = Arc::clone(&state);
    let serving = tokio::spawn(http_server::serve(
        listener,
        stop.clone(),
        Arc::new(OpenConnections::new(FIRST_HEARTBEAT_TIMEOUT)),
        move |req| {
            metrics.heartbeat("minion");
            heartbeats::respond(req, Arc::clone(&heartbeat_state))
        },
    ));
    crate::stop_signal::stopped(&mut stop.clone()).await;
    let _ = tokio::time::timeout(HEARTBEAT_DRAIN_TIMEOUT, serving).await;
    let departure_timeout =
        Duration::from_millis(settings.bounds.grace_ms.saturating_sub(EXIT_MARGIN_MS));
    if tokio::time::timeout(departure_timeout, await_departures_recorded(&state)).await.is_err() {
        spdlog::warn!("event=departures_unreported node={}", settings.node);
    }
    spdlog::info!("event=stop role=job-agent node={}", settings.node);
    spdlog::default_logger().flush();
    Ok(())
}

/// Waits until [`State::are_departures_recorded`] returns true.
async fn await_departures_recorded(state: &State) {
    while !state.are_departures_recorded() {
        tokio::time::sleep(DEPARTURE_CHECK_INTERVAL).await;
    }
}
