//! Quorum of entries whose support permits a coordinator to extend leases while the store does not
//! respond.
//!
//! Without the store, a coordinator may continue only while a majority of entries, including
//! itself, has promised to follow no successor. Its successor asks the same entries to release
//! these promises. Any two majorities share an entry. The successor therefore learns after which
//! time no leases are extended. See docs/design/0601-jobs-on-a-shared-store.md.

mod promises;
mod releases;
mod support;
mod voters;

pub use promises::Promises;
pub use releases::Releases;
pub use support::Support;
pub use voters::Voters;
