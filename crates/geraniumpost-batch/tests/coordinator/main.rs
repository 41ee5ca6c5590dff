//! The coordinator's decisions, without any network.

mod copies;
mod filling;
mod leases;
mod leaving;
mod promises;
mod random;
mod steps;
mod wide_jobs;
mod world;
