use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use super::{Entry, PlanError, Target, TestBinary, TestId};

/// The test binaries of this run, and which listed tests belong to which.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    binaries: BTreeMap<PathBuf, Vec<TestId>>,
    elsewhere: Vec<TestId>,
}

impl Plan {
    /// Matches the entries with the binaries that cargo has built.
    ///
    /// `unbuilt` holds the targets that exist although the command line may not have chosen them;
    /// their entries are set aside. It is empty where the whole workspace is run.
    ///
    /// # Errors
    ///
    /// Fails if no target fits an entry.
    pub fn new(
        entries: &[Entry],
        binaries: &[TestBinary],
        unbuilt: &[Target],
    ) -> Result<Self, PlanError> {
        let mut plan = Self::default();
        for binary in binaries {
            plan.binaries.insert(binary.path().to_owned(), Vec::new());
        }
        for test in entries.iter().map(|entry| entry.test().clone()) {
            if let Some(b) = binaries.iter().find(|b| b.target().holds(&test)) {
                plan.binaries.entry(b.path().to_owned()).or_default().push(test);
            } else if unbuilt.iter().any(|target| target.holds(&test)) {
                plan.elsewhere.push(test);
            } else {
                return Err(PlanError::NoTarget { test });
            }
        }
        Ok(plan)
    }

    /// Returns the binaries with listed tests.
    pub fn binaries(&self) -> impl Iterator<Item = &Path> {
        let with_listed = self.binaries.iter().filter(|(_, listed)| !listed.is_empty());
        with_listed.map(|(path, _)| path.as_path())
    }

    /// Tells whether cargo has built this binary for a target; those of tests in doc comments are
    /// built by rustdoc.
    pub fn knows(&self, binary: &Path) -> bool {
        self.binaries.contains_key(binary)
    }

    /// Returns the listed tests of a binary.
    pub fn listed_in(&self, binary: &Path) -> &[TestId] {
        self.binaries.get(binary).map_or(&[], Vec::as_slice)
    }

    /// Returns the entries that belong to no binary of this run.
    pub fn elsewhere(&self) -> &[TestId] {
        &self.elsewhere
    }

    /// Checks that a binary really would run each of its listed tests.
    ///
    /// An entry whose test was renamed would otherwise stay in the list for ever, and could later
    /// hide a new test of the old name.
    ///
    /// # Errors
    ///
    /// Fails at the first entry without a test, or whose test is ignored.
    pub fn check(
        &self,
        binary: &Path,
        names: &[String],
        ignored: &[String],
    ) -> Result<(), PlanError> {
        for test in self.listed_in(binary) {
            let is_test = |name: &String| name == test.name();
            if !names.iter().any(is_test) {
                return Err(PlanError::NoTest { test: test.clone() });
            }
            if ignored.iter().any(is_test) {
                return Err(PlanError::Ignored { test: test.clone() });
            }
        }
        Ok(())
    }
}
