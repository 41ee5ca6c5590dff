use derive_more::Display;

/// Whether a request may safely run a second time, which determines how it is retried.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// A second run has no further effect.
    #[display("idempotent")]
    Idempotent,
    /// A second run is harmful, and repeats by the caller cannot be recognized.
    #[display("once")]
    Once,
    /// A second run is harmful, and a key identifies repeats by the caller. The claim on the key in
    /// the store names the only agent that may run it.
    #[display("keyed")]
    Keyed,
}

impl RequestKind {
    /// Returns the kind of a request with these properties.
    pub const fn of(idempotent: bool, keyed: bool) -> Self {
        match (idempotent, keyed) {
            (true, _) => Self::Idempotent,
            (false, true) => Self::Keyed,
            (false, false) => Self::Once,
        }
    }
}
