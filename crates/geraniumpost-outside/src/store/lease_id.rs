use derive_more::{Display, From, Into};

/// Id of a lease of the store. When the lease ends, the store removes the keys bound to it.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, From, Into)]
pub struct LeaseId(u64);
