//! The configuration in force in this process, and the ways in which it changes.

mod agreement;
mod caller;
mod follow;
mod holder;
mod in_force;
mod keeper;
mod wanted;
mod writer;

pub use agreement::follow_agreement;
pub use caller::Caller;
pub use follow::{follow_peers, follow_store};
pub use holder::ConfigHolder;
pub use in_force::InForce;
pub use keeper::ConfigKeeper;
pub use wanted::Wanted;
pub use writer::write_change;

/// Key of the configuration in the store.
pub const CONFIG_KEY: &str = "geraniumpost/config";
