//! Tests of the operators' API and of the console's forms, with a stand-in for the store.

#[path = "../common/mod.rs"]
mod common;

mod api;
mod fixture;
mod forms;
mod random;
mod served;
