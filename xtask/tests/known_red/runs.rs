//! Dividing the tests of one binary into starts.

use xtask::known_red::{Runs, TestId, listed_names};

use crate::support::{id, owned};

/// Returns the listed tests of a binary.
fn listed(names: &str) -> Vec<TestId> {
    names.split_whitespace().map(|name| id(&format!("pack t {name}"))).collect()
}

// A listed test is left out of the ordinary start by a part of its name. Any test with a longer
// name would silently not run, and its failure would go unseen; it must run in a second start.
macro_rules! ordinary {
    ($($name:ident: $args:literal, $selected:literal, $listed:literal => [$($run:literal),*];)*) => {
        $(#[test]
        fn $name() {
            let runs = Runs::new(&owned($args), &owned($selected), &listed($listed));
            assert_eq!(runs.ordinary(), [$(owned($run)),*]);
        })*
    };
}

ordinary! {
    the_listed_test_is_left_out: "", "a b", "a" => ["--skip a"];
    two_listed_tests_are_left_out: "", "a b c", "a b" => ["--skip a --skip b"];
    a_name_that_contains_it_runs: "", "a ab c", "a" => ["--skip a", "--skip a --exact ab"];
    the_same_name_in_another_module_runs: "", "a m::a", "a" => ["--skip a", "--skip a --exact m::a"];
    one_listed_name_within_another_runs_once: "", "a ab", "a ab" => ["--skip a --skip ab"];
    longer_names_run_though_the_test_is_not_selected: "ab", "ab", "a"
        => ["ab --skip a", "ab --skip a --exact ab"];
    words_are_passed_on: "--test-threads 4 m", "m::a m::ab", "m::a"
        => ["--test-threads 4 m --skip m::a", "--test-threads 4 m --skip m::a --exact m::ab"];
    whole_names_need_no_second_start: "--exact a ab", "a ab", "a" => ["--exact a ab --skip a"];
}

#[test]
fn each_listed_test_runs_alone_by_its_whole_name() {
    let runs = Runs::new(&[], &owned("a ab b"), &listed("a b"));
    let expected = [("pack t a", "--exact a"), ("pack t b", "--exact b")];
    assert_eq!(runs.listed(), expected.map(|(test, words)| (id(test), owned(words))));
    assert_eq!(runs.left_out(), []);
}

#[test]
fn a_test_that_the_words_do_not_select_is_left_out() {
    let runs = Runs::new(&owned("b"), &owned("b ab"), &listed("a b"));
    assert_eq!(runs.listed(), [(id("pack t b"), owned("--exact b"))]);
    assert_eq!(runs.left_out(), [id("pack t a")]);
}

#[test]
fn only_tests_are_taken_from_a_listing() {
    let listing = "a: test\nm::b: test\nc: benchmark\n\n2 tests, 1 benchmark\n";
    assert_eq!(listed_names(listing), ["a", "m::b"]);
}
