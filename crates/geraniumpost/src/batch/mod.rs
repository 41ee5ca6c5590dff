//! Jobs of many steps on a shared store: the entry that serves callers, and the agent on the VM of
//! each minion.
//!
//! Every entry can coordinate. The current coordinator is the entry whose record is stored under
//! the coordinator's key. See `docs/design/0601-jobs-on-a-shared-store.md`.

pub mod agent;
mod boot_clock;
pub mod coordination;
pub mod entry;
mod hedged_read;
mod http_server;
mod peer_link;
mod peer_message;

pub use boot_clock::BootClock;
pub use hedged_read::{MAX_CONCURRENT_ATTEMPTS, hedged_read};
pub use peer_message::{FromPeer, ToPeer};

use eyre::Result;
use geraniumpost_batch::Features;
use geraniumpost_platform::load_settings;

/// Runs `geraniumpost job-entry` with these optional decisions until the process is asked to stop.
///
/// # Errors
///
/// Fails on unusable settings, or if an address cannot be bound.
pub fn run_entry(features: Features) -> Result<()> {
    let settings = load_settings()?;
    start_logs(&settings.node)?;
    crate::runtime::start_small()?.block_on(entry::serve(settings, features))
}

/// Runs `geraniumpost job-agent` until the process is asked to stop.
///
/// # Errors
///
/// Fails on unusable settings, or if an address cannot be bound.
pub fn run_agent() -> Result<()> {
    let settings = load_settings()?;
    start_logs(&settings.node)?;
    crate::runtime::start_small()?.block_on(agent::serve(settings))
}

/// Port on which both roles serve `/metrics`; exporters commonly use it.
const METRICS_PORT: u16 = 9_464;

/// Starts to serve metrics on [`METRICS_PORT`]. If the port is in use, the process runs without
/// serving metrics.
///
/// # Errors
///
/// Fails if the metrics cannot be created.
async fn serve_metrics(ip: std::net::IpAddr) -> Result<std::sync::Arc<crate::metrics::Metrics>> {
    let metrics = std::sync::Arc::new(crate::metrics::Metrics::new()?);
    match http_server::bind((ip, METRICS_PORT).into()).await {
        Ok(listener) => {
            let served = std::sync::Arc::clone(&metrics);
            tokio::spawn(crate::metrics::serve_metrics(listener, served, std::future::pending()));
        }
        Err(error) => spdlog::warn!("event=metrics_not_served why=\"{error:#}\""),
    }
    Ok(metrics)
}

fn start_logs(node: &geraniumpost_schema::Name) -> Result<()> {
    let settings = geraniumpost_schema::LogSettings {
        level: geraniumpost_schema::LogLevel::Info,
        decisions: true,
    };
    crate::logs::start(&settings, node)
}
