//! Handlers of API calls on status and configuration.

use geraniumpost_config::{Report, check_document};
use geraniumpost_core::config::{Change, ChangeOutcome};
use geraniumpost_schema::{Document, Name};
use serde_json::{Value, json};

use super::identity::reject_bootstrap;
use super::route::parse_change_id;
use super::{ApiCode, ApiError, Call, ConsoleContext};
use crate::config::write_change;

/// Answers `GET /api/status`.
pub(super) fn status(context: &ConsoleContext) -> Value {
    let now = context.config.active().load();
    json!({
        "entry": context.name,
        "version": env!("CARGO_PKG_VERSION"),
        "revision": now.revision(),
        "change_id": now.change_id(),
        "state": (context.status)(),
    })
}

/// Answers `GET /api/config`.
pub(super) fn get_config(context: &ConsoleContext) -> Result<Value, ApiError> {
    let now = context.config.active().load();
    if now.revision() == 0 {
        return Err(ApiCode::NoConfiguration.into());
    }
    Ok(json!({
        "revision": now.revision(),
        "change_id": now.change_id(),
        "document": now.document(),
    }))
}

/// Answers `GET /api/in-force`.
pub(super) fn in_force(context: &ConsoleContext) -> Value {
    let now = context.config.active().load();
    json!({ "revision": now.revision(), "processes": (context.in_force)() })
}

/// Answers `POST /api/config/check`.
pub(super) fn check_config(call: &Call) -> Result<Value, ApiError> {
    parse_document(call).map(|_| json!({ "problems": [] }))
}

/// Answers `PUT /api/config`.
pub(super) async fn put_config(
    call: &Call,
    operator: Name,
    context: &ConsoleContext,
) -> Result<Value, ApiError> {
    let based_on = call.if_match.ok_or_else(|| ApiError::from(ApiCode::RevisionMissing))?;
    let change_id = match call.change_id.as_str() {
        "" => new_change_id(),
        text => parse_change_id(text)?,
    };
    let document = parse_document(call)?;
    commit(context, change_id, operator, based_on, document).await
}

/// Writes a checked document to the store and puts it in force on this entry.
pub(super) async fn commit(
    context: &ConsoleContext,
    change_id: Name,
    operator: Name,
    based_on: u64,
    document: Document,
) -> Result<Value, ApiError> {
    if based_on != 0 {
        reject_bootstrap(&operator)?;
    }
    let value = serde_json::to_value(&document).unwrap_or_default();
    let change = Change {
        change_id: change_id.clone(),
        changed_by: operator.clone(),
        based_on,
        document: value,
    };
    let outcome = write_change(&context.store, &context.config, change).await;
    spdlog::info!("change {change_id} by {operator}, based on revision {based_on}: {outcome:?}");
    match outcome {
        ChangeOutcome::Committed { revision } => {
            context.config.committed(revision, change_id.clone(), document);
            Ok(json!({ "revision": revision, "change_id": change_id }))
        }
        ChangeOutcome::Conflict { revision, changes } => {
            let details = json!({ "revision": revision, "changes": changes });
            Err(ApiError::from(ApiCode::Conflict).details(details))
        }
        ChangeOutcome::Unavailable => Err(ApiCode::StoreDown.into()),
        ChangeOutcome::Uncertain => {
            let details = json!({ "change_id": change_id });
            Err(ApiError::from(ApiCode::Uncertain).details(details))
        }
    }
}

/// Returns a random id for a change.
pub(super) fn new_change_id() -> Name {
    Name::from(format!("{:016x}", rand::random::<u64>()))
}

/// Returns the error that reports the problems of a document.
pub(super) fn invalid(report: &Report) -> ApiError {
    let problems = serde_json::to_value(&report.problems).unwrap_or_default();
    ApiError::from(ApiCode::DocumentInvalid).details(json!({ "problems": problems }))
}

fn parse_document(call: &Call) -> Result<Document, ApiError> {
    let malformed = |_| ApiError::from(ApiCode::Malformed).message("The body is not valid UTF-8.");
    let text = std::str::from_utf8(&call.body).map_err(malformed)?;
    check_document(text, "").map_err(|report| invalid(&report))
}
