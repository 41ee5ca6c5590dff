use derive_more::{Display, Error};

/// Error by which a handler makes the server close the connection without a response.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
#[display("the connection is closed on purpose")]
pub struct Closed;
