use geraniumpost_schema::{Customer, Name};

/// Customer to whom a request's token belongs.
#[derive(Debug, Clone, PartialEq)]
pub struct Caller {
    /// Name of the customer.
    pub name: Name,
    /// Limits of the customer.
    pub limits: Customer,
}
