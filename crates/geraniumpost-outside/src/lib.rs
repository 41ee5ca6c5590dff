//! Adapters to external systems: the key-value service, workers and minions.
//!
//! Each system has its own module, so that a change of its protocol affects only that module. Every
//! error tells whether the call certainly had no effect, because only then may a request or task be
//! started elsewhere. See `docs/design/0501-platform-adapters.md`.

pub mod http;
pub mod minion;
pub mod store;
pub mod worker;

pub use minion::{Answer, Minion, MinionError, strip_hop_by_hop};
pub use store::{CallResult, Expect, LeaseId, Store, StoreCall, StoreError, Versioned, Watched};
pub use worker::{Started, TaskOrder, Worker, WorkerError, WorkerTask};
