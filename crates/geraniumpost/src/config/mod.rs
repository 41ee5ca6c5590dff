//! The configuration in force in this process, and how it is read from the store and from peers,
//! and changed.

mod active_config;
mod caller;
mod config_cell;
mod config_updater;
mod contradictions;
mod fetch_request;
mod follow;
mod writer;

pub use active_config::ActiveConfig;
pub use caller::Caller;
pub use config_cell::ConfigCell;
pub use config_updater::ConfigUpdater;
pub use contradictions::log_contradictions;
pub use fetch_request::FetchRequest;
pub use follow::{follow_peers, follow_store};
pub use writer::write_change;

/// Store key of the configuration.
pub const CONFIG_KEY: &str = "geraniumpost/config";
