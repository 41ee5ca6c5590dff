//! Dividing the words of the command line.

use xtask::known_red::Words;

use crate::support::owned;

macro_rules! words {
    ($($name:ident: $all:literal => $cargo:literal, $binaries:literal, $whole:literal;)*) => {
        $(#[test]
        fn $name() {
            let all = owned($all);
            let words = Words::new(&all);
            assert_eq!(words.cargo(), owned($cargo));
            assert_eq!(words.binaries(), owned($binaries));
            assert_eq!(words.whole(), $whole);
        })*
    };
}

words! {
    no_words_are_a_whole_run: "" => "", "", true;
    words_for_the_binaries_leave_the_run_whole: "-- --test-threads=1"
        => "", "-- --test-threads=1", true;
    words_for_cargo_may_narrow_the_run: "-p a b" => "-p a b", "", false;
    both_are_divided_at_the_first_separator: "-p a -- b -- c" => "-p a", "-- b -- c", false;
}

// Cargo does not heed `-p` beside `--workspace`: `cargo xtask test -p x` ran every package.
macro_rules! scopes {
    ($($name:ident: $all:literal => $scope:expr;)*) => {
        $(#[test]
        fn $name() {
            assert_eq!(Words::new(&owned($all)).scope(), $scope);
        })*
    };
}

scopes! {
    nothing_chosen: "" => Some("--workspace");
    a_test_chosen: "--test t a" => Some("--workspace");
    a_profile_chosen: "--profile dev" => Some("--workspace");
    a_package_chosen: "-p a" => None;
    a_package_chosen_in_one_word: "-pa" => None;
    a_package_chosen_at_length: "--package a" => None;
    a_package_chosen_at_length_in_one_word: "--package=a" => None;
    a_word_of_the_binaries: "-- -p a" => Some("--workspace");
}

#[test]
fn all_binaries_run_and_cargo_is_told_once() {
    assert_eq!(Words::new(&owned("-p a")).keep_going(), Some("--no-fail-fast"));
    assert_eq!(Words::new(&owned("--no-fail-fast")).keep_going(), None);
}

#[test]
fn some_words_run_no_test_binary() {
    for word in ["--doc", "--no-run", "--help", "-- --list"] {
        assert!(Words::new(&owned(word)).no_tests(), "{word}");
    }
    assert!(!Words::new(&owned("-p a -- --nocapture")).no_tests());
}
