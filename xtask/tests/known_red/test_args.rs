//! Dividing the arguments of the command line.

use xtask::known_red::TestArgs;

use crate::support::words;

macro_rules! divided {
    ($($name:ident: $all:literal => $cargo:literal, $binaries:literal, $covers_workspace:literal;)*)
        => {
        $(#[test]
        fn $name() {
            let all = words($all);
            let args = TestArgs::new(&all);
            assert_eq!(args.cargo_args(), words($cargo));
            assert_eq!(args.binary_args(), words($binaries));
            assert_eq!(args.covers_workspace(), $covers_workspace);
        })*
    };
}

divided! {
    no_arguments_cover_the_workspace: "" => "", "", true;
    arguments_for_the_binaries_still_cover_the_workspace: "-- --test-threads=1"
        => "", "-- --test-threads=1", true;
    arguments_for_cargo_may_narrow_the_run: "-p a b" => "-p a b", "", false;
    both_are_divided_at_the_first_separator: "-p a -- b -- c" => "-p a", "-- b -- c", false;
}

// Cargo ignores `-p` beside `--workspace`, so `cargo xtask test -p x` would run every package.
macro_rules! workspace_flags {
    ($($name:ident: $all:literal => $scope:expr;)*) => {
        $(#[test]
        fn $name() {
            assert_eq!(TestArgs::new(&words($all)).workspace_flag(), $scope);
        })*
    };
}

workspace_flags! {
    nothing_chosen: "" => Some("--workspace");
    a_test_chosen: "--test t a" => Some("--workspace");
    a_profile_chosen: "--profile dev" => Some("--workspace");
    a_package_chosen: "-p a" => None;
    a_package_chosen_in_one_argument: "-pa" => None;
    a_package_chosen_by_the_long_flag: "--package a" => None;
    a_package_chosen_by_the_long_flag_in_one_argument: "--package=a" => None;
    an_argument_for_the_binaries: "-- -p a" => Some("--workspace");
}

#[test]
fn no_fail_fast_is_added_only_once() {
    assert_eq!(TestArgs::new(&words("-p a")).no_fail_fast_flag(), Some("--no-fail-fast"));
    assert_eq!(TestArgs::new(&words("--no-fail-fast")).no_fail_fast_flag(), None);
}

#[test]
fn some_arguments_run_no_test_binary() {
    for arg in ["--doc", "--no-run", "--help", "-- --list"] {
        assert!(TestArgs::new(&words(arg)).runs_no_tests(), "{arg}");
    }
    assert!(!TestArgs::new(&words("-p a -- --nocapture")).runs_no_tests());
}
