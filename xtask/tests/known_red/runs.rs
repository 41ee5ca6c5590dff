//! Dividing the tests of one binary into runs.

use xtask::known_red::{Runs, TestId, listed_names};

use crate::support::{id, words};

/// Returns the listed tests of a binary.
fn listed(names: &str) -> Vec<TestId> {
    names.split_whitespace().map(|name| id(&format!("pack t {name}"))).collect()
}

// `--skip` leaves out every test whose name contains the listed name. Without a second run, the
// failure of a test with a longer name would go unnoticed.
macro_rules! ordinary {
    ($($name:ident: $args:literal, $selected:literal, $listed:literal => [$($run:literal),*];)*)
        => {
        $(#[test]
        fn $name() {
            let runs = Runs::new(&words($args), &words($selected), &listed($listed));
            assert_eq!(runs.ordinary(), [$(words($run)),*]);
        })*
    };
}

ordinary! {
    the_listed_test_is_left_out: "", "a b", "a" => ["--skip a"];
    two_listed_tests_are_left_out: "", "a b c", "a b" => ["--skip a --skip b"];
    a_longer_name_runs: "", "a ab c", "a" => ["--skip a", "--skip a --exact ab"];
    the_same_name_in_another_module_runs: "", "a m::a", "a"
        => ["--skip a", "--skip a --exact m::a"];
    a_listed_name_within_another_listed_name_needs_no_second_run: "", "a ab", "a ab"
        => ["--skip a --skip ab"];
    a_longer_name_runs_when_the_listed_test_is_not_selected: "ab", "ab", "a"
        => ["ab --skip a", "ab --skip a --exact ab"];
    arguments_are_passed_on: "--test-threads 4 m", "m::a m::ab", "m::a"
        => ["--test-threads 4 m --skip m::a", "--test-threads 4 m --skip m::a --exact m::ab"];
    exact_names_need_no_second_run: "--exact a ab", "a ab", "a" => ["--exact a ab --skip a"];
}

#[test]
fn each_listed_test_runs_alone_by_its_exact_name() {
    let runs = Runs::new(&[], &words("a ab b"), &listed("a b"));
    let expected = [("pack t a", "--exact a"), ("pack t b", "--exact b")];
    assert_eq!(runs.listed(), expected.map(|(test, args)| (id(test), words(args))));
    assert_eq!(runs.left_out(), []);
}

#[test]
fn a_listed_test_that_the_arguments_do_not_select_is_left_out() {
    let runs = Runs::new(&words("b"), &words("b ab"), &listed("a b"));
    assert_eq!(runs.listed(), [(id("pack t b"), words("--exact b"))]);
    assert_eq!(runs.left_out(), [id("pack t a")]);
}

#[test]
fn only_tests_are_read_from_a_listing() {
    let listing = "a: test\nm::b: test\nc: benchmark\n\n2 tests, 1 benchmark\n";
    assert_eq!(listed_names(listing), ["a", "m::b"]);
}
