//! The command line.
//!
//! Every command yields a [`Finished`] of plain text, which [`run`] prints; so a command is tested
//! without a process. Exit codes are in `docs/OPERATIONS.md` and [`ExitStatus`].

mod check;
mod command;
mod config_commands;
mod execute;
mod exit_status;
mod finished;
mod job_commands;
mod remote;
mod roles;
mod run;
mod state_commands;
mod text;

pub use command::command;
pub use execute::execute;
pub use exit_status::ExitStatus;
pub use finished::Finished;
pub use roles::Roles;
pub use run::run;
