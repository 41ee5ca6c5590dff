//! Who calls, and whether a form is the operator's own.

use geraniumpost_config::token_digest;
use geraniumpost_schema::Name;

use super::{ApiCode, ApiError, Call, ConsoleContext};

/// Name under which the first document is written, when no operator is known yet.
///
/// It is no label, so no operator of a document can bear it.
const FIRST_OPERATOR: &str = "(first)";

/// Returns the token that may write the first document.
///
/// Before the first document no operator exists. Who holds the settings may then write it; the
/// shared key itself is not sent, and the token is of no use once a document is in force.
///
/// # Example
///
/// ```
/// let token = geraniumpost::console::bootstrap_token("0123456789abcdef");
/// assert_eq!(token.len(), 64);
/// ```
pub fn bootstrap_token(shared_key: &str) -> String {
    token_digest(&format!("geraniumpost first document\n{shared_key}"))
}

/// Returns the hidden value that a form of this operator carries.
///
/// Another site can make a browser send a form along with the cookie, but cannot know this value.
pub fn csrf_token(token: &str) -> String {
    token_digest(&format!("geraniumpost form\n{token}"))
}

/// Returns the operator who makes the call.
pub(super) fn operator(call: &Call, context: &ConsoleContext) -> Result<Name, ApiError> {
    known(call.token(), context).ok_or_else(|| ApiError::from(ApiCode::NotAnOperator))
}

/// Returns the operator whose token this is.
pub(super) fn known(token: &str, context: &ConsoleContext) -> Option<Name> {
    let now = context.config.active().load();
    if token.is_empty() {
        return None;
    }
    if now.revision() == 0 {
        // Hashes are compared, so that the time of the comparison tells nothing of the token.
        let first = token_digest(token) == token_digest(&context.bootstrap_token);
        return first.then(|| Name::from(FIRST_OPERATOR));
    }
    now.operator(token).cloned()
}

/// Refuses everything but the writing of the first document to who is only known by the settings.
///
/// An entry that has just started has no document in force while the store may well hold one.
/// Without this, the shared key could then replace the document that operators have written.
pub(super) fn beyond_first(operator: &Name) -> Result<(), ApiError> {
    if **operator == *FIRST_OPERATOR {
        return Err(ApiCode::NoConfiguration.into());
    }
    Ok(())
}

/// Refuses a form that another site has made the operator's browser send.
pub(super) fn own_form(call: &Call, proof: &str) -> Result<(), ApiError> {
    let right = token_digest(proof) == token_digest(&csrf_token(call.token()));
    if call.cross_origin || !right {
        return Err(ApiCode::CrossSiteForm.into());
    }
    Ok(())
}
