//! Starts real geraniumpost processes beside stand-ins and checks what they promised.
//!
//! The demo, the soak runs and the failure tests share it; it is never shipped.

mod agent_place;
mod binaries;
mod caller;
pub mod check;
mod entry_place;
mod failures;
mod fleet;
mod kept_caller;
mod load;
mod loopback;
mod operator;
mod plan;
mod process;
mod scratch;
mod send;
mod standin_place;
mod standins;
mod wait;

pub use agent_place::AgentPlace;
pub use binaries::Binaries;
pub use caller::Caller;
pub use entry_place::EntryPlace;
pub use fleet::Fleet;
pub use kept_caller::KeptCaller;
pub use load::Load;
pub use loopback::Loopback;
pub use operator::Operator;
pub use plan::{CUSTOMER, CUSTOMER_TOKEN, OPERATOR_TOKEN, Plan, REGION, SERVICE, SHARED_KEY};
pub use process::Process;
pub use scratch::Scratch;
pub use send::Send;
pub use standin_place::StandinPlace;
pub use wait::{pass, wait_for, wait_until};
