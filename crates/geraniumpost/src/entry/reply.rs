use bytes::Bytes;
use geraniumpost_core::ResultCode;
use geraniumpost_schema::{AnswerHead, Name};
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use http_body_util::Full;

use crate::headers;

/// Final result of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    code: ResultCode,
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    retry_after_ms: u64,
}

impl Reply {
    /// Creates a reply with a minion's complete answer.
    pub fn answered(head: &AnswerHead, body: Bytes) -> Self {
        let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let headers = headers::from_fields(&head.headers);
        Self { code: ResultCode::Answered, status, headers, body, retry_after_ms: 0 }
    }

    /// Creates a reply without a minion's answer. `retry_after_ms` is 0 if no retry is advised.
    pub fn without_answer(code: ResultCode, retry_after_ms: u64) -> Self {
        let status = StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let body = serde_json::json!({
            "code": code.number(),
            "message": code.meaning(),
            "advice": code.advice(),
            "retry_after_ms": retry_after_ms,
        });
        let body = Bytes::from(body.to_string());
        Self { code, status, headers, body, retry_after_ms }
    }

    /// Returns the result code.
    pub const fn code(&self) -> ResultCode {
        self.code
    }

    /// Converts the reply to the HTTP response to the request with id `id`.
    pub fn into_response(self, id: &Name) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        let headers = response.headers_mut();
        headers.insert(headers::RESULT_CODE, HeaderValue::from(self.code.number()));
        if let Ok(id) = HeaderValue::from_str(id) {
            headers.insert(headers::REQUEST_ID, id);
        }
        if self.retry_after_ms > 0 {
            let seconds = self.retry_after_ms.div_ceil(1000);
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
            headers.insert(headers::RETRY_AFTER_MS, HeaderValue::from(self.retry_after_ms));
        }
        response
    }
}
