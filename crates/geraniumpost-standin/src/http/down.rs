use serde::{Deserialize, Serialize};

/// Whether and in which way a stand-in is out of service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Down {
    /// It is in service.
    #[default]
    No,
    /// Its port refuses connections; open ones are closed.
    Refuse,
    /// It accepts and immediately closes connections; open ones are closed.
    Close,
    /// It responds to all requests with 503.
    Unavailable,
    /// It reads requests and never responds.
    Hang,
}

impl Down {
    /// Returns whether open connections are closed.
    pub const fn closes_connections(self) -> bool {
        matches!(self, Self::Refuse | Self::Close)
    }
}
