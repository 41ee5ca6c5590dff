use super::TestId;

/// Makes the test library compare whole names instead of parts of them.
const EXACT: &str = "--exact";

/// Leaves out the tests that the next word names.
const SKIP: &str = "--skip";

/// Ends the line of a test in the listing that a test binary prints.
const LISTED: &str = ": test";

/// How one test binary is started so that each of its tests runs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Runs {
    ordinary: Vec<Vec<String>>,
    listed: Vec<(TestId, Vec<String>)>,
    left_out: Vec<TestId>,
}

impl Runs {
    /// Divides the tests that the words `args` select from a binary.
    ///
    /// The first start leaves out every test whose name contains a listed name, because `--exact`
    /// would also change what the filters in `args` mean. A second start makes up for the tests
    /// that were left out only for that.
    pub fn new(args: &[String], selected: &[String], listed: &[TestId]) -> Self {
        let mut runs = Self { ordinary: vec![without(args, listed)], ..Self::default() };
        let hidden = hidden(selected, listed);
        if !hidden.is_empty() && !args.iter().any(|arg| arg == EXACT) {
            let mut words = without(args, listed);
            words.push(EXACT.to_owned());
            words.extend(hidden);
            runs.ordinary.push(words);
        }
        for test in listed {
            if selected.iter().any(|name| name == test.name()) {
                let words = vec![EXACT.to_owned(), test.name().to_owned()];
                runs.listed.push((test.clone(), words));
            } else {
                runs.left_out.push(test.clone());
            }
        }
        runs
    }

    /// Returns the words of the starts whose tests must all pass.
    pub fn ordinary(&self) -> &[Vec<String>] {
        &self.ordinary
    }

    /// Returns each listed test with the words that start it alone.
    pub fn listed(&self) -> &[(TestId, Vec<String>)] {
        &self.listed
    }

    /// Returns the listed tests that the command line does not select.
    pub fn left_out(&self) -> &[TestId] {
        &self.left_out
    }
}

/// Takes the names of the tests out of the listing that a test binary prints.
pub fn listed_names(listing: &str) -> Vec<String> {
    listing.lines().filter_map(|line| line.strip_suffix(LISTED)).map(str::to_owned).collect()
}

/// Adds to the words that the listed tests are left out.
fn without(args: &[String], listed: &[TestId]) -> Vec<String> {
    let mut words = args.to_vec();
    for test in listed {
        words.push(SKIP.to_owned());
        words.push(test.name().to_owned());
    }
    words
}

/// Returns the tests that are not listed but whose names contain a listed one.
fn hidden(selected: &[String], listed: &[TestId]) -> Vec<String> {
    let is_listed = |name: &str| listed.iter().any(|test| test.name() == name);
    let contains = |name: &str| listed.iter().any(|test| name.contains(test.name()));
    selected.iter().filter(|name| contains(name) && !is_listed(name)).cloned().collect()
}
