use geraniumpost_schema::Document;
use serde_json::Value;
use sha2::{Digest as _, Sha256};

use crate::json_lines::json_lines;
use crate::schema::{Schema, SchemaKind};
use crate::{Code, Problem, Report, rules};

/// Limit on a document, in bytes of JSON.
///
/// The store accepts values of at most 1 MiB. The remaining bytes are for the metadata of the
/// change that is stored with the document.
pub const MAX_DOCUMENT_BYTES: usize = 850_000;

/// Checks a configuration document given as JSON text.
///
/// # Errors
///
/// Returns all problems of the text, with their lines.
///
/// # Example
///
/// ```
/// let report = geraniumpost_config::check_document("{}", "document.json").unwrap_err();
/// assert_eq!(report.problems.len(), 5);
/// ```
pub fn check_document(text: &str, file: &str) -> Result<Document, Report> {
    if text.len() > MAX_DOCUMENT_BYTES {
        return Err(Report::of(too_large(text.len()).at(file, 0)));
    }
    let value: Value = serde_json::from_str(text).map_err(|error| {
        let problem = Problem::new(Code::Syntax, "").message(format!("{error}."));
        Report::of(problem.at(file, error.line()))
    })?;
    check_document_value(value).map_err(|report| report.with_locations(file, &json_lines(text)))
}

/// Checks a configuration document given as a JSON value, such as one built from a form.
///
/// # Errors
///
/// Returns all problems of the value, without lines.
pub fn check_document_value(mut value: Value) -> Result<Document, Report> {
    normalize_integers(&mut value);
    let mut report = Schema::of(SchemaKind::Document).check(&value);
    report.problems.extend(rules::document(&value));
    if !report.is_empty() {
        return Err(report);
    }
    let document: Document = serde_json::from_value(value).map_err(|error| {
        Report::of(Problem::new(Code::WrongType, "").message(format!("{error}.")))
    })?;
    let bytes = encode_document(&document).len();
    if bytes > MAX_DOCUMENT_BYTES {
        return Err(Report::of(too_large(bytes)));
    }
    Ok(document)
}

/// Encodes a document as the JSON that is stored and sent between processes.
pub fn encode_document(document: &Document) -> Vec<u8> {
    serde_json::to_vec(document).unwrap_or_default()
}

/// Returns the SHA-256 of a bearer token, as it is written in the document.
///
/// # Example
///
/// ```
/// let digest = geraniumpost_config::token_digest("kiosk-7");
/// assert_eq!(digest.len(), 64);
/// ```
pub fn token_digest(token: &str) -> String {
    use std::fmt::Write as _;
    let digest = Sha256::digest(token.as_bytes());
    digest.iter().fold(String::with_capacity(64), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn too_large(bytes: usize) -> Problem {
    let message = format!("The document has {bytes} bytes, {MAX_DOCUMENT_BYTES} are allowed.");
    Problem::new(Code::TooLarge, "").message(message)
}

/// Replaces floats without a fraction by integers: JSON Schema accepts `1.0` as an integer, but
/// `serde` does not.
fn normalize_integers(value: &mut Value) {
    match value {
        Value::Number(number) if number.is_f64() => {
            let float = number.as_f64().unwrap_or_default();
            if float.fract() == 0.0 && (0.0..=9e15).contains(&float) {
                *value = Value::from(float as u64);
            }
        }
        Value::Array(items) => items.iter_mut().for_each(normalize_integers),
        Value::Object(map) => map.values_mut().for_each(normalize_integers),
        _ => {}
    }
}
