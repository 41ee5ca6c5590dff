/// Divides cargo's words from those of the test binaries.
const SEPARATOR: &str = "--";

/// Keeps cargo from stopping at the first binary with a failure.
const NO_FAIL_FAST: &str = "--no-fail-fast";

/// Words with which cargo runs no test binary, or only lists its tests.
const NO_TESTS: [&str; 6] = ["--doc", "--no-run", "--list", "--help", "-h", "--version"];

/// Words that choose packages; cargo would not heed them beside `--workspace`.
const PACKAGES: [&str; 2] = ["-p", "--package"];

/// The words that the command line passes on to `cargo test`.
#[derive(Debug, Clone, Copy)]
pub struct Words<'a> {
    all: &'a [String],
}

impl<'a> Words<'a> {
    /// Takes the words as they stand on the command line.
    pub const fn new(all: &'a [String]) -> Self {
        Self { all }
    }

    /// Returns the words for cargo itself.
    pub fn cargo(&self) -> &'a [String] {
        self.all.split(|word| word == SEPARATOR).next().unwrap_or_default()
    }

    /// Returns the words for the test binaries, with the separator before them.
    pub fn binaries(&self) -> &'a [String] {
        &self.all[self.cargo().len()..]
    }

    /// Tells whether the run covers every test binary of the workspace.
    pub fn whole(&self) -> bool {
        self.cargo().is_empty()
    }

    /// Tells whether no test binary runs its tests, so that there is nothing to pass over.
    pub fn no_tests(&self) -> bool {
        self.all.iter().any(|word| NO_TESTS.contains(&word.as_str()))
    }

    /// Returns the word that chooses the whole workspace, unless packages are chosen.
    pub fn scope(&self) -> Option<&'static str> {
        let chooses = |word: &String| {
            PACKAGES.contains(&word.as_str())
                || word.starts_with("--package=")
                || (word.starts_with("-p") && !word.starts_with("--"))
        };
        (!self.cargo().iter().any(chooses)).then_some("--workspace")
    }

    /// Returns the word that lets all binaries run, unless it is there already.
    pub fn keep_going(&self) -> Option<&'static str> {
        (!self.cargo().iter().any(|word| word == NO_FAIL_FAST)).then_some(NO_FAIL_FAST)
    }
}
