//! Matching the entries with the binaries that cargo has built.

use std::path::Path;

use serde_json::json;
use xtask::known_red::{Plan, PlanError, Target, TestBinary, TestId};

use crate::support::{binary, entry, id, message, words};

/// Returns two packages with targets of the same names.
fn binaries() -> Vec<TestBinary> {
    vec![
        binary("one", "lib", "one", "/one-lib"),
        binary("one", "bin", "one", "/one-bin"),
        binary("one", "test", "one", "/one-test"),
        binary("two", "test", "one", "/two-test"),
    ]
}

// Two packages, or two targets of one package, may contain tests of the same name. An entry for one
// must not hide the failure of the other.
macro_rules! matches_only {
    ($($name:ident: $test:literal => $path:literal;)*) => {
        $(#[test]
        fn $name() {
            let plan = Plan::new(&[entry($test)], &binaries(), &[]).unwrap();
            for binary in binaries() {
                let matching = binary.path() == Path::new($path);
                let expected: Vec<TestId> = matching.then(|| id($test)).into_iter().collect();
                assert_eq!(plan.listed_in(binary.path()), expected);
            }
        })*
    };
}

matches_only! {
    only_the_library: "one --lib a" => "/one-lib";
    only_the_binary: "one --bin=one a" => "/one-bin";
    only_the_integration_test: "one one a" => "/one-test";
    only_the_other_package: "two one a" => "/two-test";
}

// A target was renamed or its name misspelt. The entry hides nothing now, but could hide a failure
// in a later target of that name, so the run fails before any test and names the entry.
macro_rules! unknown_targets {
    ($($name:ident: $test:literal;)*) => {
        $(#[test]
        fn $name() {
            let error = Plan::new(&[entry($test)], &binaries(), &[]).unwrap_err();
            assert_eq!(error, PlanError::UnknownTarget { test: id($test) });
        })*
    };
}

unknown_targets! {
    no_such_package: "three one a";
    no_such_target: "one three a";
    no_library: "two --lib a";
    part_of_a_package: "on one a";
    part_of_a_target: "one on a";
}

/// Returns the targets that a workspace of one package has.
fn targets() -> Vec<Target> {
    let target = json!({ "kind": ["test"], "name": "there" });
    Target::all(&json!({ "packages": [{ "name": "three", "targets": [target] }] }))
}

#[test]
fn an_entry_of_an_unselected_target_is_kept_apart() {
    let plan = Plan::new(&[entry("three there a")], &binaries(), &targets()).unwrap();
    assert_eq!(plan.elsewhere(), [id("three there a")]);
    assert_eq!(plan.binaries_with_listed_tests().count(), 0);
}

#[test]
fn an_unknown_target_is_an_error_when_few_targets_are_selected() {
    let error = Plan::new(&[entry("three gone a")], &binaries(), &targets()).unwrap_err();
    assert_eq!(error, PlanError::UnknownTarget { test: id("three gone a") });
}

#[test]
fn binaries_of_rustdoc_are_not_part_of_the_plan() {
    let plan = Plan::new(&[entry("two one a")], &binaries(), &[]).unwrap();
    assert!(plan.contains(Path::new("/one-lib")));
    assert!(plan.contains(Path::new("/two-test")));
    assert!(!plan.contains(Path::new("/rust_out")));
}

macro_rules! checks {
    ($($name:ident: $names:literal, $ignored:literal => $result:expr;)*) => {
        $(#[test]
        fn $name() {
            let plan = Plan::new(&[entry("one one a::b")], &binaries(), &[]).unwrap();
            let checked = plan.check(Path::new("/one-test"), &words($names), &words($ignored));
            assert_eq!(checked, $result);
        })*
    };
}

checks! {
    the_test_exists: "a a::b", "a" => Ok(());
    the_test_does_not_exist: "a b", "" => Err(PlanError::UnknownTest { test: id("one one a::b") });
    only_a_longer_name_exists: "a::bc x::a::b", ""
        => Err(PlanError::UnknownTest { test: id("one one a::b") });
    the_test_is_ignored: "a::b", "a::b" => Err(PlanError::Ignored { test: id("one one a::b") });
}

macro_rules! packages {
    ($($name:ident: $id:literal => $package:literal;)*) => {
        $(#[test]
        fn $name() {
            let found = TestBinary::from_message(&message($id, "test", "t", "/t")).unwrap();
            assert!(found.target().contains(&id(concat!($package, " t a"))), "{found:?}");
        })*
    };
}

packages! {
    a_package_named_like_its_folder: "path+file:///w/crates/pack#0.1.0" => "pack";
    a_package_named_unlike_its_folder: "path+file:///w/platform#pack-platform@0.1.0"
        => "pack-platform";
}

/// Other messages of cargo must not be mistaken for test binaries.
#[test]
fn other_messages_are_ignored() {
    let test = message("path+file:///w/pack#0.1.0", "test", "t", "/t");
    assert!(TestBinary::from_message(&test).is_some());
    let others = [
        test.replace("compiler-artifact", "build-finished"),
        test.replace(r#""test":true"#, r#""test":false"#),
        test.replace(r#""/t""#, "null"),
        "not JSON".to_owned(),
    ];
    for other in others {
        assert_eq!(TestBinary::from_message(&other), None, "{other}");
    }
}
