//! The agent: hears the minion's heartbeats, keeps its lease, and passes orders and ends on.

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
use state::State;

/// Time given to heartbeats whose requests have arrived when the process is asked to stop; they take a
/// millisecond.
const LAST_HEARTBEATS: Duration = Duration::from_millis(300);
/// Kept free before the process would be killed, in milliseconds, for the end of the process itself.
const BEFORE_KILL_MS: u64 = 1_000;
/// Pause between two looks at whether all departures are settled.
const SETTLING: Duration = Duration::from_millis(20);

/// Serves until the process is asked to stop. It keeps nothing that must last: the minion goes on
/// under its lease, and the next process finds all in the minion's own lists. Only of a minion that has
/// left nothing is found any more, so the process stays until a coordinator has recorded that.
///
/// # Errors
///
/// Fails if an address is missing or taken.
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
    let (known_tx, known) = watch::channel(None);
    tokio::spawn(coordinator_lookup::find(store, Arc::clone(&state), known_tx));
    tokio::spawn(link::keep(Arc::clone(&state), known));
    tokio::spawn(polling::look_always(Arc::clone(&state)));
    let on_beat = Arc::clone(&state);
    let serving = tokio::spawn(http_server::serve(listener, stop.clone(), move |req| {
        metrics.heartbeat("minion");
        heartbeats::answer(req, Arc::clone(&on_beat))
    }));
    crate::stop_signal::stopped(&mut stop.clone()).await;
    let _ = tokio::time::timeout(LAST_HEARTBEATS, serving).await;
    let patience = Duration::from_millis(settings.bounds.grace_ms.saturating_sub(BEFORE_KILL_MS));
    if tokio::time::timeout(patience, settled(&state)).await.is_err() {
        spdlog::warn!("event=departures_untold node={}", settings.node);
    }
    spdlog::info!("event=stop role=job-agent node={}", settings.node);
    spdlog::default_logger().flush();
    Ok(())
}

/// Waits until a coordinator has recorded every departure.
async fn settled(state: &State) {
    while !state.departures_settled() {
        tokio::time::sleep(SETTLING).await;
    }
}
