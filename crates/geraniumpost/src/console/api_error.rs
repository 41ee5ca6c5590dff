use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::ApiCode;

/// Error of a call, as sent to the operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ApiError {
    /// HTTP status of the answer.
    #[serde(skip)]
    pub status: u16,
    /// Result code, as listed in `docs/RESULT_CODES.md`.
    pub code: u16,
    /// Description of the error.
    pub message: String,
    /// What the operator can do.
    pub advice: String,
    /// Delay in milliseconds after which to retry, 0 if a retry would not help.
    pub retry_after_ms: u64,
    /// Details: the problems of a document, or conflicting changes of other operators.
    #[serde(default, skip_serializing_if = "Value::is_null")]
    pub details: Value,
}

impl ApiError {
    /// Creates an error with a code that is not an [`ApiCode`], such as one of the planner's codes
    /// from 3000 to 3999.
    pub fn new(status: u16, code: u16, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            advice: String::new(),
            retry_after_ms: 0,
            details: Value::Null,
        }
    }

    /// Sets the description of the error.
    #[must_use]
    pub fn message(mut self, message: impl Into<String>) -> Self {
        self.message = message.into();
        self
    }

    /// Sets what the operator can do.
    #[must_use]
    pub fn advice(mut self, advice: impl Into<String>) -> Self {
        self.advice = advice.into();
        self
    }

    /// Sets the delay after which to retry, in milliseconds.
    #[must_use]
    pub const fn retry_after_ms(mut self, ms: u64) -> Self {
        self.retry_after_ms = ms;
        self
    }

    /// Sets the details.
    #[must_use]
    pub fn details(mut self, details: Value) -> Self {
        self.details = details;
        self
    }
}

impl From<ApiCode> for ApiError {
    fn from(code: ApiCode) -> Self {
        let retry_after_ms = if code.status() == 503 { 1000 } else { 0 };
        Self::new(code.status(), code.number(), code.meaning())
            .advice(code.advice())
            .retry_after_ms(retry_after_ms)
    }
}
