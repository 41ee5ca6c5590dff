//! The coordinator's decisions, without any network.

mod copies;
mod filling;
mod leases;
mod leaving;
mod longest_wait;
mod promises;
mod random;
mod review;
mod sharing;
mod sight;
mod site;
mod standing;
mod steps;
mod wide_jobs;
mod world;
