//! Matching the entries with the binaries that cargo has built.

use std::path::Path;

use serde_json::json;
use xtask::known_red::{Plan, PlanError, Target, TestBinary, TestId};

use crate::support::{binary, entry, id, message, owned};

/// Returns two packages with targets of the same names.
fn binaries() -> Vec<TestBinary> {
    vec![
        binary("one", "lib", "one", "/one-lib"),
        binary("one", "bin", "one", "/one-bin"),
        binary("one", "test", "one", "/one-test"),
        binary("two", "test", "one", "/two-test"),
    ]
}

// Two packages, or two targets of one package, may hold tests of the same name. An entry for one
// of them must leave the failure of the other visible.
macro_rules! places {
    ($($name:ident: $test:literal => $path:literal;)*) => {
        $(#[test]
        fn $name() {
            let plan = Plan::new(&[entry($test)], &binaries(), &[]).unwrap();
            for binary in binaries() {
                let here = binary.path() == Path::new($path);
                let expected: Vec<TestId> = here.then(|| id($test)).into_iter().collect();
                assert_eq!(plan.listed_in(binary.path()), expected);
            }
        })*
    };
}

places! {
    only_the_library: "one --lib a" => "/one-lib";
    only_the_program: "one --bin=one a" => "/one-bin";
    only_the_integration_test: "one one a" => "/one-test";
    only_the_other_package: "two one a" => "/two-test";
}

// A target is renamed or was misspelt. The entry then hides nothing now, but could hide a later
// target of that name; the run fails before any test and names the entry.
macro_rules! nowhere {
    ($($name:ident: $test:literal;)*) => {
        $(#[test]
        fn $name() {
            let error = Plan::new(&[entry($test)], &binaries(), &[]).unwrap_err();
            assert_eq!(error, PlanError::NoTarget { test: id($test) });
        })*
    };
}

nowhere! {
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
fn an_entry_of_a_target_that_was_not_chosen_is_set_aside() {
    let plan = Plan::new(&[entry("three there a")], &binaries(), &targets()).unwrap();
    assert_eq!(plan.elsewhere(), [id("three there a")]);
    assert_eq!(plan.binaries().count(), 0);
}

#[test]
fn a_target_that_does_not_exist_is_an_error_though_few_were_chosen() {
    let error = Plan::new(&[entry("three gone a")], &binaries(), &targets()).unwrap_err();
    assert_eq!(error, PlanError::NoTarget { test: id("three gone a") });
}

#[test]
fn binaries_of_rustdoc_are_told_apart() {
    let plan = Plan::new(&[entry("two one a")], &binaries(), &[]).unwrap();
    assert!(plan.knows(Path::new("/one-lib")));
    assert!(plan.knows(Path::new("/two-test")));
    assert!(!plan.knows(Path::new("/rust_out")));
}

macro_rules! checks {
    ($($name:ident: $names:literal, $ignored:literal => $result:expr;)*) => {
        $(#[test]
        fn $name() {
            let plan = Plan::new(&[entry("one one a::b")], &binaries(), &[]).unwrap();
            let checked = plan.check(Path::new("/one-test"), &owned($names), &owned($ignored));
            assert_eq!(checked, $result);
        })*
    };
}

checks! {
    the_test_exists: "a a::b", "a" => Ok(());
    the_test_is_gone: "a b", "" => Err(PlanError::NoTest { test: id("one one a::b") });
    only_a_longer_name_exists: "a::bc x::a::b", ""
        => Err(PlanError::NoTest { test: id("one one a::b") });
    the_test_is_ignored: "a::b", "a::b" => Err(PlanError::Ignored { test: id("one one a::b") });
}

macro_rules! packages {
    ($($name:ident: $id:literal => $package:literal;)*) => {
        $(#[test]
        fn $name() {
            let found = TestBinary::from_message(&message($id, "test", "t", "/t")).unwrap();
            assert!(found.target().holds(&id(concat!($package, " t a"))), "{found:?}");
        })*
    };
}

packages! {
    package_named_like_its_folder: "path+file:///w/crates/pack#0.1.0" => "pack";
    package_in_another_folder: "path+file:///w/platform#pack-platform@0.1.0" => "pack-platform";
}

/// Messages of cargo that announce no test binary.
#[test]
fn other_messages_are_no_binaries() {
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
