use crate::jobs::{JobState, codes};

/// Response to a submission or cancellation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobResponse {
    /// Result code, see [`codes::TABLE`].
    pub code: u16,
    /// State of the job, if the response concerns a job with a record.
    pub state: Option<JobState>,
    /// Time in milliseconds after which to retry, 0 if a retry is useless.
    pub retry_after_ms: u64,
    /// Explanation for the customer in addition to the code's text; may be empty.
    pub detail: String,
}

impl JobResponse {
    /// Creates a response without state or details.
    pub const fn new(code: u16) -> Self {
        Self { code, state: None, retry_after_ms: 0, detail: String::new() }
    }

    /// Adds the job's state to the response.
    #[must_use]
    pub const fn state(mut self, state: JobState) -> Self {
        self.state = Some(state);
        self
    }

    /// Adds the time in milliseconds after which the customer should retry.
    #[must_use]
    pub const fn retry_after_ms(mut self, ms: u64) -> Self {
        self.retry_after_ms = ms;
        self
    }

    /// Adds an explanation for the customer to the code's text.
    #[must_use]
    pub fn detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }

    /// Returns whether the request took effect, by this or an earlier attempt.
    pub const fn is_ok(&self) -> bool {
        self.code < codes::ID_TAKEN
    }
}
