//! The pages that are made from code and schema are current, and their commands can be read.
//!
//! `UPDATE_DOCS=1 cargo test -p geraniumpost --test docs` writes the made parts anew.

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

/// Checks that the part of a page between its two marks is `made`, or writes it.
fn current(name: &str, part: &str, made: &str) {
    let text = read(name);
    let (begin, end) = (format!("<!-- made: {part} -->\n"), format!("<!-- end: {part} -->"));
    let start = text.find(&begin).unwrap_or_else(|| panic!("{name} has no {begin}")) + begin.len();
    let stop = start + text[start..].find(&end).unwrap_or_else(|| panic!("{name} has no {end}"));
    let made = format!("\n{}\n\n", made.trim());
    if std::env::var_os("UPDATE_DOCS").is_some() {
        let new = format!("{}{made}{}", &text[..start], &text[stop..]);
        std::fs::write(page(name), new).unwrap();
        return;
    }
    assert_eq!(text[start..stop], made, "{name} is out of date: run the tests with UPDATE_DOCS=1");
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
    // The table of the log is told once, with the entry's settings.
    let own = agent.split("### LogSettings").next().unwrap_or_default();
    format!("{}{own}", reference(SchemaKind::Entry))
}

/// Names the made parts of the pages.
macro_rules! parts {
    ($($name:ident: $page:literal, $part:literal, $made:expr;)*) => {
        /// One test, since several parts may stand on one page that `UPDATE_DOCS` writes.
        #[test]
        fn made_parts_are_current() {
            $(current($page, $part, &$made);)*
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

/// A number with two meanings would send an operator to the wrong remedy.
#[test]
fn every_code_has_one_meaning_and_its_own_thousand() {
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
fn every_exit_code_is_told_in_the_help() {
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

/// Every command on the operators' pages can be read by the command line as it stands.
#[test]
fn commands_on_the_pages_can_be_read() {
    let mut read_commands = 0;
    for name in ["OPERATIONS.md", "CONFIGURATION.md", "SETTINGS.md"] {
        let text = read(name).replace("\\\n", " ");
        for line in text.lines().filter_map(|line| line.trim().strip_prefix("$ geraniumpost ")) {
            let line = line.split(" > ").next().unwrap_or_default();
            let parsed = command().try_get_matches_from(words(&format!("geraniumpost {line}")));
            assert!(parsed.is_ok(), "{name}: {line}: {}", parsed.unwrap_err());
            read_commands += 1;
        }
    }
    assert!(read_commands >= 10, "only {read_commands} commands were found");
}

/// Splits a line as a shell does, as far as the pages need it.
fn words(line: &str) -> Vec<String> {
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
