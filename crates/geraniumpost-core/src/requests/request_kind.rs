use derive_more::Display;

/// What a second run of a request would do, by which it is retried.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// A second run does no harm.
    #[display("idempotent")]
    Idempotent,
    /// A second run does harm, and nothing tells a caller's repeat from a new request.
    #[display("once")]
    Once,
    /// A second run does harm, and a key tells the caller's repeats; the key's claim in the store
    /// names the one agent that may run it.
    #[display("keyed")]
    Keyed,
}

impl RequestKind {
    /// Returns the kind of a request with these marks.
    pub const fn of(idempotent: bool, keyed: bool) -> Self {
        match (idempotent, keyed) {
            (true, _) => Self::Idempotent,
            (false, true) => Self::Keyed,
            (false, false) => Self::Once,
        }
    }
}
