//! Who coordinates, and the coordinator's own process.

mod candidate;
mod doorway;
mod driver;
mod key;
mod known;
mod left;
mod loss;
mod own_promises;
mod peers;
mod record;
mod releases;
mod standstill;
mod term;
mod term_support;
mod timeout;
mod writer;

pub use candidate::Candidate;
pub use known::Known;
pub use loss::{CoordinatorLoss, detect_loss};
pub use own_promises::OwnPromises;
pub use peers::Peers;
pub use record::CoordinatorRecord;
pub use standstill::Standstill;

/// Key of the record that names the coordinator.
pub const COORDINATOR_KEY: &str = "geraniumpost/coordinator";
/// Prefix of the keys by which entries find each other.
pub const ENTRY_PREFIX: &str = "geraniumpost/entry/";
/// Prefix of the keys of jobs.
pub const JOB_PREFIX: &str = "geraniumpost/job/";

/// Key of what coordinators have learnt of images.
pub const KNOWLEDGE_KEY: &str = "geraniumpost/interference";
