use geraniumpost_schema::Name;

use super::JobCall;

/// Call on jobs by an authenticated operator.
#[derive(Debug, Clone, PartialEq)]
pub struct AuthenticatedJobCall {
    /// The call.
    pub call: JobCall,
    /// Operator who makes the call.
    pub operator: Name,
    /// Token of the operator, with which the call can be forwarded to another entry.
    pub token: String,
    /// Whether another entry has forwarded the call. Such a call is not forwarded again; otherwise
    /// two entries that each consider the other to be the planner would forward it in a loop.
    pub forwarded: bool,
}
