//! The entry: serves callers' requests and readiness checks, and may become the coordinator.

mod active_configuration;
mod caller_requests;
mod configuration;
mod newer_versions;
mod readiness;
mod relay;
mod request_log;
mod stop_schedule;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::{ContextCompat, Result};
use geraniumpost_batch::Features;
use geraniumpost_platform::{NodeSettings, Store, load_settings};
use rand::Rng as _;
use tokio::sync::watch;

use super::coordination::{Candidate, KnownCoordinator, LocalPromises};
use super::http_server;
use crate::in_flight::InFlight;
use crate::metrics::Metrics;
use crate::open_connections::OpenConnections;

pub use active_configuration::ActiveConfiguration;
pub use newer_versions::NewerVersions;
pub use relay::{LinkState, NoResponse, Relay};
pub use stop_schedule::StopSchedule;

/// Time for which a connection without any request yet is kept at a planned stop.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum time for closing the connections, which includes sending the last responses.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of the call that removes this entry from the registry.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum time from the acknowledgement of a configuration until this entry learns of the version
/// through the coordinator, in milliseconds: the read by the fastest entry, the ping of that entry,
/// and the next ping of this entry.
const VERSION_PROPAGATION_MS: u64 = 750;

/// State that the entry's tasks share.
#[derive(Debug)]
pub struct EntryState {
    /// The active configuration, with the age of its last confirmation.
    pub configuration: Arc<ActiveConfiguration>,
    /// Time within which an acknowledged configuration must become active, in milliseconds.
    pub config_apply_ms: u64,
    /// Relays callers' requests to the coordinator.
    pub relay: Relay,
    /// Metrics of the process, served at `/metrics`.
    pub metrics: Arc<Metrics>,
    /// Callers' requests that were received and have no response yet.
    pub requests: InFlight,
    /// The times of the planned stop.
    pub stop: StopSchedule,
    /// Optional decisions that this process makes.
    pub features: Features,
}

impl EntryState {
    /// Returns whether the active configuration may be outdated: the time allowed for activating a
    /// newer version is over, or neither the store nor the coordinator, which both report newer
    /// versions, has responded within that time.
    pub fn is_behind(&self) -> bool {
        let unconfirmed_ms = self.configuration.age_ms().min(self.relay.coordinator_silence_ms());
        let max_behind_ms = self.config_apply_ms.saturating_sub(VERSION_PROPAGATION_MS);
        self.configuration.behind_ms() > max_behind_ms || unconfirmed_ms > self.config_apply_ms
    }
}

/// Serves until the process is asked to stop, and then until requests in flight have ended.
///
/// # Errors
///
/// Fails if an address is missing in the settings or in use.
pub async fn serve(settings: NodeSettings, features: Features) -> Result<()> {
    let stop = crate::stop_signal::stop_signal()?;
    crate::stop_signal::on_reload(|| load_settings().map(drop))?;
    let callers = settings.caller_address.wrap_err("no address for callers")?;
    let ready = settings.readiness_address.wrap_err("no address for the balancer")?;
    spdlog::info!("event=start role=job-entry node={} callers={callers}", settings.node);
    let metrics = super::serve_metrics(settings.ip).await?;
    let store = Arc::new(Store::new(settings.store_address));
    let (known_coordinator_tx, known_coordinator) =
        watch::channel::<Option<KnownCoordinator>>(None);
    let configuration = Arc::new(ActiveConfiguration::new(Arc::clone(&metrics)));
    let promises = Arc::new(LocalPromises::new(settings.node.clone(), rand::rng().random()));
    let relay = Relay::start(Arc::clone(&promises), known_coordinator, Arc::clone(&configuration));
    let shared = Arc::new(EntryState {
        configuration: Arc::clone(&configuration),
        config_apply_ms: settings.bounds.config_apply_ms,
        relay,
        metrics: Arc::clone(&metrics),
        requests: InFlight::default(),
        stop: StopSchedule::new(Duration::from_millis(settings.bounds.grace_ms)),
        features,
    });
    tokio::spawn(configuration::follow_configuration(Arc::clone(&store), Arc::clone(&shared)));
    let peer_listener = http_server::bind(SocketAddr::new(settings.ip, settings.peer_port)).await?;
    let link = shared.relay.state();
    let candidate_promises = Arc::clone(&promises);
    let candidate = Candidate::new(
        &settings,
        Arc::clone(&store),
        known_coordinator_tx,
        link,
        configuration,
        candidate_promises,
        metrics,
    )
    .with_features(features)
    .with_handover_times(shared.stop.handover_times())
    .with_evacuation_bound_ms(settings.bounds.evacuation_ms);
    let mut coordinating = candidate.coordinating();
    let peers = candidate.peers();
    tokio::spawn(candidate.run(peer_listener, stop.clone()));
    let ready = http_server::bind(ready).await?;
    let callers = http_server::bind(callers).await?;
    let (closing_tx, closing) = watch::channel(false);
    let readiness_shared = Arc::clone(&shared);
    tokio::spawn(http_server::serve(
        ready,
        closing.clone(),
        Arc::new(OpenConnections::new(FIRST_REQUEST_TIMEOUT)),
        move |req| std::future::ready(readiness::respond(&req, &readiness_shared)),
    ));
    let caller_shared = Arc::clone(&shared);
    let connections = Arc::new(OpenConnections::new(FIRST_REQUEST_TIMEOUT));
    let serving =
        tokio::spawn(http_server::serve(callers, closing, Arc::clone(&connections), move |req| {
            caller_requests::respond(req, Arc::clone(&caller_shared))
        }));
    crate::stop_signal::stopped(&mut stop.clone()).await;
    promises.set_stopping();
    shared.stop.begin();
    shared.stop.drained().await;
    let in_flight = shared.requests.count();
    // Until the requests in flight have ended, new requests are still accepted, and refused: a
    // closed connection would not tell a caller that its request has no effect. If this entry
    // coordinates, the other entries' callers are served through it until it hands over.
    let handed_over = coordinating.wait_for(|coordinating| !coordinating);
    tokio::select! {
        _ = async { tokio::join!(shared.requests.ended(), handed_over) } => {}
        () = shared.stop.response_due() => {}
    }
    closing_tx.send_replace(true);
    let closed = tokio::time::timeout(CLOSE_TIMEOUT, serving);
    let (_, ()) = tokio::join!(closed, peers.deregister(&store, DEREGISTER_TIMEOUT));
    spdlog::info!(
        "event=stop role=job-entry node={} in_flight_after_drain={in_flight} unanswered={} \
         open_connections={}",
        settings.node,
        shared.requests.count(),
        connections.count()
    );
    spdlog::default_logger().flush();
    Ok(())
}
