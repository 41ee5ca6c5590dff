//! The operators' API and the console's forms, against the store's stand-in.

#[path = "../common/mod.rs"]
mod common;

mod api;
mod bench;
mod forms;
mod random;
mod served;
