//! Tests that the generated parts of the documentation are current and that its commands are valid.
//!
//! `UPDATE_DOCS=1 cargo test -p geraniumpost --test docs` regenerates the generated parts.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use geraniumpost::cli::{ExitStatus, command};
use geraniumpost::console::{ApiCode, http_status};
use geraniumpost::metrics::Description;
use geraniumpost_config::{Code, SchemaKind, reference};
use geraniumpost_core::ResultCode;
use geraniumpost_core::jobs::codes;

fn page(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(name)
}

fn read(name: &str) -> String {
    std::fs::read_to_string(page(name)).unwrap_or_else(|e| panic!("{name}: {e}"))
}

/// Checks that the part of a page between its two markers equals `generated`, or replaces it if
/// `UPDATE_DOCS` is set.
fn check_or_update(name: &str, part: &str, generated: &str) {
    let text = read(name);
    let (begin, end) = (format!("<!-- made: {part} -->\n"), format!("<!-- end: {part} -->"));
    let start = text.find(&begin).unwrap_or_else(|| panic!("{name} has no {begin}")) + begin.len();
    let stop = start + text[start..].find(&end).unwrap_or_else(|| panic!("{name} has no {end}"));
    let generated = format!("\n{}\n\n", generated.trim());
    if std::env::var_os("UPDATE_DOCS").is_some() {
        let new = format!("{}{generated}{}", &text[..start], &text[stop..]);
        std::fs::write(page(name), new).unwrap();
        return;
    }
    assert_eq!(
        text[start..stop],
        generated,
        "{name} is out of date: run the tests with UPDATE_DOCS=1"
    );
}

fn settings_codes() -> String {
    let mut text = "| code | meaning | what to do |\n| --- | --- | --- |\n".to_owned();
    for code in Code::ALL {
        let _ = writeln!(text, "| {} | {} | {} |", code.number(), code.meaning(), code.remedy());
    }
    text
}

fn request_codes() -> String {
    let mut text =
        "| code | HTTP | promised not run | meaning | what to do |\n| --- | --- | --- | --- | --- |\n"
            .to_owned();
    for code in ResultCode::ALL {
        let promised = if code.is_not_run() { "yes" } else { "no" };
        let (meaning, advice) = (code.meaning(), code.advice());
        let (number, status) = (code.number(), code.http_status());
        let _ = writeln!(text, "| {number} | {status} | {promised} | {meaning} | {advice} |");
    }
    text
}

fn job_codes() -> String {
    let mut text = "| code | HTTP | name | what to do |\n| --- | --- | --- | --- |\n".to_owned();
    for (code, name, advice) in codes::TABLE {
        let _ = writeln!(text, "| {code} | {} | {name} | {advice} |", http_status(*code));
    }
    text
}

fn api_codes() -> String {
    let mut text = "| code | HTTP | meaning | what to do |\n| --- | --- | --- | --- |\n".to_owned();
    for code in ApiCode::ALL {
        let (number, status) = (code.number(), code.status());
        let _ = writeln!(text, "| {number} | {status} | {} | {} |", code.meaning(), code.advice());
    }
    text
}

fn settings() -> String {
    let agent = reference(SchemaKind::Agent);
    // The table of log settings is included once, with the settings of the entry.
    let agent_only = agent.split("### LogSettings").next().unwrap_or_default();
    format!("{}{agent_only}", reference(SchemaKind::Entry))
}

/// Defines a test that checks or updates all generated parts of the pages.
macro_rules! parts {
    ($($name:ident: $page:literal, $part:literal, $generated:expr;)*) => {
        /// A single test, because concurrent tests could not update several parts of one page.
        #[test]
        fn generated_parts_are_current() {
            $(check_or_update($page, $part, &$generated);)*
        }
    };
}

parts! {
    settings: "SETTINGS.md", "settings", settings();
    document: "CONFIGURATION.md", "document", reference(SchemaKind::Document);
    metrics: "METRICS.md", "metrics", Description::table();
    settings_codes: "RESULT_CODES.md", "settings and document", settings_codes();
    request_codes: "RESULT_CODES.md", "requests", request_codes();
    job_codes: "RESULT_CODES.md", "jobs", job_codes();
    api_codes: "RESULT_CODES.md", "operators' API", api_codes();
}

/// Guards against a code with two meanings, for which an operator could choose the wrong remedy.
#[test]
fn every_code_has_one_meaning_and_lies_in_its_range() {
    let mut all: Vec<u16> = Vec::new();
    all.extend(Code::ALL.iter().map(|code| code.number()));
    all.extend(ResultCode::ALL.iter().map(|code| code.number()));
    all.extend(codes::TABLE.iter().map(|(code, ..)| code));
    all.extend(ApiCode::ALL.iter().map(|code| code.number()));
    assert!(all.is_sorted_by(|a, b| a < b), "{all:?}");
    assert!(Code::ALL.iter().all(|code| code.number() / 1000 == 1));
    assert!(ResultCode::ALL.iter().all(|code| code.number() / 1000 == 2));
    assert!(codes::TABLE.iter().all(|(code, ..)| code / 1000 == 3));
    assert!(ApiCode::ALL.iter().all(|code| code.number() / 1000 == 4));
}

#[test]
fn help_lists_every_exit_code() {
    let help = command().render_long_help().to_string();
    for status in [
        ExitStatus::Success,
        ExitStatus::Refused,
        ExitStatus::Usage,
        ExitStatus::Conflict,
        ExitStatus::Unreachable,
    ] {
        assert!(help.contains(&format!("{} ", status as u8)), "{status:?}");
    }
}

/// Guards against commands in the documentation that the command line does not accept.
#[test]
fn documented_commands_are_valid() {
    let mut count = 0;
    for name in ["OPERATIONS.md", "CONFIGURATION.md", "SETTINGS.md"] {
        let text = read(name).replace("\\\n", " ");
        for line in text.lines().filter_map(|line| line.trim().strip_prefix("$ geraniumpost ")) {
            let line = line.split(" > ").next().unwrap_or_default();
            let parsed =
                command().try_get_matches_from(split_words(&format!("geraniumpost {line}")));
            assert!(parsed.is_ok(), "{name}: {line}: {}", parsed.unwrap_err());
            count += 1;
        }
    }
    assert!(count >= 10, "only {count} commands were found");
}

/// Splits a command line into words as a shell does, with support for single quotes only.
fn split_words(line: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    let mut quoted = false;
    for character in line.chars() {
        match character {
            '\'' => quoted = !quoted,
            ' ' if !quoted => words.push(String::new()),
            other => words.last_mut().expect("there is a word").push(other),
        }
    }
    words.into_iter().filter(|word| !word.is_empty()).collect()
}
