use super::TestId;

/// Makes the test library compare whole names instead of parts of them.
const EXACT: &str = "--exact";

/// Leaves out the tests whose names contain the next argument.
const SKIP: &str = "--skip";

/// Suffix of a test's line in the listing that a test binary prints.
const TEST_SUFFIX: &str = ": test";

/// The runs of one test binary that together run each selected test once.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Runs {
    ordinary: Vec<Vec<String>>,
    listed: Vec<(TestId, Vec<String>)>,
    left_out: Vec<TestId>,
}

impl Runs {
    /// Divides the tests that `args` select from a binary.
    ///
    /// The first run leaves out every test whose name contains a listed name, because `--exact`
    /// would also change the meaning of the filters in `args`. A second run covers the tests that
    /// are not listed and were left out only for that reason.
    pub fn new(args: &[String], selected: &[String], listed: &[TestId]) -> Self {
        let mut runs = Self { ordinary: vec![skip_listed(args, listed)], ..Self::default() };
        let also_skipped = also_skipped(selected, listed);
        if !also_skipped.is_empty() && !args.iter().any(|arg| arg == EXACT) {
            let mut second = skip_listed(args, listed);
            second.push(EXACT.to_owned());
            second.extend(also_skipped);
            runs.ordinary.push(second);
        }
        for test in listed {
            if selected.iter().any(|name| name == test.name()) {
                let alone = vec![EXACT.to_owned(), test.name().to_owned()];
                runs.listed.push((test.clone(), alone));
            } else {
                runs.left_out.push(test.clone());
            }
        }
        runs
    }

    /// Returns the arguments of each run whose tests must all pass.
    pub fn ordinary(&self) -> &[Vec<String>] {
        &self.ordinary
    }

    /// Returns each listed test with the arguments that run it alone.
    pub fn listed(&self) -> &[(TestId, Vec<String>)] {
        &self.listed
    }

    /// Returns the listed tests that the command line does not select.
    pub fn left_out(&self) -> &[TestId] {
        &self.left_out
    }
}

/// Extracts the names of the tests from the listing that a test binary prints.
pub fn listed_names(listing: &str) -> Vec<String> {
    listing.lines().filter_map(|line| line.strip_suffix(TEST_SUFFIX)).map(str::to_owned).collect()
}

/// Returns the arguments with flags that leave out the listed tests.
fn skip_listed(args: &[String], listed: &[TestId]) -> Vec<String> {
    let mut skipping = args.to_vec();
    for test in listed {
        skipping.push(SKIP.to_owned());
        skipping.push(test.name().to_owned());
    }
    skipping
}

/// Returns the tests that are not listed but whose names contain a listed name.
fn also_skipped(selected: &[String], listed: &[TestId]) -> Vec<String> {
    let is_listed = |name: &str| listed.iter().any(|test| test.name() == name);
    let contains = |name: &str| listed.iter().any(|test| name.contains(test.name()));
    selected.iter().filter(|name| contains(name) && !is_listed(name)).cloned().collect()
}
