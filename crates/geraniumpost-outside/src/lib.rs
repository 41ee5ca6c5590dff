//! Adapters to the platform: key-value service, workers and minions.
//!
//! One module per outside system, so that another protocol is one module's change. Every error
//! tells whether the call certainly had no effect, because on that word others are started anew.
//! See `docs/design/0501-platform-adapters.md`.

pub mod http;
pub mod minion;
pub mod store;
pub mod worker;

pub use minion::{Answer, Minion, MinionError, strip_hop_by_hop};
pub use store::{CallResult, Expect, LeaseId, Store, StoreCall, StoreError, Versioned, Watched};
pub use worker::{Started, TaskOrder, Worker, WorkerError, WorkerTask};
