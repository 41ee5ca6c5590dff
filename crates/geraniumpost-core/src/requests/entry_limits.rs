use std::collections::HashMap;
use std::sync::Arc;

use geraniumpost_schema::Name;

use super::{CustomerLimiter, Permit};
use crate::ResultCode;

/// Limits on the requests in flight that an entry accepts for each customer.
///
/// Without these limits, a burst of one customer would exhaust the memory and connections of the
/// entry before the fair queue of any agent could separate the customers.
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
    limiters: HashMap<Name, Arc<CustomerLimiter>>,
}

impl EntryLimits {
    /// Returns the limits for a newer configuration document, given as customers with their maximum
    /// number of requests in flight.
    ///
    /// Requests in flight continue to count for customers that remain, so that a change of
    /// configuration does not admit requests beyond the limit.
    #[must_use]
    pub fn updated(&self, customers: impl IntoIterator<Item = (Name, u32)>) -> Self {
        let limiter = |(name, max_in_flight): (Name, u32)| {
            let limiter = self.limiters.get(&name).map_or_else(
                || Arc::new(CustomerLimiter::new(max_in_flight)),
                |limiter| {
                    limiter.set_max_in_flight(max_in_flight);
                    Arc::clone(limiter)
                },
            );
            (name, limiter)
        };
        Self { limiters: customers.into_iter().map(limiter).collect() }
    }

    /// Admits a request of `customer`, which counts as in flight until the returned permit is
    /// dropped.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::CustomerLimit`] if the customer has its maximum number of requests in
    /// flight, and [`ResultCode::BadToken`] if there is no such customer.
    pub fn try_acquire(&self, customer: &str) -> Result<Permit, ResultCode> {
        let limiter = self.limiters.get(customer).ok_or(ResultCode::BadToken)?;
        limiter.try_acquire().ok_or(ResultCode::CustomerLimit)
    }

    /// Number of requests of `customer` in flight, 0 if there is no such customer.
    pub fn in_flight(&self, customer: &str) -> u32 {
        self.limiters.get(customer).map_or(0, |limiter| limiter.in_flight())
    }
}
