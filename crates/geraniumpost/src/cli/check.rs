//! `geraniumpost check`: checks files one by one, and settings against documents.

use std::path::Path;

use clap::ArgMatches;
use geraniumpost_config::{
    AnyFile, Report, SchemaKind, check_entry_membership, check_membership, load_any,
};
use geraniumpost_schema::Document;
use serde_json::json;

use super::{CommandOutput, ExitStatus};

/// Checks all files and reports every problem.
pub(super) fn check(args: &ArgMatches) -> CommandOutput {
    let paths: Vec<&String> = args.get_many("files").into_iter().flatten().collect();
    let mut report = Report::default();
    let mut files = Vec::new();
    for path in paths {
        match load_any(Path::new(path)) {
            Ok(file) => files.push((path.as_str(), file)),
            Err(found) => report.problems.extend(found.problems),
        }
    }
    report.problems.extend(contradictions(&files).problems);
    let as_json = args.get_flag("json");
    if !report.is_empty() {
        return rejected(&report, as_json);
    }
    let lines = files.iter().map(|(path, file)| format!("{path}: ok, {}\n", kind(file)));
    if as_json {
        return CommandOutput::success(format!("{}\n", json!({ "problems": [] })));
    }
    CommandOutput::success(lines.collect::<String>())
}

/// Reports that one file has no problems.
pub(super) fn accepted(path: &str, as_json: bool) -> CommandOutput {
    if as_json {
        return CommandOutput::success(format!("{}\n", json!({ "problems": [] })));
    }
    CommandOutput::success(format!("{path}: ok\n"))
}

/// Reports problems as text on standard error, or as JSON on standard output for programs.
pub(super) fn rejected(report: &Report, as_json: bool) -> CommandOutput {
    if as_json {
        let out = format!("{}\n", json!({ "problems": report.problems }));
        return CommandOutput { status: ExitStatus::Refused, out, err: String::new() };
    }
    CommandOutput::failure(ExitStatus::Refused, format!("{report}\n"))
}

/// Returns the contradictions between each settings file and each document.
fn contradictions(files: &[(&str, AnyFile)]) -> Report {
    let mut problems = Vec::new();
    for (path, file) in files {
        for document in files.iter().filter_map(|(_, file)| as_document(file)) {
            let found = match file {
                AnyFile::Entry(settings) => check_entry_membership(settings, document),
                AnyFile::Agent(settings) => check_membership(settings, document),
                AnyFile::Document(_) => Ok(()),
            };
            let found = found.err().unwrap_or_default().problems;
            problems.extend(found.into_iter().map(|problem| problem.at(path, 0)));
        }
    }
    Report::from(problems)
}

const fn as_document(file: &AnyFile) -> Option<&Document> {
    match file {
        AnyFile::Document(document) => Some(document),
        _ => None,
    }
}

const fn kind(file: &AnyFile) -> &'static str {
    match file.kind() {
        SchemaKind::Entry => "settings of an entry",
        SchemaKind::Agent => "settings of an agent",
        SchemaKind::Document => "a document",
    }
}
