use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;

use super::{ObservedRequest, Outcome};

/// Numbers of requests by the outcome that their callers observed.
#[derive(Debug, Display, Default, Clone, PartialEq, Eq)]
#[display(
    "{answered} answered, {not_run} not run, {may_have_run} may have run, \
     {no_response} without a response, {unreachable} unreachable, slowest {max_time:?}, \
     codes {codes:?}"
)]
pub struct Summary {
    /// Requests to which a minion responded.
    pub answered: usize,
    /// Requests that the system reported as not run.
    pub not_run: usize,
    /// Requests that the system reported as run or possibly run.
    pub may_have_run: usize,
    /// Requests that were sent and got no response.
    pub no_response: usize,
    /// Requests that could not be sent.
    pub unreachable: usize,
    /// Longest time from sending a request to its outcome.
    pub max_time: Duration,
    /// Numbers of requests by result code.
    pub codes: BTreeMap<u16, usize>,
}

impl Summary {
    /// Counts all requests.
    pub fn of(requests: &[ObservedRequest]) -> Self {
        requests.iter().collect()
    }

    /// Counts the idempotent requests, which the system retries automatically.
    pub fn of_idempotent(requests: &[ObservedRequest]) -> Self {
        requests.iter().filter(|request| request.idempotent).collect()
    }

    /// Counts the requests without a key, which need no claim in the store.
    pub fn of_unkeyed(requests: &[ObservedRequest]) -> Self {
        requests.iter().filter(|request| request.key.is_empty()).collect()
    }

    /// Returns whether requests were sent and all of them were answered.
    pub const fn all_answered(&self) -> bool {
        self.answered > 0 && self.not_run + self.may_have_run + self.no_response == 0
    }
}

impl<'a> FromIterator<&'a ObservedRequest> for Summary {
    fn from_iter<I: IntoIterator<Item = &'a ObservedRequest>>(requests: I) -> Self {
        let mut summary = Self::default();
        for request in requests {
            let count = match request.outcome {
                Outcome::Answered { .. } => &mut summary.answered,
                Outcome::NotRun => &mut summary.not_run,
                Outcome::MayHaveRun => &mut summary.may_have_run,
                Outcome::NoResponse => &mut summary.no_response,
                Outcome::Unreachable => &mut summary.unreachable,
            };
            *count += 1;
            *summary.codes.entry(request.code).or_default() += 1;
            summary.max_time = summary.max_time.max(request.elapsed);
        }
        summary
    }
}
