use serde_json::Value;

/// Answer of an entry to a call of the operators' API.
#[derive(Debug, Clone, PartialEq)]
pub struct ApiReply {
    /// HTTP status.
    pub status: u16,
    /// Body; a body that is not JSON is a string.
    pub body: Value,
}

impl ApiReply {
    /// Returns whether the call succeeded.
    pub const fn is_success(&self) -> bool {
        self.status / 100 == 2
    }
}
