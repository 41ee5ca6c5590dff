use serde::{Deserialize, Serialize};

/// The way in which a stand-in is out of service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Down {
    /// It serves.
    #[default]
    No,
    /// Its port refuses connections; open ones are closed.
    Refuse,
    /// It accepts connections and closes them at once; open ones are closed.
    Close,
    /// It answers everything with 503.
    Unavailable,
    /// It reads requests and never answers them.
    Hang,
}

impl Down {
    /// Tells whether open connections end.
    pub const fn closes(self) -> bool {
        matches!(self, Self::Refuse | Self::Close)
    }
}
