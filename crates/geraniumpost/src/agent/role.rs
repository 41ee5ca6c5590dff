use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, WrapErr};
use geraniumpost_config::check_membership;
use geraniumpost_net::SharedKey;
use geraniumpost_schema::{AgentSettings, Document, ToEntry};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep};

use super::{AgentContext, heartbeats, links, minion_runs};
use crate::config::{ConfigCell, ConfigUpdater, follow_peers, log_contradictions};
use crate::datagram_socket::DatagramSocket;
use crate::metrics::{Metrics, serve_metrics};
use crate::stop_signal::{stop_signal, stopped};
use crate::{logs, runtime};

/// How long a starting agent gathers its peers' revisions before it takes the highest.
const GATHER_MS: u64 = 1_000;
/// Interval at which waiting requests are looked at.
const REQUEST_TICK: Duration = Duration::from_millis(20);
/// How long a leaving agent stays after its last answer, so that the answer is written and the
/// entries' questions about it are still answered.
const LINGER: Duration = Duration::from_millis(300);

/// Runs `geraniumpost agent` until it is told to stop and its requests are finished.
///
/// # Errors
///
/// Fails if an address of the settings cannot be had.
pub fn run(settings: AgentSettings) -> Result<()> {
    logs::start(&settings.log, &settings.name)?;
    runtime::start()?.block_on(serve(settings))
}

async fn serve(settings: AgentSettings) -> Result<()> {
    let mut stop = stop_signal()?;
    let address = settings.listen;
    let listener =
        TcpListener::bind(address).await.wrap_err_with(|| format!("TCP on {address}"))?;
    let key = SharedKey::from(settings.shared_key.as_str());
    let socket = Arc::new(DatagramSocket::bind((address.ip(), 0).into(), key).await?);
    let (orders_tx, orders) = mpsc::unbounded_channel();
    let config = Arc::new(ConfigUpdater::new(Arc::new(ConfigCell::default()), GATHER_MS));
    let metrics = Arc::new(Metrics::new()?);
    let cx = Arc::new(AgentContext::new(settings, config, metrics, orders_tx));
    spdlog::info!("agent {} incarnation {:x} on {address}", cx.me.name, cx.me.incarnation);
    start_tasks(&cx, &socket, listener).await?;
    super::tasks::start(&cx, orders);
    stopped(&mut stop).await;
    leave(&cx, &socket).await;
    Ok(())
}

async fn start_tasks(
    cx: &Arc<AgentContext>,
    socket: &Arc<DatagramSocket>,
    listener: TcpListener,
) -> Result<()> {
    let (wanted_tx, mut wanted) = mpsc::channel(16);
    tokio::spawn(follow_peers(Arc::clone(&cx.config), wanted_tx));
    // Entries push their revision when a heartbeat shows an older one, so nothing is asked for.
    tokio::spawn(async move { while wanted.recv().await.is_some() {} });
    let settings = cx.settings.clone();
    let check = move |document: &Document| check_membership(&settings, document);
    tokio::spawn(log_contradictions(Arc::clone(cx.config.active()), check));
    adopt_limits(cx);
    tokio::spawn(follow_limits(Arc::clone(cx)));
    tokio::spawn(tick_requests(Arc::clone(cx)));
    tokio::spawn(links::serve(Arc::clone(cx), listener));
    tokio::spawn(heartbeats::announce(Arc::clone(cx), Arc::clone(socket)));
    tokio::spawn(heartbeats::hear(Arc::clone(cx), Arc::clone(socket)));
    if let Some(address) = cx.settings.metrics {
        let listener = TcpListener::bind(address).await;
        let listener = listener.wrap_err_with(|| format!("metrics on {address}"))?;
        let metrics = Arc::clone(&cx.metrics);
        tokio::spawn(serve_metrics(listener, metrics, std::future::pending()));
    }
    Ok(())
}

/// Puts the bounds of each new revision in force.
async fn follow_limits(cx: Arc<AgentContext>) {
    let mut revisions: watch::Receiver<u64> = cx.config.active().subscribe();
    while revisions.changed().await.is_ok() {
        adopt_limits(&cx);
        cx.metrics.config_revision(cx.config.active().load().revision());
        let in_force = cx.config.active().load().revision();
        cx.broadcast(&ToEntry::InForce(in_force));
    }
}

/// Sets slots, queue and connections as the service in force says.
fn adopt_limits(cx: &AgentContext) {
    let service = cx.service();
    cx.requests().set_limits(&service);
    cx.set_minion_limits(service.connections as usize, service.max_body_kb as usize * 1024);
}

async fn tick_requests(cx: Arc<AgentContext>) {
    let mut ticks = tokio::time::interval(REQUEST_TICK);
    loop {
        ticks.tick().await;
        let starts = cx.requests().tick(cx.clock.now());
        minion_runs::start_all(&cx, starts);
    }
}

/// Leaves without cutting anything off: first nothing new, then the end of what is under way.
///
/// The announcement goes over every link and as heartbeats, and should all of it be lost, the queue
/// refuses what still comes, which entries may send elsewhere.
async fn leave(cx: &Arc<AgentContext>, socket: &DatagramSocket) {
    cx.drain();
    cx.broadcast(&ToEntry::Leaving);
    heartbeats::announce_once(cx, socket).await;
    let latest = Instant::now() + Duration::from_millis(cx.settings.drain_ms);
    while !is_idle(cx) && Instant::now() < latest {
        sleep(REQUEST_TICK).await;
    }
    if !is_idle(cx) {
        spdlog::warn!("stopping with requests or tasks under way: drain_ms is over");
    }
    sleep(LINGER).await;
}

/// Returns whether nothing is under way.
///
/// The planner moves the tasks of a leaving VM; an agent that went first would leave them without
/// renewals, and the work since their last checkpoint would be lost.
fn is_idle(cx: &AgentContext) -> bool {
    cx.requests().is_empty() && cx.task_figures().tasks == 0
}
