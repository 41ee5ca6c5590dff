//! Election of the coordinator, and the process around its state machine: links, store and terms.

mod adaptive_timeout;
mod agent_links;
mod candidate;
mod coordinator_key;
mod coordinator_loss;
mod driver;
mod evacuations;
mod handover;
mod known_coordinator;
mod local_promises;
mod peer_listener;
mod peers;
mod process_pause;
mod record;
mod release_requester;
mod stop_time;
mod successor_leases;
mod term;
mod term_support;
mod writer;

pub use agent_links::{AgentLinks, LinkClosing, LinkOpening};
pub use candidate::Candidate;
pub use coordinator_loss::{CoordinatorLoss, detect_loss};
pub use driver::{ApprovalRequest, Driver, Input, Peer, TermEnd};
pub use handover::HandoverTimes;
pub use known_coordinator::KnownCoordinator;
pub use local_promises::LocalPromises;
pub use peers::{Peers, RegisteredEntry};
pub use process_pause::ProcessPause;
pub use record::CoordinatorRecord;
pub use stop_time::StopTime;
pub use successor_leases::SuccessorLeases;
pub use term_support::TermSupport;

/// Store key of the [`CoordinatorRecord`].
pub const COORDINATOR_KEY: &str = "geraniumpost/coordinator";
/// Prefix of the store keys under which entries register their addresses; the name follows.
pub const ENTRY_PREFIX: &str = "geraniumpost/entry/";
/// Prefix of the store keys of job records; the job's id follows.
pub const JOB_PREFIX: &str = "geraniumpost/job/";
/// Store key of the learned interference between images.
pub const INTERFERENCE_KEY: &str = "geraniumpost/interference";
