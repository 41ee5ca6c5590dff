use derive_more::{Display, From, Into};

/// A lease of the store, whose end removes the keys bound to it.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, From, Into)]
pub struct LeaseId(u64);
