use derive_more::Display;

/// Whether a request may safely run a second time, which determines how it is retried.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// A second run has no further effect.
    #[display("idempotent")]
    Idempotent,
    /// A second run is harmful, and the request has no key by which repeats by the caller could be
    /// recognized.
    #[display("once")]
    Once,
    /// A second run is harmful, and an idempotency key identifies repeats by the caller. The key
    /// claim, a record in the store, names the only agent that may run the request.
    #[display("keyed")]
    Keyed,
}

impl RequestKind {
    /// Returns the kind of a request. The key of an idempotent request is irrelevant.
    pub const fn of(idempotent: bool, keyed: bool) -> Self {
        match (idempotent, keyed) {
            (true, _) => Self::Idempotent,
            (false, true) => Self::Keyed,
            (false, false) => Self::Once,
        }
    }
}
