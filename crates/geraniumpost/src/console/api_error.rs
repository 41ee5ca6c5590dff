use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::ApiCode;

/// Refusal or failure of a call, as the operator gets it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ApiError {
    /// HTTP status of the answer.
    #[serde(skip)]
    pub status: u16,
    /// Number in `docs/RESULT_CODES.md`.
    pub code: u16,
    /// What is wrong.
    pub message: String,
    /// What to do.
    pub advice: String,
    /// When to come back, 0 if that would not help.
    pub retry_after_ms: u64,
    /// What is known besides: problems of a document, changes of others.
    #[serde(default, skip_serializing_if = "Value::is_null")]
    pub details: Value,
}

impl ApiError {
    /// Creates an error of another part's code, such as the planner's 3000 to 3999.
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

    /// Says in particular what is wrong.
    #[must_use]
    pub fn message(mut self, message: impl Into<String>) -> Self {
        self.message = message.into();
        self
    }

    /// Says what to do.
    #[must_use]
    pub fn advice(mut self, advice: impl Into<String>) -> Self {
        self.advice = advice.into();
        self
    }

    /// Says when to come back.
    #[must_use]
    pub const fn retry_after_ms(mut self, ms: u64) -> Self {
        self.retry_after_ms = ms;
        self
    }

    /// Adds what is known besides.
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
