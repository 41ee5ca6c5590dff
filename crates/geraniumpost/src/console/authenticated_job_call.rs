use geraniumpost_schema::Name;

use super::JobCall;

/// A call on jobs with who makes it.
#[derive(Debug, Clone, PartialEq)]
pub struct AuthenticatedJobCall {
    /// The call.
    pub call: JobCall,
    /// Operator who makes it.
    pub operator: Name,
    /// The operator's token, by which another entry knows them too.
    pub token: String,
    /// Whether another entry has forwarded it already; it must not be forwarded again, or two
    /// entries that each take the other for the planner would pass it to and fro.
    pub forwarded: bool,
}
