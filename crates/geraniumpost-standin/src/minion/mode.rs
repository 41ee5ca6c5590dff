use serde::{Deserialize, Serialize};

/// What a minion does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MinionMode {
    /// It works and answers.
    #[default]
    Serve,
    /// It answers 500 at once.
    Fail,
    /// It begins to work and never ends.
    Hang,
    /// It works and sends half of the answer.
    Truncate,
    /// It works and closes the connection before the answer.
    Close,
}
