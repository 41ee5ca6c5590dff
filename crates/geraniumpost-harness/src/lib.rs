//! Starts geraniumpost processes with stand-ins for the platform, and checks that they keep their
//! guarantees.
//!
//! The demo, the soak runs and the failure tests use this crate. It is never shipped.

mod agent_vm;
mod binaries;
mod caller;
mod caller_connection;
pub mod check;
mod entry_vm;
mod failures;
mod fleet;
mod load;
mod loopback;
mod operator;
mod plan;
mod process;
mod request_spec;
mod scratch_directory;
mod standin_handle;
mod standins;
mod wait;

pub use agent_vm::AgentVm;
pub use binaries::Binaries;
pub use caller::Caller;
pub use caller_connection::CallerConnection;
pub use entry_vm::EntryVm;
pub use fleet::Fleet;
pub use load::Load;
pub use loopback::Loopback;
pub use operator::Operator;
pub use plan::{CUSTOMER, CUSTOMER_TOKEN, OPERATOR_TOKEN, Plan, REGION, SERVICE, SHARED_KEY};
pub use process::Process;
pub use request_spec::RequestSpec;
pub use scratch_directory::ScratchDirectory;
pub use standin_handle::StandinHandle;
pub use wait::{sleep_ms, wait_for, wait_until};
