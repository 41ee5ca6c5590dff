//! The entry: callers' requests, readiness, and a candidate for coordinating.

mod active_configuration;
mod caller_requests;
mod configuration;
mod newer_versions;
mod readiness;
mod relay;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::{ContextCompat, Result};
use geraniumpost_platform::{NodeSettings, Store, load_settings};
use rand::Rng as _;
use tokio::sync::watch;

use super::coordination::{Candidate, KnownCoordinator, LocalPromises};
use super::http_server;
use crate::metrics::Metrics;

pub use active_configuration::ActiveConfiguration;
pub use newer_versions::NewerVersions;
pub use relay::{LinkState, NoAnswer, Relay};

/// Time for which a stopping entry still takes connections: the balancer asks once a second, and
/// turns away from an entry after two misses.
const LEAVING_TIME: Duration = Duration::from_millis(2_800);
/// Longest time that taking this entry off the list may take.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(300);
/// Part of the grace period that is kept for requests under way, in milliseconds.
const LAST_ANSWERS_MS: u64 = 1_200;

/// How long after its acknowledgement a version may be heard of, in milliseconds: two pings of other
/// entries and of this one, and the time that the fastest of them takes to read it.
const HEARD_LATE_MS: u64 = 750;

/// What the entry's tasks share.
#[derive(Debug)]
pub struct Shared {
    /// The configuration in force.
    pub in_force: Arc<ActiveConfiguration>,
    /// Time in which an acknowledged configuration has to be in force, in milliseconds.
    pub config_apply_ms: u64,
    /// Relays requests to the coordinator.
    pub relay: Relay,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
    /// Whether the process was asked to stop.
    pub stop: watch::Receiver<bool>,
}

impl Shared {
    /// Returns whether answers by the configuration in force may be wrong: a newer one has to be in force by
    /// now, or neither the store nor the coordinator, which would tell of one, has been heard for as long.
    pub fn is_behind(&self) -> bool {
        let unheard_ms = self.in_force.age_ms().min(self.relay.silent_ms());
        let most_behind_ms = self.config_apply_ms.saturating_sub(HEARD_LATE_MS);
        self.in_force.behind_ms() > most_behind_ms || unheard_ms > self.config_apply_ms
    }
}

/// Serves until the process is asked to stop.
///
/// # Errors
///
/// Fails if an address is missing or taken.
pub async fn serve(settings: NodeSettings) -> Result<()> {
    let stop = crate::stop_signal::stop_signal()?;
    crate::stop_signal::on_reload(|| load_settings().map(drop))?;
    let callers = settings.caller_address.wrap_err("no address for callers")?;
    let ready = settings.readiness_address.wrap_err("no address for the balancer")?;
    spdlog::info!("event=start role=job-entry node={} callers={callers}", settings.node);
    let metrics = super::serve_metrics(settings.ip).await?;
    let store = Arc::new(Store::new(settings.store_address));
    let (known_tx, known) = watch::channel::<Option<KnownCoordinator>>(None);
    let in_force = Arc::new(ActiveConfiguration::new(Arc::clone(&metrics)));
    let promises = Arc::new(LocalPromises::new(settings.node.clone(), rand::rng().random()));
    let relay = Relay::start(Arc::clone(&promises), known, Arc::clone(&in_force));
    let shared = Arc::new(Shared {
        in_force: Arc::clone(&in_force),
        config_apply_ms: settings.bounds.config_apply_ms,
        relay,
        metrics: Arc::clone(&metrics),
        stop: stop.clone(),
    });
    tokio::spawn(configuration::follow(Arc::clone(&store), Arc::clone(&shared)));
    let doorway = http_server::bind(SocketAddr::new(settings.ip, settings.peer_port)).await?;
    let link = shared.relay.state();
    let own = Arc::clone(&promises);
    let candidate =
        Candidate::new(&settings, Arc::clone(&store), known_tx, link, in_force, own, metrics);
    let peers = candidate.peers();
    tokio::spawn(candidate.run(doorway, stop.clone()));
    let ready = http_server::bind(ready).await?;
    let callers = http_server::bind(callers).await?;
    let (closing_tx, closing) = watch::channel(false);
    let on_ready = Arc::clone(&shared);
    tokio::spawn(http_server::serve(ready, closing.clone(), move |req| {
        std::future::ready(readiness::answer(&req, &on_ready))
    }));
    let on_call = Arc::clone(&shared);
    let serving = tokio::spawn(http_server::serve(callers, closing, move |req| {
        caller_requests::answer(req, Arc::clone(&on_call))
    }));
    crate::stop_signal::stopped(&mut stop.clone()).await;
    promises.set_stopping();
    tokio::time::sleep(LEAVING_TIME).await;
    closing_tx.send_replace(true);
    let rest = settings.bounds.grace_ms.saturating_sub(LAST_ANSWERS_MS);
    let rest = Duration::from_millis(rest).saturating_sub(LEAVING_TIME);
    let _ = tokio::time::timeout(rest, serving).await;
    peers.deregister(&store, LEAVE_TIMEOUT).await;
    spdlog::info!("event=stop role=job-entry node={}", settings.node);
    spdlog::default_logger().flush();
    Ok(())
}
