use crate::jobs::{JobState, codes};

/// What a submitter or canceller is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobResponse {
    /// Result code, see [`codes::TABLE`].
    pub code: u16,
    /// The job's state, if it has a record.
    pub state: Option<JobState>,
    /// When to come back, 0 if that is of no use.
    pub retry_after_ms: u64,
    /// What the code's text does not say.
    pub detail: String,
}

impl JobResponse {
    /// Creates an answer without a state or detail.
    pub const fn new(code: u16) -> Self {
        Self { code, state: None, retry_after_ms: 0, detail: String::new() }
    }

    /// Sets the job's state.
    #[must_use]
    pub const fn state(mut self, state: JobState) -> Self {
        self.state = Some(state);
        self
    }

    /// Sets when to come back.
    #[must_use]
    pub const fn retry_after_ms(mut self, ms: u64) -> Self {
        self.retry_after_ms = ms;
        self
    }

    /// Sets what the code's text does not say.
    #[must_use]
    pub fn detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }

    /// Returns whether the request took effect or had done so before.
    pub const fn is_ok(&self) -> bool {
        self.code < codes::ID_TAKEN
    }
}
