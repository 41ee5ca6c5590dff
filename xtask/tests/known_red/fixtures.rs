//! Tests that pass unless an environment variable makes them fail or crash.
//!
//! The tests of the runner start this binary again with that variable set.

/// Environment variable with the tests that misbehave: `NAME:fail` or `NAME:crash`, separated by
/// commas.
pub const FAULTS_VARIABLE: &str = "KNOWN_RED_ORDERS";

macro_rules! fixtures {
    ($($name:ident;)*) => {
        $(#[test]
        fn $name() {
            let faults = std::env::var(FAULTS_VARIABLE).unwrap_or_default();
            for fault in faults.split(',') {
                assert_ne!(fault, concat!(stringify!($name), ":fail"));
                if fault == concat!(stringify!($name), ":crash") {
                    std::process::abort();
                }
            }
        })*
    };
}

fixtures! {
    alpha;
    alpha_long;
    beta;
}
