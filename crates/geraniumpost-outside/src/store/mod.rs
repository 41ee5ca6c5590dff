//! Adapter to the platform's key-value service.

mod client;
mod expect;
mod lease_id;
mod path;
mod store_call;
mod store_error;
mod versioned;
mod watched;

pub use client::Store;
pub use expect::Expect;
pub use lease_id::LeaseId;
pub use store_call::{CallResult, StoreCall};
pub use store_error::StoreError;
pub use versioned::Versioned;
pub use watched::Watched;
