//! Development tasks of the repository; the command line in `main.rs` selects one.
//!
//! This crate depends on no other crate of the workspace, so that `cargo xtask codegen` works
//! even while the generated code does not compile. Demos and benches live in `geraniumpost-bench`
//! and are only started by this crate.

pub mod cargo;
pub mod codegen;
pub mod known_red;
