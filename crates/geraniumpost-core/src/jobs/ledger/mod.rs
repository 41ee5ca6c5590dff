//! Tasks and allocated resources of an agent's VM; see `docs/design/0203-vm-ledger.md`.

mod adoption;
mod agent_lease;
mod ledger_action;
mod ledger_config;
mod ledger_counters;
mod ledger_event;
mod lists;
mod orders;
mod phase;
mod start_call;
mod task;
mod tick;
mod vm_ledger;
mod worker_calls;
mod worker_task;

use adoption::Adoption;
use agent_lease::AgentLease;
pub use ledger_action::LedgerAction;
pub use ledger_config::LedgerConfig;
pub use ledger_counters::LedgerCounters;
pub use ledger_event::LedgerEvent;
use phase::Phase;
use start_call::StartCall;
use task::Task;
pub use vm_ledger::VmLedger;
pub use worker_task::WorkerTask;
