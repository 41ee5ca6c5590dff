use serde::{Deserialize, Serialize};

/// How a minion handles a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MinionMode {
    /// Runs it and responds.
    #[default]
    Serve,
    /// Responds with 500 immediately.
    Fail,
    /// Starts to run it and never responds.
    Hang,
    /// Runs it, sends half of the response and closes the connection.
    Truncate,
    /// Runs it and closes the connection without a response.
    Close,
}
