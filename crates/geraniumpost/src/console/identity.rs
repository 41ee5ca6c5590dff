//! Authentication of operators, and protection of forms against cross-site requests.

use geraniumpost_config::token_digest;
use geraniumpost_schema::Name;

use super::{ApiCode, ApiError, Call, ConsoleContext};

/// Name of the operator who writes the first document, when no operator is configured yet.
///
/// It is not a valid label, so no operator in a document can have this name.
const BOOTSTRAP_OPERATOR: &str = "(first)";

/// Returns the token that authorizes writing the first document.
///
/// Before the first document there are no operators, and whoever has the settings may write it. The
/// token is derived from the shared key, so that the key itself is not sent. It is not accepted
/// while a document is in force.
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

/// Returns the token in a hidden field of each form of this operator, which protects against
/// cross-site request forgery.
///
/// Another site can make a browser submit a form with the operator's cookie, but does not know this
/// token.
pub fn csrf_token(token: &str) -> String {
    token_digest(&format!("geraniumpost form\n{token}"))
}

/// Returns the operator who makes the call, or an error if there is none.
pub(super) fn authenticate(call: &Call, context: &ConsoleContext) -> Result<Name, ApiError> {
    find_operator(call.token(), context).ok_or_else(|| ApiError::from(ApiCode::NotAnOperator))
}

/// Returns the name of the operator with the given token.
pub(super) fn find_operator(token: &str, context: &ConsoleContext) -> Option<Name> {
    let now = context.config.active().load();
    if token.is_empty() {
        return None;
    }
    if now.revision() == 0 {
        // Compares digests, so that the duration of the comparison reveals nothing about the token.
        let matches = token_digest(token) == token_digest(&context.bootstrap_token);
        return matches.then(|| Name::from(BOOTSTRAP_OPERATOR));
    }
    now.operator(token).cloned()
}

/// Refuses a call that was authorized by the bootstrap token. All calls except writing the first
/// document must be checked with this function.
///
/// An entry that has just started has no document in force although the store may contain one.
/// Without this check, the shared key would then authorize replacing the operators' document.
pub(super) fn reject_bootstrap(operator: &Name) -> Result<(), ApiError> {
    if **operator == *BOOTSTRAP_OPERATOR {
        return Err(ApiCode::NoConfiguration.into());
    }
    Ok(())
}

/// Refuses a form that another site has made the operator's browser submit.
pub(super) fn check_csrf(call: &Call, proof: &str) -> Result<(), ApiError> {
    let matches = token_digest(proof) == token_digest(&csrf_token(call.token()));
    if call.cross_origin || !matches {
        return Err(ApiCode::CrossSiteForm.into());
    }
    Ok(())
}
