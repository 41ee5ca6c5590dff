//! Stand-ins of the platform's store, minions, advice service and clients, and the cases that use
//! them. Only the standard library is used, so that `rustc` alone builds this program.
//!
//! `standin CASE` starts the project's own programs, plays the case and exits with 0 (the rule
//! held), 1 (the rule was broken) or 2 (the case could not run).

mod advice;
mod cases;
mod client;
mod cluster;
mod http;
mod json;
mod minion;
mod proxy;
mod record;
mod store;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let code = cases::run(&case);
    std::process::exit(code);
}
