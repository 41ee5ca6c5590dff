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

/// Time for which a starting agent collects the configurations of its peers before it adopts the
/// highest revision, in milliseconds.
const COLLECT_MS: u64 = 1_000;
/// Interval at which waiting requests are checked against their deadlines.
const REQUEST_TICK: Duration = Duration::from_millis(20);
/// Delay between the last answer and the exit of a draining agent. In this time the answer is
/// written and entries' queries about it are answered.
const EXIT_DELAY: Duration = Duration::from_millis(300);

/// Runs `geraniumpost agent` until it is asked to stop and its requests have finished.
///
/// # Errors
///
/// Fails if an address of the settings cannot be bound.
pub fn run(settings: AgentSettings) -> Result<()> {
    logs::start(&settings.log, &settings.name)?;
    runtime::start()?.block_on(serve(settings))
}

async fn serve(settings: AgentSettings) -> Result<()> {
    let mut stop = stop_signal()?;
    let address = settings.listen;
    let listener = TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("cannot listen on TCP {address}"))?;
    let key = SharedKey::from(settings.shared_key.as_str());
    let socket = Arc::new(DatagramSocket::bind((address.ip(), 0).into(), key).await?);
    let (task_events_tx, task_events) = mpsc::unbounded_channel();
    let config = Arc::new(ConfigUpdater::new(Arc::new(ConfigCell::default()), COLLECT_MS));
    let metrics = Arc::new(Metrics::new()?);
    let cx = Arc::new(AgentContext::new(settings, config, metrics, task_events_tx));
    spdlog::info!("agent {} incarnation {:x} on {address}", cx.me.name, cx.me.incarnation);
    start_tasks(&cx, &socket, listener).await?;
    super::tasks::start(&cx, task_events);
    stopped(&mut stop).await;
    drain(&cx, &socket).await;
    Ok(())
}

async fn start_tasks(
    cx: &Arc<AgentContext>,
    socket: &Arc<DatagramSocket>,
    listener: TcpListener,
) -> Result<()> {
    let (requests_tx, mut requests) = mpsc::channel(16);
    tokio::spawn(follow_peers(Arc::clone(&cx.config), requests_tx));
    // Ignores fetch requests, because entries send their configuration if a heartbeat shows an
    // older revision.
    tokio::spawn(async move { while requests.recv().await.is_some() {} });
    let settings = cx.settings.clone();
    let check = move |document: &Document| check_membership(&settings, document);
    tokio::spawn(log_contradictions(Arc::clone(cx.config.active()), check));
    adopt_limits(cx);
    tokio::spawn(follow_limits(Arc::clone(cx)));
    tokio::spawn(tick_requests(Arc::clone(cx)));
    tokio::spawn(links::serve(Arc::clone(cx), listener));
    tokio::spawn(heartbeats::send_periodically(Arc::clone(cx), Arc::clone(socket)));
    tokio::spawn(heartbeats::receive_acks(Arc::clone(cx), Arc::clone(socket)));
    if let Some(address) = cx.settings.metrics {
        let listener = TcpListener::bind(address).await;
        let listener =
            listener.wrap_err_with(|| format!("cannot listen for metrics on TCP {address}"))?;
        let metrics = Arc::clone(&cx.metrics);
        tokio::spawn(serve_metrics(listener, metrics, std::future::pending()));
    }
    Ok(())
}

/// Applies the limits of each new revision and reports the revision to the entries.
async fn follow_limits(cx: Arc<AgentContext>) {
    let mut revisions: watch::Receiver<u64> = cx.config.active().subscribe();
    while revisions.changed().await.is_ok() {
        adopt_limits(&cx);
        cx.metrics.config_revision(cx.config.active().load().revision());
        let in_force = cx.config.active().load().revision();
        cx.broadcast(&ToEntry::InForce(in_force));
    }
}

/// Applies the limits on slots, queue, connections and bodies of the service in force.
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

/// Drains the agent: refuses new work, then waits until requests and tasks have finished, for at
/// most `drain_ms`.
///
/// The entries are informed over every link and by a heartbeat. If they receive neither, the queue
/// refuses further requests, and entries may send these to other agents.
async fn drain(cx: &Arc<AgentContext>, socket: &DatagramSocket) {
    cx.drain();
    cx.broadcast(&ToEntry::Leaving);
    heartbeats::send_once(cx, socket).await;
    let end = Instant::now() + Duration::from_millis(cx.settings.drain_ms);
    while !is_idle(cx) && Instant::now() < end {
        sleep(REQUEST_TICK).await;
    }
    if !is_idle(cx) {
        spdlog::warn!("drain_ms has elapsed; stopping with requests or tasks in flight");
    }
    sleep(EXIT_DELAY).await;
}

/// Returns whether no request or task is in flight.
///
/// The planner moves the tasks of a draining VM elsewhere. If the agent exited before, nobody would
/// renew their leases, and their progress since the last checkpoint would be lost.
fn is_idle(cx: &AgentContext) -> bool {
    cx.requests().is_empty() && cx.task_summary().tasks == 0
}
