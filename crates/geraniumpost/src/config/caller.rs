use geraniumpost_schema::{Customer, Name};

/// A customer as a request finds it, by the hash of its token.
#[derive(Debug, Clone, PartialEq)]
pub struct Caller {
    /// Name of the customer.
    pub name: Name,
    /// Its limits.
    pub limits: Customer,
}
