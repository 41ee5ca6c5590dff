use derive_more::{Display, Error};

/// Tells the server to close the connection instead of answering.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
#[display("the connection is closed on purpose")]
pub struct Closed;
