/// Separates the arguments of cargo from those of the test binaries.
const SEPARATOR: &str = "--";

/// Makes cargo continue after a binary with a failure.
const NO_FAIL_FAST: &str = "--no-fail-fast";

/// Arguments with which cargo runs no test binary, or only lists its tests.
const NO_TEST_RUN: [&str; 6] = ["--doc", "--no-run", "--list", "--help", "-h", "--version"];

/// Flags that select packages; cargo ignores them when `--workspace` is given.
const PACKAGE_FLAGS: [&str; 2] = ["-p", "--package"];

/// The arguments that the command line passes on to `cargo test`.
#[derive(Debug, Clone, Copy)]
pub struct TestArgs<'a> {
    all: &'a [String],
}

impl<'a> TestArgs<'a> {
    /// Creates it from the arguments in the order of the command line.
    pub const fn new(all: &'a [String]) -> Self {
        Self { all }
    }

    /// Returns the arguments for cargo itself.
    pub fn cargo_args(&self) -> &'a [String] {
        self.all.split(|arg| arg == SEPARATOR).next().unwrap_or_default()
    }

    /// Returns the arguments for the test binaries, starting with the separator.
    pub fn binary_args(&self) -> &'a [String] {
        &self.all[self.cargo_args().len()..]
    }

    /// Returns whether the run covers every test binary of the workspace.
    pub fn covers_workspace(&self) -> bool {
        self.cargo_args().is_empty()
    }

    /// Returns whether no test binary runs its tests, so that no listed failure can occur.
    pub fn runs_no_tests(&self) -> bool {
        self.all.iter().any(|arg| NO_TEST_RUN.contains(&arg.as_str()))
    }

    /// Returns the flag that selects the whole workspace, unless packages are selected.
    pub fn workspace_flag(&self) -> Option<&'static str> {
        let selects_package = |arg: &String| {
            PACKAGE_FLAGS.contains(&arg.as_str())
                || arg.starts_with("--package=")
                || (arg.starts_with("-p") && !arg.starts_with("--"))
        };
        (!self.cargo_args().iter().any(selects_package)).then_some("--workspace")
    }

    /// Returns the flag that makes all binaries run, unless it is given already.
    pub fn no_fail_fast_flag(&self) -> Option<&'static str> {
        (!self.cargo_args().iter().any(|arg| arg == NO_FAIL_FAST)).then_some(NO_FAIL_FAST)
    }
}
