//! The command line.
//!
//! Every command returns a [`CommandOutput`] with its output, which [`run`] prints, so that tests
//! need no process. [`ExitStatus`] and `docs/OPERATIONS.md` list the exit codes.

mod check;
mod command;
mod command_output;
mod config_commands;
mod execute;
mod exit_status;
mod job_commands;
mod remote;
mod roles;
mod run;
mod state_commands;
mod text;

pub use command::command;
pub use command_output::CommandOutput;
pub use execute::execute;
pub use exit_status::ExitStatus;
pub use roles::Roles;
pub use run::run;
