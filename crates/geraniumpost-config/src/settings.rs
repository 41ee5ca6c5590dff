use std::path::Path;

use geraniumpost_schema::{AgentSettings, EntrySettings};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::schema::{Schema, SchemaKind};
use crate::toml_source::TomlSource;
use crate::{Code, Problem, Report, settings_rules};

/// Reads and checks the settings of an entry.
///
/// # Errors
///
/// Returns all problems of the file.
pub fn load_entry(path: &Path) -> Result<EntrySettings, Report> {
    parse_entry(&read_file(path)?, &path.display().to_string())
}

/// Reads and checks the settings of an agent.
///
/// # Errors
///
/// Returns all problems of the file.
pub fn load_agent(path: &Path) -> Result<AgentSettings, Report> {
    parse_agent(&read_file(path)?, &path.display().to_string())
}

/// Checks the settings of an entry given as text. `file` is the file name in the problems.
///
/// # Errors
///
/// Returns all problems of the text.
pub fn parse_entry(text: &str, file: &str) -> Result<EntrySettings, Report> {
    parse(text, file, SchemaKind::Entry, settings_rules::entry)
}

/// Checks the settings of an agent given as text. `file` is the file name in the problems.
///
/// # Errors
///
/// Returns all problems of the text.
pub fn parse_agent(text: &str, file: &str) -> Result<AgentSettings, Report> {
    parse(text, file, SchemaKind::Agent, settings_rules::agent)
}

pub(crate) fn read_file(path: &Path) -> Result<String, Report> {
    std::fs::read_to_string(path).map_err(|error| {
        let problem = Problem::new(Code::Unreadable, "").message(format!("{error}."));
        Report::of(problem.at(&path.display().to_string(), 0))
    })
}

/// Checks by the schema, and also by the rules between keys for all keys of the expected type, so
/// that one invalid key does not hide further problems.
fn parse<T: DeserializeOwned>(
    text: &str,
    file: &str,
    kind: SchemaKind,
    rules: fn(&Value) -> Vec<Problem>,
) -> Result<T, Report> {
    let source = TomlSource::parse(text, file)?;
    let mut report = Schema::of(kind).check(&source.value);
    report.problems.extend(rules(&source.value));
    if report.is_empty() {
        match serde_json::from_value(source.value) {
            Ok(settings) => return Ok(settings),
            Err(error) => {
                let problem = Problem::new(Code::WrongType, "").message(format!("{error}."));
                report.problems.push(problem);
            }
        }
    }
    Err(report.with_locations(file, &source.lines))
}
