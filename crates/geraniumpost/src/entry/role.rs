use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, WrapErr};
use geraniumpost_config::check_entry_membership;
use geraniumpost_net::SharedKey;
use geraniumpost_outside::Store;
use geraniumpost_schema::{Document, EntrySettings};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use super::entry_registry::stay_registered;
use super::{EntryContext, callers, datagrams, links, views};
use crate::config::{ConfigCell, ConfigUpdater, FetchRequest, follow_store, log_contradictions};
use crate::console::{Console, ConsoleContext, bootstrap_token};
use crate::datagram_socket::DatagramSocket;
use crate::metrics::Metrics;
use crate::stop_signal::{stop_signal, stopped};
use crate::{logs, planner, runtime};

/// Time for which a starting entry collects the configurations of its peers before it adopts the
/// highest revision, in milliseconds.
const COLLECT_MS: u64 = 1_000;
/// Timeout of a store call. The store usually answers in milliseconds; after this time its answer
/// is considered lost, so that the caller can react before its own deadline.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs `geraniumpost entry` until it is asked to stop and its requests have finished.
///
/// # Errors
///
/// Fails if an address of the settings cannot be bound.
pub fn run(settings: EntrySettings) -> Result<()> {
    logs::start(&settings.log, &settings.name)?;
    runtime::start()?.block_on(serve(settings))
}

async fn serve(settings: EntrySettings) -> Result<()> {
    let stop = stop_signal()?;
    let callers = listen(settings.callers).await?;
    let console = listen(settings.console).await?;
    let key = SharedKey::from(settings.shared_key.as_str());
    let socket = Arc::new(DatagramSocket::bind(settings.datagrams, key).await?);
    let store = Store::new(settings.store).timeout(STORE_TIMEOUT);
    let config = Arc::new(ConfigUpdater::new(Arc::new(ConfigCell::default()), COLLECT_MS));
    let metrics = Arc::new(Metrics::new()?);
    let store = metrics.observed(store);
    let (planner_tx, planner_rx) = mpsc::unbounded_channel();
    let cx = Arc::new(EntryContext::new(settings, store, config, metrics, planner_tx));
    spdlog::info!("entry {} incarnation {:x}", cx.me.name, cx.me.incarnation);
    start_tasks(&cx, &socket);
    let jobs = planner::start(&cx, planner_rx, stop.clone());
    let console = tokio::spawn(serve_console(Arc::clone(&cx), console, jobs, stop.clone()));
    callers::serve(Arc::clone(&cx), callers, stop).await;
    // The console stops on its own; its failures are logged there.
    let _ = console.await;
    Ok(())
}

async fn listen(address: std::net::SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.wrap_err_with(|| format!("cannot listen on TCP {address}"))
}

fn start_tasks(cx: &Arc<EntryContext>, socket: &Arc<DatagramSocket>) {
    let (requests_tx, requests) = mpsc::channel(16);
    let following = follow_store(Arc::clone(&cx.config), cx.store.clone(), requests_tx);
    tokio::spawn(following);
    let settings = cx.settings.clone();
    let check = move |document: &Document| check_entry_membership(&settings, document);
    tokio::spawn(log_contradictions(Arc::clone(cx.config.active()), check));
    tokio::spawn(fetch_requested(Arc::clone(cx), requests));
    tokio::spawn(follow_limits(Arc::clone(cx)));
    tokio::spawn(datagrams::receive(Arc::clone(cx), Arc::clone(socket)));
    tokio::spawn(stay_registered(Arc::clone(cx)));
    tokio::spawn(datagrams::send_periodically(Arc::clone(cx), Arc::clone(socket)));
}

async fn fetch_requested(cx: Arc<EntryContext>, mut requests: mpsc::Receiver<FetchRequest>) {
    while let Some(request) = requests.recv().await {
        links::fetch(&cx, &[request]);
    }
}

/// Applies the limits of each new revision, and sends the configuration to all agents.
async fn follow_limits(cx: Arc<EntryContext>) {
    let mut revisions = cx.config.active().subscribe();
    loop {
        cx.adopt_limits();
        links::push_config(&cx);
        if revisions.changed().await.is_err() {
            return;
        }
    }
}

async fn serve_console(
    cx: Arc<EntryContext>,
    listener: TcpListener,
    jobs: crate::console::JobsHandle,
    mut stop: watch::Receiver<bool>,
) {
    let (status, in_force) = (Arc::clone(&cx), Arc::clone(&cx));
    let context = ConsoleContext {
        name: cx.me.name.clone(),
        config: Arc::clone(&cx.config),
        store: cx.store.clone(),
        metrics: Arc::clone(&cx.metrics),
        bootstrap_token: bootstrap_token(&cx.settings.shared_key),
        status: Arc::new(move || views::status(&status)),
        in_force: Arc::new(move || views::in_force(&in_force)),
        jobs,
    };
    Console::new(context).serve(listener, stopped(&mut stop)).await;
}
