//! Parsing the list.

use xtask::known_red::{Entry, ListError, TestId, parse};

use crate::support::id;

/// A complete entry of five lines.
const ENTRY: &str = "\
pack coordinator leases::some_test
    command: cargo test -p pack --test coordinator leases::some_test
    seed: 7
    seen: 3 of 5 runs: a lease outlives its holder
    issue: 12
";

#[test]
fn a_complete_entry_is_parsed() {
    let details = [
        "cargo test -p pack --test coordinator leases::some_test",
        "7",
        "3 of 5 runs: a lease outlives its holder",
        "12",
    ];
    let test = id("pack coordinator leases::some_test");
    assert_eq!(parse(ENTRY), Ok(vec![Entry::new(test, details.map(str::to_owned))]));
}

#[test]
fn an_entry_is_printed_as_it_was_written() {
    let entry = parse(ENTRY).unwrap().remove(0);
    assert_eq!(format!("{entry}\n"), ENTRY);
}

/// The list of the repository itself must always be readable.
#[test]
fn the_list_of_the_repository_is_readable() {
    parse(include_str!("../../../KNOWN-RED.txt")).unwrap();
}

macro_rules! readable {
    ($($name:ident: $text:expr => $tests:expr;)*) => {
        $(#[test]
        fn $name() {
            let entries = parse(&$text).unwrap();
            let tests: Vec<TestId> = entries.iter().map(|entry| entry.test().clone()).collect();
            let expected: Vec<TestId> = $tests.into_iter().map(id).collect();
            assert_eq!(tests, expected);
        })*
    };
}

readable! {
    an_empty_text_lists_nothing: "" => Vec::<&str>::new();
    comments_and_blank_lines_list_nothing: "# pack t a\n\n#\n" => Vec::<&str>::new();
    comments_are_allowed_among_details: ENTRY.replace("    seed", "# a seed\n\n    seed")
        => ["pack coordinator leases::some_test"];
    lines_may_end_with_crlf: ENTRY.replace('\n', "\r\n")
        => ["pack coordinator leases::some_test"];
    a_name_may_occur_in_two_targets: format!("{ENTRY}{}", ENTRY.replace("coordinator", "--lib"))
        => ["pack coordinator leases::some_test", "pack --lib leases::some_test"];
}

// An entry contains a mistake. If the parser guessed what was meant, the list could hide the
// failure of a test that nobody has examined; the run fails instead and names the line.
macro_rules! unreadable {
    ($($name:ident: $text:expr => $error:expr;)*) => {
        $(#[test]
        fn $name() {
            assert_eq!(parse(&$text), Err($error));
        })*
    };
}

unreadable! {
    a_test_without_its_package: ENTRY.replace("pack coordinator ", "coordinator ")
        => ListError::InvalidTest { line: 1 };
    a_fourth_word: ENTRY.replace("some_test\n    command", "some_test too\n    command")
        => ListError::InvalidTest { line: 1 };
    a_detail_before_any_test: "    seed: 7\n" => ListError::DetailWithoutTest { line: 1 };
    a_detail_without_indentation: ENTRY.replace("    seed: 7", "seed: 7")
        => ListError::InvalidTest { line: 3 };
    an_unknown_detail: ENTRY.replace("seed", "sead") => ListError::InvalidDetail { line: 3 };
    a_detail_without_colon: ENTRY.replace("seed:", "seed") => ListError::InvalidDetail { line: 3 };
    a_detail_without_text: ENTRY.replace("seed: 7", "seed:")
        => ListError::InvalidDetail { line: 3 };
    an_indented_comment: ENTRY.replace("    seed", "    # no\n    seed")
        => ListError::InvalidDetail { line: 3 };
    a_detail_given_twice: ENTRY.replace("    issue", "    seed: 8\n    issue")
        => ListError::DuplicateDetail { line: 5 };
    no_command: ENTRY.replace("    command: cargo", "# ")
        => ListError::MissingDetail { line: 1, key: "command" };
    no_seed: ENTRY.replace("    seed", "# ") => ListError::MissingDetail { line: 1, key: "seed" };
    no_observation: ENTRY.replace("    seen", "# ")
        => ListError::MissingDetail { line: 1, key: "seen" };
    no_issue: ENTRY.replace("    issue", "# ")
        => ListError::MissingDetail { line: 1, key: "issue" };
    a_test_without_details_after_a_complete_entry: format!("{ENTRY}pack coordinator other\n")
        => ListError::MissingDetail { line: 6, key: "command" };
    a_test_listed_twice: format!("{ENTRY}{ENTRY}") => ListError::DuplicateTest { line: 6 };
}
