use std::collections::HashMap;
use std::sync::Arc;

use geraniumpost_schema::Name;

use super::{CustomerLimiter, Permit};
use crate::ResultCode;

/// Bounds on what an entry carries for each customer.
///
/// Without them one customer's burst would fill the entry's memory and connections before any
/// agent's fair queue could tell the customers apart.
///
/// # Example
///
/// ```
/// use geraniumpost_core::{ResultCode, requests::EntryLimits};
/// let limits = EntryLimits::default().updated([("conida".into(), 1)]);
/// let first = limits.try_acquire("conida").unwrap();
/// assert_eq!(limits.try_acquire("conida").unwrap_err(), ResultCode::CustomerLimit);
/// drop(first);
/// assert!(limits.try_acquire("conida").is_ok());
/// ```
#[derive(Debug, Default)]
pub struct EntryLimits {
    gates: HashMap<Name, Arc<CustomerLimiter>>,
}

impl EntryLimits {
    /// Returns the limits of a newer document, given as customers with their bounds.
    ///
    /// The counters are kept, so that a change of configuration does not let a customer's requests
    /// in a second time.
    #[must_use]
    pub fn updated(&self, customers: impl IntoIterator<Item = (Name, u32)>) -> Self {
        let gate = |(name, most): (Name, u32)| {
            let gate = self.gates.get(&name).map_or_else(
                || Arc::new(CustomerLimiter::new(most)),
                |g| {
                    g.set_most(most);
                    Arc::clone(g)
                },
            );
            (name, gate)
        };
        Self { gates: customers.into_iter().map(gate).collect() }
    }

    /// Lets a request of `customer` in until the permit is dropped.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::CustomerLimit`] if the customer has its most in flight and
    /// [`ResultCode::BadToken`] if there is no such customer.
    pub fn try_acquire(&self, customer: &str) -> Result<Permit, ResultCode> {
        let gate = self.gates.get(customer).ok_or(ResultCode::BadToken)?;
        gate.try_acquire().ok_or(ResultCode::CustomerLimit)
    }

    /// Requests of `customer` in flight.
    pub fn in_flight(&self, customer: &str) -> u32 {
        self.gates.get(customer).map_or(0, |gate| gate.in_flight())
    }
}
